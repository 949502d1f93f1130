//! Commands on rollouts.

use std::time::Duration;

use kingcupford_config::ChunkKind;
use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_rollout::{
    Rollout, StartRequest, State, roll_back as rolled_back, start as started,
};
use rand::Rng as _;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{
    console::{Console, Failure},
    exit::Exit,
    flags::{RolloutRollback, RolloutStart},
    rollout_view::{RolloutView, read_all, table},
    rollout_write::{RolloutWrite, change},
    session::{Session, unix_ms},
};

/// Wait between two readings of a rollout that is followed.
const POLL: Duration = Duration::from_secs(1);

/// Wait between two readings until a controller confirms a change.
const CONFIRM_POLL: Duration = Duration::from_millis(250);

/// How a change of a rollout ended.
#[derive(Debug, Serialize)]
struct RolloutReport {
    /// How the command ended.
    result: Exit,
    /// The rollout as last read.
    rollout: RolloutView,
    /// Whether an answer of the platform was lost on the way.
    answer_lost: bool,
    /// Host that took the change over, when it was waited for.
    confirmed_by: Option<String>,
    /// Time until then, or until the wait ended.
    confirm_ms: u64,
}

/// Starts a rollout.
pub(crate) async fn start(
    session: &Session,
    console: &mut Console,
    flags: &RolloutStart,
) -> Result<Exit, Failure> {
    let service = &flags.service;
    let place = format!("services.{service}");
    let rejected =
        |message: String, hint: &str| Failure::new(Exit::Rejected, message, hint.to_owned());
    let head = session.required_head().await?.head;
    let all = session.declared(&head, &[ChunkKind::Services]).await?;
    let Some(declared) = all.services.iter().find(|it| it.name == *service) else {
        return Err(rejected(format!("{place}: no such service"), "correct the name"));
    };
    let from = declared.active_version.clone();
    match declared.versions.iter().find(|it| it.name == flags.to) {
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
        // Traffic would fall back to the old version as soon as the finished rollout is replaced.
        if let Some(it) = current.filter(|it| it.state == State::Done && it.from == from) {
            return Err(format!(
                "the finished rollout to `{}` is not declared yet (hint: set `active_version: {}` \
                 and apply the folder)",
                it.to, it.to
            ));
        }
        started(current, &request).map_err(|it| it.to_string())
    };
    let outcome = change(session, service, edit).await?;
    finish(session, console, service, outcome).await
}

/// Rolls a rollout back.
pub(crate) async fn roll_back(
    session: &Session,
    console: &mut Console,
    flags: &RolloutRollback,
) -> Result<Exit, Failure> {
    let write_id = rand::rng().random();
    let edit = |current: Option<&Rollout>| {
        let Some(current) = current else {
            return Err("no rollout was ever started (hint: `rollout list`)".to_owned());
        };
        rolled_back(current, &flags.note, unix_ms(), write_id).map_err(|it| it.to_string())
    };
    let outcome = change(session, &flags.service, edit).await?;
    finish(session, console, &flags.service, outcome).await
}

/// Lists the last rollout of each service.
pub(crate) async fn list(session: &Session, console: &mut Console) -> Result<Exit, Failure> {
    let rollouts: Vec<_> = read_all(session).await?.iter().map(RolloutView::new).collect();
    console.result(&rollouts, || table(&rollouts));
    Ok(Exit::Done)
}

/// Follows rollouts to their end.
pub(crate) async fn watch(
    session: &Session,
    console: &mut Console,
    service: Option<String>,
) -> Result<Exit, Failure> {
    let mut followed: Vec<(String, Option<(State, u8)>)> = match service {
        Some(it) => vec![(it, None)],
        None => {
            let all = read_all(session).await?;
            let open = all.into_iter().filter(|it| !it.state.is_final());
            open.map(|it| (it.service, None)).collect()
        }
    };
    if followed.is_empty() {
        console.result(&Vec::<RolloutView>::new(), || "no rollout is open".to_owned());
        return Ok(Exit::Done);
    }
    let mut exit = Exit::Done;
    let mut is_away = false;
    loop {
        let mut index = 0;
        while index < followed.len() {
            let (service, last) = &mut followed[index];
            let read = session.json::<Rollout>(&format!("{ROLLOUT_PREFIX}{service}")).await;
            let rollout = match read {
                Ok(Some((_, it))) => it,
                Ok(None) => {
                    return Err(Failure::new(
                        Exit::Usage,
                        format!("rollout/{service}: no rollout was ever started"),
                        "`rollout list` shows all of them",
                    ));
                }
                // A rollout goes on while the platform is away, so that it is followed further.
                Err(it) if it.exit == Exit::Unavailable => {
                    if !is_away {
                        let platform = &session.platform;
                        console.error(&format!("warning: platform {platform} does not answer"));
                    }
                    is_away = true;
                    continue;
                }
                Err(it) => return Err(it),
            };
            is_away = false;
            let now = (rollout.state, rollout.share_percent());
            let is_final = rollout.state.is_final();
            if *last != Some(now) {
                *last = Some(now);
                let view = RolloutView::new(&rollout);
                console.item(&view, || progress(&view));
            }
            if !is_final {
                index += 1;
                continue;
            }
            if rollout.state == State::RolledBack {
                exit = Exit::RolledBack;
            }
            followed.remove(index);
        }
        if followed.is_empty() {
            return Ok(exit);
        }
        sleep(POLL).await;
    }
}

/// A line about a rollout that is followed.
fn progress(it: &RolloutView) -> String {
    let mut res = format!(
        "{} to {}: {} at {}%, new version got {}",
        it.service,
        it.to,
        it.state,
        it.share_percent,
        it.exposure_line(),
    );
    if let Some(reason) = &it.reason {
        res.push_str(&format!("; {reason}"));
    }
    if it.time_left_ms > 0 {
        res.push_str(&format!("; {} s left", it.time_left_ms / 1000));
    }
    res
}

/// Waits until a controller took the change over, and reports.
async fn finish(
    session: &Session,
    console: &mut Console,
    service: &str,
    outcome: RolloutWrite,
) -> Result<Exit, Failure> {
    let place = format!("rollout/{service}");
    let written = match outcome {
        RolloutWrite::Written(it) => *it,
        RolloutWrite::Refused(problem) => return Err(refused(Exit::Rejected, &place, &problem)),
        RolloutWrite::Lost(winner, problem) => {
            let problem = format!(
                "another change came first (generation {}, to {}, {}): {problem}",
                winner.generation, winner.to, winner.state
            );
            return Err(refused(Exit::LostRace, &place, &problem));
        }
        RolloutWrite::Undetermined => {
            return Err(Failure::new(
                Exit::Undetermined,
                format!("{place}: the answer was lost and the change may have taken effect"),
                "`rollout list` shows whether it did",
            ));
        }
        RolloutWrite::Unavailable => return Err(Failure::unavailable(&session.platform)),
    };
    let started = Instant::now();
    let limit = session.confirm.unwrap_or_default();
    let mut rollout = written.clone();
    let mut confirmed_by = None;
    while session.confirm.is_some() {
        if let Ok(Some((_, it))) = session.json::<Rollout>(&place).await {
            // Only controllers raise the renewal after the operator's write.
            if it.renewal > written.renewal {
                confirmed_by = it.controller.clone();
            }
            rollout = it;
        }
        if confirmed_by.is_some() || started.elapsed() + CONFIRM_POLL > limit {
            break;
        }
        sleep(CONFIRM_POLL).await;
    }
    let unconfirmed = session.confirm.is_some() && confirmed_by.is_none();
    let report = RolloutReport {
        result: if unconfirmed { Exit::Unconfirmed } else { Exit::Done },
        rollout: RolloutView::new(&rollout),
        answer_lost: session.store.lost_answers() > 0,
        confirmed_by,
        confirm_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    };
    console.result(&report, || {
        let mut res = progress(&report.rollout);
        if report.answer_lost {
            res.push_str("\nan answer was lost; reading back showed that it took effect");
        }
        if let Some(host) = &report.confirmed_by {
            res.push_str(&format!("\ntaken over by {host} after {} ms", report.confirm_ms));
        }
        res
    });
    if unconfirmed {
        console.error(&format!(
            "error: {place}: accepted, but no host took it over within {} ms (hint: `status` shows \
             whether hosts reach the platform)",
            report.confirm_ms
        ));
    }
    Ok(report.result)
}

/// A refusal whose text may carry its own hint.
fn refused(exit: Exit, place: &str, problem: &str) -> Failure {
    match problem.split_once(" (hint: ") {
        Some((problem, hint)) => {
            Failure::new(exit, format!("{place}: {problem}"), hint.trim_end_matches(')'))
        }
        None => Failure::new(exit, format!("{place}: {problem}"), "`rollout list` shows more"),
    }
}
