//! A tenant's rate and burst over all hosts together, measured at the upstreams.

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

use crate::support::{Fleet, run, settings};

/// Rate of tenant `school-2`.
const RATE_PER_S: f64 = 200.0;

/// Burst of tenant `school-2`.
const BURST: f64 = 400.0;

/// Requests of one tenant that are sent at a set rate to a set host.
struct Demand {
    /// The host that gets new requests; larger numbers mean all hosts in turn.
    target: AtomicUsize,
    /// Requests sent.
    sent: AtomicU64,
    /// Requests refused because of the tenant's rate.
    refused: AtomicU64,
    /// Ends the sending.
    stopped: AtomicBool,
}

impl Demand {
    /// Starts to send.
    fn start(fleet: &Fleet, key: &str, rate_per_s: f64, target: usize) -> Arc<Self> {
        let res = Arc::new(Self {
            target: AtomicUsize::new(target),
            sent: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let urls: Vec<_> =
            (0..fleet.hosts.len()).map(|at| fleet.url(at, "/ledger-view/a")).collect();
        let (demand, client, key) = (Arc::clone(&res), fleet.client.clone(), key.to_owned());
        tokio::spawn(async move {
            let started = Instant::now();
            for number in 0.. {
                if demand.stopped.load(Ordering::Relaxed) {
                    return;
                }
                sleep_until(started + Duration::from_secs_f64(number as f64 / rate_per_s)).await;
                let target = demand.target.load(Ordering::Relaxed);
                let at = if target < urls.len() { target } else { number % urls.len() };
                let request = client.get(&urls[at]).header("authorization", &key);
                let request = request.timeout(Duration::from_secs(2));
                let demand = Arc::clone(&demand);
                demand.sent.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    if request.send().await.is_ok_and(|it| it.status() == 429) {
                        demand.refused.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        res
    }

    /// Ends the sending.
    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Requests that started at all upstreams so far, with the times around the reading.
type Sample = (Instant, u64, Instant);

/// Reads the upstreams' counts until `until`.
async fn sample(fleet: &Fleet, samples: &mut Vec<Sample>, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let before = Instant::now();
        let started = fleet.deployment.upstreams.iter().map(|it| it.counts().started).sum();
        samples.push((before, started, Instant::now()));
        sleep(Duration::from_millis(2)).await;
    }
}

/// The most requests above `rate * T` that started within any window of length T.
fn largest_excess(samples: &[Sample]) -> f64 {
    let (mut lowest, mut res) = (f64::INFINITY, 0.0_f64);
    let Some((origin, ..)) = samples.first() else { return 0.0 };
    for (before, started, after) in samples {
        let refilled = |at: Instant| RATE_PER_S * at.duration_since(*origin).as_secs_f64();
        // The window reaches from before the first reading to after the second.
        res = res.max(*started as f64 - refilled(*after) - lowest);
        lowest = lowest.min(*started as f64 - refilled(*before));
    }
    res
}

/// Guards against more than rate and burst over four hosts while demand moves from host to host,
/// the platform is down, and hosts are killed, started again and paused.
#[test]
fn tenant_rate_through_faults() {
    run(async {
        let mut fleet = Fleet::start(settings(4, &["fukuoka-a", "kumamoto-a"], 64)).await?;
        let key = fleet.key("k", "school-2").await?;
        let demand = Demand::start(&fleet, &key, 3.0 * RATE_PER_S, usize::MAX);
        let mut samples = Vec::new();
        for target in [0, 1, 2, 3, 9] {
            demand.target.store(target, Ordering::Relaxed);
            sample(&fleet, &mut samples, Duration::from_millis(1500)).await;
        }
        let outage =
            PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(outage);
        let platform_down = Instant::now();
        fleet.host(1).signal("STOP")?;
        sample(&fleet, &mut samples, Duration::from_secs(5)).await;
        fleet.host(1).signal("CONT")?;
        sample(&fleet, &mut samples, Duration::from_secs(4)).await;
        fleet.hosts[2].take().expect("it runs").kill();
        sample(&fleet, &mut samples, Duration::from_secs(3)).await;
        fleet.start_host(2)?;
        let left = Duration::from_secs(20).saturating_sub(platform_down.elapsed());
        sample(&fleet, &mut samples, left).await;
        fleet.deployment.platform.set_faults(PlatformFaults::default());
        demand.target.store(3, Ordering::Relaxed);
        sample(&fleet, &mut samples, Duration::from_secs(3)).await;
        // The killed host's demand is reclaimed or taken back after the outage.
        demand.target.store(9, Ordering::Relaxed);
        sample(&fleet, &mut samples, Duration::from_secs(4)).await;
        demand.stop();

        let excess = largest_excess(&samples);
        let (first, last) = (samples[0], samples[samples.len() - 1]);
        let time = last.2.duration_since(first.0).as_secs_f64();
        let served = (last.1 - first.1) as f64 / time;
        println!(
            "largest excess {excess:.1} of burst {BURST}, served {served:.1}/s of {RATE_PER_S}/s"
        );
        ensure!(excess <= BURST, "{excess} requests above the rate in a window, burst {BURST}");
        Ok(())
    });
}

/// Sends 90% of the rate to each target in turn and fails at 1% of refusals.
async fn check_moved_demand(targets: &[usize]) -> anyhow::Result<()> {
    let fleet = Fleet::start(settings(4, &["fukuoka-a", "kumamoto-a"], 64)).await?;
    let key = fleet.key("k", "school-2").await?;
    let demand = Demand::start(&fleet, &key, 0.9 * RATE_PER_S, targets[0]);
    for target in targets {
        demand.target.store(*target, Ordering::Relaxed);
        sleep(Duration::from_secs(4)).await;
    }
    demand.stop();
    sleep(Duration::from_millis(500)).await;
    let sent = demand.sent.load(Ordering::Relaxed);
    let refused = demand.refused.load(Ordering::Relaxed);
    println!("refused although within the rate: {refused} of {sent}, targets {targets:?}");
    ensure!(refused * 100 < sent, "{refused} of {sent} requests within the rate were refused");
    Ok(())
}

/// Guards against refusals of a tenant that stays within its rate when its demand moves from all
/// hosts to one.
#[test]
fn tenant_rate_moves_from_all_hosts() {
    run(check_moved_demand(&[usize::MAX, 1]));
}

/// Guards against refusals of a tenant that stays within its rate when its demand moves from one
/// host to the next, while what the first borrowed is still lent.
#[test]
fn tenant_rate_moves_between_hosts() {
    run(check_moved_demand(&[0, 1, 2]));
}
