//! Polls load reports of the upstream instances that are assigned to this host.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt as _, stream};
use kingcupford_engine::{InstanceReport, POLL_INTERVAL, PollTarget};
use serde::Deserialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::host::Host;

/// Timeout of one poll; a report that takes longer describes an outdated load.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 32;

/// JSON body of a load report; fields that are not listed are ignored.
#[derive(Debug, Deserialize)]
struct LoadBody {
    /// Number of running requests.
    in_flight: u32,
    #[serde(default)]
    draining: bool,
}

/// Polls the assigned instances at [`POLL_INTERVAL`] and relays their reports to peers.
///
/// All reports of a round get the time since the round began as their age, which is an upper bound.
pub(crate) async fn poll_loop(host: &Arc<Host>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let targets = host.engine.lock().poll_targets();
        let round_started_at = Instant::now();
        let polls = targets.into_iter().map(|it| poll(host, it));
        let reports: Vec<InstanceReport> = stream::iter(polls)
            .buffer_unordered(MAX_CONCURRENT_POLLS)
            .filter_map(|it| async { it })
            .collect()
            .await;
        if reports.is_empty() {
            continue;
        }
        let age_ms = u32::try_from(round_started_at.elapsed().as_millis()).unwrap_or(u32::MAX);
        let reports = reports.into_iter().map(|it| InstanceReport { age_ms, ..it }).collect();
        let envelopes = host.engine.lock().record_reports(reports, Instant::now());
        host.send(envelopes);
    }
}

/// Polls one instance. Returns `None` if it sends no valid report in time.
async fn poll(host: &Host, target: PollTarget) -> Option<InstanceReport> {
    let url = format!("http://{}/load", target.address);
    let report = host.upstreams.fetch_report(&url, POLL_TIMEOUT).await?;
    let body: LoadBody = serde_json::from_slice(&report).ok()?;
    Some(InstanceReport {
        instance: target.instance,
        in_flight: body.in_flight,
        draining: body.draining,
        age_ms: 0,
    })
}
