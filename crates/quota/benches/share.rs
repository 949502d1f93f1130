//! Benchmark of the decision whether a request is within the share of its team's rate.

use std::{
    hint::black_box,
    time::{Duration, Instant as WallClock},
};

use criterion::{Criterion, criterion_group, criterion_main};
use kingcupford_config::{IsolationPolicy, Snapshot, Team};
use kingcupford_quota::{AcquireOutcome, Cap, Holder, Resource, WriteOutcome};
use tokio::time::Instant;

/// Number of teams, whose limiters together exceed the L1 cache.
const TEAMS: usize = 512;

/// Number of requests between two ticks, about 50 ms on a busy host.
const REQUESTS_PER_TICK: u64 = 1024;

/// Number of decisions that the printed figure averages.
const FIGURE_DECISIONS: u32 = 2_000_000;

/// Holder of the whole cap, with half of the teams within their rates.
struct Bench {
    holder: Holder,
    resources: Vec<Resource>,
    start: Instant,
    /// Number of requests so far, 50 us apart.
    requests: u64,
}

impl Bench {
    /// Creates a holder that has created the ledger.
    fn new() -> Self {
        let start = Instant::now();
        let mut snapshot = Snapshot::default();
        let mut resources = Vec::new();
        let mut caps = Vec::new();
        for at in 0..TEAMS {
            let rate_per_s = if at % 2 == 0 { 1000.0 } else { 1.0 };
            let team = Team {
                name: format!("tenant-{at}"),
                rate_per_s,
                burst: rate_per_s,
                when_isolated: IsolationPolicy::Serve,
            };
            let name = team.name.clone();
            let resource = Resource::TeamRate(snapshot.teams.insert(&name, team));
            resources.push(resource);
            caps.push((resource, Cap::Rate { rate_per_s, burst: rate_per_s }));
        }
        let mut holder = Holder::new("entry-1", "127.0.0.1:7400", 1, 1, start);
        holder.set_caps(caps, &snapshot, start);
        holder.ledger_missing();
        let mut res = Self { holder, resources, start, requests: 0 };
        res.tick();
        res
    }

    /// Refreshes the leases, as the control loop does.
    fn tick(&mut self) {
        let now = self.now();
        if self.holder.propose_ledger(now).is_some() {
            self.holder.proposal_done(WriteOutcome::Written(self.requests + 1), now);
        }
        black_box(self.holder.tick::<&str>(now, &[]));
    }

    /// Current simulated time.
    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.requests * 50)
    }

    fn decide(&mut self) -> AcquireOutcome {
        self.requests += 1;
        if self.requests.is_multiple_of(REQUESTS_PER_TICK) {
            self.tick();
        }
        let resource = self.resources[self.requests as usize * 7 % TEAMS];
        self.holder.acquire_tokens(black_box(resource), 1.0, self.now())
    }
}

/// Measures the time of admitting or refusing one request.
fn share_decision(criterion: &mut Criterion) {
    let mut bench = Bench::new();
    let mut admitted = 0;
    for _ in 0..FIGURE_DECISIONS / 10 {
        bench.decide();
    }
    let start = WallClock::now();
    for _ in 0..FIGURE_DECISIONS {
        admitted += u32::from(bench.decide() == AcquireOutcome::Acquired);
    }
    let ns = start.elapsed().as_nanos() as f64 / f64::from(FIGURE_DECISIONS);
    assert!(
        admitted > FIGURE_DECISIONS / 4 && admitted < FIGURE_DECISIONS,
        "{admitted} were admitted"
    );
    println!("figure share_decision {ns:.1} ns");
    criterion.bench_function("share_decision", |bencher| bencher.iter(|| bench.decide()));
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = share_decision
}
criterion_main!(benches);
