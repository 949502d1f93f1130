//! Stand-ins of the review: the platform's store, instances and clients, with the standard library
//! only. They speak what the platform's pages say, under the names of `deploy/wire.toml`.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- record

/// Record of what was sent, answered and run; written to `record.txt` and to standard output.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now_s());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption is to be applied.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

// ---------------------------------------------------------------- JSON

/// Raw text of the value of `key` in a JSON object; enough for the bodies that hosts write.
pub fn json_field(text: &str, key: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let name_end = value_end(bytes, at)?;
        let name = &text[at + 1..name_end - 1];
        at = skip_space(bytes, name_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if name == key {
            return Some(text[at..end].to_owned());
        }
        at = skip_space(bytes, end);
        match bytes.get(at) {
            Some(b',') => at += 1,
            _ => return None,
        }
    }
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while at < bytes.len() && bytes[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut in_text, mut at) = (0i32, false, start);
    while at < bytes.len() {
        let byte = bytes[at];
        if in_text {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_text = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => {
                    if depth == 0 {
                        return Some(at);
                    }
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if depth == 0 => return Some(at),
                byte if depth == 0 && byte.is_ascii_whitespace() => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    Some(at)
}

pub fn json_text(raw: &str) -> String {
    raw.trim_matches('"').to_owned()
}

// ---------------------------------------------------------------- HTTP

/// Head of a request or a response, with the bytes that were read behind it.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the channel ends first. `rest` holds bytes that were read before.
pub fn read_head(stream: &mut TcpStream, rest: Vec<u8>) -> io::Result<Option<Head>> {
    let mut bytes = rest;
    let mut chunk = [0u8; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers = lines
                .filter_map(|it| it.split_once(':'))
                .map(|it| (it.0.trim().to_owned(), it.1.trim().to_owned()))
                .collect();
            let rest = bytes[end + 4..].to_vec();
            return Ok(Some(Head { first_line, headers, rest }));
        }
        let length = stream.read(&mut chunk)?;
        if length == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&chunk[..length]);
    }
}

/// Reads the body of a message with a length; returns it and what was read behind it.
pub fn read_body(stream: &mut TcpStream, head: &mut Head) -> io::Result<Vec<u8>> {
    let length = head.content_length();
    let mut body = std::mem::take(&mut head.rest);
    let mut chunk = vec![0u8; 65536];
    while body.len() < length {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&chunk[..read]);
    }
    head.rest = body.split_off(length);
    Ok(body)
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Stored {
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    log: Vec<(u64, String, String)>,
}

/// How the store treats a call, decided before the call is carried out.
pub enum Treatment {
    Serve,
    /// The call is carried out and gets no answer.
    LoseAnswer,
    /// The call is carried out after a time, if its condition still holds, and gets no answer.
    CarryOutLate(Duration),
    /// 503: nothing is done.
    Busy,
}

type Policy = dyn Fn(&str, &str) -> Treatment + Send + Sync;

/// Stand-in of the platform's metadata store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    policy: Arc<Mutex<Arc<Policy>>>,
    record: Record,
}

impl Store {
    pub fn start(address: &str, record: &Record) -> Self {
        let state = StoreState { revision: 7, ..StoreState::default() };
        let policy: Arc<Policy> = Arc::new(|_, _| Treatment::Serve);
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            policy: Arc::new(Mutex::new(policy)),
            record: record.clone(),
        };
        let served = store.clone();
        listen(address, move |stream| served.serve(stream));
        store
    }

    pub fn set_policy(&self, policy: impl Fn(&str, &str) -> Treatment + Send + Sync + 'static) {
        *self.policy.lock().unwrap() = Arc::new(policy);
    }

    /// Writes as an operator or an instance; returns when the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let old = self.get(kind, name).map_or("null".to_owned(), |it| it.1);
        self.change(kind, name, Some((spec.to_owned(), old)));
        self.record.line(&format!("store acknowledges {kind}/{name} = {}", shortened(spec)));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
        self.record.line(&format!("store acknowledges the removal of {kind}/{name}"));
    }

    /// Specification and status of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<(String, String)> {
        let state = self.state.0.lock().unwrap();
        let stored = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some((stored.spec.clone(), stored.status.clone()))
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    fn change(&self, kind: &str, name: &str, value: Option<(String, String)>) {
        let mut state = self.state.0.lock().unwrap();
        Self::change_locked(&mut state, kind, name, value);
        self.state.1.notify_all();
    }

    fn change_locked(
        state: &mut StoreState,
        kind: &str,
        name: &str,
        value: Option<(String, String)>,
    ) {
        let key = (kind.to_owned(), name.to_owned());
        let event = match value {
            Some((spec, status)) => {
                let same = state.objects.get(&key);
                if same.is_some_and(|it| it.spec == spec && it.status == status) {
                    return;
                }
                state.revision += 1;
                let stored = Stored { revision: state.revision, spec, status };
                let text = object_json(name, &stored);
                state.objects.insert(key, stored);
                format!("{{\"removed\":false,\"object\":{text}}}")
            }
            None => {
                let Some(stored) = state.objects.remove(&key) else { return };
                state.revision += 1;
                format!("{{\"removed\":true,\"object\":{}}}", object_json(name, &stored))
            }
        };
        let revision = state.revision;
        state.log.push((revision, kind.to_owned(), event));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(mut head)) = read_head(&mut stream, std::mem::take(&mut rest)) {
            let Ok(body) = read_body(&mut stream, &mut head) else { return };
            rest = std::mem::take(&mut head.rest);
            let policy = Arc::clone(&self.policy.lock().unwrap());
            let (method, target) = (head.method().to_owned(), head.target().to_owned());
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, text) = match policy(&method, &target) {
                Treatment::Serve => self.handle(&method, &target, &body),
                Treatment::Busy => (503, String::new()),
                Treatment::LoseAnswer => {
                    self.handle(&method, &target, &body);
                    self.hold(stream);
                    return;
                }
                Treatment::CarryOutLate(delay) => {
                    let store = self.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let (status, _) = store.handle(&method, &target, &body);
                        store.record.line(&format!("store: late {method} {target}: {status}"));
                    });
                    self.hold(stream);
                    return;
                }
            };
            let reply = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// A channel on which a response is lost returns nothing further.
    fn hold(&self, mut stream: TcpStream) {
        let mut chunk = [0u8; 4096];
        while stream.read(&mut chunk).is_ok_and(|it| it > 0) {}
    }

    fn handle(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| -> Option<u64> {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.into_iter().find(|it| it.0 == name).and_then(|it| it.1.parse().ok())
        };
        let segments: Vec<&str> =
            path.trim_matches('/').split('/').skip(1).filter(|it| !it.is_empty()).collect();
        match (method, segments.as_slice()) {
            ("GET", [kind]) => match parameter("watch_after") {
                Some(after) => self.watch(kind, after, parameter("wait_ms").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", [kind, name]) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_string(), name.to_string())) {
                    Some(it) => (200, object_json(name, it)),
                    None => (404, String::new()),
                }
            }
            _ => self.write(method, &segments, body, parameter("revision")),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|it| it.0.0 == kind)
            .map(|(key, it)| object_json(&key.1, it))
            .collect();
        let items = items.join(",");
        let revision = state.revision;
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .log
                .iter()
                .filter(|it| it.0 > after && it.1 == kind)
                .map(|it| it.2.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn write(
        &self,
        method: &str,
        segments: &[&str],
        body: &str,
        query_revision: Option<u64>,
    ) -> (u16, String) {
        let metadata = json_field(body, "metadata").unwrap_or_default();
        let body_name = json_field(&metadata, "name").map(|it| json_text(&it)).unwrap_or_default();
        let (kind, name) = match segments {
            [kind] => (kind.to_string(), body_name),
            [kind, name, ..] => (kind.to_string(), name.to_string()),
            [] => return (404, String::new()),
        };
        let expected =
            json_field(&metadata, "revision").and_then(|it| it.parse().ok()).or(query_revision);
        let mut state = self.state.0.lock().unwrap();
        let current = state.objects.get(&(kind.clone(), name.clone())).cloned();
        match &current {
            Some(it) if method == "POST" || expected.is_some_and(|want| want != it.revision) => {
                return (409, object_json(&name, it));
            }
            None if method != "POST" => return (404, String::new()),
            _ => {}
        }
        let (spec, status) =
            current.map_or(("null".into(), "null".into()), |it| (it.spec, it.status));
        let given = |key: &str| json_field(body, key).unwrap_or("null".to_owned());
        let value = match (method, segments) {
            ("DELETE", _) => None,
            (_, [_, _, "status"]) => Some((spec, given("status"))),
            _ => Some((given("spec"), status)),
        };
        if kind == "rollouts" {
            let written = value.as_ref().map_or("", |it| it.1.as_str());
            self.record.line(&format!("store acknowledges a status of {kind}/{name}: {written}"));
        }
        Self::change_locked(&mut state, &kind, &name, value);
        self.state.1.notify_all();
        let stored = state.objects.get(&(kind, name.clone()));
        (200, stored.map_or("{}".to_owned(), |it| object_json(&name, it)))
    }
}

fn object_json(name: &str, it: &Stored) -> String {
    let Stored { revision, spec, status } = it;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{spec},\"status\":{status}}}"
    )
}

fn shortened(text: &str) -> String {
    text.chars().take(160).collect()
}

// ---------------------------------------------------------------- servers

/// Serves each connection of an address in a thread of its own.
pub fn listen(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener =
        TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&format!("{address}: {e}")));
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
}

// ---------------------------------------------------------------- hosts

/// First three bytes of the loopback addresses of this run.
pub fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 40 + id % 180, 1 + (id / 180) % 250)
}

pub struct Node {
    pub name: String,
    pub ip: String,
    settings_path: PathBuf,
    log_path: PathBuf,
    pub process: Option<Child>,
}

pub const CALLER_PORT: u16 = 8389;
pub const READY_PORT: u16 = 8384;
pub const LOOKUP_PORT: u16 = 8385;

impl Node {
    /// Writes the settings of a host as the platform renders `deploy/node.yaml`, with the bounds of
    /// the site `hinokuni-savers-grown`. `zones` are pairs of zone and region.
    pub fn new(
        dir: &str,
        name: &str,
        ip: &str,
        zone: &str,
        zones: &[(&str, &str)],
        store: &str,
        first_start: bool,
    ) -> Self {
        let zones: Vec<String> =
            zones.iter().map(|it| format!("\"{}\":\"{}\"", it.0, it.1)).collect();
        let settings = format!(
            "host_name: \"{name}\"\nip: \"{ip}\"\nzone: \"{zone}\"\nzones: {{{}}}\n\
             listen: {{\"callers\":\"{ip}:{CALLER_PORT}\",\"readiness\":\"{ip}:{READY_PORT}\",\
             \"lookup\":\"{ip}:{LOOKUP_PORT}\"}}\npeer_ports: [7460,7475]\nmetrics_port: 9464\n\
             first_start: {first_start}\nplatform: {{\"address\":\"{store}\"}}\n\
             limits: {{\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0}}\n\
             bounds: {{\"drain_ms\":3000,\"grace_s\":6.0,\"config_apply_ms\":3000,\
             \"strict_revocation\":true,\"revocation_ms\":5000,\"retry_ratio\":0.2,\
             \"retry_window_s\":10,\"retry_slack\":158,\"quota_window_s\":5,\"quota_overage\":0.1,\
             \"quota_slack\":20,\"exposure_share\":0.1,\"exposure_slack\":50,\"cold_overage\":1.5,\
             \"cold_slack\":8,\"max_ttl_s\":5,\"max_region_shift\":0.15}}\nlog_level: info\n",
            zones.join(",")
        );
        let settings_path = PathBuf::from(format!("{dir}/{name}.yaml"));
        let log_path = PathBuf::from(format!("{dir}/{name}.log"));
        fs::write(&settings_path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self { name: name.into(), ip: ip.into(), settings_path, log_path, process: None }
    }

    /// Starts the process with the command of the deploy file, in the root of the repository.
    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log_path).unwrap();
        let process = Command::new("target/release/kingcupford-node")
            .env("KINGCUPFORD_BOOT", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("kingcupford-node: {e}")));
        // `run.sh` ends what is left if the case itself is ended.
        let pids = self.log_path.with_file_name("pids");
        if let Ok(mut it) = fs::File::options().create(true).append(true).open(pids) {
            let _ = writeln!(it, "{}", process.id());
        }
        self.process = Some(process);
    }

    /// Renders the settings anew with `first_start` false, as for every later start.
    pub fn mark_restarted(&self) {
        let text = fs::read_to_string(&self.settings_path).unwrap_or_default();
        let text = text.replace("first_start: true", "first_start: false");
        fs::write(&self.settings_path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, signal: &str) {
        let Some(process) = &self.process else { return };
        let command = format!("kill -{signal} {}", process.id());
        let _ = Command::new("bash").arg("-c").arg(command).status();
    }

    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut it) = self.process.take() {
            let _ = it.kill();
            let _ = it.wait();
        }
    }

    pub fn caller_address(&self) -> SocketAddr {
        format!("{}:{CALLER_PORT}", self.ip).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:{READY_PORT}", self.ip).parse().unwrap();
        get_status(address, "/readyz") == Some(200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&format!("{} is not ready", self.name));
            }
            sleep_ms(50);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_head(&mut stream, Vec::new()).ok()?.map(|it| it.status())
}

// ---------------------------------------------------------------- clients

/// What a client got for a request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    pub body: Vec<u8>,
}

/// Reads an answer with a length or in chunks; an error if the channel ends before it is complete.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut head = read_head(stream, Vec::new())?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))?;
    while head.status() == 100 {
        let rest = std::mem::take(&mut head.rest);
        head = read_head(stream, rest)?
            .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed after 100"))?;
    }
    let body = read_body(stream, &mut head)?;
    Ok(Answer { status: head.status(), sealed: head.header("x-response-seal").is_some(), body })
}
