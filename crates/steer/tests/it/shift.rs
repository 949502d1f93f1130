//! Traffic shifts to other regions.

use std::{collections::BTreeSet, time::Duration};

use kingcupford_steer::{
    ExchangeOutcome, ExchangeReport, Manifest, RegionKey, RequestHead, Selection, ServiceLoad,
    Steering, name_hash,
};
use tokio::time::{Instant, advance};

use crate::common::{address, heartbeat, instance, member, steering};

/// Selects instances for 500 affinity keys; returns the fraction of them in other regions.
fn remote_fraction(steering: &mut Steering, now: Instant) -> f64 {
    let own_region = steering.settings().zone_map.own_locality().region;
    let mut remote = 0;
    let mut all_requests = 0;
    for request_number in 0..500u32 {
        let affinity_key = request_number.to_string();
        let head = RequestHead {
            host: "host.example",
            method: "GET",
            path: "/p/1",
            key: Some(b"key-two"),
            affinity_key: Some(affinity_key.as_bytes()),
            content_length: None,
        };
        let mut plan = steering.admit(&head, now).unwrap();
        if let Selection::Instance { key, .. } = steering.select_instance(&mut plan, &[], now) {
            let region = steering.instances.get(key).unwrap().registration.locality.region;
            all_requests += 1;
            remote += u32::from(region != own_region);
        }
    }
    f64::from(remote) / f64::from(all_requests)
}

/// Host in region `a` with instances in its own region and in region `b`.
fn two_regions(local: usize, remote: usize, now: Instant) -> Steering {
    let mut res = steering(now);
    for at in 0..local {
        res.instances.register(instance(&format!("l{at}"), "a1"), now);
    }
    for at in 0..remote {
        res.instances.register(instance(&format!("r{at}"), "b1"), now);
    }
    let own = res.settings().zone_map.own_locality();
    res.members.register(member("far", "b1", 1100), own, Instant::now());
    res
}

/// Guards against requests that leave a region with free capacity.
#[tokio::test(start_paused = true)]
async fn share_idle_region() {
    let now = Instant::now();
    let mut steering = two_regions(4, 4, now);
    steering.tick(now);
    assert_eq!(remote_fraction(&mut steering, now), 0.0);
}

/// Guards against a share that jumps: deployments allow 0.15 of a region's requests to change their
/// region within 2 s.
#[tokio::test(start_paused = true)]
async fn share_moves_slowly() {
    let mut now = Instant::now();
    let mut steering = two_regions(1, 8, now);
    let head = RequestHead {
        host: "host.example",
        method: "GET",
        path: "/p/1",
        key: Some(b"key-two"),
        affinity_key: Some(b"x"),
        content_length: None,
    };
    let plan = steering.admit(&head, now).unwrap();
    let busy = steering.instances.key("l0").unwrap();
    // Four requests on four slots, next to an idle region.
    for _ in 0..4 {
        steering.record_sent(&plan, busy, now);
    }
    let mut shares: Vec<f64> = Vec::new();
    for step in 0..200u64 {
        advance(Duration::from_millis(100)).await;
        now = Instant::now();
        let mut idle = heartbeat("far", step + 1);
        let service_hash = name_hash("svc");
        idle.service_loads =
            vec![ServiceLoad { service_hash, utilization: 0.1, shift_share: None }];
        steering.receive_heartbeat(idle, address(1100), now);
        steering.tick(now);
        shares.push(steering.selector.shift_state("svc").unwrap().0);
    }
    assert!(shares.last().unwrap() > &0.4, "{:?}", shares.last());
    let largest = shares.windows(20).map(|it| it[19] - it[0]).fold(0.0, f64::max);
    assert!(largest <= 0.075, "{largest}");
}

/// Guards against requests that leave their home regions.
#[tokio::test(start_paused = true)]
async fn home_regions_are_binding() {
    let now = Instant::now();
    let mut steering = two_regions(0, 4, now);
    let mut manifest_route = crate::common::route();
    manifest_route.home_regions = vec!["a".to_owned()];
    let manifest = Manifest::new(
        2,
        vec![manifest_route],
        vec![crate::common::service("svc")],
        vec![crate::common::team("two", 0.0)],
        crate::common::limits(),
    );
    steering.apply_manifest(manifest.unwrap(), now);
    let head = RequestHead {
        host: "host.example",
        method: "GET",
        path: "/p/1",
        key: Some(b"key-two"),
        affinity_key: None,
        content_length: None,
    };
    let mut plan = steering.admit(&head, now).unwrap();
    let home_regions: BTreeSet<RegionKey> =
        plan.home_regions.clone().unwrap().into_iter().collect();
    assert_eq!(home_regions.len(), 1);
    assert_eq!(steering.select_instance(&mut plan, &[], now), Selection::NoInstance);
}

/// Guards against a first second in which more requests leave the region than later: deployments
/// allow 0.15 of a region's requests to change their region from one period of 2 s to the next.
#[tokio::test(start_paused = true)]
async fn spill_steady_from_first_request() {
    let mut now = Instant::now();
    let mut steering = two_regions(2, 2, now);
    let own_region = steering.settings().zone_map.own_locality().region;
    let mut remote = [0u32; 3];
    let mut all_requests = [0u32; 3];
    for step in 0..600u32 {
        advance(Duration::from_millis(10)).await;
        now = Instant::now();
        if step % 10 == 0 {
            steering.freshness.confirm(now);
            steering.tick(now);
        }
        let affinity_key = step.to_string();
        let head = RequestHead {
            host: "host.example",
            method: "GET",
            path: "/p/1",
            key: Some(b"key-two"),
            affinity_key: Some(affinity_key.as_bytes()),
            content_length: None,
        };
        let mut plan = steering.admit(&head, now).unwrap();
        let Selection::Instance { key, .. } = steering.select_instance(&mut plan, &[], now) else {
            continue;
        };
        let region = steering.instances.get(key).unwrap().registration.locality.region;
        let window = (step / 200) as usize;
        all_requests[window] += 1;
        remote[window] += u32::from(region != own_region);
        steering.record_sent(&plan, key, now);
        // Keeps the local instances full: at most every third request ends there.
        if region != own_region || all_requests[window] % 3 == 0 {
            let latency = Duration::from_millis(100);
            let outcome = ExchangeOutcome::Answered { failed: false, latency };
            let report =
                ExchangeReport { outcome, elapsed: latency, load: None, cold_remaining: None };
            steering.record_ended(&plan, key, &report, now);
        }
    }
    let fractions: Vec<f64> = remote
        .iter()
        .zip(all_requests)
        .map(|(remote, all_requests)| f64::from(*remote) / f64::from(all_requests.max(1)))
        .collect();
    assert!(remote[0] > 0, "nothing left the region: {all_requests:?}");
    let largest = fractions.windows(2).map(|it| (it[0] - it[1]).abs()).fold(0.0, f64::max);
    assert!(largest <= 0.15, "{fractions:?}");
}

/// Guards against uploads that queue in a region with too few instances for them.
#[tokio::test(start_paused = true)]
async fn uploads_leave_busy_region() {
    let mut now = Instant::now();
    let mut steering = two_regions(1, 8, now);
    let mut route = crate::common::route();
    route.repeat = kingcupford_steer::RepeatPolicy::Upload;
    let teams = vec![crate::common::team("two", 0.0)];
    let services = vec![crate::common::service("svc")];
    let limits = crate::common::limits();
    let manifest = Manifest::new(2, vec![route], services, teams, limits).unwrap();
    steering.apply_manifest(manifest, now);
    let head = RequestHead {
        host: "host.example",
        method: "POST",
        path: "/p/1",
        key: Some(b"key-two"),
        affinity_key: Some(b"x"),
        content_length: Some(60_000),
    };
    let plan = steering.admit(&head, now).unwrap();
    let busy = steering.instances.key("l0").unwrap();
    for _ in 0..4 {
        steering.record_sent(&plan, busy, now);
    }
    for step in 0..150u64 {
        advance(Duration::from_millis(100)).await;
        now = Instant::now();
        let mut idle = heartbeat("far", step + 1);
        let service_hash = name_hash("svc");
        idle.service_loads =
            vec![ServiceLoad { service_hash, utilization: 0.1, shift_share: None }];
        steering.receive_heartbeat(idle, address(1100), now);
        steering.tick(now);
    }
    steering.freshness.confirm(now);
    let fraction = remote_fraction(&mut steering, now);
    assert!(fraction > 0.3, "{fraction} of the uploads leave");
}

/// Guards against hosts that adopt each other's initial share before any of them knows all
/// instances. Such a share would stay unchanged until the first requests queue.
#[tokio::test(start_paused = true)]
async fn initial_share_by_all_instances() {
    let now = Instant::now();
    let mut steering = two_regions(1, 8, now);
    let own = steering.settings().zone_map.own_locality();
    steering.members.register(member("near", "a2", 1200), own, now);
    let mut early = heartbeat("near", 1);
    let service_hash = name_hash("svc");
    early.service_loads = vec![ServiceLoad { service_hash, utilization: 0.0, shift_share: None }];
    steering.receive_heartbeat(early, address(1200), now);
    steering.tick(now);
    let first = steering.selector.shift_state("svc").unwrap().0;
    assert!(first > 0.2, "{first}");
    let mut serving = heartbeat("near", 2);
    serving.service_loads =
        vec![ServiceLoad { service_hash, utilization: 0.5, shift_share: Some(0.1) }];
    steering.receive_heartbeat(serving, address(1200), now);
    steering.tick(now);
    let adopted = steering.selector.shift_state("svc").unwrap().0;
    assert!((adopted - 0.1).abs() < 1e-6, "{adopted}");
}

/// Guards against a region that serves its excess demand for the first seconds and moves it later:
/// deployments allow 0.15 of a region's requests to change their region within 2 s.
#[tokio::test(start_paused = true)]
async fn initial_share_covers_excess_demand() {
    // The region has half of the hosts, and so of the demand.
    let demand_fraction = 0.5;
    for (local, remote) in [(2, 7), (2, 10), (3, 5), (4, 4), (5, 3)] {
        let now = Instant::now();
        let mut steering = two_regions(local, remote, now);
        steering.tick(now);
        let share = steering.selector.shift_state("svc").unwrap().0;
        let slots_fraction = local as f64 / (local + remote) as f64;
        let local_demand = demand_fraction * (1.0 - share);
        let expected = slots_fraction.min(demand_fraction);
        assert!(
            (local_demand - expected).abs() < 0.01,
            "{local} of {} instances, share {share}: {local_demand} of the demand stays",
            local + remote
        );
    }
}
