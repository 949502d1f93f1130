//! YAML declarations, which operators keep under version control.

use std::{fmt, fs, io, path::Path};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::key::KeyHash;

/// Everything that operators declare. The files of a folder are merged into one value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Regions with their availability zones.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionDecl>,
    /// Latency and bandwidth of the network links between pairs of regions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<LinkDecl>,
    /// Groups of upstream instances, each in one zone.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sites: Vec<SiteDecl>,
    /// Client networks, each with its nearest site.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub blocks: Vec<BlockDecl>,
    /// Services with their routes, versions and instances.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceDecl>,
    /// Teams with their rate limits.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "tenants")]
    pub teams: Vec<TeamDecl>,
    /// Issued keys. They are stored on the platform only, never in a folder, so that applying a
    /// folder cannot restore a revoked key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyDecl>,
    /// Presets, of which exactly one is active at a time.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub presets: Vec<PresetDecl>,
    /// Name of the preset that the first accepted version activates; later versions keep the preset
    /// that is active.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub initial_preset: Option<String>,
}

/// A region with its availability zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionDecl {
    /// Unique name.
    pub name: String,
    /// Names of the region's availability zones, unique across regions.
    pub zones: Vec<String>,
}

/// Network link between two regions, with the same properties in both directions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkDecl {
    /// Names of the two regions, in any order.
    pub between: [String; 2],
    /// One-way latency in milliseconds.
    pub latency_ms: f64,
    /// Bandwidth in each direction in Mbit/s, shared by all traffic.
    pub capacity_mbit_per_s: f64,
}

/// A group of upstream instances in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteDecl {
    /// Unique name.
    pub name: String,
    /// Name of the availability zone that contains the site.
    pub zone: String,
}

/// A network of client addresses and its nearest site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockDecl {
    /// IPv4 or IPv6 network. The longest prefix that contains a client's address applies.
    pub cidr: IpNet,
    /// Name of the nearest site.
    pub site: String,
}

/// A service that callers reach under `/name/`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDecl {
    /// Unique name, which is the first segment of the request path.
    pub name: String,
    /// Routes with distinct path prefixes.
    pub routes: Vec<RouteDecl>,
    /// Versions that are deployed, possibly several at the same time.
    pub versions: Vec<VersionDecl>,
    /// Name of the version that receives all traffic while no rollout runs.
    pub active_version: String,
}

/// Properties of the requests whose path has a given prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDecl {
    /// Path prefix after the service segment. It matches whole segments, and the longest matching
    /// prefix applies.
    pub path_prefix: String,
    /// HTTP methods of the route; an empty list matches all methods.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether executing a request more than once does no harm, so that it may be repeated.
    #[serde(default)]
    pub idempotent: bool,
    /// Timeout of a whole request in milliseconds. A caller's shorter deadline takes precedence.
    pub timeout_ms: u64,
}

/// One version of a service with its instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionDecl {
    /// Name, unique within the service.
    pub name: String,
    /// Instances that run the version.
    pub instances: Vec<InstanceDecl>,
}

/// One upstream instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceDecl {
    /// Name, unique across services.
    pub name: String,
    /// Name of the site that contains the instance.
    pub site: String,
    /// IP address and port on which the instance serves requests.
    pub address: std::net::SocketAddr,
    /// Maximum number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the instance holds, 330 when not declared.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

/// A customer, whose requests share one rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDecl {
    /// Unique name.
    pub name: String,
    /// Rate limit in requests per second across the whole fleet.
    pub rate_per_s: f64,
    /// Capacity of the rate limit's token bucket in requests, across the whole fleet.
    pub burst: f64,
    /// Whether an isolated host, which receives nothing from the platform or any other zone, keeps
    /// serving the team's keys.
    #[serde(default)]
    pub when_isolated: IsolationPolicy,
}

/// What an isolated host does with a team's keys.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum IsolationPolicy {
    /// Keeps serving with the newest keys that the host has received.
    #[default]
    Serve,
    /// Refuses requests, so that a key revoked during the partition cannot be used.
    Refuse,
}

/// An issued key, of which only the hash is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyDecl {
    /// Unique identifier, the public part of the key.
    pub id: String,
    /// Name of the team that owns the key.
    #[serde(rename = "tenant")]
    pub team: String,
    /// SHA-256 of the whole key.
    pub sha256: KeyHash,
}

/// A named set of traffic shifts, drains and limits, which operators activate as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDecl {
    /// Unique name.
    pub name: String,
    /// Traffic shifts from one region to another.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shifts: Vec<ShiftDecl>,
    /// Regions, zones, sites, instances and hosts that receive no new requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<DrainDecl>,
    /// Concurrency limits per service and region, which apply where they are lower than the sum of
    /// the instances' slots.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub region_limits: Vec<RegionLimitDecl>,
}

/// A traffic shift: a share of a service's requests served in another region, up to a rate cap.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftDecl {
    /// Name, unique across presets.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Name of the region whose callers' requests are shifted.
    pub from_region: String,
    /// Name of the region that serves the shifted requests.
    pub to_region: String,
    /// Target share of the traffic in percent, 0 to 100.
    pub share_percent: f64,
    /// Maximum rate of shifted requests per second, across all hosts.
    pub cap_per_s: f64,
    /// Capacity of the rate cap's token bucket in requests, across all hosts.
    pub burst: f64,
}

/// A drain: the target receives no new requests while the preset is active.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainDecl {
    /// Kind of the target.
    pub target: DrainTarget,
    /// Name of the target.
    pub name: String,
}

/// Kind of a drain's target.
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

/// A limit on the concurrent requests of a service in a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLimitDecl {
    /// Name of the service.
    pub service: String,
    /// Name of the region.
    pub region: String,
    /// Maximum number of concurrent requests across all hosts.
    pub max_in_flight: u32,
}

/// Error of [`load_folder`].
#[derive(Debug)]
pub enum LoadError {
    /// The folder or a file cannot be read.
    Io {
        /// Path of the folder or file.
        path: String,
        /// Cause from the operating system.
        error: io::Error,
    },
    /// A file is not valid YAML or does not have the expected fields.
    Syntax {
        /// Path of the file.
        path: String,
        /// Parse error with line and column.
        error: serde_yaml_ng::Error,
    },
    /// The folder contains no `.yaml` or `.yml` file.
    NoFiles {
        /// Path of the folder.
        path: String,
    },
    /// A file declares keys, which are stored on the platform only.
    ContainsKeys {
        /// Path of the file.
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
    /// Parses declarations from YAML; unknown fields are errors.
    pub fn from_yaml(text: &str) -> Result<Self, serde_yaml_ng::Error> {
        serde_yaml_ng::from_str(text)
    }

    /// Appends the lists of `other`; the initial preset of `other` takes precedence.
    pub fn merge(&mut self, other: Self) {
        self.regions.extend(other.regions);
        self.links.extend(other.links);
        self.sites.extend(other.sites);
        self.blocks.extend(other.blocks);
        self.services.extend(other.services);
        self.teams.extend(other.teams);
        self.keys.extend(other.keys);
        self.presets.extend(other.presets);
        self.initial_preset = other.initial_preset.or(self.initial_preset.take());
    }

    /// Sorts the top-level lists into canonical order, so that equal content yields equal chunks.
    pub fn sort(&mut self) {
        self.regions.sort_by(|a, b| a.name.cmp(&b.name));
        self.links.sort_by(|a, b| a.between.cmp(&b.between));
        self.sites.sort_by(|a, b| a.name.cmp(&b.name));
        self.blocks.sort_by_key(|a| a.cidr);
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.teams.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.id.cmp(&b.id));
        self.presets.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

/// Reads and merges all `.yaml` and `.yml` files of a folder in the order of their names.
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
    let mut merged = Declarations::default();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(io_error(&path))?;
        let path = path.display().to_string();
        let declarations = match Declarations::from_yaml(&text) {
            Ok(it) => it,
            Err(error) => return Err(LoadError::Syntax { path, error }),
        };
        if !declarations.keys.is_empty() {
            return Err(LoadError::ContainsKeys { path });
        }
        merged.merge(declarations);
    }
    merged.sort();
    Ok(merged)
}

fn default_connections() -> u32 {
    330
}
