//! Reading of load reports from the upstreams that this host is assigned.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt as _, stream};
use kingcupford_engine::{InstanceReport, POLL_INTERVAL, PollTarget};
use serde::Deserialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::host::Host;

/// Time for one read; a slow report is of no use.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads at the same time.
const MAX_READS: usize = 32;

/// The part of a report that is used; other fields are ignored.
#[derive(Debug, Deserialize)]
struct LoadBody {
    /// Requests that run.
    in_flight: u32,
    /// Whether the instance drains.
    #[serde(default)]
    draining: bool,
}

/// Reads the assigned instances and tells peers.
pub(crate) async fn poll_loop(host: &Arc<Host>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let targets = host.engine.lock().poll_targets();
        let started = Instant::now();
        let reads = targets.into_iter().map(|it| read(host, it));
        let reports: Vec<InstanceReport> = stream::iter(reads)
            .buffer_unordered(MAX_READS)
            .filter_map(|it| async { it })
            .collect()
            .await;
        if reports.is_empty() {
            continue;
        }
        let age_ms = u32::try_from(started.elapsed().as_millis()).unwrap_or(u32::MAX);
        let reports = reports.into_iter().map(|it| InstanceReport { age_ms, ..it }).collect();
        let envelopes = host.engine.lock().record_reports(reports, Instant::now());
        host.send(envelopes);
    }
}

/// Reads one instance, `None` when it does not answer.
async fn read(host: &Host, target: PollTarget) -> Option<InstanceReport> {
    let url = format!("http://{}/load", target.address);
    let response = host.upstreams.read_report(&url, READ_TIMEOUT).await?;
    let body: LoadBody = serde_json::from_slice(&response).ok()?;
    Some(InstanceReport {
        instance: target.instance,
        in_flight: body.in_flight,
        draining: body.draining,
        age_ms: 0,
    })
}
