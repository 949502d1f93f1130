//! Messages between hosts: datagrams, since each replaces the one before it.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bincode::config::{Configuration, standard};
use kingcupford_steer::Heartbeat;
use kingcupford_telemetry::{Event, TrafficLabels};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};

use crate::state::State;

/// Time between two beats of a small deployment: several fit into the time after which a host
/// counts as silent, also when some are lost.
const BEAT_EVERY: Duration = Duration::from_millis(200);

/// Time between two beats to other regions for each known host, so that their number a second
/// stays bounded.
const BEAT_EVERY_PER_HOST: Duration = Duration::from_millis(8);

/// Largest datagram.
const MAX_BYTES: usize = 60_000;

/// How beats are encoded.
const CODEC: Configuration = standard();

/// Listens for beats.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Rc::new)
}

/// Sends beats to all known hosts until it is dropped.
pub(crate) async fn send(socket: Rc<UdpSocket>, state: Rc<State>) {
    let mut far_at = Instant::now();
    loop {
        let now = Instant::now();
        {
            let far = now >= far_at;
            let beat_state = state.beat_state(now);
            let mut steering = state.steering.borrow_mut();
            let mut beat = steering.next_heartbeat(beat_state, now);
            let own = steering.settings().own_host.locality;
            let receivers = steering.members.begin_heartbeat(beat.sequence, own, far, now);
            if far {
                far_at = now
                    + BEAT_EVERY.max(BEAT_EVERY_PER_HOST * steering.members.known_count() as u32);
            }
            drop(steering);
            for (address, echo) in receivers {
                beat.ack = echo;
                send_one(&socket, &state, &beat, address);
            }
        }
        sleep(BEAT_EVERY).await;
    }
}

/// Receives beats until it is dropped.
pub(crate) async fn receive(socket: Rc<UdpSocket>, state: Rc<State>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(it) => it,
            Err(error) => {
                // Reports of closed ports at peers arrive here too.
                log::debug!("no beat could be received: {error}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let labels = TrafficLabels { direction: "in".to_owned() };
        state.metrics.control_bytes.get_or_create(&labels).inc_by(length as u64);
        let beat = match bincode::decode_from_slice::<Heartbeat, _>(&buffer[..length], CODEC) {
            Ok((it, _)) => it,
            Err(error) => {
                Event::PeerFrameInvalid.log(format_args!("peer={from} error=\"{error}\""));
                continue;
            }
        };
        let now = Instant::now();
        state.peer_manifest(beat.manifest_version, now);
        state.steering.borrow_mut().receive_heartbeat(beat, from, now);
    }
}

/// Sends one beat; a lost one is replaced by the next.
fn send_one(socket: &UdpSocket, state: &State, beat: &Heartbeat, address: SocketAddr) {
    let bytes = match bincode::encode_to_vec(beat, CODEC) {
        Ok(it) if it.len() <= MAX_BYTES => it,
        Ok(it) => {
            log::warn!("beat of {} bytes is too long", it.len());
            return;
        }
        Err(error) => {
            log::warn!("beat cannot be encoded: {error}");
            return;
        }
    };
    match socket.try_send_to(&bytes, address) {
        Ok(sent) => {
            let labels = TrafficLabels { direction: "out".to_owned() };
            state.metrics.control_bytes.get_or_create(&labels).inc_by(sent as u64);
        }
        Err(error) => log::debug!("beat to {address} was not sent: {error}"),
    }
}
