//! Waiting until every zone has confirmed a configuration version.

use std::time::Duration;

use kingcupford_config::{ChunkKind, Declarations};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{session::Session, zones::ZoneReader};

// Zones write their status every 2 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Confirmation of a configuration version by the zones.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Confirmation {
    /// Whether every zone with entry hosts confirmed the version.
    pub(crate) confirmed: bool,
    /// Time until the last zone confirmed the version, or until the wait ended.
    pub(crate) time_ms: u64,
    /// Names of the zones that confirmed the version.
    pub(crate) zones: Vec<String>,
    /// Zones with entry hosts that did not confirm the version.
    pub(crate) unconfirmed: Vec<UnconfirmedZone>,
    /// Hosts that are gone in the view of their confirmed zone, but may still run while cut off.
    pub(crate) lost_hosts: Vec<String>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnconfirmedZone {
    pub(crate) zone: String,
    /// Reason for which the zone counts as unconfirmed.
    pub(crate) problem: String,
}

impl Confirmation {
    /// Waits until every zone with entry hosts has confirmed `version`, at most for `limit`.
    pub(crate) async fn wait(session: &Session, version: u64, limit: Duration) -> Self {
        let started = Instant::now();
        let mut zone_reader = ZoneReader::default();
        let mut topology = None;
        loop {
            let mut res =
                match Self::read_once(session, version, &mut zone_reader, &mut topology).await {
                    Some(it) => it,
                    None => Self {
                        confirmed: false,
                        time_ms: 0,
                        zones: Vec::new(),
                        lost_hosts: Vec::new(),
                        unconfirmed: vec![UnconfirmedZone {
                            zone: "all".to_owned(),
                            problem: "the platform does not tell the zones' states".to_owned(),
                        }],
                    },
                };
            res.time_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            if res.confirmed || started.elapsed() + POLL_INTERVAL > limit {
                return res;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the zones once; returns `None` if the platform cannot be read.
    async fn read_once(
        session: &Session,
        version: u64,
        zone_reader: &mut ZoneReader,
        topology: &mut Option<Declarations>,
    ) -> Option<Self> {
        if topology.is_none() {
            let head = session.read_head().await.ok()??;
            *topology =
                Some(session.read_declarations(&head.head, &[ChunkKind::Topology]).await.ok()?);
        }
        let zones = zone_reader.read(session, topology.as_ref()?).await.ok()?;
        let mut res = Self {
            confirmed: true,
            time_ms: 0,
            zones: Vec::new(),
            unconfirmed: Vec::new(),
            lost_hosts: Vec::new(),
        };
        for zone in zones.iter().filter(|it| it.has_hosts()) {
            match zone.unconfirmed_reason(version) {
                None => {
                    res.zones.push(zone.name.clone());
                    res.lost_hosts.extend(zone.lost_hosts().map(str::to_owned));
                }
                Some(problem) => {
                    res.unconfirmed.push(UnconfirmedZone { zone: zone.name.clone(), problem });
                }
            }
        }
        res.confirmed = res.unconfirmed.is_empty();
        Some(res)
    }
}
