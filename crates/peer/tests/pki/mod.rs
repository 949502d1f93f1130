//! Test certificates and transports. Each certificate authority writes to a temporary folder of its
//! own, which is removed at the end.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kingcupford_peer::{Frame, PeerEvent, Transport, TransportSettings};
use parking_lot::Mutex;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tokio::time::{Instant, sleep};

/// Number of folders created, for unique names within the test process.
static FOLDER_COUNT: AtomicU64 = AtomicU64::new(0);

/// Certificate authority and the folder with the certificates that it issues.
pub(crate) struct Pki {
    pub(crate) folder: PathBuf,
    pub(crate) issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Pki {
    pub(crate) fn new() -> Self {
        let number = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("kingcupford-peer-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("temporary folder");
        let res = Self { folder, issuer: new_issuer() };
        fs::write(res.folder.join("ca.pem"), res.issuer.pem()).expect("write CA");
        res
    }

    /// Writes a certificate for `host` and its key to `file.pem` and `file.key`.
    pub(crate) fn issue(&self, host: &str, file: &str) {
        write_certificate(&self.issuer, host, &self.folder, file);
    }

    /// Issues a certificate for `host` and returns settings with it and with short timeouts.
    pub(crate) fn settings(&self, host: &str) -> TransportSettings {
        self.issue(host, host);
        let path = |file: String| self.folder.join(file);
        let mut res = TransportSettings::new(
            host,
            ([127, 0, 0, 1], 0).into(),
            path("ca.pem".into()),
            path(format!("{host}.pem")),
            path(format!("{host}.key")),
        );
        res.handshake_timeout_ms = 1_000;
        res.stall_timeout_ms = 1_000;
        res.ping_interval_ms = 200;
        res.certificate_reload_interval_ms = 100;
        res.reconnect_backoff_min_ms = 20;
        res.reconnect_backoff_max_ms = 100;
        res
    }
}

impl Drop for Pki {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Creates a certificate authority.
pub(crate) fn new_issuer() -> CertifiedIssuer<'static, KeyPair> {
    let mut params = CertificateParams::new(Vec::new()).expect("no names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().expect("key")).expect("CA")
}

/// Writes a certificate for `host`, signed by `issuer`, and its key to `file.pem` and `file.key`.
pub(crate) fn write_certificate(
    issuer: &CertifiedIssuer<'static, KeyPair>,
    host: &str,
    folder: &std::path::Path,
    file: &str,
) {
    let key = KeyPair::generate().expect("key");
    let params = CertificateParams::new(vec![host.to_owned()]).expect("host name");
    let certificate = params.signed_by(&key, issuer).expect("sign");
    fs::write(folder.join(format!("{file}.pem")), certificate.pem()).expect("write certificate");
    fs::write(folder.join(format!("{file}.key")), key.serialize_pem()).expect("write key");
}

/// Transport with the events that it has reported.
pub(crate) struct Host {
    pub(crate) transport: Transport,
    pub(crate) events: Arc<Mutex<Vec<PeerEvent>>>,
}

impl Host {
    pub(crate) async fn start(settings: TransportSettings) -> Self {
        let events = Arc::new(Mutex::new(Vec::new()));
        let sink = Arc::clone(&events);
        let transport = Transport::bind(settings, move |it| sink.lock().push(it)).await;
        Self { transport: transport.expect("bind"), events }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.transport.local_address()
    }

    /// Payloads of the frames received from one sender.
    pub(crate) fn received(&self, from: &str) -> Vec<Vec<u8>> {
        let events = self.events.lock();
        let frames = events.iter().filter_map(|it| match it {
            PeerEvent::FrameReceived { from: sender, frame } if sender == from => {
                Some(&frame.payload)
            }
            _ => None,
        });
        frames.cloned().collect()
    }

    pub(crate) fn count(&self, matches: impl Fn(&PeerEvent) -> bool) -> usize {
        self.events.lock().iter().filter(|it| matches(it)).count()
    }

    /// Waits until `count` frames were received from a sender.
    pub(crate) async fn wait_frames(&self, from: &str, count: usize) {
        wait(&format!("{count} frames from {from}"), || self.received(from).len() >= count).await;
    }
}

/// Returns a frame of a kind that is not latest-only.
pub(crate) fn frame(payload: &[u8]) -> Frame {
    Frame::new(5, payload.to_vec())
}

/// Waits until `condition` holds, for at most ten seconds.
pub(crate) async fn wait(description: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "timed out waiting for {description}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}
