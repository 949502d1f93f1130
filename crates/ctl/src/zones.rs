//! State of the zones, from the status objects of their speakers, the platform's list of hosts and
//! the ledger.

use std::collections::BTreeMap;

use kingcupford_config::Declarations;
use kingcupford_engine::{LEDGER_NAME, ZONE_STATUS_PREFIX, ZoneStatus};
use kingcupford_platform::{HostEntry, ObjectStore as _};
use kingcupford_quota::Ledger;

use crate::{console::CommandError, session::Session};

/// Age of a status above which the zone counts as silent; speakers write the status every 2 s.
pub(crate) const STATUS_STALENESS_THRESHOLD_MS: u64 = 10_000;

/// Known state of one zone.
#[derive(Debug, Clone)]
pub(crate) struct Zone {
    pub(crate) name: String,
    /// Name of the region, `None` if the zone is not declared.
    pub(crate) region: Option<String>,
    /// Last status that the zone's speaker wrote, and its age in milliseconds by the platform's
    /// clock.
    pub(crate) status: Option<(ZoneStatus, u64)>,
    /// Names of the zone's hosts in the platform's list of hosts.
    pub(crate) listed_hosts: Vec<String>,
    /// Names of the hosts in `status` that hold a share according to the ledger.
    pub(crate) share_holders: Vec<String>,
}

/// Reads the zones repeatedly, and fetches only status objects that changed since the last read.
#[derive(Debug, Default)]
pub(crate) struct ZoneReader {
    /// Status by name of its object, with the object's version.
    statuses: BTreeMap<String, (u64, ZoneStatus)>,
}

impl Zone {
    /// Returns whether the zone has, or may still have, running entry hosts.
    ///
    /// A host that shuts down releases its share, and a host without a share admits no requests. A
    /// silent zone without listed hosts and share holders is therefore gone rather than cut off.
    pub(crate) fn has_hosts(&self) -> bool {
        let is_current =
            self.status.as_ref().is_some_and(|it| it.1 <= STATUS_STALENESS_THRESHOLD_MS);
        is_current || !self.listed_hosts.is_empty() || !self.share_holders.is_empty()
    }

    /// Returns the hosts that are gone in the view of their zone but hold a share, and so may still
    /// run while cut off.
    pub(crate) fn lost_hosts(&self) -> impl Iterator<Item = &str> {
        let hosts = self.status.iter().flat_map(|it| &it.0.hosts);
        let lost = hosts.filter(|it| it.state == "gone" && self.share_holders.contains(&it.name));
        lost.map(|it| it.name.as_str())
    }

    /// Returns whether the zone's status is missing or stale.
    pub(crate) fn is_silent(&self) -> bool {
        self.status.as_ref().is_none_or(|it| it.1 > STATUS_STALENESS_THRESHOLD_MS)
    }

    /// Returns why the zone has not confirmed a configuration version, `None` if it has confirmed
    /// the version or has no hosts.
    pub(crate) fn unconfirmed_reason(&self, version: u64) -> Option<String> {
        if !self.has_hosts() {
            return None;
        }
        let Some((status, age_ms)) = &self.status else {
            return Some("has written no state yet".to_owned());
        };
        let outdated = status.hosts.iter();
        let outdated = outdated.filter(|it| it.state != "gone" && it.config_version < version);
        let outdated: Vec<String> = outdated
            .map(|it| match it.config_version {
                0 => format!("host {} ({}) has told no version", it.name, it.state),
                version => format!("host {} ({}) has version {version}", it.name, it.state),
            })
            .collect();
        if outdated.is_empty() {
            return None;
        }
        let silence = (*age_ms > STATUS_STALENESS_THRESHOLD_MS)
            .then(|| format!("silent for {} s", age_ms / 1000));
        Some(silence.into_iter().chain(outdated).collect::<Vec<_>>().join(", "))
    }
}

impl ZoneReader {
    /// Returns the declared zones and the zones with hosts or a status, sorted by name.
    pub(crate) async fn read(
        &mut self,
        session: &Session,
        topology: &Declarations,
    ) -> Result<Vec<Zone>, CommandError> {
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for region in &topology.regions {
            for name in &region.zones {
                zones.entry(name.clone()).or_insert_with(|| empty_zone(name)).region =
                    Some(region.name.clone());
            }
        }
        let hosts: Vec<HostEntry> = session.read_with_retry(|| session.store.list_hosts()).await?;
        for host in hosts {
            let zone = zones.entry(host.zone.clone()).or_insert_with(|| empty_zone(&host.zone));
            zone.listed_hosts.push(host.name);
        }
        let listing = session.read_with_retry(|| session.store.list(ZONE_STATUS_PREFIX)).await?;
        for object in listing.objects {
            let unchanged = self.statuses.get(&object.name).filter(|it| it.0 == object.version);
            if unchanged.is_none() {
                // A status that cannot be parsed is treated as missing.
                match session.read_json::<ZoneStatus>(&object.name).await {
                    Ok(Some(it)) => self.statuses.insert(object.name.clone(), it),
                    Ok(None) => continue,
                    Err(it) if it.exit_status == crate::exit::ExitStatus::Internal => continue,
                    Err(it) => return Err(it),
                };
            }
            let Some((_, status)) = self.statuses.get(&object.name) else { continue };
            let zone = zones.entry(status.zone.clone()).or_insert_with(|| empty_zone(&status.zone));
            zone.status = Some((status.clone(), object.age_ms));
        }
        let ledger =
            session.read_json::<Ledger>(LEDGER_NAME).await?.map(|it| it.1).unwrap_or_default();
        let holds_share = |name: &str| {
            ledger.holders.iter().any(|it| it.name == name && (it.floor > 0 || it.main > 0))
        };
        for zone in zones.values_mut() {
            let hosts = zone.status.iter().flat_map(|it| &it.0.hosts).map(|it| &it.name);
            zone.share_holders = hosts.filter(|it| holds_share(it)).cloned().collect();
        }
        Ok(zones.into_values().collect())
    }
}

fn empty_zone(name: &str) -> Zone {
    Zone {
        name: name.to_owned(),
        region: None,
        status: None,
        listed_hosts: Vec::new(),
        share_holders: Vec::new(),
    }
}
