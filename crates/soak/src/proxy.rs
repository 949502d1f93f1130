//! A loopback TCP proxy that injects faults into the connections that it forwards.

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

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Fault of all connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// No fault: bytes are forwarded at once.
    Whole,
    /// Each chunk of bytes is forwarded after this delay.
    Delayed(Duration),
    /// Bytes in both directions are held back, without an error to either side.
    Silent,
    /// Bytes to the server are held back; bytes to the client are forwarded.
    CutToServer,
    /// Bytes to the client are held back; bytes to the server are forwarded.
    CutToClient,
    /// Open connections are closed at once, and so is each new one.
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Address that clients connect to.
    pub(crate) address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    accept_task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.fault.send_replace(LinkFault::Reset);
        self.accept_task.abort();
    }
}

impl Proxy {
    /// Starts a proxy that listens at one address and forwards connections to the other.
    pub(crate) async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (fault, fault_receiver) = watch::channel(LinkFault::Whole);
        let accept_task = tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                tokio::spawn(forward_connection(client, target, fault_receiver.clone()));
            }
        });
        Ok(Self { address, fault, accept_task })
    }

    /// Sets the fault of open and new connections.
    pub(crate) fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

/// Forwards one connection until either side closes it or [`LinkFault::Reset`] applies.
async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mut fault: watch::Receiver<LinkFault>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        set_reset_on_close(&client);
        return;
    };
    if client.set_nodelay(true).and(server.set_nodelay(true)).is_err() {
        return;
    }
    for it in [&client, &server] {
        set_reset_on_close(it);
    }
    // Dropping a write half shuts its direction down before the socket is closed. A peer that has
    // received everything therefore reads an orderly end of stream ahead of the reset.
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let wait_for_reset = async |mut fault: watch::Receiver<LinkFault>| {
        // An error means that the proxy was dropped, which also closes the connection.
        let _ = fault.wait_for(|it| *it == LinkFault::Reset).await;
    };
    fault.mark_unchanged();
    tokio::select! {
        () = forward(from_client, to_server, Direction::ToServer, fault.clone()) => {}
        () = forward(from_server, to_client, Direction::ToClient, fault.clone()) => {}
        () = wait_for_reset(fault) => {}
    }
}

/// Forwards bytes in one direction until the sending side closes the connection or an error occurs.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut fault: watch::Receiver<LinkFault>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read_bytes) = from.read(&mut buffer).await else { return };
        let cut = match direction {
            Direction::ToServer => LinkFault::CutToServer,
            Direction::ToClient => LinkFault::CutToClient,
        };
        if fault.wait_for(|it| ![cut, LinkFault::Silent].contains(it)).await.is_err() {
            return;
        }
        let current_fault = *fault.borrow();
        if let LinkFault::Delayed(delay) = current_fault {
            sleep(delay).await;
        }
        if read_bytes == 0 || to.write_all(&buffer[..read_bytes]).await.is_err() {
            return;
        }
    }
}

/// Sets `SO_LINGER` to zero, so that closing the connection resets it as the death of a process
/// would.
fn set_reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("cannot set SO_LINGER, connection will be closed in order: {error}");
    }
}
