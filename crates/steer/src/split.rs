//! Split of a route's requests among several services.

use crate::{cache_affinity::mix, manifest::Route};

/// Number of requests at which the counts are halved, so that shares follow a change of weights.
const HALVING_REQUEST_COUNT: f64 = 400.0;

/// Deviation of a service's share beyond which affinity keys leave the service that they hash to.
/// The checks of deployments allow 0.1.
const MAX_SHARE_DEVIATION: f64 = 0.03;

/// Number of requests below which deviations are ignored.
const MIN_REQUESTS_FOR_CORRECTION: f64 = 20.0;

/// Requests that each route sent to each of its services.
#[derive(Debug, Default)]
pub struct RouteSplits {
    /// Counts sorted by the name of the route.
    routes: Vec<(String, SplitCounts)>,
}

/// Decaying counts of one route.
#[derive(Debug, Default)]
struct SplitCounts {
    services: Vec<String>,
    sent_requests: Vec<f64>,
}

impl RouteSplits {
    /// Selects the service for a request. An affinity key stays with the service that it hashes to
    /// while the shares match the weights; other requests go to the service furthest below its
    /// weight.
    pub fn pick_service<'r>(&mut self, route: &'r Route, affinity_hash: Option<u64>) -> &'r str {
        if let [only] = route.targets.as_slice() {
            return &only.service;
        }
        let at = match self.routes.binary_search_by(|it| it.0.as_str().cmp(&route.name)) {
            Ok(at) => at,
            Err(at) => {
                self.routes.insert(at, (route.name.clone(), SplitCounts::default()));
                at
            }
        };
        let counts = &mut self.routes[at].1;
        let matches = counts.services.iter().eq(route.targets.iter().map(|it| &it.service));
        if !matches {
            counts.services = route.targets.iter().map(|it| it.service.clone()).collect();
            counts.sent_requests = vec![0.0; route.targets.len()];
        }
        let picked = counts.pick_target(route, affinity_hash);
        counts.sent_requests[picked] += 1.0;
        if counts.sent_requests.iter().sum::<f64>() > HALVING_REQUEST_COUNT {
            counts.sent_requests.iter_mut().for_each(|it| *it /= 2.0);
        }
        &route.targets[picked].service
    }
}

impl SplitCounts {
    /// Index of the target for a request.
    fn pick_target(&self, route: &Route, affinity_hash: Option<u64>) -> usize {
        let total_weight: f64 = route.targets.iter().map(|it| it.weight).sum();
        let sent_requests: f64 = self.sent_requests.iter().sum();
        // How far the share of a target falls short of its weight.
        let lag = |at: usize| {
            route.targets[at].weight / total_weight
                - self.sent_requests[at] / sent_requests.max(1.0)
        };
        let most_lagging = (0..route.targets.len()).max_by(|a, b| lag(*a).total_cmp(&lag(*b)));
        let most_lagging = most_lagging.unwrap_or(0);
        let Some(affinity_hash) = affinity_hash else { return most_lagging };
        let hashed = hashed_target(route, total_weight, affinity_hash);
        let deviates =
            lag(hashed) < -MAX_SHARE_DEVIATION || lag(most_lagging) > MAX_SHARE_DEVIATION;
        let is_disabled = route.targets[hashed].weight <= 0.0;
        if is_disabled || (sent_requests >= MIN_REQUESTS_FOR_CORRECTION && deviates) {
            most_lagging
        } else {
            hashed
        }
    }
}

/// Index of the target that an affinity key hashes to, weighted by the targets' weights.
fn hashed_target(route: &Route, total_weight: f64, affinity_hash: u64) -> usize {
    let key_fraction = (mix(affinity_hash) >> 11) as f64 / (1u64 << 53) as f64;
    let mut remaining_weight = key_fraction * total_weight;
    for (at, target) in route.targets.iter().enumerate() {
        remaining_weight -= target.weight;
        if remaining_weight < 0.0 {
            return at;
        }
    }
    route.targets.len() - 1
}
