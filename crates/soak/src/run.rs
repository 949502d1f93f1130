//! One seed: a deployment, its callers, its faults, and the verdict.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use anyhow::{Context as _, ensure};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::{SeedableRng as _, rngs::SmallRng};
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    caller::{Caller, Entry},
    fault::{Event, Fault, schedule},
    host::Host,
    instance::{Instance, InstanceFault},
    ledger::{Ledger, STABLE, Violation},
    manifest::{REVOCABLE_KEYS, manifest, registration},
    proxy::{Link, Proxy},
    store::{Store, StoreFault},
};

/// Time in which all hosts must be ready at the start.
const START: Duration = Duration::from_secs(10);

/// Time after the last fault until its effects are over: the grace of a shutdown, a restart, and
/// the time in which the deployment must recover.
const SETTLE: Duration = Duration::from_secs(14);

/// Time of calm that is judged at the end.
const CALM: Duration = Duration::from_secs(4);

/// Time in which a killed process is started again.
const RESTART: Duration = Duration::from_millis(700);

/// Time for which an instance that leaves serves on.
const SERVES_ON: Duration = Duration::from_millis(3500);

/// Time after an instance's end until its address is used again.
const REUSE: Duration = Duration::from_millis(2200);

/// Time after which a host told to stop is killed.
const GRACE: Duration = Duration::from_secs(6);

/// What is run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Chooses the faults and the callers' requests.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: Duration,
    /// Hosts.
    pub hosts: usize,
    /// Instances.
    pub instances: usize,
    /// Callers.
    pub callers: usize,
    /// The host's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// First three bytes of the addresses.
    pub network: [u8; 3],
}

/// What came of it.
#[derive(Debug)]
pub struct Verdict {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// What happened.
    pub events: Vec<Event>,
    /// How requests ended, as one line.
    pub summary: String,
}

/// A deployment that runs.
struct Deployment {
    /// The platform's store.
    store: Arc<Store>,
    /// What was seen.
    ledger: Arc<Ledger>,
    /// The hosts.
    hosts: Vec<Mutex<Host>>,
    /// The instances with their links.
    instances: Vec<Mutex<Upstream>>,
    /// Version of the manifest and the number of revoked keys.
    manifest: Mutex<(u64, usize)>,
}

/// An instance, its link and its registration.
struct Upstream {
    /// Id in the store.
    id: String,
    /// Its service.
    service: &'static str,
    /// The instance; `None` between two uses of the address.
    instance: Option<Instance>,
    /// Where it listens.
    address: SocketAddr,
    /// Its link.
    link: Proxy,
    /// Instances that had the address.
    uses: u32,
}

/// Runs one seed.
pub async fn run(plan: &Plan) -> anyhow::Result<Verdict> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let events = schedule(&mut rng, plan.length, plan.hosts, plan.instances);
    let deployment = Arc::new(Deployment::start(plan).await?);
    deployment.ready().await?;
    let began = Instant::now();
    let calm_from = began + plan.length + SETTLE;
    let end = calm_from + CALM;
    let entries: Vec<Entry> = deployment
        .hosts
        .iter()
        .map(|it| it.lock())
        .map(|it| Entry { callers: it.callers(), lookups: it.lookups() })
        .collect();
    let (entries, numbers) = (Arc::new(entries), Arc::new(AtomicU64::new(0)));
    let mut tasks = JoinSet::new();
    for at in 0..plan.callers as u64 {
        let ledger = Arc::clone(&deployment.ledger);
        let (entries, numbers) = (Arc::clone(&entries), Arc::clone(&numbers));
        tasks.spawn(Caller::new(entries, ledger, numbers, plan.seed ^ at << 32)?.run(end));
    }
    for event in events.clone() {
        let deployment = Arc::clone(&deployment);
        tasks.spawn(async move {
            sleep_until(began + event.at).await;
            if let Err(error) = deployment.apply(event).await {
                log::error!("fault {} could not be applied: {error:#}", event.fault);
            }
        });
    }
    while let Some(it) = tasks.join_next().await {
        it.context("a task of the soak ended")?;
    }
    let ledger = &deployment.ledger;
    let summary = format!("{} requests {:?}", ledger.requests(), ledger.summary());
    Ok(Verdict { violations: ledger.violations(calm_from), events, summary })
}

impl Deployment {
    /// Starts everything.
    async fn start(plan: &Plan) -> anyhow::Result<Self> {
        let [a, b, c] = plan.network;
        let ip = |last: usize| Ipv4Addr::new(a, b, c, last as u8);
        ensure!(plan.hosts < 90 && plan.instances < 90, "at most 89 hosts and 89 instances");
        std::fs::create_dir_all(&plan.folder)
            .with_context(|| format!("folder {} cannot be made", plan.folder.display()))?;
        let store = Arc::new(Store::default());
        let ledger = Arc::new(Ledger::default());
        let store_address = SocketAddr::from((ip(250), 7000));
        tokio::spawn(Arc::clone(&store).serve(store_address));
        store.put("config", "main", manifest(1, &REVOCABLE_KEYS));
        let mut instances = Vec::new();
        for at in 0..plan.instances {
            let service = if at % 2 == 0 { "catalogue" } else { "orders" };
            let address = SocketAddr::from((ip(100 + at), 9000));
            let link = Proxy::start(SocketAddr::from((ip(100 + at), 9001)), address).await?;
            let mut upstream =
                Upstream { id: String::new(), service, instance: None, address, link, uses: 0 };
            upstream.begin(at, service, &store, &ledger);
            instances.push(Mutex::new(upstream));
        }
        let mut hosts = Vec::new();
        for at in 0..plan.hosts {
            let listen = SocketAddr::from((ip(251), 7100 + at as u16));
            let link = Proxy::start(listen, store_address).await?;
            let mut host = Host::new(at, ip(1 + at), link, &plan.folder, &plan.program)?;
            host.start()?;
            hosts.push(Mutex::new(host));
        }
        Ok(Self { store, ledger, hosts, instances, manifest: Mutex::new((1, 0)) })
    }

    /// Waits until every host takes requests.
    async fn ready(&self) -> anyhow::Result<()> {
        let client = Client::builder().no_proxy().build()?;
        let until = Instant::now() + START;
        for it in &self.hosts {
            let address = it.lock().lookups();
            let url = format!("http://{}:8001/readyz", address.ip());
            loop {
                let answer = client.get(&url).send().await;
                if answer.is_ok_and(|it| it.status().is_success()) {
                    break;
                }
                ensure!(Instant::now() < until, "host at {address} is not ready in {START:?}");
                sleep(Duration::from_millis(50)).await;
            }
        }
        let known = self.store.names("entry-hosts").len();
        ensure!(known == self.hosts.len(), "{known} of {} hosts registered", self.hosts.len());
        Ok(())
    }

    /// Carries an event out, to its end.
    async fn apply(&self, event: Event) -> anyhow::Result<()> {
        let began = Instant::now();
        match event.fault {
            Fault::StopHost(at) => self.stop_host(at).await?,
            Fault::KillHost(at) => {
                self.hosts[at].lock().signal(Signal::SIGKILL);
                self.restart(at).await?;
            }
            Fault::KillHosts => {
                for it in self.hosts.iter().skip(1) {
                    it.lock().signal(Signal::SIGKILL);
                }
                for at in 1..self.hosts.len() {
                    self.restart(at).await?;
                }
            }
            Fault::PauseHost(at) => {
                self.hosts[at].lock().signal(Signal::SIGSTOP);
                sleep(event.lasts).await;
                self.hosts[at].lock().signal(Signal::SIGCONT);
            }
            Fault::ReloadHost(at) => self.hosts[at].lock().signal(Signal::SIGHUP),
            Fault::StoreLink(at, link) => {
                self.hosts[at].lock().store_link.set(link);
                sleep(event.lasts).await;
                self.hosts[at].lock().store_link.set(Link::Whole);
            }
            Fault::StoreLinks(link) => {
                self.hosts.iter().for_each(|it| it.lock().store_link.set(link));
                sleep(event.lasts).await;
                self.hosts.iter().for_each(|it| it.lock().store_link.set(Link::Whole));
            }
            Fault::Store(fault) => {
                self.store.set_fault(fault);
                sleep(event.lasts).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::Compact => self.store.compact(),
            Fault::InstanceLink(at, link) => {
                self.instances[at].lock().link.set(link);
                sleep(event.lasts).await;
                self.instances[at].lock().link.set(Link::Whole);
            }
            Fault::Instance(at, fault) => {
                self.instances[at].lock().set_fault(fault);
                sleep(event.lasts).await;
                self.instances[at].lock().set_fault(InstanceFault::None);
            }
            Fault::InstanceLeaves(at) => self.replace_instance(at).await,
            Fault::ChangeManifest => self.change_manifest(false),
            Fault::RevokeKey => self.change_manifest(true),
        }
        if !event.fault.is_planned() {
            self.ledger.disturbed(began, Instant::now());
        }
        Ok(())
    }

    /// Stops a host in an orderly way and starts it again.
    async fn stop_host(&self, at: usize) -> anyhow::Result<()> {
        let until = Instant::now() + GRACE;
        self.ledger.stopped(at);
        self.hosts[at].lock().signal(Signal::SIGTERM);
        while self.hosts[at].lock().is_running() && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
        self.hosts[at].lock().signal(Signal::SIGKILL);
        self.restart(at).await
    }

    /// Starts a host again after its process ended.
    async fn restart(&self, at: usize) -> anyhow::Result<()> {
        sleep(RESTART).await;
        self.hosts[at].lock().start()
    }

    /// Lets an instance leave and another service have its address.
    async fn replace_instance(&self, at: usize) {
        {
            let it = self.instances[at].lock();
            if it.instance.is_none() {
                return;
            }
            let entry = registration(at, it.service, it.link.address, "draining");
            self.store.put("servers", &it.id, entry);
            self.ledger.leaves(&it.id);
        }
        sleep(SERVES_ON).await;
        let service = {
            let mut it = self.instances[at].lock();
            // Another event of the series was first.
            if it.instance.take().is_none() {
                return;
            }
            self.store.remove("servers", &it.id);
            it.link.set(Link::Reset);
            if it.service == "orders" { "catalogue" } else { "orders" }
        };
        sleep(REUSE).await;
        let mut it = self.instances[at].lock();
        it.link.set(Link::Whole);
        it.begin(at, service, &self.store, &self.ledger);
    }

    /// Writes the next version of the manifest.
    fn change_manifest(&self, revokes: bool) {
        let mut present = self.manifest.lock();
        let revoked = (present.1 + usize::from(revokes)).min(REVOCABLE_KEYS.len());
        let (version, was_revoked) = *present;
        *present = (version + 3, revoked);
        self.store.put("config", "main", manifest(present.0, &REVOCABLE_KEYS[revoked..]));
        for key in &REVOCABLE_KEYS[was_revoked..revoked] {
            self.ledger.revoked(key);
        }
    }
}

impl Upstream {
    /// Starts a new instance at the address and registers it.
    fn begin(&mut self, at: usize, service: &'static str, store: &Store, ledger: &Arc<Ledger>) {
        self.uses += 1;
        self.id = format!("i-{at}-{}", self.uses);
        self.service = service;
        self.instance = Some(Instance::start(&self.id, service, self.address, ledger));
        store.put("servers", &self.id, registration(at, service, self.link.address, "ready"));
    }

    /// Changes how the instance behaves.
    fn set_fault(&self, fault: InstanceFault) {
        if let Some(it) = &self.instance {
            it.set_fault(fault);
        }
    }
}

/// Time that one seed takes at most.
pub fn time_limit(length: Duration) -> Duration {
    START + length + SETTLE + CALM + STABLE * 2
}

/// Removes a run's folder.
pub fn clean(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        log::warn!("folder {} stays: {error}", folder.display());
    }
}
