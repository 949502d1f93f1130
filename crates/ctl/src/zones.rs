//! The zones as their speakers and the platform's list of hosts tell them.

use std::collections::BTreeMap;

use kingcupford_config::Declarations;
use kingcupford_engine::{LEDGER_NAME, ZONE_STATUS_PREFIX, ZoneStatus};
use kingcupford_platform::{HostEntry, ObjectStore as _};
use kingcupford_quota::Ledger;

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
    /// Hosts of its last state that hold a share of the ledger.
    pub(crate) holders: Vec<String>,
}

/// Reads zones again and again, and only the states that changed.
#[derive(Debug, Default)]
pub(crate) struct ZoneReader {
    /// States by name of the object, with the object's version.
    known: BTreeMap<String, (u64, ZoneStatus)>,
}

impl Zone {
    /// Whether the zone has, or may still have, running entry hosts.
    ///
    /// A host that shuts down hands its share back, and without a share a host admits nothing, so
    /// a silent zone without holders is not cut off but gone.
    pub(crate) fn has_hosts(&self) -> bool {
        let is_fresh = self.status.as_ref().is_some_and(|it| it.1 <= SILENT_MS);
        is_fresh || !self.listed.is_empty() || !self.holders.is_empty()
    }

    /// Hosts that are gone in the view of their zone but hold a share, so that they may run cut off.
    pub(crate) fn lost_hosts(&self) -> impl Iterator<Item = &str> {
        let hosts = self.status.iter().flat_map(|it| &it.0.hosts);
        let lost = hosts.filter(|it| it.state == "gone" && self.holders.contains(&it.name));
        lost.map(|it| it.name.as_str())
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
            .map(|it| match it.config_version {
                0 => format!("host {} ({}) has told no version", it.name, it.state),
                version => format!("host {} ({}) has version {version}", it.name, it.state),
            })
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
        let hosts: Vec<HostEntry> = session.answered(|| session.store.list_hosts()).await?;
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
        let ledger = session.json::<Ledger>(LEDGER_NAME).await?.map(|it| it.1).unwrap_or_default();
        let holds = |name: &str| {
            ledger.holders.iter().any(|it| it.name == name && (it.floor > 0 || it.main > 0))
        };
        for zone in zones.values_mut() {
            let hosts = zone.status.iter().flat_map(|it| &it.0.hosts).map(|it| &it.name);
            zone.holders = hosts.filter(|it| holds(it)).cloned().collect();
        }
        Ok(zones.into_values().collect())
    }
}

/// A zone of which nothing is known.
fn new_zone(name: &str) -> Zone {
    Zone {
        name: name.to_owned(),
        region: None,
        status: None,
        listed: Vec::new(),
        holders: Vec::new(),
    }
}
