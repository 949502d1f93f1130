//! Division of requests among services.

use kingcupford_steer::{RouteSplits, RouteTarget};

use crate::common::route;

/// Guards against shares that stray from the weights, also when few objects take most requests.
#[test]
fn pick_follows_weights() {
    let mut route = route();
    route.targets = vec![
        RouteTarget { service: "x".to_owned(), weight: 90.0 },
        RouteTarget { service: "y".to_owned(), weight: 10.0 },
    ];
    for objects in [3u64, 24, 500] {
        let mut splits = RouteSplits::default();
        let picks = 2000;
        let of_y = (0..picks)
            .filter(|it| splits.pick_service(&route, Some(it * 7919 % objects)) == "y")
            .count();
        let share = of_y as f64 / picks as f64;
        assert!((share - 0.1).abs() < 0.05, "{objects} objects: {share}");
    }
}

/// Guards against a part of weight 0 that gets requests, and against counts of former targets.
#[test]
fn pick_after_change() {
    let mut route = route();
    route.targets = vec![
        RouteTarget { service: "x".to_owned(), weight: 50.0 },
        RouteTarget { service: "y".to_owned(), weight: 50.0 },
    ];
    let mut splits = RouteSplits::default();
    for object in 0..100 {
        splits.pick_service(&route, Some(object));
    }
    route.targets[0].weight = 0.0;
    for object in 100..200 {
        assert_eq!(splits.pick_service(&route, Some(object)), "y");
    }
}
