//! Commands `status` and `watch`, which show the state of the whole deployment.

use std::{fmt::Write as _, time::Duration};

use kingcupford_config::ChunkKind;
use kingcupford_engine::LEDGER_NAME;
use kingcupford_quota::{Ledger, UNITS_PER_CAP};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    console::{CommandError, Console},
    exit::ExitStatus,
    rollout_view::{RolloutView, read_rollouts, rollout_table},
    session::Session,
    table::Table,
    zones::{Zone, ZoneReader},
};

const DEFAULT_WATCH_INTERVAL_S: u64 = 2;

#[derive(Debug, Serialize)]
struct StatusReport {
    /// Active configuration version.
    version: u64,
    /// Revision of the version in version control.
    revision: String,
    active_preset: String,
    /// Zones that are declared, have hosts or have a status.
    zones: Vec<ZoneRow>,
    /// Entry hosts in the status of their zones.
    hosts: Vec<HostRow>,
    /// Slots of each service by region.
    services: Vec<ServiceRow>,
    /// Last rollout of each service.
    rollouts: Vec<RolloutView>,
    /// Hosts that the ledger records as holders of shares.
    holders: Vec<HolderRow>,
}

#[derive(Debug, Serialize)]
struct ZoneRow {
    zone: String,
    /// Name of the region, `None` if the zone is not declared.
    region: Option<String>,
    /// One of `current`, `behind`, `silent` and `no-hosts`.
    state: &'static str,
    /// Host that wrote the zone's last status.
    writer: Option<String>,
    /// Age of the zone's last status.
    age_ms: Option<u64>,
    /// Reason for which the zone has not confirmed the active version.
    problem: Option<String>,
}

#[derive(Debug, Serialize)]
struct HostRow {
    host: String,
    zone: String,
    /// Membership state in the view of the zone.
    state: String,
    /// Version of the host's active configuration, 0 if unknown.
    config_version: u64,
    /// Load of the host, 1,000 at full utilization.
    load_permille: u16,
}

/// Slots of one service in one region.
#[derive(Debug, Serialize)]
struct ServiceRow {
    service: String,
    region: String,
    /// Number of free slots.
    free: u32,
    /// Number of slots of instances that accept requests.
    slots: u32,
    /// Zone with the newest report on the service in the region.
    reported_by: String,
}

/// Shares of one host in the ledger.
#[derive(Debug, Serialize)]
struct HolderRow {
    host: String,
    /// Start of the host's process.
    incarnation: u64,
    /// Percentage of every cap that the host holds as its floor share.
    floor_percent: f64,
    /// Percentage of every cap that the host holds as its main share.
    main_percent: f64,
}

/// Prints the state of the deployment once.
pub(crate) async fn status(
    session: &Session,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    let report = read_status(session, &mut ZoneReader::default()).await?;
    console.print_result(&report, || report.format_table());
    Ok(ExitStatus::Done)
}

/// Reads and prints the state of the deployment repeatedly, `count` times or without end. A read
/// that fails because the platform is unavailable counts too.
pub(crate) async fn watch(
    session: &Session,
    console: &mut Console,
    every_s: Option<u64>,
    count: Option<u64>,
) -> Result<ExitStatus, CommandError> {
    let interval = Duration::from_secs(every_s.unwrap_or(DEFAULT_WATCH_INTERVAL_S).max(1));
    let mut reader = ZoneReader::default();
    let mut reads = 0;
    loop {
        match read_status(session, &mut reader).await {
            Ok(report) => {
                console.print_item(&report, || format!("{}\n---", report.format_table().trim_end()))
            }
            Err(it) if it.exit_status == ExitStatus::Unavailable => {
                console.print_error(&format!("warning: {}", it.message));
            }
            Err(it) => return Err(it),
        }
        reads += 1;
        if count.is_some_and(|it| reads >= it) {
            return Ok(ExitStatus::Done);
        }
        sleep(interval).await;
    }
}

async fn read_status(
    session: &Session,
    reader: &mut ZoneReader,
) -> Result<StatusReport, CommandError> {
    let head = session.read_required_head().await?.head;
    let topology = session.read_declarations(&head, &[ChunkKind::Topology]).await?;
    let zones = reader.read(session, &topology).await?;
    let rollouts = read_rollouts(session).await?;
    let ledger = session.read_json::<Ledger>(LEDGER_NAME).await?.map(|it| it.1).unwrap_or_default();
    let percent_of_cap = |units: u32| f64::from(units) * 100.0 / f64::from(UNITS_PER_CAP);
    let hosts = zones.iter().filter_map(|it| it.status.as_ref());
    let hosts = hosts.flat_map(|(status, _)| {
        status.hosts.iter().map(|it| HostRow {
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
        services: newest_services(&zones),
        rollouts: rollouts.iter().map(RolloutView::new).collect(),
        holders: ledger
            .holders
            .iter()
            .map(|it| HolderRow {
                host: it.name.clone(),
                incarnation: it.incarnation,
                floor_percent: percent_of_cap(it.floor),
                main_percent: percent_of_cap(it.main),
            })
            .collect(),
        zones: zones.iter().map(|it| zone_row(it, head.version)).collect(),
    })
}

fn zone_row(zone: &Zone, version: u64) -> ZoneRow {
    let problem = zone.unconfirmed_reason(version);
    let state = if !zone.has_hosts() {
        "no-hosts"
    } else if zone.is_silent() {
        "silent"
    } else if problem.is_some() {
        "behind"
    } else {
        "current"
    };
    ZoneRow {
        zone: zone.name.clone(),
        region: zone.region.clone(),
        state,
        writer: zone.status.as_ref().map(|it| it.0.writer.clone()),
        age_ms: zone.status.as_ref().map(|it| it.1),
        problem,
    }
}

/// Returns the newest report on each service and region, sorted by service and region.
fn newest_services(zones: &[Zone]) -> Vec<ServiceRow> {
    let mut statuses: Vec<_> = zones.iter().filter_map(|it| it.status.as_ref()).collect();
    statuses.sort_by_key(|it| it.1);
    let mut res: Vec<ServiceRow> = Vec::new();
    for (status, _) in statuses {
        for it in &status.services {
            if res.iter().any(|row| row.service == it.service && row.region == it.region) {
                continue;
            }
            res.push(ServiceRow {
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
    /// Formats the report as text for people.
    fn format_table(&self) -> String {
        let missing = || "-".to_owned();
        let mut res = format!(
            "version {} of revision {}, preset {}\n",
            self.version, self.revision, self.active_preset
        );
        let mut zones = Table::new(&["ZONE", "REGION", "STATE", "WRITER", "AGE", "PROBLEM"]);
        for it in &self.zones {
            zones.add_row(vec![
                it.zone.clone(),
                it.region.clone().unwrap_or_else(missing),
                it.state.to_owned(),
                it.writer.clone().unwrap_or_else(missing),
                it.age_ms.map_or_else(missing, |it| format!("{} s", it / 1000)),
                it.problem.clone().unwrap_or_default(),
            ]);
        }
        let mut hosts = Table::new(&["HOST", "ZONE", "STATE", "VERSION", "LOAD"]);
        for it in &self.hosts {
            hosts.add_row(vec![
                it.host.clone(),
                it.zone.clone(),
                it.state.clone(),
                if it.config_version == 0 { missing() } else { it.config_version.to_string() },
                format!("{}%", it.load_permille / 10),
            ]);
        }
        let mut services = Table::new(&["SERVICE", "REGION", "FREE", "SLOTS"]);
        for it in &self.services {
            let counts = [it.free.to_string(), it.slots.to_string()];
            let names = [it.service.clone(), it.region.clone()];
            services.add_row(names.into_iter().chain(counts).collect());
        }
        let mut holders = Table::new(&["HOLDER", "FLOOR", "MAIN"]);
        for it in &self.holders {
            holders.add_row(vec![
                it.host.clone(),
                format!("{:.2}%", it.floor_percent),
                format!("{:.2}%", it.main_percent),
            ]);
        }
        let _ = write!(res, "\n{}\nentry hosts\n{}", zones.render(), hosts.render());
        let _ = write!(res, "\nfree slots\n{}", services.render());
        let _ = write!(res, "\nrollouts\n{}", rollout_table(&self.rollouts));
        let _ = write!(res, "\nshares\n{}", holders.render());
        res
    }
}
