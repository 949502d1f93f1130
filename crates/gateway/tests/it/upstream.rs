//! Instances that do what a test says, faults included.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// What an instance does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Answers with the request's own body.
    Echo,
    /// Says that it did not run the request.
    Shed,
    /// Says that another instance has the address.
    Misdirected,
    /// Answers with a failure.
    Fail,
    /// Answers with another request's id.
    WrongId,
    /// Answers with success but without a seal.
    NoSeal,
    /// Breaks the body off.
    Truncated,
    /// Resets the connection after reading the request.
    Reset,
    /// Sends bytes that are no response.
    Garbage,
    /// Answers twice.
    Twice,
    /// Answers without a length and closes in order.
    Unframed,
    /// Answers without a length and resets.
    UnframedReset,
    /// Answers before it has read the body, and keeps the connection.
    Early,
    /// Never answers.
    Silent,
}

/// A request as an instance read it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    /// Its head.
    pub(crate) head: String,
    /// Its body.
    pub(crate) body: Vec<u8>,
}

/// A running instance.
pub(crate) struct Upstream {
    /// Its id.
    pub(crate) id: String,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// What it does.
    behaviour: Arc<Mutex<Behaviour>>,
    /// What it read.
    seen: Arc<Mutex<Vec<Seen>>>,
    /// Connections that were reset or closed by the other side while it worked.
    pub(crate) cancelled: Arc<AtomicUsize>,
    /// Connections that were opened.
    pub(crate) connections: Arc<AtomicUsize>,
    /// The task.
    task: JoinHandle<()>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    /// Starts an instance.
    pub(crate) async fn start(id: &str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let cancelled = Arc::new(AtomicUsize::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        let (shared, log, count, opened) = (
            Arc::clone(&behaviour),
            Arc::clone(&seen),
            Arc::clone(&cancelled),
            Arc::clone(&connections),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::SeqCst);
                let (shared, log, count) =
                    (Arc::clone(&shared), Arc::clone(&log), Arc::clone(&count));
                tokio::spawn(async move {
                    serve(stream, &shared, &log, &count).await;
                });
            }
        });
        let id = id.to_owned();
        Self { id, address, behaviour, seen, cancelled, connections, task }
    }

    /// Changes what it does.
    pub(crate) fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    /// What it read so far.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }
}

/// Serves one connection until it ends.
async fn serve(
    mut stream: TcpStream,
    behaviour: &Mutex<Behaviour>,
    seen: &Mutex<Vec<Seen>>,
    cancelled: &AtomicUsize,
) {
    let mut buffer = Vec::new();
    while let Some((head, length)) = read_head(&mut stream, &mut buffer).await {
        let id = header(&head, "x-id").unwrap_or_default();
        let behaviour = *behaviour.lock();
        if behaviour == Behaviour::Early {
            let early =
                format!("HTTP/1.1 413 Too Large\r\nx-id: {id}\r\ncontent-length: 3\r\n\r\nbig");
            let _ = stream.write_all(early.as_bytes()).await;
        }
        while buffer.len() < length {
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(read) => buffer.extend_from_slice(&chunk[..read]),
            }
        }
        let body: Vec<u8> = buffer.drain(..length).collect();
        seen.lock().push(Seen { head: head.clone(), body: body.clone() });
        let ok = |extra: &str, body: &[u8]| {
            let mut res = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n{extra}content-length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            res.extend_from_slice(body);
            res
        };
        let answer = match behaviour {
            Behaviour::Echo => ok("", &body),
            Behaviour::Silent => {
                if closed_within(&mut stream, 60_000).await {
                    cancelled.fetch_add(1, Ordering::SeqCst);
                }
                return;
            }
            Behaviour::Shed => format!(
                "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            )
            .into_bytes(),
            Behaviour::Misdirected => format!(
                "HTTP/1.1 421 No\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            )
            .into_bytes(),
            Behaviour::Fail => format!(
                "HTTP/1.1 500 Failed\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad"
            )
            .into_bytes(),
            Behaviour::WrongId => {
                b"HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nno"
                    .to_vec()
            }
            Behaviour::NoSeal => {
                format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nno").into_bytes()
            }
            Behaviour::Truncated => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 100\r\n\r\npart"
                );
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Behaviour::Reset => {
                reset(&stream);
                return;
            }
            Behaviour::Garbage => b"\x01\x02 this is no response\r\n\r\n".to_vec(),
            Behaviour::Twice => {
                let mut res = ok("", &body);
                res.extend(ok("", b"second"));
                res
            }
            Behaviour::Unframed | Behaviour::UnframedReset => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\nconnection: close\r\n\r\nall of it"
                );
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(Duration::from_millis(50)).await;
                if behaviour == Behaviour::UnframedReset {
                    reset(&stream);
                }
                return;
            }
            Behaviour::Early => continue,
        };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Whether the other side closes the connection within a time.
async fn closed_within(stream: &mut TcpStream, ms: u64) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        res = stream.read(&mut byte) => matches!(res, Ok(0) | Err(_)),
        () = sleep(Duration::from_millis(ms)) => false,
    }
}

/// Reads a head and answers it with the length of the body.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            let length = header(&head, "content-length").and_then(|it| it.parse().ok());
            return Some((head, length.unwrap_or(0)));
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
        }
    }
}

/// A header of a head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|it| {
        let (key, value) = it.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}
