//! Tests of the request id table.

use std::{collections::BTreeMap, time::Duration};

use kingcupford_config::TeamId;
use kingcupford_route::{BeginResult, RequestIdTable, RunHandle, RunResult};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::deployment::fixed_seed;

/// A step of the property test.
#[derive(Debug, Clone)]
enum Step {
    /// Sends a request of a team to a host; `id` selects one of the ids formed so far.
    Send { id: usize, team: u16, host: usize },
    /// Forms a new id from the current binding of a host.
    Form { host: usize },
    /// Finishes one of the runs, perhaps a second time; `result` selects how.
    Finish { run: usize, result: u8 },
    /// Restarts a host's process, which loses its table and its running requests.
    Restart { host: usize },
    /// Advances the clock.
    Advance { seconds: u64 },
}

/// Generates random steps.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (any::<usize>(), 0_u16..2, 0_usize..2)
            .prop_map(|(id, team, host)| Step::Send { id, team, host }),
        2 => (0_usize..2).prop_map(|host| Step::Form { host }),
        4 => (any::<usize>(), 0_u8..3).prop_map(|(run, result)| Step::Finish { run, result }),
        1 => (0_usize..2).prop_map(|host| Step::Restart { host }),
        1 => (0_u64..500).prop_map(|seconds| Step::Advance { seconds }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// What actually happened to an id of a team.
#[derive(Debug, Default)]
struct History {
    /// Number of runs that are running or whose process was lost.
    unfinished: u32,
    /// Number of runs that may have had an effect.
    effects: u32,
    /// Status of the run that was answered.
    status: Option<u16>,
}

/// A run that a host's process began.
struct Run {
    handle: RunHandle,
    host: usize,
    incarnation: u64,
    team_and_id: (u16, String),
    finished: bool,
}

proptest! {
    #![proptest_config(fixed_seed(2, 3000))]

    // Guards against a non-idempotent request, such as a deposit, that runs twice, and against
    // refusals that wrongly say that it did not run, over random sequences of requests, results,
    // process restarts and elapsed time.
    #[test]
    fn begin_at_most_once(steps in steps()) {
        let host_names = ["a.example", "b.example"];
        let mut now = Instant::now();
        let mut incarnations = [1_u64, 1];
        let mut tables = host_names.map(|it| RequestIdTable::new(it, 1, 6, now));
        let mut ids: Vec<String> = Vec::new();
        let mut histories: BTreeMap<(u16, String), History> = BTreeMap::new();
        let mut runs: Vec<Run> = Vec::new();
        for step in steps {
            match step {
                Step::Form { host } => {
                    ids.push(format!("{}.id-{}", tables[host].binding(now), ids.len()));
                }
                Step::Send { id, team, host } if !ids.is_empty() => {
                    let id = &ids[id % ids.len()];
                    let team_and_id = (team, id.clone());
                    let history = histories.entry(team_and_id.clone()).or_default();
                    let may_have_run = history.unfinished + history.effects > 0;
                    match tables[host].begin(id, TeamId(team), now) {
                        BeginResult::Run(handle) => {
                            prop_assert!(!may_have_run, "{} runs again", id);
                            history.unfinished += 1;
                            let incarnation = incarnations[host];
                            let finished = false;
                            runs.push(Run { handle, host, incarnation, team_and_id, finished });
                        }
                        BeginResult::Full | BeginResult::Malformed => prop_assert!(!may_have_run),
                        BeginResult::Running => prop_assert!(history.unfinished > 0),
                        BeginResult::Executed { status } => {
                            prop_assert_eq!(history.status, Some(status));
                        }
                        BeginResult::Unknown => prop_assert!(history.effects > 0),
                        BeginResult::Elsewhere { host: other } => {
                            prop_assert_ne!(other, host_names[host]);
                        }
                        BeginResult::Void => {}
                    }
                    prop_assert!(tables[host].len() <= 6);
                }
                Step::Finish { run, result } if !runs.is_empty() => {
                    let index = run % runs.len();
                    let run = &mut runs[index];
                    if run.incarnation != incarnations[run.host] {
                        continue;
                    }
                    let status = 200 + index as u16;
                    let results =
                        [RunResult::Executed { status }, RunResult::NotRun, RunResult::Unknown];
                    let result = results[usize::from(result)];
                    tables[run.host].finish(run.handle, result, now);
                    if std::mem::replace(&mut run.finished, true) {
                        continue;
                    }
                    let history = histories.get_mut(&run.team_and_id).unwrap();
                    history.unfinished -= 1;
                    history.effects += u32::from(result != RunResult::NotRun);
                    if result == (RunResult::Executed { status }) {
                        history.status = Some(status);
                    }
                }
                Step::Restart { host } => {
                    incarnations[host] += 1;
                    let (name, incarnation) = (host_names[host], incarnations[host]);
                    tables[host] = RequestIdTable::new(name, incarnation, 6, now);
                }
                Step::Advance { seconds } => now += Duration::from_secs(seconds),
                Step::Send { .. } | Step::Finish { .. } => {}
            }
        }
    }
}

// Guards against a team that observes or blocks the requests of another by using their ids.
#[test]
fn begin_separates_teams() {
    let now = Instant::now();
    let mut table = RequestIdTable::new("a", 1, 100, now);
    let id = format!("{}.x", table.binding(now));
    let BeginResult::Run(handle) = table.begin(&id, TeamId(0), now) else { panic!("id is new") };
    table.finish(handle, RunResult::Executed { status: 201 }, now);
    assert!(matches!(table.begin(&id, TeamId(1), now), BeginResult::Run(_)));
    assert_eq!(table.begin(&id, TeamId(0), now), BeginResult::Executed { status: 201 });
}

// Guards against a full table that evicts an unexpired id for a new one, and against one team
// that fills the table alone.
#[test]
fn begin_full_table() {
    let start = Instant::now();
    let mut table = RequestIdTable::new("a", 1, 8, start);
    let binding = table.binding(start);
    let runs = |table: &mut RequestIdTable, team, now| {
        let ids = (0..20).map(|it| format!("{binding}.{it}"));
        ids.filter(|it| matches!(table.begin(it, TeamId(team), now), BeginResult::Run(_))).count()
    };
    assert_eq!(runs(&mut table, 0, start), 6);
    assert_eq!(runs(&mut table, 1, start), 2);
    assert_eq!(table.begin(&format!("{binding}.new"), TeamId(2), start), BeginResult::Full);
    assert_eq!(table.begin(&format!("{binding}.0"), TeamId(0), start), BeginResult::Running);
    // Epochs 0 to 2 are retained, so the ids of epoch 0 are void from epoch 3 (900 s) on and no
    // longer use capacity.
    let before_expiry = start + Duration::from_secs(899);
    assert_eq!(
        table.begin(&format!("{binding}.0"), TeamId(0), before_expiry),
        BeginResult::Running
    );
    let expiry = start + Duration::from_secs(900);
    assert_eq!(table.begin(&format!("{binding}.0"), TeamId(0), expiry), BeginResult::Void);
    assert!(table.is_empty());
}

// Guards against accepting ids that this process did not bind: future epochs, malformed ids,
// bindings of other process starts and of other hosts.
#[test]
fn begin_rejects_unbound_ids() {
    let now = Instant::now();
    let mut table = RequestIdTable::new("a.b", 7, 100, now);
    assert_eq!(table.binding(now), "a.b.7.0");
    let long = format!("a.b.7.0.{}", "x".repeat(129));
    for id in
        ["", "x", "7.0.x", ".7.0.x", "a.b.7.0.", "a.b.7.0.é", "a.b.7.1.x", "a.b.+7.0.x", &long]
    {
        assert_eq!(table.begin(id, TeamId(0), now), BeginResult::Malformed, "{id}");
    }
    for id in ["a.b.6.0.x", "a.b.8.0.x"] {
        assert_eq!(table.begin(id, TeamId(0), now), BeginResult::Void, "{id}");
    }
    let elsewhere = BeginResult::Elsewhere { host: "b".to_owned() };
    assert_eq!(table.begin("b.7.0.x", TeamId(0), now), elsewhere);
    assert!(table.is_empty());
}
