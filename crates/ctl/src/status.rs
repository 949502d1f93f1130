//! The state of the whole deployment.

use std::{fmt::Write as _, time::Duration};

use kingcupford_config::ChunkKind;
use kingcupford_engine::LEDGER_NAME;
use kingcupford_quota::{Ledger, UNITS_PER_CAP};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    console::{Console, Failure},
    exit::Exit,
    rollout_view::{self, RolloutView, read_all},
    session::Session,
    table::Table,
    zones::{Zone, ZoneReader},
};

/// Default time between two readings of `watch`.
const DEFAULT_EVERY_S: u64 = 2;

/// The state of the whole deployment.
#[derive(Debug, Serialize)]
struct StatusReport {
    /// The active version, 0 before the first one.
    version: u64,
    /// Its revision in version control.
    revision: String,
    /// The active preset.
    active_preset: String,
    /// Zones that are declared or have hosts.
    zones: Vec<ZoneLine>,
    /// Entry hosts.
    hosts: Vec<HostLine>,
    /// Room of services by region.
    services: Vec<ServiceLine>,
    /// The last rollout of each service.
    rollouts: Vec<RolloutView>,
    /// Holders of the ledger.
    holders: Vec<HolderLine>,
}

/// One zone.
#[derive(Debug, Serialize)]
struct ZoneLine {
    /// Its name.
    zone: String,
    /// Its region, `None` when it is not declared.
    region: Option<String>,
    /// `current`, `behind`, `silent` or `no-hosts`.
    state: &'static str,
    /// Host that wrote the zone's state.
    writer: Option<String>,
    /// Time since then.
    age_ms: Option<u64>,
    /// What is wrong.
    problem: Option<String>,
}

/// One entry host.
#[derive(Debug, Serialize)]
struct HostLine {
    /// Its name.
    host: String,
    /// Its zone.
    zone: String,
    /// Its state in the view of its zone.
    state: String,
    /// Its configuration version, 0 when unknown.
    config_version: u64,
    /// Its load, 1,000 for fully used.
    load_permille: u16,
}

/// Room of one service in one region.
#[derive(Debug, Serialize)]
struct ServiceLine {
    /// The service.
    service: String,
    /// The region.
    region: String,
    /// Slots that are free.
    free: u32,
    /// Slots of instances that take requests.
    slots: u32,
    /// The zone that reported it.
    reported_by: String,
}

/// One holder of the ledger.
#[derive(Debug, Serialize)]
struct HolderLine {
    /// The host.
    host: String,
    /// Start of its process.
    incarnation: u64,
    /// Part of every cap under the floor lease.
    floor_percent: f64,
    /// Part of every cap under the main lease.
    main_percent: f64,
}

/// Prints the state once.
pub(crate) async fn status(session: &Session, console: &mut Console) -> Result<Exit, Failure> {
    let report = read(session, &mut ZoneReader::default()).await?;
    console.result(&report, || report.table());
    Ok(Exit::Done)
}

/// Prints the state again and again.
pub(crate) async fn watch(
    session: &Session,
    console: &mut Console,
    every_s: Option<u64>,
    count: Option<u64>,
) -> Result<Exit, Failure> {
    let every = Duration::from_secs(every_s.unwrap_or(DEFAULT_EVERY_S).max(1));
    let mut reader = ZoneReader::default();
    let mut printed = 0;
    loop {
        match read(session, &mut reader).await {
            Ok(report) => console.item(&report, || format!("{}\n---", report.table().trim_end())),
            Err(it) if it.exit == Exit::Unavailable => {
                console.error(&format!("warning: {}", it.message));
            }
            Err(it) => return Err(it),
        }
        printed += 1;
        if count.is_some_and(|it| printed >= it) {
            return Ok(Exit::Done);
        }
        sleep(every).await;
    }
}

/// Reads the state.
async fn read(session: &Session, reader: &mut ZoneReader) -> Result<StatusReport, Failure> {
    let head = session.required_head().await?.head;
    let topology = session.declared(&head, &[ChunkKind::Topology]).await?;
    let zones = reader.read(session, &topology).await?;
    let rollouts = read_all(session).await?;
    let ledger = session.json::<Ledger>(LEDGER_NAME).await?.map(|it| it.1).unwrap_or_default();
    let percent = |units: u32| f64::from(units) * 100.0 / f64::from(UNITS_PER_CAP);
    let hosts = zones.iter().filter_map(|it| it.status.as_ref());
    let hosts = hosts.flat_map(|(status, _)| {
        status.hosts.iter().map(|it| HostLine {
            host: it.name.clone(),
            zone: status.zone.clone(),
            state: it.state.clone(),
            config_version: it.config_version,
            load_permille: it.load_permille,
        })
    });
    Ok(StatusReport {
        version: head.version,
        revision: head.source_revision,
        active_preset: head.active_preset,
        hosts: hosts.collect(),
        services: services(&zones),
        rollouts: rollouts.iter().map(RolloutView::new).collect(),
        holders: ledger
            .holders
            .iter()
            .map(|it| HolderLine {
                host: it.name.clone(),
                incarnation: it.incarnation,
                floor_percent: percent(it.floor),
                main_percent: percent(it.main),
            })
            .collect(),
        zones: zones.iter().map(|it| zone_line(it, head.version)).collect(),
    })
}

/// The line of a zone.
fn zone_line(zone: &Zone, version: u64) -> ZoneLine {
    let problem = zone.unconfirmed(version);
    let state = if !zone.has_hosts() {
        "no-hosts"
    } else if zone.is_silent() {
        "silent"
    } else if problem.is_some() {
        "behind"
    } else {
        "current"
    };
    ZoneLine {
        zone: zone.name.clone(),
        region: zone.region.clone(),
        state,
        writer: zone.status.as_ref().map(|it| it.0.writer.clone()),
        age_ms: zone.status.as_ref().map(|it| it.1),
        problem,
    }
}

/// The newest report of each service and region.
fn services(zones: &[Zone]) -> Vec<ServiceLine> {
    let mut states: Vec<_> = zones.iter().filter_map(|it| it.status.as_ref()).collect();
    states.sort_by_key(|it| it.1);
    let mut res: Vec<ServiceLine> = Vec::new();
    for (status, _) in states {
        for it in &status.services {
            if res.iter().any(|known| known.service == it.service && known.region == it.region) {
                continue;
            }
            res.push(ServiceLine {
                service: it.service.clone(),
                region: it.region.clone(),
                free: it.free,
                slots: it.slots,
                reported_by: status.zone.clone(),
            });
        }
    }
    res.sort_by(|a, b| (&a.service, &a.region).cmp(&(&b.service, &b.region)));
    res
}

impl StatusReport {
    /// The report for people.
    fn table(&self) -> String {
        let dash = || "-".to_owned();
        let mut res = format!(
            "version {} of revision {}, preset {}\n",
            self.version, self.revision, self.active_preset
        );
        let mut zones = Table::new(&["ZONE", "REGION", "STATE", "WRITER", "AGE", "PROBLEM"]);
        for it in &self.zones {
            zones.row(vec![
                it.zone.clone(),
                it.region.clone().unwrap_or_else(dash),
                it.state.to_owned(),
                it.writer.clone().unwrap_or_else(dash),
                it.age_ms.map_or_else(dash, |it| format!("{} s", it / 1000)),
                it.problem.clone().unwrap_or_default(),
            ]);
        }
        let mut hosts = Table::new(&["HOST", "ZONE", "STATE", "VERSION", "LOAD"]);
        for it in &self.hosts {
            hosts.row(vec![
                it.host.clone(),
                it.zone.clone(),
                it.state.clone(),
                if it.config_version == 0 { dash() } else { it.config_version.to_string() },
                format!("{}%", it.load_permille / 10),
            ]);
        }
        let mut services = Table::new(&["SERVICE", "REGION", "FREE", "SLOTS"]);
        for it in &self.services {
            let counts = [it.free.to_string(), it.slots.to_string()];
            let names = [it.service.clone(), it.region.clone()];
            services.row(names.into_iter().chain(counts).collect());
        }
        let mut holders = Table::new(&["HOLDER", "FLOOR", "MAIN"]);
        for it in &self.holders {
            holders.row(vec![
                it.host.clone(),
                format!("{:.2}%", it.floor_percent),
                format!("{:.2}%", it.main_percent),
            ]);
        }
        let _ = write!(res, "\n{}\nentry hosts\n{}", zones.render(), hosts.render());
        let _ = write!(res, "\nfree slots\n{}", services.render());
        let _ = write!(res, "\nrollouts\n{}", rollout_view::table(&self.rollouts));
        let _ = write!(res, "\nshares\n{}", holders.render());
        res
    }
}
