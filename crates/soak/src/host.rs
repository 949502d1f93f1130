//! One process of the system.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
};

use anyhow::Context as _;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::json;
use tokio::process::{Child, Command};

use crate::proxy::Proxy;

/// Port for callers.
const CALLER_PORT: u16 = 8000;

/// Port for readiness.
const READY_PORT: u16 = 8001;

/// Port for lookups.
const LOOKUP_PORT: u16 = 8002;

/// A host of the system: its settings, its link to the store, and its process.
pub(crate) struct Host {
    /// Its address.
    pub(crate) ip: Ipv4Addr,
    /// Its link to the store.
    pub(crate) store_link: Proxy,
    /// Its settings file.
    settings: PathBuf,
    /// Where its output goes.
    log: PathBuf,
    /// The program.
    program: PathBuf,
    /// The process, if it runs.
    child: Option<Child>,
}

/// A zone with its region.
pub(crate) const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];

impl Host {
    /// A host that is not started yet.
    pub(crate) fn new(
        at: usize,
        ip: Ipv4Addr,
        store_link: Proxy,
        folder: &Path,
        program: &Path,
    ) -> anyhow::Result<Self> {
        let name = format!("host-{at}");
        let zones: serde_json::Map<_, _> =
            ZONES.iter().map(|it| (it.0.to_owned(), json!(it.1))).collect();
        let listen = |port| SocketAddr::from((ip, port)).to_string();
        let settings = json!({
            "host_name": name,
            "ip": ip.to_string(),
            "zone": ZONES[at % ZONES.len()].0,
            "zones": zones,
            "listen": {
                "callers": listen(CALLER_PORT),
                "readiness": listen(READY_PORT),
                "lookup": listen(LOOKUP_PORT),
            },
            "peer_ports": [7460, 7475],
            "metrics_port": 9464,
            "platform": { "address": store_link.address.to_string() },
            "limits": { "max_fds": 1024, "link_mbps": 1000.0 },
            "bounds": {
                "grace_s": 6.0,
                "strict_revocation": true,
                "revocation_ms": crate::ledger::REVOCATION.as_millis() as u64,
                "retry_ratio": 0.2,
                "retry_slack": 56.0,
                "quota_window_s": 5.0,
                "quota_overage": 0.1,
                "quota_slack": 20.0,
                "exposure_share": 0.1,
                "max_ttl_s": 5.0,
            },
        });
        let path = folder.join(format!("{name}.yaml"));
        // JSON is YAML too.
        std::fs::write(&path, settings.to_string())
            .with_context(|| format!("settings {} cannot be written", path.display()))?;
        let log = folder.join(format!("{name}.log"));
        let program = program.to_owned();
        Ok(Self { ip, store_link, settings: path, log, program, child: None })
    }

    /// Where callers connect.
    pub(crate) fn callers(&self) -> SocketAddr {
        (self.ip, CALLER_PORT).into()
    }

    /// Where lookups are answered.
    pub(crate) fn lookups(&self) -> SocketAddr {
        (self.ip, LOOKUP_PORT).into()
    }

    /// Starts the process unless it runs.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} cannot be started", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, and to no other.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Some(id) = self.child.as_ref().and_then(Child::id) else { return };
        if let Err(error) = kill(Pid::from_raw(id as i32), signal) {
            log::warn!("process {id} did not get {signal}: {error}");
        }
    }
}
