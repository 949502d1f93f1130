//! Deployment of entry processes with a stand-in platform and stand-in upstreams on loopback.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use anyhow::{Context as _, bail, ensure};
use kingcupford_config::Declarations;
use kingcupford_demo::{Deployment, DeploymentSettings, HostSpec, UpstreamSpec};
use kingcupford_entry::Settings;
use kingcupford_standin::{ExecutionRecord, UpstreamSettings};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Time within which a deployment must be ready, also on a machine with other load.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Debug assertion of `hyper` that does not indicate a fault of this system.
const HYPER_ASSERTION: &str = "assertion failed: !self.can_read_head() && !self.can_read_body()";

/// Zones of the hosts, in the order of the hosts.
const ZONES: [&str; 4] = ["fukuoka-a", "fukuoka-b", "kumamoto-a", "kagoshima-a"];

/// Runs a test with a time limit of 120 s.
pub(crate) fn run_test(test: impl Future<Output = anyhow::Result<()>>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime starts");
    let with_timeout = async { tokio::time::timeout(Duration::from_secs(120), test).await };
    match runtime.block_on(with_timeout) {
        Ok(Ok(())) => {}
        Ok(Err(error)) => panic!("{error:?}"),
        Err(_) => panic!("the test did not end within its time limit"),
    }
}

/// Waits until a condition holds and returns the time that it took. Fails with `what` after the
/// limit.
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) -> anyhow::Result<Duration> {
    let started = Instant::now();
    while !condition().await {
        ensure!(started.elapsed() < limit, "did not happen within {limit:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
    Ok(started.elapsed())
}

/// Returns settings of a deployment with a number of hosts and, in each of the given sites, one
/// instance of each version of each service.
pub(crate) fn settings(hosts: usize, sites: &[&str], slots: u32) -> DeploymentSettings {
    let hosts = ZONES.iter().take(hosts).enumerate().map(|(index, zone)| HostSpec {
        name: format!("entry-{}", index + 1),
        zone: (*zone).to_owned(),
    });
    let mut upstreams = Vec::new();
    for service in ["ledger-view", "deposit-desk", "photo-drop"] {
        for version in ["v1", "v2"] {
            for site in sites {
                upstreams.push(UpstreamSpec {
                    name: format!("{service}-{version}-{site}"),
                    service: service.to_owned(),
                    version: version.to_owned(),
                    site: (*site).to_owned(),
                    slots,
                    service_time_ms: 2.0,
                });
            }
        }
    }
    DeploymentSettings {
        hosts: hosts.collect(),
        upstreams,
        drain_notice_ms: 300,
        shutdown_deadline_ms: 30_000,
        upstream: UpstreamSettings::default(),
    }
}

/// Entry processes with stand-ins; dropping it ends the processes.
pub(crate) struct TestFleet {
    /// Stand-ins, certificates and operator commands.
    pub(crate) deployment: Deployment,
    /// Processes of the hosts, `None` while stopped.
    pub(crate) hosts: Vec<Option<EntryProcess>>,
    /// HTTP client of callers and operators.
    pub(crate) client: Client,
}

impl TestFleet {
    /// Starts stand-ins and hosts with the declarations of the demo, and waits until they are
    /// ready.
    pub(crate) async fn start(settings: DeploymentSettings) -> anyhow::Result<Self> {
        Self::start_with(settings, |_| {}).await
    }

    /// Starts stand-ins and hosts with changed declarations, and waits until they are ready.
    pub(crate) async fn start_with(
        settings: DeploymentSettings,
        change: impl FnOnce(&mut Declarations),
    ) -> anyhow::Result<Self> {
        let mut res = Self::prepare(settings, change).await?;
        for index in 0..res.hosts.len() {
            res.start_host(index)?;
        }
        res.wait_until_settled(1).await?;
        Ok(res)
    }

    /// Starts only the stand-ins and applies changed declarations.
    pub(crate) async fn prepare(
        settings: DeploymentSettings,
        change: impl FnOnce(&mut Declarations),
    ) -> anyhow::Result<Self> {
        let deployment = Deployment::start_standins(settings).await?;
        let mut declarations = deployment.declarations();
        change(&mut declarations);
        deployment.apply(&declarations, "test").await?;
        let hosts = deployment.hosts.iter().map(|_| None).collect();
        let client = Client::builder().no_proxy().build()?;
        Ok(Self { deployment, hosts, client })
    }

    /// Starts the process of a host.
    pub(crate) fn start_host(&mut self, index: usize) -> anyhow::Result<()> {
        let settings = self.deployment.host_settings(index)?;
        self.start_host_with(index, &settings)
    }

    /// Starts the process of a host with the given settings.
    pub(crate) fn start_host_with(&mut self, index: usize, it: &Settings) -> anyhow::Result<()> {
        let file = self.deployment.folder().join(format!("{}.yaml", it.name));
        fs::write(&file, settings_text(it))?;
        self.hosts[index] = Some(EntryProcess::start(file, it.listen, it.admin_listen)?);
        Ok(())
    }

    /// Returns a host, which must be running.
    pub(crate) fn host(&self, index: usize) -> &EntryProcess {
        self.hosts[index].as_ref().expect("the host is running")
    }

    /// Waits until every running host uses at least a configuration version, sees all others as
    /// live and holds its main share.
    pub(crate) async fn wait_until_settled(&self, version: u64) -> anyhow::Result<()> {
        let running = self.hosts.iter().flatten().count();
        let started = Instant::now();
        loop {
            let mut settled = 0;
            for host in self.hosts.iter().flatten() {
                let Ok(status) = self.status(host).await else { continue };
                let members = status["members"]
                    .as_array()
                    .map_or(0, |members| members.iter().filter(|it| it[2] == "live").count());
                let is_settled = status["config_version"].as_u64() >= Some(version)
                    && members >= running
                    && status["main_share"] == true;
                settled += usize::from(is_settled);
            }
            if settled == running {
                return Ok(());
            }
            if started.elapsed() > SETTLE_TIMEOUT {
                let logs: Vec<_> = self.hosts.iter().flatten().map(EntryProcess::log).collect();
                bail!(
                    "hosts did not settle on version {version} within {SETTLE_TIMEOUT:?}:\n{}",
                    logs.join("\n")
                );
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the `/status` of a host.
    pub(crate) async fn status(&self, host: &EntryProcess) -> anyhow::Result<Value> {
        let url = format!("http://{}/status", host.admin);
        let request = self.client.get(url).timeout(Duration::from_secs(2));
        Ok(request.send().await?.json().await?)
    }

    /// Waits until every running host uses at least a configuration version, and returns the time
    /// that it took.
    pub(crate) async fn wait_until_active(&self, version: u64) -> anyhow::Result<Duration> {
        wait_until("the version is active at every host", Duration::from_secs(30), || async {
            for host in self.hosts.iter().flatten() {
                let status = self.status(host).await.unwrap_or_default();
                if status["config_version"].as_u64() < Some(version) {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Issues a key, waits until it is active and returns the `authorization` header for it.
    pub(crate) async fn issue_key(&self, id: &str, team: &str) -> anyhow::Result<String> {
        let (key, version) = self.deployment.issue_key(id, team).await?;
        self.wait_until_active(version).await?;
        Ok(format!("Bearer {}", key.reveal()))
    }

    /// Returns the URL of a path at a host.
    pub(crate) fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.host(index).caller)
    }

    /// Returns a read at a host.
    pub(crate) fn get(&self, index: usize, path: &str, key: &str) -> RequestBuilder {
        self.client.get(self.url(index, path)).header("authorization", key)
    }

    /// Returns a deposit at a host, with a request id and a tag.
    pub(crate) fn deposit(&self, index: usize, key: &str, id: &str, tag: &str) -> RequestBuilder {
        self.client
            .post(self.url(index, "/deposit-desk/deposits"))
            .header("authorization", key)
            .header("kingcupford-request-id", id)
            .header("x-request-tag", tag)
            .body("{\"yen\":500}")
    }

    /// Fetches the current binding of a host from the refusal of a deposit without an id.
    pub(crate) async fn binding(&self, index: usize, key: &str) -> anyhow::Result<String> {
        let request = self.client.post(self.url(index, "/deposit-desk/deposits"));
        let response = request.header("authorization", key).body("{}").send().await?;
        let binding = response.headers().get("kingcupford-binding").context("no binding")?;
        Ok(binding.to_str()?.to_owned())
    }

    /// Returns the executions with a tag at all upstreams.
    pub(crate) fn executions(&self, tag: &str) -> Vec<ExecutionRecord> {
        let upstreams = self.deployment.upstreams.iter();
        let records = upstreams.flat_map(|it| it.executions());
        records.filter(|it| it.tag.as_deref() == Some(tag)).collect()
    }

    /// Returns the number of requests in flight at a host, `u64::MAX` if the host does not answer.
    pub(crate) async fn in_flight(&self, index: usize) -> u64 {
        let status = self.status(self.host(index)).await.unwrap_or_default();
        status["in_flight"].as_u64().unwrap_or(u64::MAX)
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        for host in self.hosts.iter().flatten() {
            // `poem` polls a connection once more after a failure, which triggers a debug assertion
            // of `hyper` in the connection's task. Release builds have no such assertion.
            let log = host.log();
            let panics = log.matches("panicked").count();
            if panics > log.matches(HYPER_ASSERTION).count() && !std::thread::panicking() {
                panic!("a task of a host panicked:\n{log}");
            }
        }
    }
}

/// Running entry process, which is killed when the value is dropped.
pub(crate) struct EntryProcess {
    child: Child,
    log_file: PathBuf,
    /// Address for callers.
    pub(crate) caller: SocketAddr,
    /// Address for operators.
    pub(crate) admin: SocketAddr,
}

impl EntryProcess {
    /// Starts a process with a settings file. Each start writes a log file of its own.
    fn start(
        settings_file: PathBuf,
        caller: SocketAddr,
        admin: SocketAddr,
    ) -> anyhow::Result<Self> {
        static NEXT_LOG_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let log_number = NEXT_LOG_NUMBER.fetch_add(1, Ordering::Relaxed);
        let log_file = settings_file.with_extension(format!("{log_number}.log"));
        let child = Command::new(env!("CARGO_BIN_EXE_kingcupford-entry"))
            .arg("--settings")
            .arg(settings_file)
            .stdout(Stdio::null())
            .stderr(File::create(&log_file)?)
            .spawn()?;
        Ok(Self { child, log_file, caller, admin })
    }

    /// Sends a signal, such as `STOP`.
    pub(crate) fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status()?;
        ensure!(status.success(), "signal {signal} was not sent to {id}");
        Ok(())
    }

    /// Kills the process, as a crash would end it.
    pub(crate) fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has exited.
    pub(crate) async fn wait(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            ensure!(
                started.elapsed() < limit,
                "the process did not exit within {limit:?}:\n{}",
                self.log()
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the log of the process so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Returns the resident memory of the process.
    pub(crate) fn resident_bytes(&self) -> anyhow::Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find(|it| it.starts_with("VmRSS:")).context("no VmRSS")?;
        let kib = line.split_whitespace().nth(1).context("no value")?;
        Ok(kib.parse::<u64>()? * 1024)
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the text of a settings file. JSON is valid YAML.
pub(crate) fn settings_text(it: &Settings) -> String {
    let seeds = it
        .seeds
        .iter()
        .map(|it| json!({ "name": it.name, "zone": it.zone, "peer_address": it.peer_address }));
    let mut res = json!({
        "name": it.name,
        "zone": it.zone,
        "listen": it.listen,
        "public_addresses": it.public_addresses,
        "admin_listen": it.admin_listen,
        "peer_listen": it.peer_listen,
        "peer_address": it.peer_address,
        "platform_url": it.platform_url,
        "seeds": seeds.collect::<Vec<_>>(),
        "peer_tls": {
            "certificate_file": it.peer_tls.certificate_file,
            "key_file": it.peer_tls.key_file,
            "ca_file": it.peer_tls.ca_file,
        },
        "limits": {
            "max_head_bytes": it.limits.max_head_bytes,
            "idle_timeout_ms": it.limits.idle_timeout_ms,
        },
        "drain_notice_ms": it.drain_notice_ms,
        "shutdown_deadline_ms": it.shutdown_deadline_ms,
        "log_level": it.log_level,
    });
    if let Some(tls) = &it.tls {
        res["tls"] = json!({ "certificate_file": tls.certificate_file, "key_file": tls.key_file });
    }
    res.to_string()
}

/// Returns the status and the outcome of a response, and the reason if it is a refusal.
pub(crate) async fn read_outcome(response: Response) -> anyhow::Result<(u16, String, String)> {
    let status = response.status().as_u16();
    let outcome = response.headers().get("kingcupford-outcome").context("no outcome")?;
    let outcome = outcome.to_str()?.to_owned();
    let body: Value = response.json().await.unwrap_or_default();
    let reason = body["reason"].as_str().unwrap_or_default().to_owned();
    Ok((status, outcome, reason))
}

/// Upstream whose responses are written byte by byte by the test.
pub(crate) struct RawUpstream {
    pub(crate) address: SocketAddr,
    /// Heads of the requests received.
    pub(crate) heads: Arc<std::sync::Mutex<Vec<String>>>,
}

impl RawUpstream {
    /// Serves each connection with `serve`, which gets the head of the first request. Connections
    /// for `/load` and `/health` are closed without a response.
    pub(crate) async fn start<F>(
        serve: impl Fn(TcpStream, String) -> F + Send + Sync + 'static,
    ) -> anyhow::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let heads = Arc::new(std::sync::Mutex::new(Vec::new()));
        let received = Arc::clone(&heads);
        let serve = Arc::new(serve);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (received, serve) = (Arc::clone(&received), Arc::clone(&serve));
                tokio::spawn(async move {
                    let Some(head) = read_head(&mut stream).await else { return };
                    if head.starts_with("GET /load") || head.starts_with("GET /health") {
                        return;
                    }
                    received.lock().expect("the mutex is not poisoned").push(head.clone());
                    serve(stream, head).await;
                });
            }
        });
        Ok(Self { address, heads })
    }

    /// Returns the number of requests received.
    pub(crate) fn received_count(&self) -> usize {
        self.heads.lock().expect("the mutex is not poisoned").len()
    }
}

/// Reads the head of a request or response byte by byte, so that nothing after it is consumed.
pub(crate) async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut res = Vec::new();
    while !res.ends_with(b"\r\n\r\n") {
        res.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(res).ok()
}

/// Sends a request without a body on an open connection and returns the status and the body of the
/// response.
pub(crate) async fn exchange<S>(stream: &mut S, head: &str) -> anyhow::Result<(u16, String)>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.write_all(head.as_bytes()).await?;
    let response = read_head(stream).await.context("the connection ended without a response")?;
    let status = response.split(' ').nth(1).context("no status")?.parse()?;
    let length = response.lines().find_map(|it| it.strip_prefix("content-length: "));
    let mut body = vec![0; length.context("no length")?.parse()?];
    let read = stream.read_exact(&mut body).await;
    read.with_context(|| format!("the body was cut: {response}"))?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends bytes on a new connection and reads the response until the connection ends, for at most
/// 3 s.
pub(crate) async fn raw_exchange(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut res = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut res)).await;
    Ok(String::from_utf8_lossy(&res).into_owned())
}

/// Replaces the address of every instance of a service.
pub(crate) fn set_instance_addresses(
    declarations: &mut Declarations,
    service: &str,
    address: SocketAddr,
) {
    for it in declarations.services.iter_mut().filter(|it| it.name == service) {
        for version in &mut it.versions {
            for instance in &mut version.instances {
                instance.address = address;
            }
        }
    }
}
