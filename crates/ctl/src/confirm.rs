//! The confirmation of a configuration version by every zone.

use std::time::Duration;

use kingcupford_config::{ChunkKind, Declarations};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{session::Session, zones::ZoneReader};

/// Wait between two readings of the zones' states, which are written every 2 s.
const POLL: Duration = Duration::from_millis(250);

/// Which zones confirmed a version.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Confirmation {
    /// Whether every zone with entry hosts did.
    pub(crate) confirmed: bool,
    /// Time until the last one did, or until the wait ended.
    pub(crate) time_ms: u64,
    /// Zones that did.
    pub(crate) zones: Vec<String>,
    /// Zones that did not.
    pub(crate) unconfirmed: Vec<Unconfirmed>,
    /// Hosts of confirmed zones that are gone in the view of their zone, but may run cut off.
    pub(crate) lost_hosts: Vec<String>,
}

/// A zone that has not confirmed a version.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Unconfirmed {
    /// Name of the zone.
    pub(crate) zone: String,
    /// Why.
    pub(crate) problem: String,
}

impl Confirmation {
    /// Waits until every zone has a version, or the time is over.
    pub(crate) async fn wait(session: &Session, version: u64, limit: Duration) -> Self {
        let started = Instant::now();
        let mut reader = ZoneReader::default();
        let mut topology = None;
        loop {
            let mut res = match Self::once(session, version, &mut reader, &mut topology).await {
                Some(it) => it,
                None => Self {
                    confirmed: false,
                    time_ms: 0,
                    zones: Vec::new(),
                    lost_hosts: Vec::new(),
                    unconfirmed: vec![Unconfirmed {
                        zone: "all".to_owned(),
                        problem: "the platform does not tell the zones' states".to_owned(),
                    }],
                },
            };
            res.time_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            if res.confirmed || started.elapsed() + POLL > limit {
                return res;
            }
            sleep(POLL).await;
        }
    }

    /// Reads the zones once.
    async fn once(
        session: &Session,
        version: u64,
        reader: &mut ZoneReader,
        topology: &mut Option<Declarations>,
    ) -> Option<Self> {
        if topology.is_none() {
            let head = session.head().await.ok()??;
            *topology = Some(session.declared(&head.head, &[ChunkKind::Topology]).await.ok()?);
        }
        let zones = reader.read(session, topology.as_ref()?).await.ok()?;
        let mut res = Self {
            confirmed: true,
            time_ms: 0,
            zones: Vec::new(),
            unconfirmed: Vec::new(),
            lost_hosts: Vec::new(),
        };
        for zone in zones.iter().filter(|it| it.has_hosts()) {
            match zone.unconfirmed(version) {
                None => {
                    res.zones.push(zone.name.clone());
                    res.lost_hosts.extend(zone.lost_hosts().map(str::to_owned));
                }
                Some(problem) => {
                    res.unconfirmed.push(Unconfirmed { zone: zone.name.clone(), problem });
                }
            }
        }
        res.confirmed = res.unconfirmed.is_empty();
        Some(res)
    }
}
