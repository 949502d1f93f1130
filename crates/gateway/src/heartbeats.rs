//! Heartbeats between hosts. They are sent as datagrams, since each one replaces the one before.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use kingcupford_steer::{HEARTBEAT_INTERVAL, Heartbeat, HeartbeatScope, HeartbeatTiming};
use kingcupford_telemetry::{Event, TrafficLabels};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};

use crate::state::State;

const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Without the limit, a declared length could make the decoder allocate any amount of memory.
const BINCODE_CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_DATAGRAM_BYTES>> =
    standard().with_limit::<MAX_DATAGRAM_BYTES>();

/// Binds the socket for heartbeats.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Rc::new)
}

/// Sends heartbeats to all known hosts until the future is dropped.
pub(crate) async fn send(socket: Rc<UdpSocket>, state: Rc<State>) {
    let mut local_sent_at: Option<Instant> = None;
    let mut remote_sent_at: Option<Instant> = None;
    let mut last_state = None;
    loop {
        let now = Instant::now();
        {
            let host_state = state.host_state(now);
            let mut steering = state.steering.borrow_mut();
            let has_news = steering.has_news() || last_state != Some(host_state);
            last_state = Some(host_state);
            let is_reader = steering.is_reader(now);
            let (local, remote) = steering.members.heartbeat_timing();
            let is_due = |sent_at: Option<Instant>, timing: HeartbeatTiming, is_local| {
                let interval =
                    if is_reader { timing.reader_interval(is_local) } else { timing.interval };
                let tolerated = interval.saturating_sub(HEARTBEAT_INTERVAL / 2);
                has_news || sent_at.is_none_or(|it| now >= it + tolerated)
            };
            let scope = HeartbeatScope {
                local: is_due(local_sent_at, local, true),
                remote: is_due(remote_sent_at, remote, false),
            };
            local_sent_at = if scope.local { Some(now) } else { local_sent_at };
            remote_sent_at = if scope.remote { Some(now) } else { remote_sent_at };
            let mut heartbeat = steering.next_heartbeat(host_state, now);
            let receivers = steering.members.begin_heartbeat(heartbeat.sequence, scope, now);
            drop(steering);
            for (address, ack) in receivers {
                heartbeat.ack = ack;
                send_datagram(&socket, &state, &heartbeat, address);
            }
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Receives heartbeats until the future is dropped.
pub(crate) async fn receive(socket: Rc<UdpSocket>, state: Rc<State>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(it) => it,
            Err(error) => {
                // The socket also reports peers' closed ports (ICMP port unreachable) as receive
                // errors.
                log::debug!("no heartbeat could be received: {error}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let labels = TrafficLabels { direction: "in".to_owned() };
        state.metrics.control_bytes.get_or_create(&labels).inc_by(length as u64);
        let heartbeat =
            match bincode::decode_from_slice::<Heartbeat, _>(&buffer[..length], BINCODE_CONFIG) {
                Ok((it, _)) => it,
                Err(error) => {
                    Event::PeerFrameInvalid.log(format_args!("peer={from} error=\"{error}\""));
                    continue;
                }
            };
        let now = Instant::now();
        state.steering.borrow_mut().receive_heartbeat(heartbeat, from, now);
    }
}

/// Sends one heartbeat. A lost heartbeat is not repeated, since the next one replaces it.
fn send_datagram(socket: &UdpSocket, state: &State, heartbeat: &Heartbeat, address: SocketAddr) {
    let bytes = match bincode::encode_to_vec(heartbeat, BINCODE_CONFIG) {
        Ok(it) if it.len() <= MAX_DATAGRAM_BYTES => it,
        Ok(it) => {
            log::warn!("heartbeat of {} bytes is too long", it.len());
            return;
        }
        Err(error) => {
            log::warn!("heartbeat cannot be encoded: {error}");
            return;
        }
    };
    match socket.try_send_to(&bytes, address) {
        Ok(sent) => {
            let labels = TrafficLabels { direction: "out".to_owned() };
            state.metrics.control_bytes.get_or_create(&labels).inc_by(sent as u64);
        }
        Err(error) => log::debug!("heartbeat to {address} was not sent: {error}"),
    }
}
