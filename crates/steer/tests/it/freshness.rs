//! The age of the view.

use std::time::Duration;

use kingcupford_steer::ViewFreshness;
use tokio::time::{Instant, advance};

/// Guards against a suspended machine that takes an old view for a fresh one, since the runtime's
/// clock stood still.
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
    // An answer to a call from before the pause confirms nothing.
    assert!(!freshness.confirm(start));
    advance(Duration::from_millis(10)).await;
    assert!(freshness.confirm(Instant::now()));
}

/// Guards against an older confirmation that makes the view look older.
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
