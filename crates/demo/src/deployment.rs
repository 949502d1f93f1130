//! Deployment of stand-ins and entry hosts in one process on loopback.

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

/// Number of the next deployment of this process, which distinguishes the folders of deployments.
static NEXT_DEPLOYMENT_NUMBER: AtomicU16 = AtomicU16::new(0);

/// Port that a deployment keeps bound on the first address of its loopback network, so that no
/// other deployment uses the network.
const RESERVATION_PORT: u16 = 7399;

/// Name and location of an entry host to start.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Unique name of the host, which is also the name in its certificate.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
}

/// Location and properties of an upstream instance to start.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Unique name of the instance.
    pub name: String,
    /// Name of the service that the instance belongs to.
    pub service: String,
    /// Version of the service that the instance runs.
    pub version: String,
    /// Name of the site where the instance is declared.
    pub site: String,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Mean service time without faults.
    pub service_time_ms: f64,
}

/// Hosts and upstreams of a [`Deployment`] and the settings that they share.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Entry hosts; positions in this list identify hosts in the methods of [`Deployment`].
    pub hosts: Vec<HostSpec>,
    /// Upstream instances of all services and versions.
    pub upstreams: Vec<UpstreamSpec>,
    /// Time from the start of a graceful shutdown until the host closes its listener for callers.
    pub drain_notice_ms: u64,
    /// Maximum time of a graceful shutdown, after which the host cuts its remaining requests.
    pub shutdown_deadline_ms: u64,
    /// Settings of all upstreams; name, version, slots and service time are taken from the
    /// [`UpstreamSpec`] instead.
    pub upstream: UpstreamSettings,
}

impl Default for DeploymentSettings {
    /// Returns four hosts in three regions, and one instance of each of two versions of each
    /// service at the site of each host.
    fn default() -> Self {
        let zones = ["fukuoka-a", "fukuoka-b", "kumamoto-a", "kagoshima-a"];
        let hosts = zones.iter().enumerate().map(|(index, zone)| HostSpec {
            name: format!("entry-{}", index + 1),
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

/// Running deployment. Dropping it aborts the hosts, stops the stand-ins and removes the
/// temporary folder.
pub struct Deployment {
    settings: DeploymentSettings,
    /// Stand-in of the platform.
    pub platform: PlatformStandin,
    /// Stand-ins of the upstreams in the order of [`DeploymentSettings::upstreams`].
    pub upstreams: Vec<UpstreamStandin>,
    /// Entry hosts in the order of [`DeploymentSettings::hosts`]; `None` while a host is stopped.
    pub hosts: Vec<Option<EntryHost>>,
    certificate_authority: CertificateAuthority,
    folder: PathBuf,
    /// Client with which operators change the configuration in the platform stand-in.
    pub config: ConfigStore<HttpObjectStore>,
    /// Client of the objects in the platform stand-in.
    pub store: Arc<HttpObjectStore>,
    network: LoopbackNetwork,
}

impl Deployment {
    /// Starts the stand-ins, applies [`Self::declarations`], starts the hosts and waits until they
    /// have settled.
    pub async fn start(settings: DeploymentSettings) -> anyhow::Result<Self> {
        let mut res = Self::start_standins(settings).await?;
        let declarations = res.declarations();
        res.apply(&declarations, "demo").await?;
        for host_index in 0..res.hosts.len() {
            res.start_host(host_index).await?;
        }
        res.wait_until_settled(1).await?;
        Ok(res)
    }

    /// Starts the stand-ins without applying declarations or starting hosts.
    pub async fn start_standins(settings: DeploymentSettings) -> anyhow::Result<Self> {
        let number = NEXT_DEPLOYMENT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("kingcupford-{}-{number}", std::process::id()));
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformStandin::bind(any_port, PlatformSettings::default()).await?;
        let mut upstreams = Vec::new();
        for spec in &settings.upstreams {
            let upstream = UpstreamSettings {
                name: spec.name.clone(),
                version: spec.version.clone(),
                slots: spec.slots as usize,
                service_time_ms: spec.service_time_ms,
                ..settings.upstream.clone()
            };
            upstreams.push(UpstreamStandin::bind(any_port, upstream).await?);
        }
        let store_settings = HttpStoreSettings::new(&format!("http://{}", platform.address()));
        let store = Arc::new(HttpObjectStore::new(store_settings)?);
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
            network: LoopbackNetwork::reserve()?,
        })
    }

    /// Returns the declarations of the demonstration with the upstreams of this deployment.
    pub fn declarations(&self) -> Declarations {
        let specs = self.settings.upstreams.iter().cloned();
        let addresses = self.upstreams.iter().map(UpstreamStandin::address);
        demo_declarations(&specs.zip(addresses).collect::<Vec<_>>())
    }

    /// Applies declarations as an operator would and returns the new configuration version.
    pub async fn apply(&self, declarations: &Declarations, revision: &str) -> anyhow::Result<u64> {
        let change = ChangeRequest {
            id: format!("{revision}-{:x}", random_u64()),
            source_revision: revision.to_owned(),
            expected_version: None,
        };
        applied_version(self.config.apply(declarations, &change).await)
    }

    /// Issues a key with the given id to a team and returns it with the new configuration
    /// version.
    pub async fn issue_key(&self, id: &str, team: &str) -> anyhow::Result<(CallerKey, u64)> {
        let mut secret = [0; 24];
        for (index, byte) in secret.iter_mut().enumerate() {
            *byte = random_u64().to_le_bytes()[index % 8];
        }
        let key = CallerKey::new(id, secret);
        let stored = KeyDecl { id: id.to_owned(), team: team.to_owned(), sha256: key.hash() };
        let version =
            applied_version(self.config.issue_key(&stored, &format!("issue-{id}")).await)?;
        Ok((key, version))
    }

    /// Starts a stopped host with the settings of [`Self::host_settings`].
    pub async fn start_host(&mut self, host_index: usize) -> anyhow::Result<()> {
        let settings = self.host_settings(host_index)?;
        self.hosts[host_index] = Some(EntryHost::start(settings).await?);
        Ok(())
    }

    /// Shuts a host down gracefully. Returns `None` if the host is stopped.
    pub async fn stop_host(&mut self, host_index: usize) -> Option<ShutdownReport> {
        let host = self.hosts[host_index].take()?;
        Some(host.shutdown(std::future::pending()).await)
    }

    /// Aborts a host without a graceful shutdown, as a crash would. Does nothing if the host is
    /// stopped.
    pub fn crash_host(&mut self, host_index: usize) {
        if let Some(host) = self.hosts[host_index].take() {
            host.abort();
        }
    }

    /// Returns the settings of a host with a newly issued certificate for its peers.
    pub fn host_settings(&self, host_index: usize) -> anyhow::Result<Settings> {
        let spec = &self.settings.hosts[host_index];
        let address = |port: u16| SocketAddr::from((self.host_ip(host_index), port));
        let seeds = self.settings.hosts.iter().enumerate().map(|(seed_index, it)| Seed {
            name: it.name.clone(),
            zone: it.zone.clone(),
            peer_address: SocketAddr::from((self.host_ip(seed_index), 7400)),
        });
        Ok(Settings {
            name: spec.name.clone(),
            zone: spec.zone.clone(),
            listen: address(8400),
            public_addresses: vec![address(8400).to_string()],
            admin_listen: address(9400),
            peer_listen: address(7400),
            peer_address: address(7400),
            platform_url: format!("http://{}", self.platform.address()),
            seeds: seeds.filter(|it| it.name != spec.name).collect(),
            tls: None,
            peer_tls: self.certificate_authority.issue(&spec.name)?,
            limits: Limits::default(),
            drain_notice_ms: self.settings.drain_notice_ms,
            shutdown_deadline_ms: self.settings.shutdown_deadline_ms,
            log_level: "info".to_owned(),
        })
    }

    /// Waits until every running host has activated at least the given configuration version,
    /// counts all running hosts as live, has a valid main lease and holds at least half of an equal
    /// share. Returns the elapsed time, or an error after 30 s.
    pub async fn wait_until_settled(&self, version: u64) -> anyhow::Result<Duration> {
        let started = Instant::now();
        let running_hosts = self.hosts.iter().flatten().count();
        loop {
            let are_settled = self.hosts.iter().flatten().all(|it| {
                let status = it.status();
                let live_hosts = status.members.iter().filter(|it| it.2 == "live").count();
                // A host that has just joined holds no units until other hosts transfer some to it;
                // half of an equal share is enough.
                let has_share =
                    status.share_units as usize * running_hosts * 2 >= UNITS_PER_CAP as usize;
                let can_use_share = status.main_share && has_share;
                status.config_version >= version && live_hosts >= running_hosts && can_use_share
            });
            if are_settled {
                // Token buckets start empty and need time to fill.
                sleep(Duration::from_millis(200)).await;
                return Ok(started.elapsed());
            }
            if started.elapsed() > Duration::from_secs(30) {
                let statuses: Vec<_> = self.hosts.iter().flatten().map(EntryHost::status).collect();
                bail!("hosts did not settle on version {version} within 30 s: {statuses:#?}");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every running host has activated at least the given configuration version.
    /// Returns the elapsed time, or an error after 30 s.
    pub async fn wait_until_active(&self, version: u64) -> anyhow::Result<Duration> {
        let started = Instant::now();
        while self.hosts.iter().flatten().any(|it| it.status().config_version < version) {
            ensure!(
                started.elapsed() < Duration::from_secs(30),
                "version {version} is not active on all hosts after 30 s",
            );
            sleep(Duration::from_millis(5)).await;
        }
        Ok(started.elapsed())
    }

    /// Returns the base URL of a host for callers, or an error if the host is stopped.
    pub fn url(&self, host_index: usize) -> anyhow::Result<String> {
        let host = self.hosts[host_index]
            .as_ref()
            .with_context(|| format!("host {} is stopped", self.settings.hosts[host_index].name))?;
        Ok(format!("http://{}", host.caller_address()))
    }

    /// Returns the temporary folder of the certificates, which is removed with all files in it when
    /// the deployment is dropped.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the loopback address of a host. Hosts have different addresses, so that their ports
    /// cannot collide.
    fn host_ip(&self, host_index: usize) -> Ipv4Addr {
        self.network.address(host_index)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in self.hosts.iter_mut().filter_map(Option::take) {
            host.abort();
        }
        // A failed removal only leaves temporary files of this deployment behind.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Loopback network `127.x.y.0/24` that no other deployment on this machine uses.
struct LoopbackNetwork {
    /// Second and third byte of the addresses.
    middle_bytes: [u8; 2],
    /// Listener on [`RESERVATION_PORT`].
    _reservation: TcpListener,
}

impl LoopbackNetwork {
    /// Reserves a random network that is not in use, or returns an error after 100 attempts.
    fn reserve() -> anyhow::Result<Self> {
        for _ in 0..100 {
            let [second, third, ..] = random_u64().to_le_bytes();
            let middle_bytes = [second.max(16), third];
            let address = Ipv4Addr::new(127, middle_bytes[0], middle_bytes[1], 1);
            if let Ok(reservation) = TcpListener::bind((address, RESERVATION_PORT)) {
                return Ok(Self { middle_bytes, _reservation: reservation });
            }
        }
        bail!("no loopback network with a free port {RESERVATION_PORT} found in 100 attempts")
    }

    fn address(&self, host_index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.middle_bytes[0], self.middle_bytes[1], (host_index % 250 + 2) as u8)
    }
}

/// Returns the configuration version of an applied change, or an error for any other outcome.
fn applied_version(outcome: ChangeOutcome) -> anyhow::Result<u64> {
    match outcome {
        ChangeOutcome::Applied { version } => Ok(version),
        other => bail!("configuration change was not applied: {other:?}"),
    }
}

fn random_u64() -> u64 {
    use rand::Rng as _;
    rand::rng().random()
}
