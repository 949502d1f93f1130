//! Age of the view.

use std::time::Duration;

use kingcupford_steer::{ManifestLag, ViewFreshness};
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

/// Guards against a lag that counts from an earlier version than the one that is missing, or that
/// starts anew whenever a further version appears.
#[tokio::test(start_paused = true)]
async fn manifest_lag_versions() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut lag = ManifestLag::default();
    lag.update(3, Some(3), start);
    assert_eq!(lag.duration(start), None);
    lag.update(3, Some(4), after(1));
    lag.update(3, Some(5), after(3));
    assert_eq!(lag.duration(after(3)), Some(Duration::from_secs(2)));
    lag.update(4, Some(5), after(4));
    assert_eq!(lag.duration(after(4)), Some(Duration::from_secs(1)));
    lag.update(5, Some(5), after(5));
    assert_eq!((lag.duration(after(5)), lag.newer_version()), (None, None));
    lag.update(5, None, after(6));
    assert_eq!(lag.duration(after(6)), None);
}

/// Guards against a lag that counts from the newest version only, when the host has caught up with
/// one of several that it lacked.
#[tokio::test(start_paused = true)]
async fn manifest_lag_three_versions() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut lag = ManifestLag::default();
    lag.update(3, Some(4), after(1));
    lag.update(3, Some(5), after(2));
    lag.update(3, Some(6), after(10));
    // Version 5, which replaced 4, has been active elsewhere since second 2.
    lag.update(4, Some(6), after(11));
    assert_eq!(lag.duration(after(11)), Some(Duration::from_secs(9)));
}

/// Guards against a lag that starts anew because the peers that reported the newer version were
/// silent for a moment, and against one that never ends when they are gone.
#[tokio::test(start_paused = true)]
async fn manifest_lag_peer_silent() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut lag = ManifestLag::default();
    lag.update(3, Some(4), after(1));
    lag.update(3, Some(3), after(3));
    lag.update(3, Some(4), after(4));
    assert_eq!(lag.duration(after(4)), Some(Duration::from_secs(3)));
    lag.update(3, Some(3), after(15));
    assert_eq!(lag.duration(after(15)), None);
}
