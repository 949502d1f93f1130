//! A host of the system, which runs as a separate process.

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

const CALLER_PORT: u16 = 8000;

const READINESS_PORT: u16 = 8001;

const LOOKUP_PORT: u16 = 8002;

/// A host with its settings file, its proxy to the store and its process.
pub(crate) struct Host {
    pub(crate) ip: Ipv4Addr,
    /// Proxy through which the host connects to the store.
    pub(crate) store_proxy: Proxy,
    settings_path: PathBuf,
    log_path: PathBuf,
    node_program: PathBuf,
    /// The last process that was started, which may have exited.
    process: Option<Child>,
    /// Whether the process was told to stop.
    is_stopping: bool,
}

/// Zones, each with its region.
pub(crate) const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];

impl Host {
    /// Writes the settings file of a host; the process isn't started yet.
    pub(crate) fn new(
        index: usize,
        ip: Ipv4Addr,
        store_proxy: Proxy,
        run_dir: &Path,
        node_program: &Path,
    ) -> anyhow::Result<Self> {
        let name = format!("host-{index}");
        let regions_by_zone: serde_json::Map<_, _> =
            ZONES.iter().map(|it| (it.0.to_owned(), json!(it.1))).collect();
        let listen_address = |port| SocketAddr::from((ip, port)).to_string();
        let settings = json!({
            "host_name": name,
            "ip": ip.to_string(),
            "zone": ZONES[index % ZONES.len()].0,
            "zones": regions_by_zone,
            "listen": {
                "callers": listen_address(CALLER_PORT),
                "readiness": listen_address(READINESS_PORT),
                "lookup": listen_address(LOOKUP_PORT),
            },
            "peer_ports": [7460, 7475],
            "metrics_port": 9464,
            "platform": { "address": store_proxy.address.to_string() },
            "limits": { "max_fds": 1024, "link_mbps": 1000.0 },
            "bounds": {
                "grace_s": 6.0,
                "strict_revocation": true,
                "revocation_ms": crate::history::MAX_REVOCATION_DELAY.as_millis() as u64,
                "retry_ratio": 0.2,
                "retry_slack": 56.0,
                "quota_window_s": 5.0,
                "quota_overage": 0.1,
                "quota_slack": 20.0,
                "exposure_share": 0.1,
                "max_ttl_s": 5.0,
            },
        });
        let settings_path = run_dir.join(format!("{name}.yaml"));
        // The node reads YAML, of which JSON is a subset.
        std::fs::write(&settings_path, settings.to_string())
            .with_context(|| format!("cannot write settings file {}", settings_path.display()))?;
        let log_path = run_dir.join(format!("{name}.log"));
        let node_program = node_program.to_owned();
        Ok(Self {
            ip,
            store_proxy,
            settings_path,
            log_path,
            node_program,
            process: None,
            is_stopping: false,
        })
    }

    /// Address at which the host accepts requests of callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        (self.ip, CALLER_PORT).into()
    }

    /// Address of the host's lookup endpoint.
    pub(crate) fn lookup_address(&self) -> SocketAddr {
        (self.ip, LOOKUP_PORT).into()
    }

    /// Starts the process unless it is running; output is appended to the host's log file.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log_file = File::options().create(true).append(true).open(&self.log_path)?;
        let process = Command::new(&self.node_program)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log_file.try_clone()?)
            .stderr(log_file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", self.node_program.display()))?;
        self.process = Some(process);
        self.is_stopping = false;
        Ok(())
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Tells the process to stop with SIGTERM; returns whether it was running and told for the first
    /// time.
    pub(crate) fn stop(&mut self) -> bool {
        let is_first = self.is_running() && !self.is_stopping;
        self.is_stopping = true;
        self.signal(Signal::SIGTERM);
        is_first
    }

    /// Sends a signal to the process if it is running. The check comes first because the id of an
    /// exited process may already belong to another one.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Some(id) = self.process.as_ref().and_then(Child::id) else { return };
        if let Err(error) = kill(Pid::from_raw(id as i32), signal) {
            log::warn!("cannot send {signal} to process {id}: {error}");
        }
    }
}
