//! Estimates of the load of instances.

use std::time::Duration;

use kingcupford_steer::LoadReport;
use tokio::time::{Instant, advance};

use crate::common::{instance, steering};

/// Guards against instances of a busy service that count as idle because their last report is
/// seconds old, and against a load that is kept for long after the last report.
#[tokio::test(start_paused = true)]
async fn total_requests_returns_to_mean() {
    let mut now = Instant::now();
    let mut steering = steering(now);
    let ids = ["i1", "i2", "i3", "i4"];
    for id in ids {
        steering.instances.register(instance(id, "a1"), now);
    }
    let busy = LoadReport { running: 4, waiting: 4, slots: 4 };
    let reporting = steering.instances.key("i1").unwrap();
    let silent = steering.instances.key("i4").unwrap();
    for _ in 0..30 {
        steering.selector.record_load(reporting, busy, &mut steering.instances, now);
        advance(Duration::from_millis(100)).await;
        now = Instant::now();
        steering.tick(now);
    }
    let total = steering.instances.get(silent).unwrap().total_requests(now);
    assert!(total > 4.0, "{total}");
    for _ in 0..200 {
        advance(Duration::from_millis(100)).await;
        now = Instant::now();
        steering.tick(now);
    }
    let total = steering.instances.get(silent).unwrap().total_requests(now);
    assert!(total < 0.5, "{total}");
}
