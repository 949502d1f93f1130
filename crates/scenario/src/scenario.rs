//! YAML format of scenario files.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use kingcupford_config::Declarations;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// Experiment on a deployment: demand and faults over time, and bounds on the measured figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Topic under which test reports group the scenario.
    pub topic: String,
    /// Purpose of the scenario in one sentence.
    pub title: String,
    /// Name of a folder below `samples/`, or path of a folder of declarations relative to the
    /// scenario file.
    pub deployment: String,
    /// Zone in which the platform runs; the first zone of the first region by name when absent.
    #[serde(default)]
    pub platform_zone: Option<String>,
    /// Number of entry hosts, assigned to the zones in turn, beginning with the platform's region.
    #[serde(default = "default_hosts")]
    pub entry_hosts: u32,
    /// Length of the measured period, 1 to 3600 s.
    pub duration_s: f64,
    /// Time before the measured period in which hosts start without demand, 0 to 600 s.
    #[serde(default = "default_warm_up_s")]
    pub warm_up_s: f64,
    /// Random seed of a run that is given no other seed.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Offered requests over time.
    pub demand: Vec<Demand>,
    /// Behaviour of the instances by service; services that are not listed get the defaults.
    #[serde(default)]
    pub services: Vec<ServiceModel>,
    /// Latencies that the declarations do not contain.
    #[serde(default)]
    pub network: NetworkLatencies,
    /// Behaviour of the callers.
    #[serde(default)]
    pub callers: CallerModel,
    /// Faults and operator changes over time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Bounds on the figures of the run.
    #[serde(default)]
    pub bounds: Vec<Bound>,
}

/// Offered requests of teams to one service over time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Name of the requested service.
    pub service: String,
    /// Names of the teams, each of which offers the whole rate; all teams when empty.
    #[serde(default)]
    #[serde(rename = "tenants")]
    pub teams: Vec<String>,
    /// HTTP method of the requests, `GET` by default.
    #[serde(default = "default_method")]
    pub method: String,
    /// Request path after the service segment; callers append a random number.
    #[serde(default = "default_path")]
    pub path: String,
    /// Rate of each team over time, linear between the points and constant outside them.
    pub rate: Vec<RatePoint>,
    /// Whether `rate` is a multiple of each team's declared rate rather than requests per second.
    #[serde(default)]
    #[serde(rename = "of_tenant_rate")]
    pub of_team_rate: bool,
    /// Distribution of the callers over zones; equal weights of all zones when empty.
    #[serde(default)]
    pub zones: Vec<ZoneWeight>,
    /// Declared length of each request body.
    #[serde(default)]
    pub body_bytes: u64,
}

/// Request rate at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RatePoint {
    /// Time since the start of the measured period.
    pub at_s: f64,
    /// Requests per second of each team, or multiple of its declared rate.
    pub per_s: f64,
}

/// Weight of one zone in the distribution of the callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneWeight {
    /// Name of the zone.
    pub zone: String,
    /// Relative frequency of callers in the zone, 0 or more.
    pub weight: f64,
}

/// Behaviour of the instances of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// Name of the service.
    pub service: String,
    /// Median service time of a request.
    #[serde(default = "default_service_time_ms")]
    pub service_time_ms: f64,
    /// Standard deviation of the logarithm of the service time, which is log-normal.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// Queue capacity of an instance as a fraction of its slots; further requests are shed.
    #[serde(default = "default_queue")]
    pub queue: f64,
    /// Factor on the service time right after a start, decreasing linearly to 1 over `cold_s`.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Time from the start of an instance until it is warm.
    #[serde(default = "default_cold_s")]
    pub cold_s: f64,
    /// Length of a response.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u64,
}

/// Behaviour of the callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerModel {
    /// Client networks per zone, each with a cache of lookup answers, 1 to 250.
    pub networks_per_zone: u32,
    /// Maximum number of repeats of a request that was refused or whose outcome is unknown; a
    /// refused request is repeated after the delay given in the refusal.
    pub repeats: u32,
    /// Percentage of callers that resend a request with unknown outcome under the same request id;
    /// half of them send it to another host.
    pub resend_percent: f64,
    /// Time after which a caller gives up an idempotent request and tries the next host.
    pub patience_ms: u64,
}

/// One-way latencies that the declarations do not contain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkLatencies {
    /// Latency between two zones of a region.
    pub zone_latency_ms: f64,
    /// Latency between a caller and its zone.
    pub client_latency_ms: f64,
}

/// Bound on one figure of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the figure as in `summary.json`.
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

/// Error of loading a scenario.
#[derive(Debug)]
pub enum LoadError {
    /// The scenario file cannot be read.
    Io {
        /// Path of the scenario file.
        path: String,
        /// Error of the file system.
        error: io::Error,
    },
    /// The scenario file is not valid YAML or does not match the format.
    Syntax {
        /// Path of the scenario file.
        path: String,
        /// Parse error with line and column.
        error: serde_yaml_ng::Error,
    },
    /// The declarations of the deployment cannot be loaded or are invalid.
    Deployment {
        /// Error with its location and a hint.
        problem: String,
    },
    /// A value contradicts the deployment or another value.
    Value {
        /// Path of the scenario file.
        path: String,
        /// Path of the field, such as `demand[0].rate`.
        place: String,
        /// Description of the error.
        problem: String,
        /// Proposed correction.
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
    /// Returns the default behaviour, for a service that the scenario does not list.
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
    /// Loads and validates a scenario and the declarations of its deployment.
    pub fn load(path: &Path) -> Result<(Self, Declarations), LoadError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| LoadError::Io { path: name.clone(), error })?;
        let scenario: Self = serde_yaml_ng::from_str(&text)
            .map_err(|error| LoadError::Syntax { path: name.clone(), error })?;
        let folder = deployment_folder(path, &scenario.deployment).ok_or_else(|| {
            let problem = format!("no folder of declarations for `{}`", scenario.deployment);
            value_error(
                &name,
                "deployment",
                problem,
                "name a folder below `samples/` or give its path",
            )
        })?;
        let declarations = kingcupford_config::load_folder(&folder)
            .map_err(|error| LoadError::Deployment { problem: error.to_string() })?;
        if let Some(it) = kingcupford_config::validate(&declarations).first() {
            let problem =
                format!("{}: {}: {} (hint: {})", folder.display(), it.place, it.problem, it.hint);
            return Err(LoadError::Deployment { problem });
        }
        scenario.validate(&declarations).map_err(|(place, problem, hint)| LoadError::Value {
            path: name,
            place,
            problem,
            hint,
        })?;
        Ok((scenario, declarations))
    }

    /// Returns the behaviour of the instances of a service, or the defaults if it is not listed.
    pub fn service_model(&self, service: &str) -> ServiceModel {
        let declared = self.services.iter().find(|it| it.service == service);
        declared.cloned().unwrap_or_else(|| ServiceModel::new(service))
    }
}

impl Demand {
    /// Returns the rate at a time, interpolated, in the unit of the rate points.
    pub fn rate_at(&self, at_s: f64) -> f64 {
        let next = self.rate.partition_point(|it| it.at_s <= at_s);
        match (next.checked_sub(1).map(|it| self.rate[it]), self.rate.get(next)) {
            (Some(a), Some(b)) => {
                a.per_s + (b.per_s - a.per_s) * (at_s - a.at_s) / (b.at_s - a.at_s)
            }
            (Some(it), None) => it.per_s,
            (None, Some(it)) => it.per_s,
            (None, None) => 0.0,
        }
    }

    /// Returns the highest rate, in the unit of the rate points.
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

fn value_error(path: &str, place: &str, problem: String, hint: &str) -> LoadError {
    LoadError::Value {
        path: path.to_owned(),
        place: place.to_owned(),
        problem,
        hint: hint.to_owned(),
    }
}

/// Returns the folder of a deployment: relative to the scenario file if the deployment contains a
/// `/`, otherwise below the nearest `samples/` of an ancestor folder.
fn deployment_folder(scenario: &Path, deployment: &str) -> Option<PathBuf> {
    let file = fs::canonicalize(scenario).ok()?;
    let relative = file.parent()?.join(deployment);
    if deployment.contains('/') {
        return relative.is_dir().then_some(relative);
    }
    let candidates = file.ancestors().skip(1).map(|it| it.join("samples").join(deployment));
    candidates.into_iter().find(|it| it.is_dir())
}

/// Number of entry hosts in both sample deployments.
fn default_hosts() -> u32 {
    8
}

/// Long enough for the hosts of a new deployment to discover each other and divide the caps.
fn default_warm_up_s() -> f64 {
    20.0
}

fn default_seed() -> u64 {
    1
}

fn default_method() -> String {
    "GET".to_owned()
}

fn default_path() -> String {
    "/".to_owned()
}

fn default_service_time_ms() -> f64 {
    40.0
}

fn default_spread() -> f64 {
    0.3
}

fn default_queue() -> f64 {
    0.5
}

fn default_cold_factor() -> f64 {
    3.0
}

fn default_cold_s() -> f64 {
    10.0
}

fn default_answer_bytes() -> u64 {
    20_000
}
