//! Test harness that runs commands in this process against a stand-in of the platform.

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

/// Small valid set of declarations: two regions with three zones, one service and two presets.
pub(crate) const DECLARATIONS: &str = "\
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

/// Makes the names of temporary folders unique within the process.
static NEXT_FOLDER_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Stand-in of the platform, and methods that run commands against it or change its objects.
pub(crate) struct Harness {
    pub(crate) platform: PlatformStandin,
    /// Client of the stand-in, as hosts use it.
    pub(crate) store: HttpObjectStore,
}

/// Folder that is removed when the value is dropped.
pub(crate) struct TempFolder {
    pub(crate) path: PathBuf,
}

/// Result of a finished command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    /// Exit code.
    pub(crate) code: u8,
    /// Text written to the result output.
    pub(crate) out: String,
    /// Text written to the error output.
    pub(crate) err: String,
}

/// Writer whose clones share one buffer, so that the written text can be read afterwards.
#[derive(Debug, Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Harness {
    /// Starts a platform without objects.
    pub(crate) async fn new() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformStandin::bind(any_port, PlatformSettings::default()).await.unwrap();
        let url = format!("http://{}", platform.address());
        let store = HttpObjectStore::new(HttpStoreSettings::new(&url)).unwrap();
        Self { platform, store }
    }

    /// Starts a platform with [`DECLARATIONS`] as configuration version 1.
    pub(crate) async fn with_config() -> Self {
        let res = Self::new().await;
        let folder = TempFolder::new(DECLARATIONS);
        let run = res.ctl(&["apply", folder.arg(), "--revision", "rev-1"]).await;
        assert_eq!(run.code, 0, "{run:?}");
        res
    }

    pub(crate) async fn ctl(&self, args: &[&str]) -> CommandOutput {
        run_at(&format!("http://{}", self.platform.address()), args).await
    }

    /// Writes the status of a zone with one live host, as the zone's speaker does.
    pub(crate) async fn write_zone_status(&self, zone: &str, host: &str, config_version: u64) {
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
        self.write_json(&format!("status/zone/{zone}"), &status).await;
    }

    /// Adds a live host to the platform's list of hosts.
    pub(crate) async fn announce_host(&self, zone: &str, host: &str) {
        let entry = HostEntry {
            name: host.to_owned(),
            zone: zone.to_owned(),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            public_addresses: Vec::new(),
            state: ListedHostState::Live,
            seen_era: None,
        };
        assert_eq!(self.store.announce(&entry).await, CallOutcome::Value(()));
    }

    pub(crate) async fn write_json(&self, name: &str, value: &Value) {
        let bytes = Bytes::from(serde_json::to_vec(value).unwrap());
        let outcome = self.store.write(name, bytes, Condition::Always).await;
        assert!(matches!(outcome, WriteOutcome::Written { .. }), "{outcome:?}");
    }

    pub(crate) async fn read_json(&self, name: &str) -> Value {
        let CallOutcome::Value(Some(object)) = self.store.read(name).await else {
            panic!("{name} cannot be read");
        };
        serde_json::from_slice(&object.bytes).unwrap()
    }

    /// Waits until the rollout of the service in [`DECLARATIONS`] has a state, and returns it.
    pub(crate) async fn wait_for_rollout(&self, state: &str) -> Value {
        for _ in 0..4000 {
            if let CallOutcome::Value(Some(object)) = self.store.read("rollout/katalog").await {
                let rollout: Value = serde_json::from_slice(&object.bytes).unwrap();
                if rollout["state"] == state {
                    return rollout;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("the rollout was not {state}");
    }

    /// Waits until the platform's call counts satisfy a condition. Panics if they do not after 4000
    /// checks, which take at least 8 s.
    pub(crate) async fn wait_for_calls(
        &self,
        condition: impl Fn(&kingcupford_standin::CallCounts) -> bool,
    ) {
        for _ in 0..4000 {
            if condition(&self.platform.call_counts()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("the condition was not met: {:?}", self.platform.call_counts());
    }
}

impl TempFolder {
    /// Creates a folder with one file.
    pub(crate) fn new(text: &str) -> Self {
        Self::with_files(&[("all.yaml", text)])
    }

    /// Creates a folder with files, given as names and contents.
    pub(crate) fn with_files(files: &[(&str, &str)]) -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("kingcupford-ctl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        for (name, text) in files {
            fs::write(path.join(name), text).unwrap();
        }
        Self { path }
    }

    /// Creates a folder with declarations.
    pub(crate) fn with_declarations(declarations: &Declarations) -> Self {
        Self::new(&serde_yaml_ng::to_string(declarations).unwrap())
    }

    /// Returns the path as a command line argument.
    pub(crate) fn arg(&self) -> &str {
        self.path.to_str().unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // An error is ignored, since a remaining folder holds only a copy of test data.
        let _ = fs::remove_dir_all(&self.path);
    }
}

impl CommandOutput {
    /// Parses the result output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Returns the exit code and both outputs, with placeholders for values that differ between
    /// runs.
    pub(crate) fn normalized(&self) -> String {
        let text = format!("exit {}\n--- out\n{}--- err\n{}", self.code, self.out, self.err);
        let mut res = String::new();
        for line in text.lines() {
            res.push_str(&normalize_line(line));
            res.push('\n');
        }
        res
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().clone()).unwrap()
    }
}

/// Runs a command against the platform with the given base URL.
pub(crate) async fn run_at(platform: &str, args: &[&str]) -> CommandOutput {
    let (out, err) = (SharedBuffer::default(), SharedBuffer::default());
    let mut console = Console::new(Box::new(out.clone()), Box::new(err.clone()));
    let all_args = ["--platform", platform].iter().chain(args).map(OsString::from).collect();
    let exit_status = run(all_args, &mut console).await;
    CommandOutput { code: exit_status.code(), out: out.text(), err: err.text() }
}

/// Replaces hexadecimal identifiers of 12 or more digits by `<hex>` and times in `ms` or `s` by
/// `<n>`.
fn normalize_line(line: &str) -> String {
    let mut text = String::new();
    let mut hex_digits = String::new();
    for character in line.chars().chain(['\n']) {
        if character.is_ascii_hexdigit() && !character.is_ascii_uppercase() {
            hex_digits.push(character);
            continue;
        }
        let is_identifier = hex_digits.len() >= 12;
        if is_identifier {
            text.push_str("<hex>");
        } else {
            text.push_str(&hex_digits);
        }
        hex_digits.clear();
        if character != '\n' {
            text.push(character);
        }
    }
    let mut words: Vec<String> = text.split(' ').map(str::to_owned).collect();
    for index in 1..words.len() {
        let unit = words[index].trim_end_matches([';', ',']);
        let is_duration = matches!(unit, "ms" | "s") || words[index - 1].ends_with("_ms\":");
        let number_index = if words[index - 1].ends_with("_ms\":") { index } else { index - 1 };
        let number = words[number_index].trim_end_matches(',');
        if is_duration && !number.is_empty() && number.chars().all(|it| it.is_ascii_digit()) {
            words[number_index] = words[number_index].replace(number, "<n>");
        }
    }
    words.join(" ")
}
