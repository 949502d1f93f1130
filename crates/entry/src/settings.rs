//! Settings of an entry host: a YAML file whose faults are all reported in one pass.

use std::{fmt, fs, net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, de::DeserializeOwned};
use serde_yaml_ng::{Mapping, Value};

/// Settings of one entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Unique name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Where callers are accepted.
    pub listen: SocketAddr,
    /// Addresses that lookups name for this host.
    pub public_addresses: Vec<String>,
    /// Where health, readiness and metrics are served.
    pub admin_listen: SocketAddr,
    /// Where peers are accepted.
    pub peer_listen: SocketAddr,
    /// Address that peers are told.
    pub peer_address: SocketAddr,
    /// Base address of the platform's object API.
    pub platform_url: String,
    /// Hosts to start from while the platform is unavailable.
    pub seeds: Vec<Seed>,
    /// Certificate for callers; plain HTTP without it.
    pub tls: Option<CallerTls>,
    /// Certificates for mutual trust between hosts.
    pub peer_tls: PeerTls,
    /// Limits on connections of callers.
    pub limits: Limits,
    /// Time between the start of a graceful shutdown and the end of the callers' listener; longer
    /// than a lookup answer is valid, so that no caller is sent to a closed listener.
    pub drain_notice_ms: u64,
    /// Longest time for a graceful shutdown.
    pub shutdown_deadline_ms: u64,
    /// Lowest level of log records that are written.
    pub log_level: String,
}

/// A host to start from.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it accepts peers.
    pub peer_address: SocketAddr,
}

/// Certificate for callers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// PEM file with the certificate chain.
    pub certificate_file: String,
    /// PEM file with the private key.
    pub key_file: String,
}

/// Certificates for mutual trust between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTls {
    /// PEM file with this host's certificate; its name is the host's name.
    pub certificate_file: String,
    /// PEM file with the private key.
    pub key_file: String,
    /// PEM file with the company's own CA.
    pub ca_file: String,
}

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Time without a request after which a connection is closed; an unfinished head does not
    /// count as a request, so a caller that sends it too slowly is closed as well.
    pub idle_timeout_ms: u64,
    /// Most connections at the same time.
    pub max_connections: usize,
    /// Most requests at the same time on this host.
    pub max_in_flight: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            idle_timeout_ms: 30_000,
            max_connections: 16_384,
            max_in_flight: 4096,
        }
    }
}

impl Limits {
    /// The idle timeout as a duration.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

/// One fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The field.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub hint: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (hint: {})", self.field, self.problem, self.hint)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let text = fs::read_to_string(path).map_err(|error| {
            vec![SettingsError {
                field: path.display().to_string(),
                problem: error.to_string(),
                hint: "check the path and its permissions".to_owned(),
            }]
        })?;
        Self::from_yaml(&text)
    }

    /// Reads and checks settings from YAML text, with every fault in one pass.
    pub fn from_yaml(text: &str) -> Result<Self, Vec<SettingsError>> {
        let mut reader = Reader::new(text)?;
        let res = Self {
            name: reader.required("name"),
            zone: reader.required("zone"),
            listen: reader.address("listen"),
            public_addresses: reader.required("public_addresses"),
            admin_listen: reader.address("admin_listen"),
            peer_listen: reader.address("peer_listen"),
            peer_address: reader.address("peer_address"),
            platform_url: reader.required("platform_url"),
            seeds: reader.optional("seeds").unwrap_or_default(),
            tls: reader.optional("tls"),
            peer_tls: reader.optional("peer_tls").unwrap_or(PeerTls {
                certificate_file: String::new(),
                key_file: String::new(),
                ca_file: String::new(),
            }),
            limits: reader.optional("limits").unwrap_or_default(),
            drain_notice_ms: reader.optional("drain_notice_ms").unwrap_or(12_000),
            shutdown_deadline_ms: reader.optional("shutdown_deadline_ms").unwrap_or(60_000),
            log_level: reader.optional("log_level").unwrap_or_else(|| "info".to_owned()),
        };
        res.check(&mut reader);
        reader.finish(res)
    }

    /// Checks ranges and forms.
    fn check(&self, reader: &mut Reader) {
        let is_name = |it: &str| {
            !it.is_empty() && it.chars().all(|it| it.is_ascii_alphanumeric() || it == '-')
        };
        if !is_name(&self.name) {
            reader.check("name", "is not a host name", "use letters, digits and `-`");
        }
        if self.public_addresses.is_empty() {
            reader.check("public_addresses", "is empty", "name at least one address for callers");
        }
        for address in &self.public_addresses {
            if address.parse::<SocketAddr>().is_err() {
                let problem = format!("`{address}` is not an address");
                reader.check("public_addresses", &problem, "write IP:PORT or [IPv6]:PORT");
            }
        }
        if !self.platform_url.starts_with("http://") && !self.platform_url.starts_with("https://") {
            reader.check("platform_url", "is not a URL", "write http://IP:PORT");
        }
        let tls = [
            ("peer_tls.certificate_file", &self.peer_tls.certificate_file),
            ("peer_tls.key_file", &self.peer_tls.key_file),
            ("peer_tls.ca_file", &self.peer_tls.ca_file),
        ];
        for (field, path) in tls {
            if path.is_empty() {
                reader.check(field, "is missing", "peers are trusted by certificate only");
            }
        }
        if !(1_000..=3_600_000).contains(&self.shutdown_deadline_ms) {
            let hint = "use milliseconds from 1000 to 3600000";
            reader.check("shutdown_deadline_ms", "is out of range", hint);
        }
        if self.drain_notice_ms >= self.shutdown_deadline_ms {
            let hint = "use less than `shutdown_deadline_ms`; 12000 covers cached lookup answers";
            reader.check("drain_notice_ms", "leaves no time for running requests", hint);
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            reader.check("log_level", "is not a level", "use error, warn, info, debug or trace");
        }
        if !(4 * 1024..=1024 * 1024).contains(&self.limits.max_head_bytes) {
            let hint = "use bytes from 4096 to 1048576";
            reader.check("limits.max_head_bytes", "is out of range", hint);
        }
        if !(100..=600_000).contains(&self.limits.idle_timeout_ms) {
            let hint = "use milliseconds from 100 to 600000";
            reader.check("limits.idle_timeout_ms", "is out of range", hint);
        }
        if self.limits.max_connections == 0 {
            reader.check("limits.max_connections", "is 0", "allow at least one connection");
        }
        if self.limits.max_in_flight == 0 {
            reader.check("limits.max_in_flight", "is 0", "allow at least one request");
        }
    }
}

/// Takes fields out of a mapping and collects faults.
struct Reader {
    /// Fields that were not taken yet.
    fields: Mapping,
    /// Names of all fields that were asked for.
    known: Vec<&'static str>,
    /// The faults so far.
    faults: Vec<SettingsError>,
}

impl Reader {
    /// Reads a mapping.
    fn new(text: &str) -> Result<Self, Vec<SettingsError>> {
        let fault = |problem: String, hint: &str| {
            vec![SettingsError { field: "file".to_owned(), problem, hint: hint.to_owned() }]
        };
        match serde_yaml_ng::from_str(text) {
            Ok(Value::Mapping(fields)) => {
                Ok(Self { fields, known: Vec::new(), faults: Vec::new() })
            }
            Ok(_) => Err(fault("is not a mapping".to_owned(), "write `name: value` lines")),
            Err(error) => Err(fault(error.to_string(), "correct the YAML syntax")),
        }
    }

    /// Takes a field that must be present.
    fn required<T: DeserializeOwned + Default>(&mut self, field: &'static str) -> T {
        if !self.fields.contains_key(field) {
            self.check(field, "is missing", "docs/settings.md lists every field");
        }
        self.optional(field).unwrap_or_default()
    }

    /// Takes an address that must be present.
    fn address(&mut self, field: &'static str) -> SocketAddr {
        let text: String = self.required(field);
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                let problem = format!("`{text}` is not an address");
                self.check(field, &problem, "write IP:PORT or [IPv6]:PORT");
            }
            unspecified
        })
    }

    /// Takes a field that may be absent.
    fn optional<T: DeserializeOwned>(&mut self, field: &'static str) -> Option<T> {
        self.known.push(field);
        let value = self.fields.remove(field)?;
        match serde_yaml_ng::from_value(value) {
            Ok(it) => Some(it),
            Err(error) => {
                self.check(field, &error.to_string(), "docs/settings.md gives its form");
                None
            }
        }
    }

    /// Records a fault, once for each field and problem.
    fn check(&mut self, field: &str, problem: &str, hint: &str) {
        if problem != "is missing" && self.faults.iter().any(|it| it.field == field) {
            return;
        }
        self.faults.push(SettingsError {
            field: field.to_owned(),
            problem: problem.to_owned(),
            hint: hint.to_owned(),
        });
    }

    /// Reports unknown fields, then answers the settings or every fault.
    fn finish(mut self, settings: Settings) -> Result<Settings, Vec<SettingsError>> {
        let unknown: Vec<String> =
            self.fields.keys().map(|it| it.as_str().unwrap_or("?").to_owned()).collect();
        for field in unknown {
            let hint = format!("known fields: {}", self.known.join(", "));
            self.check(&field, "is not a known field", &hint);
        }
        if self.faults.is_empty() { Ok(settings) } else { Err(self.faults) }
    }
}
