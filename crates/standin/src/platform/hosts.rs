//! List of announced hosts, with a configurable lag behind the announcements.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One host as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for connections from other hosts.
    pub peer_address: SocketAddr,
    /// Addresses for connections from callers.
    pub public_addresses: Vec<SocketAddr>,
    /// State of the host at its announcement.
    pub state: ListedHostState,
}

/// Whether a host takes traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedHostState {
    /// The host takes traffic.
    Live,
    /// The host is draining and will shut down.
    #[serde(rename = "leaving")]
    Draining,
}

/// Announcements of all hosts, with the history that a lagging list needs.
#[derive(Debug, Default)]
pub(crate) struct HostAnnouncements {
    /// Announcements of each host, oldest first.
    by_host: BTreeMap<String, Vec<(Instant, HostEntry)>>,
    /// Time since which the list is frozen. Later announcements are not listed.
    frozen_at: Option<Instant>,
}

impl HostAnnouncements {
    /// Records an announcement.
    pub(crate) fn record(&mut self, entry: HostEntry, now: Instant) {
        self.by_host.entry(entry.name.clone()).or_default().push((now, entry));
    }

    /// Freezes the list, unless it is frozen already, or ends the freeze.
    pub(crate) fn set_frozen(&mut self, is_frozen: bool, now: Instant) {
        self.frozen_at = is_frozen.then(|| self.frozen_at.unwrap_or(now));
    }

    /// Returns the list as of `lag` ago. Hosts whose last announcement was older than `expiry` at
    /// that time are left out.
    pub(crate) fn list(&mut self, now: Instant, lag: Duration, expiry: Duration) -> Vec<HostEntry> {
        let Some(as_of) = self.frozen_at.unwrap_or(now).checked_sub(lag) else {
            return Vec::new();
        };
        let mut res = Vec::new();
        self.by_host.retain(|_, announcements| {
            let latest = announcements.iter().rposition(|it| it.0 <= as_of);
            let Some(latest) = latest else { return true };
            announcements.drain(..latest);
            let (announced_at, entry) = &announcements[0];
            let is_listed = as_of.duration_since(*announced_at) <= expiry;
            if is_listed {
                res.push(entry.clone());
            }
            is_listed || announcements.len() > 1
        });
        res
    }
}
