//! Age of the view.

use std::time::Duration;

use kingcupford_steer::ViewFreshness;
use tokio::time::{Instant, advance};

/// Guards against a view that counts as fresh after the machine was suspended: the runtime's clock
/// stops during a suspension.
#[tokio::test(start_paused = true)]
async fn record_suspension_voids_confirmations() {
    let start = Instant::now();
    let mut freshness = ViewFreshness::new(Duration::ZERO);
    assert!(freshness.confirm(start));
    advance(Duration::from_secs(1)).await;
    let now = Instant::now();
    assert_eq!(freshness.age(now), Some(Duration::from_secs(1)));
    assert_eq!(
        freshness.record_suspension(Duration::from_secs(8), now),
        Some(Duration::from_secs(8))
    );
    assert_eq!(freshness.age(now), None);
    // A response to a call from before the suspension confirms nothing.
    assert!(!freshness.confirm(start));
    advance(Duration::from_millis(10)).await;
    assert!(freshness.confirm(Instant::now()));
}

/// Guards against an older confirmation that increases the age of the view.
#[tokio::test(start_paused = true)]
async fn confirm_older() {
    let start = Instant::now();
    advance(Duration::from_secs(2)).await;
    let now = Instant::now();
    let mut freshness = ViewFreshness::new(Duration::ZERO);
    assert!(freshness.confirm(now));
    assert!(!freshness.confirm(start));
    assert_eq!(freshness.age(now), Some(Duration::ZERO));
}
