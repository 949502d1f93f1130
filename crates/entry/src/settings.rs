//! Settings of an entry host, read from a YAML file. All errors of a file are reported in one pass.

use std::{fmt, fs, net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, de::DeserializeOwned};
use serde_yaml_ng::{Mapping, Value};

/// Settings of one entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Unique name of the host, made of ASCII letters, digits and `-`.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address on which callers are accepted.
    pub listen: SocketAddr,
    /// Addresses that lookup answers contain for this host, at least one.
    pub public_addresses: Vec<String>,
    /// Address on which health, readiness, status and metrics are served.
    pub admin_listen: SocketAddr,
    /// Address on which peers are accepted.
    pub peer_listen: SocketAddr,
    /// Address at which peers reach this host, which is announced to them.
    pub peer_address: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform_url: String,
    /// Hosts that are contacted first, so that this host can start while the platform is
    /// unavailable.
    pub seeds: Vec<Seed>,
    /// Certificate for callers; `None` means plain HTTP.
    pub tls: Option<CallerTls>,
    /// Certificates for mutual TLS between hosts.
    pub peer_tls: PeerTls,
    /// Limits on connections of callers.
    pub limits: Limits,
    /// Time between the start of a graceful shutdown and the end of the listener for callers. It
    /// should exceed the time for which lookup answers are cached, so that no caller is directed to
    /// a closed listener, and must be less than `shutdown_deadline_ms`.
    pub drain_notice_ms: u64,
    /// Time after which a graceful shutdown cuts the requests that still run, 1 s to 1 h.
    pub shutdown_deadline_ms: u64,
    /// Lowest level of log records that are written: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

/// Host that is contacted at the start, before the platform's host list is known.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Unique name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address on which the host accepts peers.
    pub peer_address: SocketAddr,
}

/// Certificate for callers; changed files are reloaded.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// PEM file with the certificate chain.
    pub certificate_file: String,
    /// PEM file with the private key.
    pub key_file: String,
}

/// Certificates for mutual TLS between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTls {
    /// PEM file with this host's certificate, which must be issued for the host's name.
    pub certificate_file: String,
    /// PEM file with the private key.
    pub key_file: String,
    /// PEM file with the CA that issues the certificates of all hosts.
    pub ca_file: String,
}

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request head, 4 KiB to 1 MiB.
    pub max_head_bytes: usize,
    /// Time without a running request after which a connection is closed, 100 ms to 10 min. An
    /// incomplete head does not count as a request, so connections of callers that send it too
    /// slowly are closed as well.
    pub idle_timeout_ms: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of requests that are in flight at this host.
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
    /// Returns `idle_timeout_ms` as a duration.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

/// Error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the field, path of the file if it cannot be read, or `file` if the text is not a
    /// YAML mapping.
    pub field: String,
    /// Problem with the value.
    pub problem: String,
    /// Advice to the operator.
    pub hint: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (hint: {})", self.field, self.problem, self.hint)
    }
}

impl Settings {
    /// Reads and validates a settings file. Fails with all errors found.
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

    /// Parses and validates settings from YAML text. Fails with all errors found.
    pub fn from_yaml(text: &str) -> Result<Self, Vec<SettingsError>> {
        let mut parser = SettingsParser::new(text)?;
        let res = Self {
            name: parser.required("name"),
            zone: parser.required("zone"),
            listen: parser.address("listen"),
            public_addresses: parser.required("public_addresses"),
            admin_listen: parser.address("admin_listen"),
            peer_listen: parser.address("peer_listen"),
            peer_address: parser.address("peer_address"),
            platform_url: parser.required("platform_url"),
            seeds: parser.optional("seeds").unwrap_or_default(),
            tls: parser.optional("tls"),
            peer_tls: parser.optional("peer_tls").unwrap_or(PeerTls {
                certificate_file: String::new(),
                key_file: String::new(),
                ca_file: String::new(),
            }),
            limits: parser.optional("limits").unwrap_or_default(),
            drain_notice_ms: parser.optional("drain_notice_ms").unwrap_or(12_000),
            shutdown_deadline_ms: parser.optional("shutdown_deadline_ms").unwrap_or(60_000),
            log_level: parser.optional("log_level").unwrap_or_else(|| "info".to_owned()),
        };
        res.validate(&mut parser);
        parser.finish(res)
    }

    /// Validates ranges and formats, and reports errors to the parser.
    fn validate(&self, parser: &mut SettingsParser) {
        let is_host_name = |it: &str| {
            !it.is_empty() && it.chars().all(|it| it.is_ascii_alphanumeric() || it == '-')
        };
        if !is_host_name(&self.name) {
            parser.report("name", "is not a host name", "use letters, digits and `-`");
        }
        if self.public_addresses.is_empty() {
            parser.report("public_addresses", "is empty", "name at least one address for callers");
        }
        for address in &self.public_addresses {
            if address.parse::<SocketAddr>().is_err() {
                let problem = format!("`{address}` is not an address");
                parser.report("public_addresses", &problem, "write IP:PORT or [IPv6]:PORT");
            }
        }
        if !self.platform_url.starts_with("http://") && !self.platform_url.starts_with("https://") {
            parser.report("platform_url", "is not a URL", "write http://IP:PORT");
        }
        let tls_files = [
            ("peer_tls.certificate_file", &self.peer_tls.certificate_file),
            ("peer_tls.key_file", &self.peer_tls.key_file),
            ("peer_tls.ca_file", &self.peer_tls.ca_file),
        ];
        for (field, path) in tls_files {
            if path.is_empty() {
                parser.report(field, "is missing", "peers are trusted by certificate only");
            }
        }
        if !(1_000..=3_600_000).contains(&self.shutdown_deadline_ms) {
            let hint = "use milliseconds from 1000 to 3600000";
            parser.report("shutdown_deadline_ms", "is out of range", hint);
        }
        if self.drain_notice_ms >= self.shutdown_deadline_ms {
            let hint = "use less than `shutdown_deadline_ms`; 12000 covers cached lookup answers";
            parser.report("drain_notice_ms", "leaves no time for running requests", hint);
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            parser.report("log_level", "is not a level", "use error, warn, info, debug or trace");
        }
        if !(4 * 1024..=1024 * 1024).contains(&self.limits.max_head_bytes) {
            let hint = "use bytes from 4096 to 1048576";
            parser.report("limits.max_head_bytes", "is out of range", hint);
        }
        if !(100..=600_000).contains(&self.limits.idle_timeout_ms) {
            let hint = "use milliseconds from 100 to 600000";
            parser.report("limits.idle_timeout_ms", "is out of range", hint);
        }
        if self.limits.max_connections == 0 {
            parser.report("limits.max_connections", "is 0", "allow at least one connection");
        }
        if self.limits.max_in_flight == 0 {
            parser.report("limits.max_in_flight", "is 0", "allow at least one request");
        }
    }
}

/// Parser of a YAML mapping that removes the fields it reads and collects errors.
struct SettingsParser {
    /// Fields that were not read yet.
    unread_fields: Mapping,
    /// Names of all fields that were read.
    known_fields: Vec<&'static str>,
    errors: Vec<SettingsError>,
}

impl SettingsParser {
    /// Parses the text. Fails if it is not a YAML mapping.
    fn new(text: &str) -> Result<Self, Vec<SettingsError>> {
        let error = |problem: String, hint: &str| {
            vec![SettingsError { field: "file".to_owned(), problem, hint: hint.to_owned() }]
        };
        match serde_yaml_ng::from_str(text) {
            Ok(Value::Mapping(fields)) => {
                Ok(Self { unread_fields: fields, known_fields: Vec::new(), errors: Vec::new() })
            }
            Ok(_) => Err(error("is not a mapping".to_owned(), "write `name: value` lines")),
            Err(yaml_error) => Err(error(yaml_error.to_string(), "correct the YAML syntax")),
        }
    }

    /// Reads a field that must be present.
    fn required<T: DeserializeOwned + Default>(&mut self, field: &'static str) -> T {
        if !self.unread_fields.contains_key(field) {
            self.report(field, "is missing", "docs/settings.md lists every field");
        }
        self.optional(field).unwrap_or_default()
    }

    /// Reads a socket address that must be present. Returns an unspecified address after an error.
    fn address(&mut self, field: &'static str) -> SocketAddr {
        let text: String = self.required(field);
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                let problem = format!("`{text}` is not an address");
                self.report(field, &problem, "write IP:PORT or [IPv6]:PORT");
            }
            unspecified
        })
    }

    /// Reads a field that may be absent. Reports an error if it has the wrong type.
    fn optional<T: DeserializeOwned>(&mut self, field: &'static str) -> Option<T> {
        self.known_fields.push(field);
        let value = self.unread_fields.remove(field)?;
        match serde_yaml_ng::from_value(value) {
            Ok(it) => Some(it),
            Err(error) => {
                self.report(field, &error.to_string(), "docs/settings.md gives its form");
                None
            }
        }
    }

    /// Records an error. If the field already has one, only the error that it is missing is added.
    fn report(&mut self, field: &str, problem: &str, hint: &str) {
        if problem != "is missing" && self.errors.iter().any(|it| it.field == field) {
            return;
        }
        self.errors.push(SettingsError {
            field: field.to_owned(),
            problem: problem.to_owned(),
            hint: hint.to_owned(),
        });
    }

    /// Reports unknown fields and returns the settings, or all errors.
    fn finish(mut self, settings: Settings) -> Result<Settings, Vec<SettingsError>> {
        let unknown: Vec<String> =
            self.unread_fields.keys().map(|it| it.as_str().unwrap_or("?").to_owned()).collect();
        for field in unknown {
            let hint = format!("known fields: {}", self.known_fields.join(", "));
            self.report(&field, "is not a known field", &hint);
        }
        if self.errors.is_empty() { Ok(settings) } else { Err(self.errors) }
    }
}
