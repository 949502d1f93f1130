//! Limit on the log lines per second of each event.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Instant,
};

use strum::IntoEnumIterator as _;

use crate::event::Event;

/// Maximum number of lines per second for one event. A host in the deployments answers about 100
/// requests per second, so that ordinary traffic is logged completely.
const MAX_LINES_PER_S: u32 = 150;

/// Counters of the process; set once the limit is enabled.
static LIMITER: OnceLock<LineLimiter> = OnceLock::new();

struct LineLimiter {
    started_at: Instant,
    counters: Vec<(Event, LineCounter)>,
}

#[derive(Default)]
struct LineCounter {
    /// Second since the start that `line_count` refers to.
    current_second: AtomicU64,
    /// Lines requested in the current second, including suppressed ones.
    line_count: AtomicU32,
    /// Lines suppressed since the last report.
    suppressed_count: AtomicU64,
}

/// Enables the limit for the whole process.
pub(crate) fn enable() {
    LIMITER.get_or_init(|| LineLimiter {
        started_at: Instant::now(),
        counters: Event::iter().map(|it| (it, LineCounter::default())).collect(),
    });
}

/// Counts a line of an event and returns whether it may be written.
pub(crate) fn admit(event: Event) -> bool {
    let Some(limiter) = LIMITER.get() else { return true };
    let Some((_, counter)) = limiter.counters.iter().find(|it| it.0 == event) else { return true };
    let second = limiter.started_at.elapsed().as_secs();
    if counter.current_second.swap(second, Ordering::Relaxed) != second {
        counter.line_count.store(0, Ordering::Relaxed);
    }
    let is_admitted = counter.line_count.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S;
    if !is_admitted {
        counter.suppressed_count.fetch_add(1, Ordering::Relaxed);
    }
    is_admitted
}

/// Logs an [`Event::LinesLeftOut`] for each event with lines suppressed since the last call. Call
/// it every few seconds.
pub fn report_suppressed_lines() {
    let Some(limiter) = LIMITER.get() else { return };
    for (event, counter) in &limiter.counters {
        let count = counter.suppressed_count.swap(0, Ordering::Relaxed);
        if count > 0 {
            let name: &'static str = event.into();
            Event::LinesLeftOut
                .log(format_args!("of=KC{} of_name={name} count={count}", event.code()));
        }
    }
}
