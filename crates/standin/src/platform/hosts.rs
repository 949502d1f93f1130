//! List of announced hosts, with a configurable lag behind the announcements.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::platform::store::MAX_RESTORE_AGE;

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
    /// Announcements of each host, oldest first, back to the one that a list needed
    /// [`MAX_RESTORE_AGE`] ago.
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
            let newest_until = |time: Instant| announcements.iter().rposition(|it| it.0 <= time);
            if let Some((announced_at, entry)) = newest_until(as_of).map(|it| &announcements[it])
                && as_of.duration_since(*announced_at) <= expiry
            {
                res.push(entry.clone());
            }
            let oldest_as_of = as_of.checked_sub(MAX_RESTORE_AGE);
            let oldest_needed = oldest_as_of.and_then(newest_until).unwrap_or(0);
            announcements.drain(..oldest_needed);
            let max_age = expiry + MAX_RESTORE_AGE;
            announcements.last().is_some_and(|it| as_of.duration_since(it.0) <= max_age)
        });
        res
    }

    /// Forgets the announcements that are younger than `age`.
    pub(crate) fn restore(&mut self, age: Duration, now: Instant) {
        for announcements in self.by_host.values_mut() {
            announcements.retain(|it| now.duration_since(it.0) >= age);
        }
        self.by_host.retain(|_, announcements| !announcements.is_empty());
    }
}
