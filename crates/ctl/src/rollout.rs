//! Commands on rollouts: `start`, `watch`, `rollback` and `list`.

use std::time::Duration;

use kingcupford_config::ChunkKind;
use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_rollout::{
    Rollout, StartRequest, State, roll_back as roll_back_rollout, start as start_rollout,
};
use rand::Rng as _;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{
    console::{CommandError, Console},
    exit::ExitStatus,
    flags::{RolloutRollback, RolloutStart},
    rollout_edit::{RolloutEditOutcome, edit_rollout, includes_write},
    rollout_view::{RolloutView, read_rollouts, rollout_table},
    session::{Session, unix_ms},
};

const WATCH_POLL_INTERVAL: Duration = Duration::from_secs(1);

const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Report on a change of a rollout that took effect.
#[derive(Debug, Serialize)]
struct RolloutReport {
    result: ExitStatus,
    /// Rollout as last read.
    rollout: RolloutView,
    /// Whether the answer to any write was lost.
    answer_lost: bool,
    /// Controller that took over the change, `None` if none did in time or the command did not
    /// wait.
    confirmed_by: Option<String>,
    /// Time until the change was confirmed, or until the wait ended.
    confirm_ms: u64,
}

/// Starts a rollout of a declared version of a service.
pub(crate) async fn start(
    session: &Session,
    console: &mut Console,
    flags: &RolloutStart,
) -> Result<ExitStatus, CommandError> {
    let service = &flags.service;
    let place = format!("services.{service}");
    let rejected = |message: String, hint: &str| {
        CommandError::new(ExitStatus::Rejected, message, hint.to_owned())
    };
    let head = session.read_required_head().await?.head;
    let declarations = session.read_declarations(&head, &[ChunkKind::Services]).await?;
    let Some(service_decl) = declarations.services.iter().find(|it| it.name == *service) else {
        return Err(rejected(format!("{place}: no such service"), "correct the name"));
    };
    let from = service_decl.active_version.clone();
    match service_decl.versions.iter().find(|it| it.name == flags.to) {
        None => {
            let message = format!("{place}: version `{}` is not declared", flags.to);
            return Err(rejected(message, "declare it with its instances and apply the folder"));
        }
        Some(it) if it.instances.is_empty() => {
            let message = format!("{place}: version `{}` has no instance", flags.to);
            return Err(rejected(message, "declare its instances and apply the folder"));
        }
        Some(_) => {}
    }
    let request = StartRequest {
        service: service.clone(),
        from: from.clone(),
        to: flags.to.clone(),
        now_unix_ms: unix_ms(),
        deadline_unix_ms: unix_ms().saturating_add(flags.deadline_s.saturating_mul(1000)),
        write_id: rand::rng().random(),
    };
    let edit = |current: Option<&Rollout>| {
        // Replacing a finished rollout whose version is not declared as active yet would send
        // traffic back to the old version.
        if let Some(it) = current.filter(|it| it.state == State::Done && it.from == from) {
            return Err(format!(
                "the finished rollout to `{}` is not declared yet (hint: set `active_version: {}` \
                 and apply the folder)",
                it.to, it.to
            ));
        }
        start_rollout(current, &request).map_err(|it| it.to_string())
    };
    let outcome = edit_rollout(session, service, edit).await?;
    wait_and_report(session, console, service, outcome).await
}

/// Rolls back the open rollout of a service.
pub(crate) async fn roll_back(
    session: &Session,
    console: &mut Console,
    flags: &RolloutRollback,
) -> Result<ExitStatus, CommandError> {
    let write_id = rand::rng().random();
    let edit = |current: Option<&Rollout>| {
        let Some(current) = current else {
            return Err("no rollout was ever started (hint: `rollout list`)".to_owned());
        };
        roll_back_rollout(current, &flags.note, unix_ms(), write_id).map_err(|it| it.to_string())
    };
    let outcome = edit_rollout(session, &flags.service, edit).await?;
    wait_and_report(session, console, &flags.service, outcome).await
}

/// Prints the last rollout of each service.
pub(crate) async fn list(
    session: &Session,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    let rollouts: Vec<_> = read_rollouts(session).await?.iter().map(RolloutView::new).collect();
    console.print_result(&rollouts, || rollout_table(&rollouts));
    Ok(ExitStatus::Done)
}

/// Prints the progress of a service's rollout, or of all open rollouts, until they end.
pub(crate) async fn watch(
    session: &Session,
    console: &mut Console,
    service: Option<String>,
) -> Result<ExitStatus, CommandError> {
    let mut watched: Vec<(String, Option<(State, u8)>)> = match service {
        Some(it) => vec![(it, None)],
        None => {
            let rollouts = read_rollouts(session).await?;
            let open = rollouts.into_iter().filter(|it| !it.state.is_final());
            open.map(|it| (it.service, None)).collect()
        }
    };
    if watched.is_empty() {
        console.print_result(&Vec::<RolloutView>::new(), || "no rollout is open".to_owned());
        return Ok(ExitStatus::Done);
    }
    let mut exit_status = ExitStatus::Done;
    let mut is_platform_unavailable = false;
    loop {
        let mut index = 0;
        while index < watched.len() {
            let (service, last_progress) = &mut watched[index];
            let read = session.read_json::<Rollout>(&format!("{ROLLOUT_PREFIX}{service}")).await;
            let rollout = match read {
                Ok(Some((_, it))) => it,
                Ok(None) => {
                    return Err(CommandError::new(
                        ExitStatus::Usage,
                        format!("rollout/{service}: no rollout was ever started"),
                        "`rollout list` shows all of them",
                    ));
                }
                // A rollout goes on during an outage of the platform, so the command keeps
                // watching.
                Err(it) if it.exit_status == ExitStatus::Unavailable => {
                    if !is_platform_unavailable {
                        let platform = &session.platform;
                        console
                            .print_error(&format!("warning: platform {platform} does not answer"));
                    }
                    is_platform_unavailable = true;
                    continue;
                }
                Err(it) => return Err(it),
            };
            is_platform_unavailable = false;
            let progress = (rollout.state, rollout.share_percent());
            let is_final = rollout.state.is_final();
            if *last_progress != Some(progress) {
                *last_progress = Some(progress);
                let view = RolloutView::new(&rollout);
                console.print_item(&view, || format_progress(&view));
            }
            if !is_final {
                index += 1;
                continue;
            }
            if rollout.state == State::RolledBack {
                exit_status = ExitStatus::RolledBack;
            }
            watched.remove(index);
        }
        if watched.is_empty() {
            return Ok(exit_status);
        }
        sleep(WATCH_POLL_INTERVAL).await;
    }
}

/// Returns the progress of a rollout as one line of text.
fn format_progress(it: &RolloutView) -> String {
    let mut res = format!(
        "{} to {}: {} at {}%, new version got {}",
        it.service,
        it.to,
        it.state,
        it.share_percent,
        it.exposure_summary(),
    );
    if let Some(reason) = &it.reason {
        res.push_str(&format!("; {reason}"));
    }
    if it.time_left_ms > 0 {
        res.push_str(&format!("; {} s left", it.time_left_ms / 1000));
    }
    res
}

/// Waits until a controller has taken over the change, if requested, and prints the report.
async fn wait_and_report(
    session: &Session,
    console: &mut Console,
    service: &str,
    outcome: RolloutEditOutcome,
) -> Result<ExitStatus, CommandError> {
    let place = format!("rollout/{service}");
    let written = match outcome {
        RolloutEditOutcome::Written(it) => *it,
        RolloutEditOutcome::Rejected(problem) => {
            return Err(edit_error(ExitStatus::Rejected, &place, &problem));
        }
        RolloutEditOutcome::LostRace(winner, problem) => {
            let problem = format!(
                "another change came first (generation {}, to {}, {}): {problem}",
                winner.generation, winner.to, winner.state
            );
            return Err(edit_error(ExitStatus::LostRace, &place, &problem));
        }
        RolloutEditOutcome::Undetermined => {
            return Err(CommandError::new(
                ExitStatus::Undetermined,
                format!("{place}: the answer was lost and the change may have taken effect"),
                "`rollout list` shows whether it did",
            ));
        }
        RolloutEditOutcome::Unavailable => {
            return Err(CommandError::unavailable(&session.platform));
        }
    };
    let started = Instant::now();
    let limit = session.confirm_timeout.unwrap_or_default();
    let mut rollout = written.clone();
    let mut confirmed_by = None;
    while session.confirm_timeout.is_some() {
        if let Ok(Some((_, it))) = session.read_json::<Rollout>(&place).await {
            // A controller increases the renewal counter when it writes the object. A platform that
            // was restored may have another rollout, or the same one without the change.
            if it.renewal > written.renewal && includes_write(&it, &written) {
                confirmed_by = it.controller.clone();
            }
            if it.key() == written.key() {
                rollout = it;
            }
        }
        if confirmed_by.is_some() || started.elapsed() + CONFIRM_POLL_INTERVAL > limit {
            break;
        }
        sleep(CONFIRM_POLL_INTERVAL).await;
    }
    let unconfirmed = session.confirm_timeout.is_some() && confirmed_by.is_none();
    let report = RolloutReport {
        result: if unconfirmed { ExitStatus::Unconfirmed } else { ExitStatus::Done },
        rollout: RolloutView::new(&rollout),
        answer_lost: session.store.lost_answers() > 0,
        confirmed_by,
        confirm_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    };
    console.print_result(&report, || {
        let mut res = format_progress(&report.rollout);
        if report.answer_lost {
            res.push_str("\nan answer was lost; reading back showed that it took effect");
        }
        if let Some(host) = &report.confirmed_by {
            res.push_str(&format!("\ntaken over by {host} after {} ms", report.confirm_ms));
        }
        res
    });
    if unconfirmed {
        console.print_error(&format!(
            "error: {place}: accepted, but no host took it over within {} ms (hint: `status` shows \
             whether hosts reach the platform)",
            report.confirm_ms
        ));
    }
    Ok(report.result)
}

/// Returns the error for a rollout edit that was not made; `problem` may end with a hint of its
/// own.
fn edit_error(exit_status: ExitStatus, place: &str, problem: &str) -> CommandError {
    match problem.split_once(" (hint: ") {
        Some((problem, hint)) => CommandError::new(
            exit_status,
            format!("{place}: {problem}"),
            hint.trim_end_matches(')'),
        ),
        None => CommandError::new(
            exit_status,
            format!("{place}: {problem}"),
            "`rollout list` shows more",
        ),
    }
}
