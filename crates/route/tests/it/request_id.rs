//! Tests of request ids.

use std::{collections::BTreeMap, time::Duration};

use kingcupford_config::TenantId;
use kingcupford_route::{BeginResult, RequestIdTable, RunHandle, RunResult};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::fleet::fixed_seed;

/// A step of the property.
#[derive(Debug, Clone)]
enum Step {
    /// Sends an id with a tenant to a host; `id` selects one of the ids formed so far.
    Send { id: usize, tenant: u16, host: usize },
    /// Forms a new id from the binding of a host.
    Form { host: usize },
    /// Ends one of the runs, perhaps a second time; `end` selects how.
    End { run: usize, end: u8 },
    /// Starts a host's process again; its record and its running requests are lost.
    Restart { host: usize },
    /// Lets time pass.
    Pass { seconds: u64 },
}

/// Random steps.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (any::<usize>(), 0_u16..2, 0_usize..2)
            .prop_map(|(id, tenant, host)| Step::Send { id, tenant, host }),
        2 => (0_usize..2).prop_map(|host| Step::Form { host }),
        4 => (any::<usize>(), 0_u8..3).prop_map(|(run, end)| Step::End { run, end }),
        1 => (0_usize..2).prop_map(|host| Step::Restart { host }),
        1 => (0_u64..500).prop_map(|seconds| Step::Pass { seconds }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// What truly happened to an id of a tenant.
#[derive(Debug, Default)]
struct Truth {
    /// Runs that are running or whose process was lost.
    open: u32,
    /// Runs that may have had an effect.
    effects: u32,
    /// Status of the run that was answered.
    status: Option<u16>,
}

/// A run that a process was told to begin.
struct Run {
    /// Its key.
    key: RunHandle,
    /// The host.
    host: usize,
    /// Start of the host's process.
    incarnation: u64,
    /// Tenant and id.
    of: (u16, String),
    /// Whether its true end is known.
    ended: bool,
}

proptest! {
    #![proptest_config(fixed_seed(2, 3000))]

    // Guards against a deposit that runs twice, and against refusals that wrongly say it did not
    // run, over random orders of sendings, ends, losses of processes and passing time.
    #[test]
    fn begin_at_most_once(steps in steps()) {
        let names = ["a.example", "b.example"];
        let mut now = Instant::now();
        let mut incarnations = [1_u64, 1];
        let mut hosts = names.map(|it| RequestIdTable::new(it, 1, 6, now));
        let mut texts: Vec<String> = Vec::new();
        let mut truths: BTreeMap<(u16, String), Truth> = BTreeMap::new();
        let mut runs: Vec<Run> = Vec::new();
        for step in steps {
            match step {
                Step::Form { host } => {
                    texts.push(format!("{}.id-{}", hosts[host].binding(now), texts.len()));
                }
                Step::Send { id, tenant, host } if !texts.is_empty() => {
                    let text = &texts[id % texts.len()];
                    let of = (tenant, text.clone());
                    let truth = truths.entry(of.clone()).or_default();
                    let may_have_run = truth.open + truth.effects > 0;
                    match hosts[host].begin(text, TenantId(tenant), now) {
                        BeginResult::Run(key) => {
                            prop_assert!(!may_have_run, "{} runs again", text);
                            truth.open += 1;
                            let incarnation = incarnations[host];
                            runs.push(Run { key, host, incarnation, of, ended: false });
                        }
                        BeginResult::Full | BeginResult::Malformed => prop_assert!(!may_have_run),
                        BeginResult::Running => prop_assert!(truth.open > 0),
                        BeginResult::Executed { status } => {
                            prop_assert_eq!(truth.status, Some(status));
                        }
                        BeginResult::Unknown => prop_assert!(truth.effects > 0),
                        BeginResult::Elsewhere { host: other } => prop_assert_ne!(other, names[host]),
                        BeginResult::Void => {}
                    }
                    prop_assert!(hosts[host].len() <= 6);
                }
                Step::End { run, end } if !runs.is_empty() => {
                    let index = run % runs.len();
                    let run = &mut runs[index];
                    if run.incarnation != incarnations[run.host] {
                        continue;
                    }
                    let status = 200 + index as u16;
                    let end = [RunResult::Executed { status }, RunResult::NotRun, RunResult::Unknown][usize::from(end)];
                    hosts[run.host].finish(run.key, end, now);
                    if std::mem::replace(&mut run.ended, true) {
                        continue;
                    }
                    let truth = truths.get_mut(&run.of).unwrap();
                    truth.open -= 1;
                    truth.effects += u32::from(end != RunResult::NotRun);
                    if end == (RunResult::Executed { status }) {
                        truth.status = Some(status);
                    }
                }
                Step::Restart { host } => {
                    incarnations[host] += 1;
                    hosts[host] = RequestIdTable::new(names[host], incarnations[host], 6, now);
                }
                Step::Pass { seconds } => now += Duration::from_secs(seconds),
                Step::Send { .. } | Step::End { .. } => {}
            }
        }
    }
}

// Guards against a tenant that learns of, or blocks, the requests of another by using their ids.
#[test]
fn begin_separates_tenants() {
    let now = Instant::now();
    let mut ids = RequestIdTable::new("a", 1, 100, now);
    let text = format!("{}.x", ids.binding(now));
    let BeginResult::Run(key) = ids.begin(&text, TenantId(0), now) else { panic!("is new") };
    ids.finish(key, RunResult::Executed { status: 201 }, now);
    assert!(matches!(ids.begin(&text, TenantId(1), now), BeginResult::Run(_)));
    assert_eq!(ids.begin(&text, TenantId(0), now), BeginResult::Executed { status: 201 });
}

// Guards against a full table that forgets a live id to take in a new one, and against one tenant
// that fills it alone.
#[test]
fn begin_full_table() {
    let start = Instant::now();
    let mut ids = RequestIdTable::new("a", 1, 8, start);
    let binding = ids.binding(start);
    let runs = |ids: &mut RequestIdTable, tenant, now| {
        let texts = (0..20).map(|it| format!("{binding}.{it}"));
        texts
            .filter(|it| matches!(ids.begin(it, TenantId(tenant), now), BeginResult::Run(_)))
            .count()
    };
    assert_eq!(runs(&mut ids, 0, start), 6);
    assert_eq!(runs(&mut ids, 1, start), 2);
    assert_eq!(ids.begin(&format!("{binding}.new"), TenantId(2), start), BeginResult::Full);
    assert_eq!(ids.begin(&format!("{binding}.0"), TenantId(0), start), BeginResult::Running);
    // The epochs 0 to 2 are kept, so the ids are void from epoch 3 on and their room is free.
    let last = start + Duration::from_secs(899);
    assert_eq!(ids.begin(&format!("{binding}.0"), TenantId(0), last), BeginResult::Running);
    let over = start + Duration::from_secs(900);
    assert_eq!(ids.begin(&format!("{binding}.0"), TenantId(0), over), BeginResult::Void);
    assert!(ids.is_empty());
}

// Guards against ids that are taken for bound ones: forged epochs, other forms, other starts.
#[test]
fn begin_rejects_foreign_texts() {
    let now = Instant::now();
    let mut ids = RequestIdTable::new("a.b", 7, 100, now);
    assert_eq!(ids.binding(now), "a.b.7.0");
    let long = format!("a.b.7.0.{}", "x".repeat(129));
    for text in
        ["", "x", "7.0.x", ".7.0.x", "a.b.7.0.", "a.b.7.0.é", "a.b.7.1.x", "a.b.+7.0.x", &long]
    {
        assert_eq!(ids.begin(text, TenantId(0), now), BeginResult::Malformed, "{text}");
    }
    for text in ["a.b.6.0.x", "a.b.8.0.x"] {
        assert_eq!(ids.begin(text, TenantId(0), now), BeginResult::Void, "{text}");
    }
    let elsewhere = BeginResult::Elsewhere { host: "b".to_owned() };
    assert_eq!(ids.begin("b.7.0.x", TenantId(0), now), elsewhere);
    assert!(ids.is_empty());
}
