//! The run of one seed: starts a deployment and its callers, applies the scheduled faults, and
//! checks the guarantees.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use anyhow::{Context as _, ensure};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    caller::{Caller, HostEndpoints},
    fault::{Fault, ScheduledFault, schedule},
    history::{History, STABILIZATION_TIME, STOP_GRACE, Violation},
    host::Host,
    instance::{Instance, InstanceFault, Pace},
    manifest::{REVOCABLE_KEYS, manifest, registration},
    proxy::{LinkFault, Proxy},
    store::{Store, StoreFault},
};

/// Time within which all hosts must be ready after the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time from the end of the fault phase until the effects of all faults are over: the grace period
/// of a shutdown, a restart, and the time in which the deployment must recover.
const SETTLE_TIME: Duration = Duration::from_secs(14);

/// Length of the last phase of a run, in which recovery is checked.
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(4);

/// Time from the end of a host's process until its restart.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Time for which a draining instance still serves requests.
const INSTANCE_DRAIN_TIME: Duration = Duration::from_millis(3500);

/// Time from the end of an instance until another one gets its address.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(2200);

/// Parameters of the run of one seed.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// Seed of the random faults and of the callers' random requests.
    pub seed: u64,
    /// Length of the phase in which faults start.
    pub fault_phase: Duration,
    /// Number of hosts, at most 89.
    pub hosts: usize,
    /// Number of instances, at most 89.
    pub instances: usize,
    /// Number of callers that send requests concurrently.
    pub callers: usize,
    /// Whether only planned operations are scheduled.
    pub planned_only: bool,
    /// Path of the node program, which each host runs.
    pub node_program: PathBuf,
    /// Directory for the settings and log files of the hosts; created if missing.
    pub run_dir: PathBuf,
    /// First three bytes of all IP addresses of the deployment, in the loopback network.
    pub network_prefix: [u8; 3],
}

/// Result of the run of one seed.
#[derive(Debug)]
pub struct RunReport {
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<Violation>,
    /// The schedule of the run, sorted by time.
    pub faults: Vec<ScheduledFault>,
    /// Number of requests, in total and by outcome, as one line.
    pub summary: String,
}

/// A running deployment: hosts, instances and the store.
struct Deployment {
    store: Arc<Store>,
    history: Arc<History>,
    hosts: Vec<Mutex<Host>>,
    instances: Vec<Mutex<InstanceSite>>,
    /// Version of the current manifest and number of revoked keys.
    manifest_state: Mutex<(u64, usize)>,
}

/// An address at which instances run one after the other, with the proxy in front of it.
struct InstanceSite {
    /// Id of the current or last instance, under which it is registered in the store.
    instance_id: String,
    pace: Pace,
    /// Service of the current or last instance.
    service: &'static str,
    /// Running instance; `None` until the next instance gets the address.
    instance: Option<Instance>,
    /// Address that instances listen on; hosts connect to the proxy instead.
    address: SocketAddr,
    proxy: Proxy,
    /// Number of instances started so far, which makes instance ids unique.
    started_instances: u32,
}

/// Runs one seed to its end and checks the guarantees. Fails if the deployment can't be started or
/// a task panics.
pub async fn run_seed(config: &RunConfig) -> anyhow::Result<RunReport> {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    let faults =
        schedule(&mut rng, config.fault_phase, config.hosts, config.instances, config.planned_only);
    let pace = if config.planned_only || rng.random() { Pace::Deployment } else { Pace::Brisk };
    let deployment = Arc::new(Deployment::start(config, pace).await?);
    deployment.wait_until_ready().await?;
    let started_at = Instant::now();
    let settled_at = started_at + config.fault_phase + SETTLE_TIME;
    let ends_at = settled_at + RECOVERY_CHECK_TIME;
    let endpoints: Vec<HostEndpoints> = deployment
        .hosts
        .iter()
        .map(|it| it.lock())
        .map(|it| HostEndpoints {
            caller_address: it.caller_address(),
            lookup_address: it.lookup_address(),
        })
        .collect();
    let (endpoints, next_request_number) = (Arc::new(endpoints), Arc::new(AtomicU64::new(0)));
    let mut tasks = JoinSet::new();
    for index in 0..config.callers as u64 {
        let history = Arc::clone(&deployment.history);
        let (endpoints, next_request_number) =
            (Arc::clone(&endpoints), Arc::clone(&next_request_number));
        let seed = config.seed ^ index << 32;
        tasks.spawn(Caller::new(endpoints, history, next_request_number, seed)?.run(ends_at));
    }
    for scheduled in faults.clone() {
        let deployment = Arc::clone(&deployment);
        tasks.spawn(async move {
            sleep_until(started_at + scheduled.starts_after).await;
            if let Err(error) = deployment.apply_fault(scheduled).await {
                log::error!("cannot apply fault {}: {error:#}", scheduled.fault);
            }
        });
    }
    while let Some(it) = tasks.join_next().await {
        it.context("a caller or fault task failed")?;
    }
    let history = &deployment.history;
    let summary = format!("{} requests {:?}", history.request_count(), history.outcome_counts());
    let mut violations = history.violations(settled_at);
    violations.extend(deployment.check_registrations());
    Ok(RunReport { violations, faults, summary })
}

impl Deployment {
    /// Starts the store, then the instances, then the processes of the hosts.
    async fn start(config: &RunConfig, pace: Pace) -> anyhow::Result<Self> {
        let [a, b, c] = config.network_prefix;
        let ip = |last_byte: usize| Ipv4Addr::new(a, b, c, last_byte as u8);
        ensure!(config.hosts < 90 && config.instances < 90, "at most 89 hosts and 89 instances");
        std::fs::create_dir_all(&config.run_dir)
            .with_context(|| format!("cannot create directory {}", config.run_dir.display()))?;
        let store = Arc::new(Store::default());
        let history = Arc::new(History::default());
        let store_address = SocketAddr::from((ip(250), 7000));
        tokio::spawn(Arc::clone(&store).serve(store_address));
        let mut instances = Vec::new();
        for index in 0..config.instances {
            let service = if index % 2 == 0 { "catalogue" } else { "orders" };
            let address = SocketAddr::from((ip(100 + index), 9000));
            let proxy_address = SocketAddr::from((ip(100 + index), 9001));
            let proxy = Proxy::start(proxy_address, address).await?;
            let mut site = InstanceSite {
                pace,
                instance_id: String::new(),
                service,
                instance: None,
                address,
                proxy,
                started_instances: 0,
            };
            site.start_instance(index, service, &store, &history);
            instances.push(Mutex::new(site));
        }
        store.put("config", "main", manifest(1, &REVOCABLE_KEYS));
        tokio::spawn(Arc::clone(&store).write_unrelated_object());
        let mut hosts = Vec::new();
        for index in 0..config.hosts {
            let proxy_address = SocketAddr::from((ip(251), 7100 + index as u16));
            let store_proxy = Proxy::start(proxy_address, store_address).await?;
            let mut host = Host::new(
                index,
                ip(1 + index),
                store_proxy,
                &config.run_dir,
                &config.node_program,
            )?;
            host.start()?;
            hosts.push(Mutex::new(host));
        }
        Ok(Self { store, history, hosts, instances, manifest_state: Mutex::new((1, 0)) })
    }

    /// Waits until every host reports that it is ready, and checks that all are registered.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let client = Client::builder().no_proxy().build()?;
        let wait_until = Instant::now() + STARTUP_TIMEOUT;
        for it in &self.hosts {
            let address = it.lock().lookup_address();
            let url = format!("http://{}:8001/readyz", address.ip());
            loop {
                let response = client.get(&url).send().await;
                if response.is_ok_and(|it| it.status().is_success()) {
                    break;
                }
                ensure!(
                    Instant::now() < wait_until,
                    "host at {address} was not ready within {STARTUP_TIMEOUT:?}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
        let missing = self.check_registrations();
        ensure!(missing.is_none(), "not all hosts registered: {missing:?}");
        Ok(())
    }

    /// Checks that the store has the registration of every host.
    fn check_registrations(&self) -> Option<Violation> {
        let registered = self.store.names("entry-hosts").len();
        (registered != self.hosts.len()).then(|| Violation {
            guarantee: "registered",
            observed: format!("{registered} of {} hosts at the end", self.hosts.len()),
        })
    }

    /// Applies a fault, waits for its duration, and removes it. Records the time as a disturbance
    /// unless the fault is a planned operation.
    async fn apply_fault(&self, scheduled: ScheduledFault) -> anyhow::Result<()> {
        let applied_at = Instant::now();
        match scheduled.fault {
            Fault::StopHost(host) => self.stop_host(host).await?,
            Fault::KillHost(host) => {
                self.hosts[host].lock().signal(Signal::SIGKILL);
                self.restart_host(host).await?;
            }
            Fault::KillHosts => {
                for it in self.hosts.iter().skip(1) {
                    it.lock().signal(Signal::SIGKILL);
                }
                sleep(RESTART_DELAY).await;
                for it in self.hosts.iter().skip(1) {
                    it.lock().start()?;
                }
            }
            Fault::PauseHost(host) => {
                self.hosts[host].lock().signal(Signal::SIGSTOP);
                sleep(scheduled.duration).await;
                self.hosts[host].lock().signal(Signal::SIGCONT);
            }
            Fault::ReloadHost(host) => self.hosts[host].lock().signal(Signal::SIGHUP),
            Fault::StoreLink(host, fault) => {
                self.hosts[host].lock().store_proxy.set_fault(fault);
                sleep(scheduled.duration).await;
                self.hosts[host].lock().store_proxy.set_fault(LinkFault::Whole);
            }
            Fault::StoreLinks(fault) => {
                self.hosts.iter().for_each(|it| it.lock().store_proxy.set_fault(fault));
                sleep(scheduled.duration).await;
                self.hosts.iter().for_each(|it| it.lock().store_proxy.set_fault(LinkFault::Whole));
            }
            Fault::Store(fault) => {
                self.store.set_fault(fault);
                sleep(scheduled.duration).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::Compact => self.store.compact(),
            Fault::RestoreStore { away_time, copy_age } => {
                self.store.restore(away_time, copy_age).await;
            }
            Fault::InstanceLink(site, fault) => {
                self.instances[site].lock().proxy.set_fault(fault);
                sleep(scheduled.duration).await;
                self.instances[site].lock().proxy.set_fault(LinkFault::Whole);
            }
            Fault::Instance(site, fault) => {
                self.instances[site].lock().set_instance_fault(fault);
                sleep(scheduled.duration).await;
                self.instances[site].lock().set_instance_fault(InstanceFault::None);
            }
            Fault::InstanceLeaves(site) => self.replace_instance(site).await,
            Fault::ChangeManifest => self.change_manifest(false).await,
            Fault::RevokeKey => self.change_manifest(true).await,
        }
        if !scheduled.fault.is_planned() {
            self.history.record_disturbance(applied_at, Instant::now());
        }
        Ok(())
    }

    /// Shuts a host down with SIGTERM, kills it after [`STOP_GRACE`], and restarts it.
    async fn stop_host(&self, host: usize) -> anyhow::Result<()> {
        let kill_at = Instant::now() + STOP_GRACE;
        if self.hosts[host].lock().stop() {
            self.history.record_host_stop(host);
        }
        while self.hosts[host].lock().is_running() && Instant::now() < kill_at {
            sleep(Duration::from_millis(50)).await;
        }
        self.hosts[host].lock().signal(Signal::SIGKILL);
        self.restart_host(host).await
    }

    /// Restarts a host whose process has ended, after [`RESTART_DELAY`].
    async fn restart_host(&self, host: usize) -> anyhow::Result<()> {
        sleep(RESTART_DELAY).await;
        self.hosts[host].lock().start()
    }

    /// Drains and stops an instance, then starts an instance of the other service at its address.
    async fn replace_instance(&self, index: usize) {
        {
            let site = self.instances[index].lock();
            if site.instance.is_none() {
                return;
            }
            let draining = registration(index, site.service, site.proxy.address, "draining");
            self.store.put("servers", &site.instance_id, draining);
            self.history.record_instance_drain(&site.instance_id);
        }
        sleep(INSTANCE_DRAIN_TIME).await;
        let service = {
            let mut site = self.instances[index].lock();
            // An overlapping fault of this kind may have stopped the instance already.
            if site.instance.take().is_none() {
                return;
            }
            self.store.remove("servers", &site.instance_id);
            self.history.record_instance_end(&site.instance_id);
            site.proxy.set_fault(LinkFault::Reset);
            if site.service == "orders" { "catalogue" } else { "orders" }
        };
        sleep(ADDRESS_REUSE_DELAY).await;
        let mut site = self.instances[index].lock();
        site.proxy.set_fault(LinkFault::Whole);
        site.start_instance(index, service, &self.store, &self.history);
    }

    /// Writes a new version of the manifest, which optionally revokes the next key.
    async fn change_manifest(&self, revoke_key: bool) {
        self.store.wait_until_back().await;
        let mut state = self.manifest_state.lock();
        let revoked_keys = (state.1 + usize::from(revoke_key)).min(REVOCABLE_KEYS.len());
        let (version, previously_revoked_keys) = *state;
        *state = (version + 3, revoked_keys);
        self.store.put("config", "main", manifest(state.0, &REVOCABLE_KEYS[revoked_keys..]));
        for key in &REVOCABLE_KEYS[previously_revoked_keys..revoked_keys] {
            self.history.record_key_revocation(key);
        }
    }
}

impl InstanceSite {
    /// Starts a new instance at the address and registers it under the proxy's address.
    fn start_instance(
        &mut self,
        index: usize,
        service: &'static str,
        store: &Store,
        history: &Arc<History>,
    ) {
        self.started_instances += 1;
        self.instance_id = format!("i-{index}-{}", self.started_instances);
        self.service = service;
        self.instance =
            Some(Instance::start(&self.instance_id, service, self.pace, self.address, history));
        let ready = registration(index, service, self.proxy.address, "ready");
        store.put("servers", &self.instance_id, ready);
    }

    /// Sets the fault of the running instance, if there is one.
    fn set_instance_fault(&self, fault: InstanceFault) {
        if let Some(it) = &self.instance {
            it.set_fault(fault);
        }
    }
}

/// Upper limit for the time that [`run_seed`] takes, given the length of the fault phase.
pub fn time_limit(fault_phase: Duration) -> Duration {
    STARTUP_TIMEOUT + fault_phase + SETTLE_TIME + RECOVERY_CHECK_TIME + STABILIZATION_TIME * 2
}

/// Removes the directory of a run; a failure is only logged.
pub fn remove_run_dir(run_dir: &Path) {
    if let Err(error) = std::fs::remove_dir_all(run_dir) {
        log::warn!("cannot remove run directory {}: {error}", run_dir.display());
    }
}
