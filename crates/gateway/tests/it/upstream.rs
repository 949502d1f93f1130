//! Instances with scripted behaviour, including faults.

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

/// How an instance handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Responds with the body of the request.
    Echo,
    /// Responds with the body of the request after 20 ms.
    Slow,
    /// Responds with the body of the request after this time, or with status 504 at the request's
    /// deadline if that is earlier.
    Takes(Duration),
    /// Responds that the request did not run.
    Shed,
    /// Responds after 400 ms that the request did not run.
    ShedLate,
    /// Responds that the request was meant for another instance.
    Misdirected,
    /// Responds with status 500.
    ServerError,
    /// Responds with another request's id.
    WrongId,
    /// Responds with success but without a seal.
    NoSeal,
    /// Closes the connection in the middle of the response body.
    Truncated,
    /// Resets the connection after reading the request.
    Reset,
    /// Sends bytes that are not an HTTP response.
    InvalidResponse,
    /// Sends a second response after the first one.
    DuplicateResponse,
    /// Sends its previous response on the connection a second time once it has read the next
    /// request, in front of the next response.
    LateDuplicate,
    /// Responds without a declared length and closes the connection gracefully.
    CloseDelimited,
    /// Responds without a declared length and resets the connection.
    CloseDelimitedReset,
    /// Responds before reading the body, and keeps the connection open.
    EarlyResponse,
    /// Never responds.
    Silent,
    /// Responds with the body of the request and with more headers.
    OkWith(&'static str),
    /// Responds with this status line and these headers, and with a body.
    Status(&'static str),
    /// Sends a chunked response of 512 KiB.
    Large,
    /// Closes the connection gracefully within a chunked response that is larger than what the
    /// process buffers.
    LargeTruncated,
    /// Responds with bytes without end.
    Endless(EndlessPart),
}

/// Part of a response that has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndlessPart {
    /// Bytes that are no HTTP, without a line break.
    Noise,
    /// Headers.
    Head,
    /// Responses with status 100 before the final one.
    Informational,
    /// A body without a length, of a response without a seal.
    UnsealedBody,
    /// A body without a length, of a response with a seal.
    Body,
    /// The extension of a chunk.
    ChunkExtension,
    /// Headers after the last chunk.
    Trailers,
}

impl EndlessPart {
    /// Bytes before the part, and the bytes that are repeated.
    fn bytes(self, id: &str) -> (String, &'static str) {
        let sealed = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n");
        let chunked = format!("{sealed}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Noise => (String::new(), "no response "),
            Self::Head => (sealed, "x-more: of this\r\n"),
            Self::Informational => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::UnsealedBody => (format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\n"), "body "),
            Self::Body => (format!("{sealed}\r\n"), "body "),
            Self::ChunkExtension => (format!("{chunked}2;"), "extension"),
            Self::Trailers => (format!("{chunked}2\r\nok\r\n0\r\n"), "x-more: of this\r\n"),
        }
    }
}

/// A request as an instance read it.
#[derive(Debug, Clone)]
pub(crate) struct RecordedRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// A running instance.
pub(crate) struct Upstream {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    /// Connections that the peer reset or closed while a request was running.
    pub(crate) cancelled: Arc<AtomicUsize>,
    /// Bytes of responses without end that were sent.
    pub(crate) endless_bytes: Arc<AtomicUsize>,
    /// Connections that were opened.
    pub(crate) connections: Arc<AtomicUsize>,
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
        let requests = Arc::new(Mutex::new(Vec::new()));
        let cancelled = Arc::new(AtomicUsize::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        let endless_bytes = Arc::new(AtomicUsize::new(0));
        let sent_bytes = Arc::clone(&endless_bytes);
        let (shared_behaviour, recorded, cancel_count, open_count) = (
            Arc::clone(&behaviour),
            Arc::clone(&requests),
            Arc::clone(&cancelled),
            Arc::clone(&connections),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                open_count.fetch_add(1, Ordering::SeqCst);
                let (sent_bytes, shared_behaviour, recorded, cancel_count) = (
                    Arc::clone(&sent_bytes),
                    Arc::clone(&shared_behaviour),
                    Arc::clone(&recorded),
                    Arc::clone(&cancel_count),
                );
                tokio::spawn(async move {
                    serve(stream, &shared_behaviour, &recorded, &cancel_count, &sent_bytes).await;
                });
            }
        });
        let id = id.to_owned();
        Self { id, address, behaviour, requests, cancelled, endless_bytes, connections, task }
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    /// The requests that were read so far.
    pub(crate) fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().clone()
    }
}

/// Serves one connection until it ends.
async fn serve(
    mut stream: TcpStream,
    behaviour: &Mutex<Behaviour>,
    requests: &Mutex<Vec<RecordedRequest>>,
    cancelled: &AtomicUsize,
    endless_bytes: &AtomicUsize,
) {
    let mut buffer = Vec::new();
    let mut previous: Vec<u8> = Vec::new();
    while let Some((head, length)) = read_head(&mut stream, &mut buffer).await {
        let id = header(&head, "x-id").unwrap_or_default();
        let behaviour = *behaviour.lock();
        if behaviour == Behaviour::EarlyResponse {
            let early_response =
                format!("HTTP/1.1 413 Too Large\r\nx-id: {id}\r\ncontent-length: 3\r\n\r\nbig");
            let _ = stream.write_all(early_response.as_bytes()).await;
        }
        while buffer.len() < length {
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(read) => buffer.extend_from_slice(&chunk[..read]),
            }
        }
        let body: Vec<u8> = buffer.drain(..length).collect();
        requests.lock().push(RecordedRequest { head: head.clone(), body: body.clone() });
        let ok = |extra: &str, body: &[u8]| {
            let mut res = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n{extra}content-length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            res.extend_from_slice(body);
            res
        };
        if behaviour == Behaviour::ShedLate {
            sleep(Duration::from_millis(400)).await;
        }
        let response = match behaviour {
            Behaviour::Echo => ok("", &body),
            Behaviour::Slow => {
                sleep(Duration::from_millis(20)).await;
                ok("", &body)
            }
            Behaviour::Takes(time) => {
                let left_ms = header(&head, "x-deadline").and_then(|it| it.parse().ok());
                let left = Duration::from_millis(left_ms.unwrap_or(u64::MAX));
                sleep(time.min(left)).await;
                if left < time {
                    format!(
                        "HTTP/1.1 504 Late\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n"
                    )
                    .into_bytes()
                } else {
                    ok("", &body)
                }
            }
            Behaviour::Silent => {
                if closes_within(&mut stream, 60_000).await {
                    cancelled.fetch_add(1, Ordering::SeqCst);
                }
                return;
            }
            Behaviour::Shed | Behaviour::ShedLate => format!(
                "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            )
            .into_bytes(),
            Behaviour::Misdirected => format!(
                "HTTP/1.1 421 No\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            )
            .into_bytes(),
            Behaviour::OkWith(headers) => ok(headers, &body),
            Behaviour::Status(text) => {
                format!("HTTP/1.1 {text}x-id: {id}\r\ncontent-length: 3\r\n\r\nown").into_bytes()
            }
            Behaviour::Large | Behaviour::LargeTruncated => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
                let _ = stream.write_all(head.as_bytes()).await;
                for _ in 0..8 {
                    let _ = stream.write_all(chunk.as_bytes()).await;
                }
                if behaviour == Behaviour::LargeTruncated {
                    return;
                }
                b"0\r\n\r\n".to_vec()
            }
            Behaviour::ServerError => format!(
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
            Behaviour::InvalidResponse => b"\x01\x02 this is no response\r\n\r\n".to_vec(),
            Behaviour::DuplicateResponse => {
                let mut res = ok("", &body);
                res.extend(ok("", b"second"));
                res
            }
            Behaviour::LateDuplicate => {
                let next = ok("", &body);
                let duplicate = std::mem::replace(&mut previous, next.clone());
                [duplicate, next].concat()
            }
            Behaviour::CloseDelimited | Behaviour::CloseDelimitedReset => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\nconnection: close\r\n\r\nall of it"
                );
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(Duration::from_millis(50)).await;
                if behaviour == Behaviour::CloseDelimitedReset {
                    reset(&stream);
                }
                return;
            }
            Behaviour::EarlyResponse => continue,
            Behaviour::Endless(part) => {
                let (start, repeated) = part.bytes(&id);
                let repeated = repeated.repeat(500);
                let mut next = start.as_bytes();
                while stream.write_all(next).await.is_ok() {
                    endless_bytes.fetch_add(next.len(), Ordering::SeqCst);
                    next = repeated.as_bytes();
                }
                cancelled.fetch_add(1, Ordering::SeqCst);
                return;
            }
        };
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Makes closing the connection send a reset.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Whether the peer closes the connection within a time.
async fn closes_within(stream: &mut TcpStream, ms: u64) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        res = stream.read(&mut byte) => matches!(res, Ok(0) | Err(_)),
        () = sleep(Duration::from_millis(ms)) => false,
    }
}

/// Reads a request head; returns it with the length of the body.
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

/// Value of a header in a request head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|it| {
        let (key, value) = it.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}
