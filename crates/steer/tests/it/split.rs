//! Split of requests among services.

use kingcupford_steer::{RouteSplits, RouteTarget};

use crate::common::route;

/// Guards against shares that deviate from the weights, also when few affinity keys account for
/// most requests.
#[test]
fn pick_service_follows_weights() {
    let mut route = route();
    route.targets = vec![
        RouteTarget { service: "x".to_owned(), weight: 90.0 },
        RouteTarget { service: "y".to_owned(), weight: 10.0 },
    ];
    for keys in [3u64, 24, 500] {
        let mut splits = RouteSplits::default();
        let picks = 2000;
        let picks_of_y = (0..picks)
            .filter(|it| splits.pick_service(&route, Some(it * 7919 % keys)) == "y")
            .count();
        let share = picks_of_y as f64 / picks as f64;
        assert!((share - 0.1).abs() < 0.05, "{keys} keys: {share}");
    }
}

/// Guards against a target of weight 0 that receives requests, and against counts that outlive a
/// change of the targets.
#[test]
fn pick_service_after_weight_change() {
    let mut route = route();
    route.targets = vec![
        RouteTarget { service: "x".to_owned(), weight: 50.0 },
        RouteTarget { service: "y".to_owned(), weight: 50.0 },
    ];
    let mut splits = RouteSplits::default();
    for affinity_hash in 0..100 {
        splits.pick_service(&route, Some(affinity_hash));
    }
    route.targets[0].weight = 0.0;
    for affinity_hash in 100..200 {
        assert_eq!(splits.pick_service(&route, Some(affinity_hash)), "y");
    }
}
