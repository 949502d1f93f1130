//! Benchmark of the decision whether a request is within its tenant's share.

use std::{
    hint::black_box,
    time::{Duration, Instant as WallClock},
};

use criterion::{Criterion, criterion_group, criterion_main};
use kingcupford_config::{IsolationPolicy, Snapshot, Tenant};
use kingcupford_quota::{AcquireOutcome, Cap, Holder, Resource, WriteOutcome};
use tokio::time::Instant;

/// Tenants, whose accounts together exceed the first cache.
const TENANTS: usize = 512;

/// Requests between two ticks, about 50 ms of a busy host.
const PER_TICK: u64 = 1024;

/// Repetitions behind the printed figure.
const FIGURE_RUNS: u32 = 2_000_000;

/// A holder of the whole cap with half of its tenants within their rate.
struct Bench {
    /// The holder.
    holder: Holder,
    /// The tenants' rates.
    resources: Vec<Resource>,
    /// Start of the simulated time.
    start: Instant,
    /// Requests so far, 50 microseconds apart.
    step: u64,
}

impl Bench {
    /// A holder that created the ledger.
    fn new() -> Self {
        let start = Instant::now();
        let mut snapshot = Snapshot::default();
        let mut resources = Vec::new();
        let mut caps = Vec::new();
        for at in 0..TENANTS {
            let rate_per_s = if at % 2 == 0 { 1000.0 } else { 1.0 };
            let tenant = Tenant {
                name: format!("tenant-{at}"),
                rate_per_s,
                burst: rate_per_s,
                when_isolated: IsolationPolicy::Serve,
            };
            let name = tenant.name.clone();
            let resource = Resource::TenantRate(snapshot.tenants.insert(&name, tenant));
            resources.push(resource);
            caps.push((resource, Cap::Rate { rate_per_s, burst: rate_per_s }));
        }
        let mut holder = Holder::new("entry-1", "127.0.0.1:7400", 1, 1, start);
        holder.set_caps(caps, &snapshot, start);
        holder.ledger_missing();
        let mut res = Self { holder, resources, start, step: 0 };
        res.tick();
        res
    }

    /// Refreshes the leases as the control loop does.
    fn tick(&mut self) {
        let now = self.now();
        if self.holder.propose_ledger(now).is_some() {
            self.holder.proposal_done(WriteOutcome::Written(self.step + 1), now);
        }
        black_box(self.holder.tick::<&str>(now, &[]));
    }

    /// The simulated time.
    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.step * 50)
    }

    /// Decides on one request.
    fn decide(&mut self) -> AcquireOutcome {
        self.step += 1;
        if self.step.is_multiple_of(PER_TICK) {
            self.tick();
        }
        let resource = self.resources[self.step as usize * 7 % TENANTS];
        self.holder.acquire_tokens(black_box(resource), 1.0, self.now())
    }
}

/// Admits or refuses one request.
fn share(criterion: &mut Criterion) {
    let mut bench = Bench::new();
    let mut taken = 0;
    for _ in 0..FIGURE_RUNS / 10 {
        bench.decide();
    }
    let start = WallClock::now();
    for _ in 0..FIGURE_RUNS {
        taken += u32::from(bench.decide() == AcquireOutcome::Acquired);
    }
    let ns = start.elapsed().as_nanos() as f64 / f64::from(FIGURE_RUNS);
    assert!(taken > FIGURE_RUNS / 4 && taken < FIGURE_RUNS, "{taken} were admitted");
    println!("figure share_decision {ns:.1} ns");
    criterion.bench_function("share_decision", |bencher| bencher.iter(|| bench.decide()));
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = share
}
criterion_main!(benches);
