//! A whole deployment in one process: stand-ins and entry hosts on loopback.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use anyhow::{Context as _, bail, ensure};
use kingcupford_config::{CallerKey, Declarations, KeyDecl};
use kingcupford_entry::{EntryHost, Limits, Seed, Settings, ShutdownReport};
use kingcupford_platform::{
    ChangeOutcome, ChangeRequest, ConfigStore, ConfigStoreSettings, HttpObjectStore,
    HttpStoreSettings,
};
use kingcupford_quota::UNITS_PER_CAP;
use kingcupford_standin::{PlatformSettings, PlatformStandin, UpstreamSettings, UpstreamStandin};
use tokio::time::{Instant, sleep};

use crate::{certificate_authority::CertificateAuthority, declarations::demo_declarations};

/// Numbers the deployments of this process, so that their folders differ.
static NEXT: AtomicU16 = AtomicU16::new(0);

/// Port that is bound on the first address of a loopback network while a deployment uses it.
const CLAIM_PORT: u16 = 7399;

/// Where an entry host stands.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

/// Where an upstream instance stands.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Name of the instance.
    pub name: String,
    /// Its service.
    pub service: String,
    /// The version that it runs.
    pub version: String,
    /// Its site.
    pub site: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Mean service time.
    pub service_time_ms: f64,
}

/// What a deployment consists of.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Entry hosts.
    pub hosts: Vec<HostSpec>,
    /// Upstream instances.
    pub upstreams: Vec<UpstreamSpec>,
    /// Time before a host that shuts down closes its listener.
    pub drain_notice_ms: u64,
    /// Longest time for a graceful shutdown of a host.
    pub shutdown_deadline_ms: u64,
    /// Settings of every upstream; those of its slot take precedence.
    pub upstream: UpstreamSettings,
}

impl Default for DeploymentSettings {
    /// Four hosts in three regions and two instances of each service and version in each.
    fn default() -> Self {
        let zones = ["fukuoka-a", "fukuoka-b", "kumamoto-a", "kagoshima-a"];
        let hosts = zones.iter().enumerate().map(|(at, zone)| HostSpec {
            name: format!("entry-{}", at + 1),
            zone: (*zone).to_owned(),
        });
        let mut upstreams = Vec::new();
        for (service, slots) in [("ledger-view", 9), ("deposit-desk", 5), ("photo-drop", 3)] {
            for version in ["v1", "v2"] {
                for site in ["fukuoka-a", "fukuoka-b", "kumamoto-a", "kagoshima-a"] {
                    upstreams.push(UpstreamSpec {
                        name: format!("{service}-{version}-{site}"),
                        service: service.to_owned(),
                        version: version.to_owned(),
                        site: site.to_owned(),
                        slots,
                        service_time_ms: 4.0,
                    });
                }
            }
        }
        Self {
            hosts: hosts.collect(),
            upstreams,
            drain_notice_ms: 500,
            shutdown_deadline_ms: 30_000,
            upstream: UpstreamSettings::default(),
        }
    }
}

/// A running deployment; dropping it ends everything.
pub struct Deployment {
    /// What it consists of.
    settings: DeploymentSettings,
    /// The stand-in of the platform.
    pub platform: PlatformStandin,
    /// The stand-ins of upstreams, in the order of the settings.
    pub upstreams: Vec<UpstreamStandin>,
    /// Entry hosts, `None` while one is stopped.
    pub hosts: Vec<Option<EntryHost>>,
    /// Issuer of the certificates of the hosts.
    certificate_authority: CertificateAuthority,
    /// Folder of the certificates.
    folder: PathBuf,
    /// The operators' access to the configuration.
    pub config: ConfigStore<HttpObjectStore>,
    /// The platform as operators reach it.
    pub store: Arc<HttpObjectStore>,
    /// Loopback network of the hosts.
    network: Network,
}

impl Deployment {
    /// Starts the stand-ins, applies the demonstration's declarations and starts the hosts.
    pub async fn start(settings: DeploymentSettings) -> anyhow::Result<Self> {
        let mut res = Self::start_standins(settings).await?;
        let declarations = res.declarations();
        res.apply(&declarations, "demo").await?;
        for at in 0..res.hosts.len() {
            res.start_host(at).await?;
        }
        res.wait_until_settled(1).await?;
        Ok(res)
    }

    /// Starts the stand-ins only.
    pub async fn start_standins(settings: DeploymentSettings) -> anyhow::Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("kingcupford-{}-{number}", std::process::id()));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformStandin::bind(any, PlatformSettings::default()).await?;
        let mut upstreams = Vec::new();
        for slot in &settings.upstreams {
            let upstream = UpstreamSettings {
                name: slot.name.clone(),
                version: slot.version.clone(),
                slots: slot.slots as usize,
                service_time_ms: slot.service_time_ms,
                ..settings.upstream.clone()
            };
            upstreams.push(UpstreamStandin::bind(any, upstream).await?);
        }
        let base = HttpStoreSettings::new(&format!("http://{}", platform.address()));
        let store = Arc::new(HttpObjectStore::new(base)?);
        let config = ConfigStore::new(Arc::clone(&store), ConfigStoreSettings::default(), 1);
        Ok(Self {
            hosts: settings.hosts.iter().map(|_| None).collect(),
            certificate_authority: CertificateAuthority::new(&folder)?,
            settings,
            platform,
            upstreams,
            folder,
            config,
            store,
            network: Network::claim()?,
        })
    }

    /// The declarations of the demonstration over this deployment's upstreams.
    pub fn declarations(&self) -> Declarations {
        let slots = self.settings.upstreams.iter().cloned();
        let addresses = self.upstreams.iter().map(UpstreamStandin::address);
        demo_declarations(&slots.zip(addresses).collect::<Vec<_>>())
    }

    /// Applies declarations as an operator would and answers the new version.
    pub async fn apply(&self, declarations: &Declarations, revision: &str) -> anyhow::Result<u64> {
        let change = ChangeRequest {
            id: format!("{revision}-{:x}", rand_id()),
            source_revision: revision.to_owned(),
            expected_version: None,
        };
        applied(self.config.apply(declarations, &change).await)
    }

    /// Issues a key to a tenant and answers it with the new configuration version.
    pub async fn issue_key(&self, id: &str, tenant: &str) -> anyhow::Result<(CallerKey, u64)> {
        let mut secret = [0; 24];
        for (at, byte) in secret.iter_mut().enumerate() {
            *byte = rand_id().to_le_bytes()[at % 8];
        }
        let key = CallerKey::new(id, secret);
        let stored = KeyDecl { id: id.to_owned(), tenant: tenant.to_owned(), sha256: key.hash() };
        let version = applied(self.config.issue_key(&stored, &format!("issue-{id}")).await)?;
        Ok((key, version))
    }

    /// Starts a host that is stopped, with the settings of its slot.
    pub async fn start_host(&mut self, at: usize) -> anyhow::Result<()> {
        let settings = self.host_settings(at)?;
        self.hosts[at] = Some(EntryHost::start(settings).await?);
        Ok(())
    }

    /// Shuts a host down gracefully.
    pub async fn stop_host(&mut self, at: usize) -> Option<ShutdownReport> {
        let host = self.hosts[at].take()?;
        Some(host.shutdown(std::future::pending()).await)
    }

    /// Ends a host as a crash would.
    pub fn crash_host(&mut self, at: usize) {
        if let Some(host) = self.hosts[at].take() {
            host.abort();
        }
    }

    /// The settings of a host.
    pub fn host_settings(&self, at: usize) -> anyhow::Result<Settings> {
        let slot = &self.settings.hosts[at];
        let address = |port: u16| SocketAddr::from((self.host_ip(at), port));
        let seeds = self.settings.hosts.iter().enumerate().map(|(at, it)| Seed {
            name: it.name.clone(),
            zone: it.zone.clone(),
            peer_address: SocketAddr::from((self.host_ip(at), 7400)),
        });
        Ok(Settings {
            name: slot.name.clone(),
            zone: slot.zone.clone(),
            listen: address(8400),
            public_addresses: vec![address(8400).to_string()],
            admin_listen: address(9400),
            peer_listen: address(7400),
            peer_address: address(7400),
            platform_url: format!("http://{}", self.platform.address()),
            seeds: seeds.filter(|it| it.name != slot.name).collect(),
            tls: None,
            peer_tls: self.certificate_authority.issue(&slot.name)?,
            limits: Limits::default(),
            drain_notice_ms: self.settings.drain_notice_ms,
            shutdown_deadline_ms: self.settings.shutdown_deadline_ms,
            log_level: "info".to_owned(),
        })
    }

    /// Waits until every running host uses at least a version and sees every other one.
    pub async fn wait_until_settled(&self, version: u64) -> anyhow::Result<Duration> {
        let started = Instant::now();
        let running = self.hosts.iter().flatten().count();
        loop {
            let settled = self.hosts.iter().flatten().all(|it| {
                let status = it.status();
                let live = status.members.iter().filter(|it| it.2 == "live").count();
                // A host that has just joined holds nothing until the others have given it a part.
                let has_share = status.share_units as usize * running * 2 >= UNITS_PER_CAP as usize;
                let is_ready = status.main_share && has_share;
                status.config_version >= version && live >= running && is_ready
            });
            if settled {
                // Buckets start empty.
                sleep(Duration::from_millis(200)).await;
                return Ok(started.elapsed());
            }
            if started.elapsed() > Duration::from_secs(30) {
                let status: Vec<_> = self.hosts.iter().flatten().map(EntryHost::status).collect();
                bail!("hosts have not settled on version {version}: {status:#?}");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every running host uses at least a version.
    pub async fn wait_until_active(&self, version: u64) -> anyhow::Result<Duration> {
        let started = Instant::now();
        while self.hosts.iter().flatten().any(|it| it.status().config_version < version) {
            ensure!(
                started.elapsed() < Duration::from_secs(30),
                "version {version} is not active everywhere",
            );
            sleep(Duration::from_millis(5)).await;
        }
        Ok(started.elapsed())
    }

    /// Base URL of a running host for callers.
    pub fn url(&self, at: usize) -> anyhow::Result<String> {
        let host = self.hosts[at].as_ref().context("the host is stopped")?;
        Ok(format!("http://{}", host.caller_address()))
    }

    /// Folder of the certificates, removed with the deployment.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A loopback address of its own for each host, so that ports cannot collide.
    fn host_ip(&self, at: usize) -> Ipv4Addr {
        self.network.address(at)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in self.hosts.iter_mut().filter_map(Option::take) {
            host.abort();
        }
        // The folder holds only this deployment's certificates.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A loopback network that no other deployment on this machine uses.
struct Network {
    /// Second and third byte of its addresses.
    bytes: [u8; 2],
    /// Keeps other deployments away from it.
    _claim: TcpListener,
}

impl Network {
    /// Takes a free network.
    fn claim() -> anyhow::Result<Self> {
        for _ in 0..100 {
            let [second, third, ..] = rand_id().to_le_bytes();
            let bytes = [second.max(16), third];
            let address = Ipv4Addr::new(127, bytes[0], bytes[1], 1);
            if let Ok(claim) = TcpListener::bind((address, CLAIM_PORT)) {
                return Ok(Self { bytes, _claim: claim });
            }
        }
        bail!("no loopback network is free at port {CLAIM_PORT}")
    }

    /// Address of a host.
    fn address(&self, at: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.bytes[0], self.bytes[1], (at % 250 + 2) as u8)
    }
}

/// The version of an applied change.
fn applied(outcome: ChangeOutcome) -> anyhow::Result<u64> {
    match outcome {
        ChangeOutcome::Applied { version } => Ok(version),
        other => bail!("change was not applied: {other:?}"),
    }
}

/// A random number for identifiers.
fn rand_id() -> u64 {
    use rand::Rng as _;
    rand::rng().random()
}
