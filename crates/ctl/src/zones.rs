//! The zones as their speakers and the platform's list of hosts tell them.

use std::collections::BTreeMap;

use kingcupford_config::Declarations;
use kingcupford_engine::{ZONE_STATUS_PREFIX, ZoneStatus};
use kingcupford_platform::{HostEntry, ObjectStore as _};

use crate::{console::Failure, session::Session};

/// Time without a new state after which a zone counts as silent; states are written every 2 s.
pub(crate) const SILENT_MS: u64 = 10_000;

/// What is known of one zone.
#[derive(Debug, Clone)]
pub(crate) struct Zone {
    /// Name of the zone.
    pub(crate) name: String,
    /// Name of its region, `None` when it is not declared.
    pub(crate) region: Option<String>,
    /// Its last state with its age by the platform's clock.
    pub(crate) status: Option<(ZoneStatus, u64)>,
    /// Hosts of the zone in the platform's list.
    pub(crate) listed: Vec<String>,
}

/// Reads zones again and again, and only the states that changed.
#[derive(Debug, Default)]
pub(crate) struct ZoneReader {
    /// States by name of the object, with the object's version.
    known: BTreeMap<String, (u64, ZoneStatus)>,
}

impl Zone {
    /// Whether the zone has, or may still have, running entry hosts.
    pub(crate) fn has_hosts(&self) -> bool {
        let Some((status, age_ms)) = &self.status else { return !self.listed.is_empty() };
        if *age_ms <= SILENT_MS || !self.listed.is_empty() {
            return true;
        }
        // A zone whose last hosts shut down leaves its last state behind.
        let may_run = status.hosts.iter().any(|it| it.state != "draining" && it.state != "gone");
        self.region.is_some() && may_run
    }

    /// Whether the zone's state is missing or old.
    pub(crate) fn is_silent(&self) -> bool {
        self.status.as_ref().is_none_or(|it| it.1 > SILENT_MS)
    }

    /// Why the zone has not confirmed a configuration version, `None` when it has.
    pub(crate) fn unconfirmed(&self, version: u64) -> Option<String> {
        if !self.has_hosts() {
            return None;
        }
        let Some((status, age_ms)) = &self.status else {
            return Some("has written no state yet".to_owned());
        };
        let behind = status.hosts.iter();
        let behind = behind.filter(|it| it.state != "gone" && it.config_version < version);
        let behind: Vec<String> = behind
            .map(|it| format!("host {} ({}) has version {}", it.name, it.state, it.config_version))
            .collect();
        if behind.is_empty() {
            return None;
        }
        let silent = (*age_ms > SILENT_MS).then(|| format!("silent for {} s", age_ms / 1000));
        Some(silent.into_iter().chain(behind).collect::<Vec<_>>().join(", "))
    }
}

impl ZoneReader {
    /// Reads the declared zones and those with hosts or states, sorted by name.
    pub(crate) async fn read(
        &mut self,
        session: &Session,
        topology: &Declarations,
    ) -> Result<Vec<Zone>, Failure> {
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for region in &topology.regions {
            for name in &region.zones {
                zones.entry(name.clone()).or_insert_with(|| new_zone(name)).region =
                    Some(region.name.clone());
            }
        }
        let hosts: Vec<HostEntry> = session.answered(|| session.store.hosts()).await?;
        for host in hosts {
            let zone = zones.entry(host.zone.clone()).or_insert_with(|| new_zone(&host.zone));
            zone.listed.push(host.name);
        }
        let listing = session.answered(|| session.store.list(ZONE_STATUS_PREFIX)).await?;
        for object in listing.objects {
            let known = self.known.get(&object.name).filter(|it| it.0 == object.version);
            if known.is_none() {
                // A state of an unreadable format is treated as missing.
                match session.json::<ZoneStatus>(&object.name).await {
                    Ok(Some(it)) => self.known.insert(object.name.clone(), it),
                    Ok(None) => continue,
                    Err(it) if it.exit == crate::exit::Exit::Internal => continue,
                    Err(it) => return Err(it),
                };
            }
            let Some((_, status)) = self.known.get(&object.name) else { continue };
            let zone = zones.entry(status.zone.clone()).or_insert_with(|| new_zone(&status.zone));
            zone.status = Some((status.clone(), object.age_ms));
        }
        Ok(zones.into_values().collect())
    }
}

/// A zone of which nothing is known.
fn new_zone(name: &str) -> Zone {
    Zone { name: name.to_owned(), region: None, status: None, listed: Vec::new() }
}
