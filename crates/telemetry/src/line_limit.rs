//! Limits how often each event is logged.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Instant,
};

use strum::IntoEnumIterator as _;

use crate::event::Event;

/// Lines of one event per second at most; a host of the deployments answers about 100 requests a
/// second, so that an ordinary day is logged whole.
const LINES_PER_S: u32 = 150;

/// The counters, once limits are switched on.
static BUDGETS: OnceLock<Budgets> = OnceLock::new();

/// Lines of every event.
struct Budgets {
    /// When the process started to count.
    origin: Instant,
    /// Counters in the order of [`Event::iter`].
    counters: Vec<(Event, Counter)>,
}

/// Lines of one event.
#[derive(Default)]
struct Counter {
    /// The second that `lines` counts, since the origin.
    second: AtomicU64,
    /// Lines in that second.
    lines: AtomicU32,
    /// Lines left out since the last report.
    left_out: AtomicU64,
}

/// Switches limits on for the whole process.
pub(crate) fn enable() {
    BUDGETS.get_or_init(|| Budgets {
        origin: Instant::now(),
        counters: Event::iter().map(|it| (it, Counter::default())).collect(),
    });
}

/// Whether one more line of an event may be written now.
pub(crate) fn allows(event: Event) -> bool {
    let Some(budgets) = BUDGETS.get() else { return true };
    let Some((_, counter)) = budgets.counters.iter().find(|it| it.0 == event) else { return true };
    let second = budgets.origin.elapsed().as_secs();
    if counter.second.swap(second, Ordering::Relaxed) != second {
        counter.lines.store(0, Ordering::Relaxed);
    }
    let is_allowed = counter.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_S;
    if !is_allowed {
        counter.left_out.fetch_add(1, Ordering::Relaxed);
    }
    is_allowed
}

/// Logs how many lines were left out since the last call; to be called every few seconds.
pub fn report_suppressed_lines() {
    let Some(budgets) = BUDGETS.get() else { return };
    for (event, counter) in &budgets.counters {
        let count = counter.left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let name: &'static str = event.into();
            Event::LinesLeftOut
                .log(format_args!("of=KC{} of_name={name} count={count}", event.code()));
        }
    }
}
