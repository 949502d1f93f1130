//! Rate and burst of a team over all hosts together, measured at the upstreams.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use anyhow::ensure;
use kingcupford_standin::{OutageMode, PlatformFaults};
use tokio::time::{Instant, sleep, sleep_until};

use crate::support::{TestFleet, run_test, settings};

/// Rate of team `school-2`.
const RATE_PER_S: f64 = 200.0;

/// Burst of team `school-2` in requests.
const BURST: f64 = 400.0;

/// Generator that sends requests of one team at a constant rate to a selected host.
struct LoadGenerator {
    /// Index of the host that gets new requests; an index without a host selects all hosts in turn.
    target: AtomicUsize,
    sent: AtomicU64,
    /// Number of requests refused because of the team's rate.
    refused: AtomicU64,
    stopped: AtomicBool,
}

impl LoadGenerator {
    fn start(fleet: &TestFleet, key: &str, rate_per_s: f64, target: usize) -> Arc<Self> {
        let res = Arc::new(Self {
            target: AtomicUsize::new(target),
            sent: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let urls: Vec<_> =
            (0..fleet.hosts.len()).map(|index| fleet.url(index, "/ledger-view/a")).collect();
        let (generator, client, key) = (Arc::clone(&res), fleet.client.clone(), key.to_owned());
        tokio::spawn(async move {
            let started = Instant::now();
            for number in 0.. {
                if generator.stopped.load(Ordering::Relaxed) {
                    return;
                }
                sleep_until(started + Duration::from_secs_f64(number as f64 / rate_per_s)).await;
                let target = generator.target.load(Ordering::Relaxed);
                let index = if target < urls.len() { target } else { number % urls.len() };
                let request = client.get(&urls[index]).header("authorization", &key);
                let request = request.timeout(Duration::from_secs(2));
                let generator = Arc::clone(&generator);
                generator.sent.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    if request.send().await.is_ok_and(|it| it.status() == 429) {
                        generator.refused.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        res
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Number of requests that have started at all upstreams, between the times before and after the
/// reading.
type Sample = (Instant, u64, Instant);

/// Samples the counts of the upstreams for a duration.
async fn collect_samples(fleet: &TestFleet, samples: &mut Vec<Sample>, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        let before = Instant::now();
        let started = fleet.deployment.upstreams.iter().map(|it| it.counts().started).sum();
        samples.push((before, started, Instant::now()));
        sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the largest number of requests above `rate * T` that started within any window of length
/// T.
fn largest_excess(samples: &[Sample]) -> f64 {
    let (mut min_excess, mut res) = (f64::INFINITY, 0.0_f64);
    let Some((origin, ..)) = samples.first() else { return 0.0 };
    for (before, started, after) in samples {
        let refilled = |at: Instant| RATE_PER_S * at.duration_since(*origin).as_secs_f64();
        // The window extends from before the first reading to after the second one, so that the
        // duration of the readings cannot increase the result.
        res = res.max(*started as f64 - refilled(*after) - min_excess);
        min_excess = min_excess.min(*started as f64 - refilled(*before));
    }
    res
}

/// Guards against a team that exceeds rate and burst over four hosts together, while demand moves
/// from host to host, the platform is unavailable, and hosts are paused, killed and restarted.
#[test]
fn team_rate_through_faults() {
    run_test(async {
        let mut fleet = TestFleet::start(settings(4, &["fukuoka-a", "kumamoto-a"], 64)).await?;
        let key = fleet.issue_key("k", "school-2").await?;
        let generator = LoadGenerator::start(&fleet, &key, 3.0 * RATE_PER_S, usize::MAX);
        let mut samples = Vec::new();
        for target in [0, 1, 2, 3, 9] {
            generator.target.store(target, Ordering::Relaxed);
            collect_samples(&fleet, &mut samples, Duration::from_millis(1500)).await;
        }
        let outage =
            PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(outage);
        let outage_started_at = Instant::now();
        fleet.host(1).signal("STOP")?;
        collect_samples(&fleet, &mut samples, Duration::from_secs(5)).await;
        fleet.host(1).signal("CONT")?;
        collect_samples(&fleet, &mut samples, Duration::from_secs(4)).await;
        fleet.hosts[2].take().expect("the host is running").kill();
        collect_samples(&fleet, &mut samples, Duration::from_secs(3)).await;
        fleet.start_host(2)?;
        let outage_left = Duration::from_secs(20).saturating_sub(outage_started_at.elapsed());
        collect_samples(&fleet, &mut samples, outage_left).await;
        fleet.deployment.platform.set_faults(PlatformFaults::default());
        generator.target.store(3, Ordering::Relaxed);
        collect_samples(&fleet, &mut samples, Duration::from_secs(3)).await;
        // After the outage, the share of the killed host is reclaimed or acquired again.
        generator.target.store(9, Ordering::Relaxed);
        collect_samples(&fleet, &mut samples, Duration::from_secs(4)).await;
        generator.stop();

        let excess = largest_excess(&samples);
        let (first, last) = (samples[0], samples[samples.len() - 1]);
        let elapsed_s = last.2.duration_since(first.0).as_secs_f64();
        let served = (last.1 - first.1) as f64 / elapsed_s;
        println!(
            "largest excess {excess:.1} of burst {BURST}, served {served:.1}/s of {RATE_PER_S}/s"
        );
        ensure!(excess <= BURST, "{excess} requests above the rate in a window, burst {BURST}");
        Ok(())
    });
}

/// Sends 90% of the team's rate to each target in turn, and fails if 1% of the requests or more
/// are refused.
async fn check_moved_demand(targets: &[usize]) -> anyhow::Result<()> {
    let fleet = TestFleet::start(settings(4, &["fukuoka-a", "kumamoto-a"], 64)).await?;
    let key = fleet.issue_key("k", "school-2").await?;
    let generator = LoadGenerator::start(&fleet, &key, 0.9 * RATE_PER_S, targets[0]);
    for target in targets {
        generator.target.store(*target, Ordering::Relaxed);
        sleep(Duration::from_secs(4)).await;
    }
    generator.stop();
    sleep(Duration::from_millis(500)).await;
    let sent = generator.sent.load(Ordering::Relaxed);
    let refused = generator.refused.load(Ordering::Relaxed);
    println!("refused although within the rate: {refused} of {sent}, targets {targets:?}");
    ensure!(refused * 100 < sent, "{refused} of {sent} requests within the rate were refused");
    Ok(())
}

/// Guards against refusals of a team that stays within the rate when demand moves from all hosts
/// to one.
#[test]
fn team_rate_moves_from_all_hosts() {
    run_test(check_moved_demand(&[usize::MAX, 1]));
}

/// Guards against refusals of a team that stays within the rate when demand moves from one host
/// to the next, while the loans of the first host have not ended.
#[test]
fn team_rate_moves_between_hosts() {
    run_test(check_moved_demand(&[0, 1, 2]));
}
