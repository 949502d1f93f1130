//! A loopback proxy that harms the connections that go through it.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Link {
    /// Bytes pass.
    Whole,
    /// Bytes pass late.
    Delayed(Duration),
    /// No byte passes, and nobody is told.
    Silent,
    /// Only bytes from the server pass.
    CutToServer,
    /// Only bytes to the server pass.
    CutToClient,
    /// Open connections and new ones are reset.
    Reset,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// From the client.
    ToServer,
    /// From the server.
    ToClient,
}

/// A running proxy; dropping it ends its connections.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Where clients connect.
    pub(crate) address: SocketAddr,
    /// What happens to connections.
    link: watch::Sender<Link>,
    /// The task that accepts.
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.link.send_replace(Link::Reset);
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (link, receiver) = watch::channel(Link::Whole);
        let task = tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                tokio::spawn(connect(client, target, receiver.clone()));
            }
        });
        Ok(Self { address, link, task })
    }

    /// Changes what happens to connections.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Passes the bytes of one connection on.
async fn connect(client: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    // A connection that ends without this one's doing ends in order all the same.
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    if client.set_nodelay(true).and(server.set_nodelay(true)).is_err() {
        return;
    }
    for it in [&client, &server] {
        reset(it);
    }
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let is_reset = async |mut link: watch::Receiver<Link>| {
        // The proxy ends with its sender.
        let _ = link.wait_for(|it| *it == Link::Reset).await;
    };
    link.mark_unchanged();
    tokio::select! {
        () = pass(from_client, to_server, Way::ToServer, link.clone()) => {}
        () = pass(from_server, to_client, Way::ToClient, link.clone()) => {}
        () = is_reset(link) => {}
    }
}

/// Passes bytes on in one direction until the sender ends.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut link: watch::Receiver<Link>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(read) = from.read(&mut chunk).await else { return };
        let held = match way {
            Way::ToServer => Link::CutToServer,
            Way::ToClient => Link::CutToClient,
        };
        if link.wait_for(|it| ![held, Link::Silent].contains(it)).await.is_err() {
            return;
        }
        let present = *link.borrow();
        if let Link::Delayed(time) = present {
            sleep(time).await;
        }
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

/// Makes the close of a connection a reset, as that of a process that dies.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("connection will end in order: {error}");
    }
}
