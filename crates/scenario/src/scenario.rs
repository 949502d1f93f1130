//! A scenario as its YAML file declares it.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use kingcupford_config::Declarations;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// A deployment, the demand on it, faults over time, and bounds on what is measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Subject by which scenarios are sorted in reports.
    pub topic: String,
    /// What the scenario shows, in one sentence.
    pub title: String,
    /// A folder below `samples/`, or the path of a folder of declarations.
    pub deployment: String,
    /// Zone of the platform; the first zone of the first region by name when absent.
    #[serde(default)]
    pub platform_zone: Option<String>,
    /// Entry hosts, one per zone in turn, beginning with the platform's region.
    #[serde(default = "default_hosts")]
    pub entry_hosts: u32,
    /// Measured time.
    pub duration_s: f64,
    /// Time before the measured time in which hosts start without demand.
    #[serde(default = "default_warm_up_s")]
    pub warm_up_s: f64,
    /// Seed of the suite's run of this scenario.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Requests over time.
    pub demand: Vec<Demand>,
    /// How upstreams behave, by service; services that are not named get the defaults.
    #[serde(default)]
    pub services: Vec<ServiceModel>,
    /// Latencies that declarations do not have.
    #[serde(default)]
    pub network: NetworkLatencies,
    /// How callers behave.
    #[serde(default)]
    pub callers: CallerModel,
    /// Faults and changes over time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Bounds on figures.
    #[serde(default)]
    pub bounds: Vec<Bound>,
}

/// Requests of some tenants for a service over time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// Tenants, each with the whole rate; all when empty.
    #[serde(default)]
    pub tenants: Vec<String>,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path behind the service segment; callers append a number.
    #[serde(default = "default_path")]
    pub path: String,
    /// Rate of each tenant over time, linear between points and constant outside of them.
    pub rate: Vec<RatePoint>,
    /// Whether `rate` is a multiple of each tenant's declared rate instead of requests per second.
    #[serde(default)]
    pub of_tenant_rate: bool,
    /// Zones of the callers, all with equal weight when empty.
    #[serde(default)]
    pub zones: Vec<ZoneWeight>,
    /// Declared length of the body.
    #[serde(default)]
    pub body_bytes: u64,
}

/// A rate at a time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RatePoint {
    /// Time since the start of the measured time.
    pub at_s: f64,
    /// Requests per second of each tenant.
    pub per_s: f64,
}

/// Weight of a zone among the callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneWeight {
    /// The zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

/// Behaviour of a service's instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// The service.
    pub service: String,
    /// Median of the service time.
    #[serde(default = "default_service_time_ms")]
    pub service_time_ms: f64,
    /// Standard deviation of the service time's logarithm.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// Requests that wait at an instance, as a share of its slots; further ones are shed.
    #[serde(default = "default_queue")]
    pub queue: f64,
    /// Factor on the service time right after a start, decaying over `cold_s`.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Time until an instance is warm.
    #[serde(default = "default_cold_s")]
    pub cold_s: f64,
    /// Length of an answer.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u64,
}

/// Behaviour of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerModel {
    /// Networks per zone; each caches its own lookup answers.
    pub networks_per_zone: u32,
    /// Repeats of a refused request, after the time that the refusal gives.
    pub repeats: u32,
    /// Share of callers that resend a request with an unknown outcome under the same id, half of
    /// them to another host.
    pub resend_percent: f64,
    /// Time until a caller counts an idempotent request as lost and tries the next host.
    pub patience_ms: u64,
}

/// One-way latencies that declarations do not have.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkLatencies {
    /// Between two zones of a region.
    pub zone_latency_ms: f64,
    /// Between a caller and its zone.
    pub client_latency_ms: f64,
}

/// A bound on a figure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the figure.
    pub figure: String,
    /// Largest allowed value.
    #[serde(default)]
    pub max: Option<f64>,
    /// Smallest allowed value.
    #[serde(default)]
    pub min: Option<f64>,
    /// Largest allowed multiple of the baseline's value.
    #[serde(default)]
    pub max_of_baseline: Option<f64>,
}

/// Why a scenario cannot be run.
#[derive(Debug)]
pub enum LoadError {
    /// A file cannot be read.
    Io {
        /// The path.
        path: String,
        /// The cause.
        error: io::Error,
    },
    /// The file is not valid YAML of the expected shape.
    Syntax {
        /// The path.
        path: String,
        /// The cause with line and column.
        error: serde_yaml_ng::Error,
    },
    /// The deployment's declarations cannot be used.
    Deployment {
        /// The cause with place and hint.
        problem: String,
    },
    /// A value contradicts the deployment or another value.
    Value {
        /// The path.
        path: String,
        /// The field.
        place: String,
        /// What is wrong.
        problem: String,
        /// What to do.
        hint: String,
    },
}

impl Default for NetworkLatencies {
    fn default() -> Self {
        Self { zone_latency_ms: 1.0, client_latency_ms: 1.0 }
    }
}

impl Default for CallerModel {
    fn default() -> Self {
        Self { networks_per_zone: 12, repeats: 2, resend_percent: 20.0, patience_ms: 2_000 }
    }
}

impl ServiceModel {
    /// The behaviour of a service that a scenario does not name.
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            service_time_ms: default_service_time_ms(),
            spread: default_spread(),
            queue: default_queue(),
            cold_factor: default_cold_factor(),
            cold_s: default_cold_s(),
            answer_bytes: default_answer_bytes(),
        }
    }
}

impl Scenario {
    /// Reads a scenario and the declarations of its deployment, and checks both.
    pub fn load(path: &Path) -> Result<(Self, Declarations), LoadError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| LoadError::Io { path: name.clone(), error })?;
        let scenario: Self = serde_yaml_ng::from_str(&text)
            .map_err(|error| LoadError::Syntax { path: name.clone(), error })?;
        let folder = deployment_folder(path, &scenario.deployment).ok_or_else(|| {
            let problem = format!("no folder of declarations for `{}`", scenario.deployment);
            value(&name, "deployment", problem, "name a folder below `samples/` or give its path")
        })?;
        let declarations = kingcupford_config::load_folder(&folder)
            .map_err(|error| LoadError::Deployment { problem: error.to_string() })?;
        if let Some(it) = kingcupford_config::validate(&declarations).first() {
            let problem =
                format!("{}: {}: {} (hint: {})", folder.display(), it.place, it.problem, it.hint);
            return Err(LoadError::Deployment { problem });
        }
        scenario.check(&declarations).map_err(|(place, problem, hint)| LoadError::Value {
            path: name,
            place,
            problem,
            hint,
        })?;
        Ok((scenario, declarations))
    }

    /// The behaviour of a service's instances.
    pub fn service_model(&self, service: &str) -> ServiceModel {
        let declared = self.services.iter().find(|it| it.service == service);
        declared.cloned().unwrap_or_else(|| ServiceModel::new(service))
    }
}

impl Demand {
    /// Rate at a time, in the unit of the points.
    pub fn rate_at(&self, at_s: f64) -> f64 {
        let after = self.rate.partition_point(|it| it.at_s <= at_s);
        match (after.checked_sub(1).map(|it| self.rate[it]), self.rate.get(after)) {
            (Some(a), Some(b)) => {
                a.per_s + (b.per_s - a.per_s) * (at_s - a.at_s) / (b.at_s - a.at_s)
            }
            (Some(it), None) => it.per_s,
            (None, Some(it)) => it.per_s,
            (None, None) => 0.0,
        }
    }

    /// The highest rate, in the unit of the points.
    pub fn max_rate(&self) -> f64 {
        self.rate.iter().map(|it| it.per_s).fold(0.0, f64::max)
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, error } => {
                write!(f, "{path}: {error} (hint: check the path and its permissions)")
            }
            Self::Syntax { path, error } => {
                write!(f, "{path}: {error} (hint: docs/scenarios.md lists every field)")
            }
            Self::Deployment { problem } => f.write_str(problem),
            Self::Value { path, place, problem, hint } => {
                write!(f, "{path}: {place}: {problem} (hint: {hint})")
            }
        }
    }
}

impl std::error::Error for LoadError {}

/// A fault of a value.
fn value(path: &str, place: &str, problem: String, hint: &str) -> LoadError {
    LoadError::Value {
        path: path.to_owned(),
        place: place.to_owned(),
        problem,
        hint: hint.to_owned(),
    }
}

/// The folder of a deployment: a path relative to the file, or below the nearest `samples/`.
fn deployment_folder(scenario: &Path, deployment: &str) -> Option<PathBuf> {
    let file = fs::canonicalize(scenario).ok()?;
    let direct = file.parent()?.join(deployment);
    if deployment.contains('/') {
        return direct.is_dir().then_some(direct);
    }
    let below = file.ancestors().skip(1).map(|it| it.join("samples").join(deployment));
    below.into_iter().find(|it| it.is_dir())
}

/// Entry hosts of both deployments today.
fn default_hosts() -> u32 {
    8
}

/// Time in which the hosts of a new deployment find each other and divide the caps.
fn default_warm_up_s() -> f64 {
    20.0
}

/// Seed of a scenario that names none.
fn default_seed() -> u64 {
    1
}

/// Method of a demand that names none.
fn default_method() -> String {
    "GET".to_owned()
}

/// Path of a demand that names none.
fn default_path() -> String {
    "/".to_owned()
}

/// Median service time of a service that the scenario does not describe.
fn default_service_time_ms() -> f64 {
    40.0
}

/// Spread of the service time of a service that the scenario does not describe.
fn default_spread() -> f64 {
    0.3
}

/// Queue of an instance as a share of its slots.
fn default_queue() -> f64 {
    0.5
}

/// Slowness of a cold instance.
fn default_cold_factor() -> f64 {
    3.0
}

/// Time until an instance is warm.
fn default_cold_s() -> f64 {
    10.0
}

/// Length of an answer.
fn default_answer_bytes() -> u64 {
    20_000
}
