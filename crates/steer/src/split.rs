//! Division of a route's requests among services.

use crate::{cache_affinity::mix, manifest::Route};

/// Requests after which counts are halved, so that shares follow a change of weights.
const HALVE_AT: f64 = 400.0;

/// Deviation of a service's share at which objects leave their usual service; the checks of
/// deployments allow 0.1.
const MAX_DEVIATION: f64 = 0.03;

/// Requests before deviations count.
const MIN_COUNT: f64 = 20.0;

/// What each route sent to each of its services.
#[derive(Debug, Default)]
pub struct RouteSplits {
    /// Counts by route name, sorted.
    routes: Vec<(String, Counts)>,
}

/// Decaying counts of one route.
#[derive(Debug, Default)]
struct Counts {
    /// Names of the services.
    services: Vec<String>,
    /// Requests sent to each.
    sent: Vec<f64>,
}

impl RouteSplits {
    /// The service for a request, by its object where it names one.
    pub fn pick_service<'r>(&mut self, route: &'r Route, affinity_hash: Option<u64>) -> &'r str {
        if let [only] = route.targets.as_slice() {
            return &only.service;
        }
        let at = match self.routes.binary_search_by(|it| it.0.as_str().cmp(&route.name)) {
            Ok(at) => at,
            Err(at) => {
                self.routes.insert(at, (route.name.clone(), Counts::default()));
                at
            }
        };
        let counts = &mut self.routes[at].1;
        let matches = counts.services.iter().eq(route.targets.iter().map(|it| &it.service));
        if !matches {
            counts.services = route.targets.iter().map(|it| it.service.clone()).collect();
            counts.sent = vec![0.0; route.targets.len()];
        }
        let picked = counts.pick_target(route, affinity_hash);
        counts.sent[picked] += 1.0;
        if counts.sent.iter().sum::<f64>() > HALVE_AT {
            counts.sent.iter_mut().for_each(|it| *it /= 2.0);
        }
        &route.targets[picked].service
    }
}

impl Counts {
    /// Position of the target for a request.
    fn pick_target(&self, route: &Route, affinity_hash: Option<u64>) -> usize {
        let weights: f64 = route.targets.iter().map(|it| it.weight).sum();
        let sent: f64 = self.sent.iter().sum();
        // How far each target is behind its weight if it does not get this request.
        let lag = |at: usize| route.targets[at].weight / weights - self.sent[at] / sent.max(1.0);
        let behind = (0..route.targets.len()).max_by(|a, b| lag(*a).total_cmp(&lag(*b)));
        let behind = behind.unwrap_or(0);
        let Some(affinity_hash) = affinity_hash else { return behind };
        let usual = usual_target(route, weights, affinity_hash);
        let is_ahead = lag(usual) < -MAX_DEVIATION || lag(behind) > MAX_DEVIATION;
        let excluded = route.targets[usual].weight <= 0.0;
        if excluded || (sent >= MIN_COUNT && is_ahead) { behind } else { usual }
    }
}

/// The target at which an object is usually handled.
fn usual_target(route: &Route, weights: f64, affinity_hash: u64) -> usize {
    let unit = (mix(affinity_hash) >> 11) as f64 / (1u64 << 53) as f64;
    let mut rest = unit * weights;
    for (at, target) in route.targets.iter().enumerate() {
        rest -= target.weight;
        if rest < 0.0 {
            return at;
        }
    }
    route.targets.len() - 1
}
