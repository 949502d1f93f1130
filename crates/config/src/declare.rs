//! The YAML declarations that operators keep under version control.

use std::{fmt, fs, io, path::Path};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::key::KeyHash;

/// Everything that operators declare; a folder of files is merged into one value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Regions with their availability zones.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionDecl>,
    /// Latency and bandwidth between pairs of regions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<LinkDecl>,
    /// Groups of upstream instances, each in one zone.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sites: Vec<SiteDecl>,
    /// Client blocks with the site nearest to them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub blocks: Vec<BlockDecl>,
    /// Services with routes, versions and instances.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceDecl>,
    /// Tenants with rate and burst.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantDecl>,
    /// Issued keys; kept in the platform only, so that applying a folder never restores a revoked key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyDecl>,
    /// Presets, of which exactly one is active.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub presets: Vec<PresetDecl>,
    /// The preset that the first accepted version activates; later versions keep the active one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub initial_preset: Option<String>,
}

/// A region with its availability zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionDecl {
    /// Unique name.
    pub name: String,
    /// Names of its availability zones, unique over all regions.
    pub zones: Vec<String>,
}

/// The path between two regions, the same in both directions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkDecl {
    /// The two regions.
    pub between: [String; 2],
    /// One-way latency.
    pub latency_ms: f64,
    /// Bandwidth in each direction, shared by all traffic.
    pub capacity_mbit_per_s: f64,
}

/// A group of upstream instances in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteDecl {
    /// Unique name.
    pub name: String,
    /// The zone it stands in.
    pub zone: String,
}

/// A block of client addresses and the site nearest to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockDecl {
    /// IPv4 or IPv6 network; the longest match wins.
    pub cidr: IpNet,
    /// Name of the site.
    pub site: String,
}

/// A service that callers reach under `/name/`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDecl {
    /// Unique name, the first segment of the request path.
    pub name: String,
    /// Routes by path prefix.
    pub routes: Vec<RouteDecl>,
    /// Versions that may run side by side.
    pub versions: Vec<VersionDecl>,
    /// The version that takes all traffic while no rollout runs.
    pub active_version: String,
}

/// Properties of requests below a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDecl {
    /// Path prefix after the service segment; the longest match wins.
    pub path_prefix: String,
    /// HTTP methods, all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may be repeated without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Longest time for a whole request; a caller's shorter deadline wins.
    pub timeout_ms: u64,
}

/// One version of a service with its instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionDecl {
    /// Name, unique inside the service.
    pub name: String,
    /// Running instances.
    pub instances: Vec<InstanceDecl>,
}

/// One upstream instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceDecl {
    /// Name, unique over all services.
    pub name: String,
    /// The site it stands in.
    pub site: String,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Connections it holds at most.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

/// A customer whose requests are counted together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDecl {
    /// Unique name.
    pub name: String,
    /// Requests per second over the whole fleet.
    pub rate_per_s: f64,
    /// Requests that may come at once over the whole fleet.
    pub burst: f64,
    /// Whether a host that hears nobody goes on serving the tenant's keys.
    #[serde(default)]
    pub when_isolated: IsolationPolicy,
}

/// What an isolated host does with a tenant's keys.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum IsolationPolicy {
    /// Goes on serving with the newest keys it has.
    #[default]
    Serve,
    /// Refuses, so that a key revoked during the partition cannot be used.
    Refuse,
}

/// An issued key, of which only the hash is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyDecl {
    /// Unique identifier, the public part of the key.
    pub id: String,
    /// The tenant it belongs to.
    pub tenant: String,
    /// SHA-256 of the whole key.
    pub sha256: KeyHash,
}

/// A named mode of operation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDecl {
    /// Unique name.
    pub name: String,
    /// Traffic moved from one region to another.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shifts: Vec<ShiftDecl>,
    /// Parts of the system that get no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<DrainDecl>,
    /// Concurrency limits below the sum of slots.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub region_limits: Vec<RegionLimitDecl>,
}

/// A share of a service's traffic moved from one region to another, below a cap.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftDecl {
    /// Unique name over all presets.
    pub name: String,
    /// The service.
    pub service: String,
    /// Region whose callers are moved.
    pub from_region: String,
    /// Region that serves them.
    pub to_region: String,
    /// Wanted share of the traffic, 0 to 100.
    pub share_percent: f64,
    /// Cap over all hosts together.
    pub cap_per_s: f64,
    /// Requests that may exceed the cap's rate at once.
    pub burst: f64,
}

/// A part of the system that gets no new work while the preset is active.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainDecl {
    /// Kind of the part.
    pub target: DrainTarget,
    /// Name of the part.
    pub name: String,
}

/// Kinds of parts that can be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DrainTarget {
    /// A whole region.
    Region,
    /// An availability zone.
    Zone,
    /// A site.
    Site,
    /// One upstream instance.
    Instance,
    /// One entry host.
    Host,
}

/// A limit on requests of a service that run in a region at the same time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLimitDecl {
    /// The service.
    pub service: String,
    /// The region.
    pub region: String,
    /// Requests at the same time over all hosts.
    pub max_in_flight: u32,
}

/// Why a folder could not be read as declarations.
#[derive(Debug)]
pub enum LoadError {
    /// The folder or a file cannot be read.
    Io {
        /// The path that failed.
        path: String,
        /// The cause.
        error: io::Error,
    },
    /// A file is not valid YAML of the expected shape.
    Syntax {
        /// The file.
        path: String,
        /// The cause with line and column.
        error: serde_yaml_ng::Error,
    },
    /// The folder has no `.yaml` file.
    NoFiles {
        /// The folder.
        path: String,
    },
    /// Keys stand in a file.
    ContainsKeys {
        /// The file.
        path: String,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, error } => {
                write!(f, "{path}: {error} (hint: check the path and its permissions)")
            }
            Self::Syntax { path, error } => {
                write!(f, "{path}: {error} (hint: docs/configuration.md lists every field)")
            }
            Self::NoFiles { path } => {
                write!(f, "{path}: no .yaml file (hint: point at the folder of declarations)")
            }
            Self::ContainsKeys { path } => write!(
                f,
                "{path}: keys cannot be declared in a folder (hint: use `kingcupford-ctl key issue`)"
            ),
        }
    }
}

impl std::error::Error for LoadError {}

impl Declarations {
    /// Reads declarations from YAML text.
    pub fn from_yaml(text: &str) -> Result<Self, serde_yaml_ng::Error> {
        serde_yaml_ng::from_str(text)
    }

    /// Appends everything that `other` declares.
    pub fn merge(&mut self, other: Self) {
        self.regions.extend(other.regions);
        self.links.extend(other.links);
        self.sites.extend(other.sites);
        self.blocks.extend(other.blocks);
        self.services.extend(other.services);
        self.tenants.extend(other.tenants);
        self.keys.extend(other.keys);
        self.presets.extend(other.presets);
        self.initial_preset = other.initial_preset.or(self.initial_preset.take());
    }

    /// Brings every list into its canonical order, so that equal content has equal chunks.
    pub fn sort(&mut self) {
        self.regions.sort_by(|a, b| a.name.cmp(&b.name));
        self.links.sort_by(|a, b| a.between.cmp(&b.between));
        self.sites.sort_by(|a, b| a.name.cmp(&b.name));
        self.blocks.sort_by_key(|a| a.cidr);
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.tenants.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.id.cmp(&b.id));
        self.presets.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

/// Reads and merges all `.yaml` files of a folder in the order of their names.
pub fn load_folder(folder: &Path) -> Result<Declarations, LoadError> {
    let io_error = |path: &Path| {
        let path = path.display().to_string();
        move |error| LoadError::Io { path, error }
    };
    let entries = fs::read_dir(folder).map_err(io_error(folder))?;
    let mut paths: Vec<_> = entries.filter_map(|it| Some(it.ok()?.path())).collect();
    paths.retain(|it| it.extension().is_some_and(|it| it == "yaml" || it == "yml"));
    paths.sort();
    if paths.is_empty() {
        return Err(LoadError::NoFiles { path: folder.display().to_string() });
    }
    let mut res = Declarations::default();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(io_error(&path))?;
        let name = path.display().to_string();
        let part = match Declarations::from_yaml(&text) {
            Ok(it) => it,
            Err(error) => return Err(LoadError::Syntax { path: name, error }),
        };
        if !part.keys.is_empty() {
            return Err(LoadError::ContainsKeys { path: name });
        }
        res.merge(part);
    }
    res.sort();
    Ok(res)
}

/// Connections of an instance that declares none.
fn default_connections() -> u32 {
    330
}
