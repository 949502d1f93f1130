//! A stand-in of the platform and commands that run in this process.

use std::{
    ffi::OsString,
    fs,
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use kingcupford_config::Declarations;
use kingcupford_ctl::{Console, run};
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, HttpObjectStore, HttpStoreSettings, ListedHostState,
    ObjectStore as _, WriteOutcome,
};
use kingcupford_standin::{PlatformSettings, PlatformStandin};
use parking_lot::Mutex;
use serde_json::{Value, json};

/// A small valid folder of declarations.
pub(crate) const FOLDER: &str = "\
regions:
  - { name: alpen, zones: [alpen-a, alpen-b] }
  - { name: jura, zones: [jura-a] }
links:
  - { between: [alpen, jura], latency_ms: 55, capacity_mbit_per_s: 4000 }
sites:
  - { name: alpen-a, zone: alpen-a }
  - { name: jura-a, zone: jura-a }
blocks:
  - { cidr: 10.1.0.0/16, site: alpen-a }
services:
  - name: katalog
    active_version: v1
    routes:
      - { path_prefix: /, idempotent: true, timeout_ms: 5000 }
    versions:
      - name: v1
        instances:
          - { name: katalog-1, site: alpen-a, address: 127.0.0.1:9001, slots: 4 }
          - { name: katalog-2, site: jura-a, address: 127.0.0.1:9002, slots: 4 }
      - name: v2
        instances:
          - { name: katalog-3, site: alpen-a, address: 127.0.0.1:9003, slots: 4 }
tenants:
  - { name: kennel-1, rate_per_s: 10, burst: 20 }
presets:
  - { name: ordinary }
  - { name: dawn, drains: [{ target: zone, name: jura-a }] }
initial_preset: ordinary
";

/// Numbers folders of this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// A stand-in of the platform with commands against it.
pub(crate) struct Bench {
    /// The stand-in.
    pub(crate) platform: PlatformStandin,
    /// The platform as hosts would use it.
    pub(crate) store: HttpObjectStore,
}

/// A folder that is removed at the end.
pub(crate) struct Folder {
    /// Its path.
    pub(crate) path: PathBuf,
}

/// The end of a command.
#[derive(Debug)]
pub(crate) struct Run {
    /// The exit code.
    pub(crate) code: u8,
    /// What it wrote as its result.
    pub(crate) out: String,
    /// What it wrote as errors.
    pub(crate) err: String,
}

/// A writer whose text stays readable.
#[derive(Debug, Clone, Default)]
struct Shared(
    /// The text.
    Arc<Mutex<Vec<u8>>>,
);

impl Bench {
    /// An empty platform.
    pub(crate) async fn new() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformStandin::bind(any, PlatformSettings::default()).await.unwrap();
        let url = format!("http://{}", platform.address());
        let store = HttpObjectStore::new(HttpStoreSettings::new(&url)).unwrap();
        Self { platform, store }
    }

    /// A platform with the small folder as version 1.
    pub(crate) async fn with_config() -> Self {
        let res = Self::new().await;
        let folder = Folder::new(FOLDER);
        let run = res.ctl(&["apply", folder.arg(), "--revision", "rev-1"]).await;
        assert_eq!(run.code, 0, "{run:?}");
        res
    }

    /// Runs a command.
    pub(crate) async fn ctl(&self, args: &[&str]) -> Run {
        run_at(&format!("http://{}", self.platform.address()), args).await
    }

    /// Writes the state of a zone with one host, as its speaker would.
    pub(crate) async fn zone(&self, zone: &str, host: &str, config_version: u64) {
        let status = json!({
            "format": 1,
            "zone": zone,
            "writer": host,
            "written_unix_ms": 0,
            "hosts": [{
                "name": host,
                "state": "live",
                "config_version": config_version,
                "load_permille": 250,
            }],
            "services": [
                { "service": "katalog", "region": "alpen", "slots": 4, "free": 3 },
            ],
            "a_field_of_a_later_version": true,
        });
        self.put(&format!("status/zone/{zone}"), &status).await;
    }

    /// Announces a host.
    pub(crate) async fn announce(&self, zone: &str, host: &str) {
        let entry = HostEntry {
            name: host.to_owned(),
            zone: zone.to_owned(),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            public_addresses: Vec::new(),
            state: ListedHostState::Live,
        };
        assert_eq!(self.store.announce(&entry).await, CallOutcome::Value(()));
    }

    /// Writes an object.
    pub(crate) async fn put(&self, name: &str, value: &Value) {
        let bytes = Bytes::from(serde_json::to_vec(value).unwrap());
        let outcome = self.store.write(name, bytes, Condition::Always).await;
        assert!(matches!(outcome, WriteOutcome::Written { .. }), "{outcome:?}");
    }

    /// Reads an object.
    pub(crate) async fn get(&self, name: &str) -> Value {
        let CallOutcome::Value(Some(object)) = self.store.read(name).await else {
            panic!("{name} cannot be read");
        };
        serde_json::from_slice(&object.bytes).unwrap()
    }

    /// Waits until a counter of the platform is reached.
    pub(crate) async fn until(&self, reached: impl Fn(&kingcupford_standin::CallCounts) -> bool) {
        for _ in 0..4000 {
            if reached(&self.platform.call_counts()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("not reached: {:?}", self.platform.call_counts());
    }
}

impl Folder {
    /// A folder with one file.
    pub(crate) fn new(text: &str) -> Self {
        Self::with_files(&[("all.yaml", text)])
    }

    /// A folder with files.
    pub(crate) fn with_files(files: &[(&str, &str)]) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("kingcupford-ctl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        for (name, text) in files {
            fs::write(path.join(name), text).unwrap();
        }
        Self { path }
    }

    /// A folder of declarations.
    pub(crate) fn of(declarations: &Declarations) -> Self {
        Self::new(&serde_yaml_ng::to_string(declarations).unwrap())
    }

    /// The path as an argument.
    pub(crate) fn arg(&self) -> &str {
        self.path.to_str().unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder left behind holds only a copy of test data.
        let _ = fs::remove_dir_all(&self.path);
    }
}

impl Run {
    /// The result as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Exit code and both texts, with what differs from run to run replaced.
    pub(crate) fn golden(&self) -> String {
        let text = format!("exit {}\n--- out\n{}--- err\n{}", self.code, self.out, self.err);
        let mut res = String::new();
        for line in text.lines() {
            res.push_str(&stable(line));
            res.push('\n');
        }
        res
    }
}

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Shared {
    /// The text so far.
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().clone()).unwrap()
    }
}

/// Runs a command against any platform.
pub(crate) async fn run_at(platform: &str, args: &[&str]) -> Run {
    let (out, err) = (Shared::default(), Shared::default());
    let mut console = Console::new(Box::new(out.clone()), Box::new(err.clone()));
    let all = ["--platform", platform].iter().chain(args).map(OsString::from).collect();
    let exit = run(all, &mut console).await;
    Run { code: exit.code(), out: out.text(), err: err.text() }
}

/// A line with random identifiers, times and addresses replaced.
fn stable(line: &str) -> String {
    let mut res = String::new();
    let mut word = String::new();
    for it in line.chars().chain(['\n']) {
        if it.is_ascii_hexdigit() && !it.is_ascii_uppercase() {
            word.push(it);
            continue;
        }
        let is_random = word.len() >= 12;
        if is_random {
            res.push_str("<hex>");
        } else {
            res.push_str(&word);
        }
        word.clear();
        if it != '\n' {
            res.push(it);
        }
    }
    let mut parts: Vec<String> = res.split(' ').map(str::to_owned).collect();
    for at in 1..parts.len() {
        let unit = parts[at].trim_end_matches([';', ',']);
        let is_time = matches!(unit, "ms" | "s") || parts[at - 1].ends_with("_ms\":");
        let place = if parts[at - 1].ends_with("_ms\":") { at } else { at - 1 };
        let number = parts[place].trim_end_matches(',');
        if is_time && !number.is_empty() && number.chars().all(|it| it.is_ascii_digit()) {
            parts[place] = parts[place].replace(number, "<n>");
        }
    }
    parts.join(" ")
}
