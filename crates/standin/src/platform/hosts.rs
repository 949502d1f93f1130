//! The list of announced hosts, which lags behind the announcements.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One announced host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub public_addresses: Vec<SocketAddr>,
    /// Whether it stays.
    pub state: HostState,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It takes traffic.
    Live,
    /// It shuts down.
    Leaving,
}

/// Announcements by host, with the history that a lagging list needs.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    /// Announcements of each host, oldest first.
    announced: BTreeMap<String, Vec<(Instant, HostEntry)>>,
    /// The list shows no announcement after this time.
    frozen_at: Option<Instant>,
}

impl Hosts {
    /// Records an announcement.
    pub(crate) fn announce(&mut self, entry: HostEntry, now: Instant) {
        self.announced.entry(entry.name.clone()).or_default().push((now, entry));
    }

    /// Freezes the list, or lets it move again.
    pub(crate) fn freeze(&mut self, frozen: bool, now: Instant) {
        self.frozen_at = frozen.then(|| self.frozen_at.unwrap_or(now));
    }

    /// The list as it was `lag` ago, without entries announced longer than `expiry` before that.
    pub(crate) fn list(&mut self, now: Instant, lag: Duration, expiry: Duration) -> Vec<HostEntry> {
        let Some(at) = self.frozen_at.unwrap_or(now).checked_sub(lag) else { return Vec::new() };
        let mut res = Vec::new();
        self.announced.retain(|_, entries| {
            let visible = entries.iter().rposition(|it| it.0 <= at);
            let Some(visible) = visible else { return true };
            entries.drain(..visible);
            let (announced_at, entry) = &entries[0];
            let live = at.duration_since(*announced_at) <= expiry;
            if live {
                res.push(entry.clone());
            }
            live || entries.len() > 1
        });
        res
    }
}
