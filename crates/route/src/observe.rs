//! What a host observes about one instance.

use std::time::Duration;

use kingcupford_config::{Instance, RegionId, ServiceId, VersionId, ZoneId};
use tokio::time::Instant;

use crate::retry::AttemptOutcome;

/// Time over which a new or returned instance, or a cold region, comes to its full part.
pub(crate) const RAMP_UP: Duration = Duration::from_secs(30);

/// Part that an instance or a region gets at the start of its ramp-up.
const RAMP_START: f64 = 0.1;

/// Failures in a row after which an instance is ejected.
const MAX_FAILURES: u32 = 3;

/// Delay before the first probe of an ejected instance; it doubles with each failed probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(200);

/// Longest delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(10);

/// Time during which an instance that shed a request is chosen less often.
const SHED_PENALTY: Duration = Duration::from_secs(1);

/// Least weight that a report or a shed request leaves, because both may mislead.
const MIN_FACTOR: f64 = 0.1;

/// Weight of the newest sample in the latency average.
const LATENCY_GAIN: f64 = 0.2;

/// Half-life of a latency average without samples, so that a slow phase is forgotten.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);

/// Latency below which instances are equally good, since the difference is noise.
const MIN_LATENCY_S: f64 = 0.001;

/// What an instance reports about its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs for all hosts together.
    pub in_flight: u32,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Time between two reports; older than twice this, a report is ignored.
    pub period: Duration,
}

/// Observations of one instance.
#[derive(Debug, Clone)]
pub(crate) struct Observation {
    /// The service.
    pub(crate) service: ServiceId,
    /// The version it runs.
    pub(crate) version: VersionId,
    /// Its zone.
    pub(crate) zone: ZoneId,
    /// Its region.
    pub(crate) region: RegionId,
    /// Declared slots.
    pub(crate) slots: u32,
    /// Whether the snapshot has it and does not drain it.
    pub(crate) takes_work: bool,
    /// Own requests that run there.
    pub(crate) in_flight: u32,
    /// Where it is reached; another address means another process.
    address: std::net::SocketAddr,
    /// Decaying average of the latency of answers in seconds, and when it was last changed.
    latency: Option<(f64, Instant)>,
    /// Failures since the last answer.
    failures: u32,
    /// The ejection in force.
    ejection: Option<Ejection>,
    /// Delay that the next ejection starts with.
    next_delay: Duration,
    /// Start of the ramp-up, `None` for an instance that was warm from the beginning.
    ramp_from: Option<Instant>,
    /// End of a drain that the instance itself announced.
    draining_until: Option<Instant>,
    /// The newest report and when it was measured.
    report: Option<(LoadReport, Instant)>,
    /// When it last shed a request.
    shed_at: Option<Instant>,
}

/// Why and how long an instance is left out.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    /// When the next probe is due.
    probe_at: Instant,
    /// Delay that led to `probe_at`.
    delay: Duration,
    /// Whether a probe runs.
    probing: bool,
}

/// What a finished attempt changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// The instance stays in or out of the choice.
    None,
    /// It is to be ejected on certain evidence.
    Eject,
    /// It is to be ejected unless too many others already are.
    EjectIfFew,
    /// Its probe was answered.
    Returned,
}

impl Observation {
    /// Observations of an instance that is warm, or new since `ramp_from`.
    pub(crate) fn new(instance: &Instance, ramp_from: Option<Instant>) -> Self {
        Self {
            service: instance.service,
            version: instance.version,
            zone: instance.zone,
            region: instance.region,
            slots: instance.slots,
            takes_work: !instance.draining,
            in_flight: 0,
            address: instance.address,
            latency: None,
            failures: 0,
            ejection: None,
            next_delay: FIRST_PROBE_DELAY,
            ramp_from,
            draining_until: None,
            report: None,
            shed_at: None,
        }
    }

    /// Takes over a changed declaration; a moved or returned instance ramps up again.
    pub(crate) fn declare(&mut self, instance: &Instance, now: Instant) {
        let moved = self.address != instance.address || self.version != instance.version;
        let returned = !self.takes_work && !instance.draining;
        let in_flight = self.in_flight;
        if moved {
            *self = Self { in_flight, ..Self::new(instance, Some(now)) };
            return;
        }
        if returned {
            self.ramp_from = Some(now);
        }
        self.service = instance.service;
        self.zone = instance.zone;
        self.region = instance.region;
        self.slots = instance.slots;
        self.takes_work = !instance.draining;
    }

    /// Records a drain that the instance announced; afterwards it ramps up like a new one.
    pub(crate) fn drain(&mut self, until: Instant) {
        let until = self.draining_until.map_or(until, |it| it.max(until));
        self.draining_until = Some(until);
        self.ramp_from = Some(until);
    }

    /// Takes a report unless a newer one is known.
    pub(crate) fn report(&mut self, report: LoadReport, measured_at: Instant) {
        if self.report.is_none_or(|it| it.1 <= measured_at) {
            self.report = Some((report, measured_at));
        }
    }

    /// Counts a request; one sent to an ejected instance is its probe.
    pub(crate) fn started(&mut self) {
        self.in_flight += 1;
        if let Some(it) = &mut self.ejection {
            it.probing = true;
        }
    }

    /// Counts the end of a request.
    pub(crate) fn finished(
        &mut self,
        outcome: AttemptOutcome,
        latency: Duration,
        now: Instant,
    ) -> Change {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered { failed: false } => {
                self.failures = 0;
                self.sample(latency, now);
                if self.ejection.is_some_and(|it| it.probing) {
                    self.ejection = None;
                    self.ramp_from = Some(now);
                    return Change::Returned;
                }
                Change::None
            }
            AttemptOutcome::Shed => {
                self.shed_at = Some(now);
                self.end_probe();
                Change::None
            }
            AttemptOutcome::Cancelled => {
                self.end_probe();
                Change::None
            }
            AttemptOutcome::Answered { failed: true }
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken { .. }
            | AttemptOutcome::TimedOut => self.failed(outcome, now),
        }
    }

    /// Leaves the instance out until a probe is answered.
    pub(crate) fn eject(&mut self, now: Instant) {
        let delay = self.next_delay;
        self.next_delay = (delay * 2).min(MAX_PROBE_DELAY);
        self.ejection = Some(Ejection { probe_at: now + delay, delay, probing: false });
    }

    /// Whether failures keep it out of the choice.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether a probe may be sent; requests that must not be repeated wait twice as long, so that
    /// others find the instance broken first.
    pub(crate) fn probe_due(&self, idempotent: bool, now: Instant) -> bool {
        let Some(it) = self.ejection else { return false };
        let due = if idempotent { it.probe_at } else { it.probe_at + it.delay };
        !it.probing && due <= now && !self.is_draining(now)
    }

    /// Whether the snapshot, the instance or a fresh report says that it takes no new work.
    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        !self.takes_work
            || self.draining_until.is_some_and(|it| now < it)
            || self.fresh_report(now).is_some_and(|it| it.draining)
    }

    /// Own requests that may run there now, fewer than its slots while it ramps up.
    pub(crate) fn limit(&self, now: Instant) -> u32 {
        (f64::from(self.slots) * self.ramp(now)).ceil() as u32
    }

    /// Own requests that it can take in addition; none while it is drained or ejected.
    pub(crate) fn room(&self, now: Instant) -> u32 {
        if self.is_ejected() || self.is_draining(now) {
            return 0;
        }
        self.limit(now).saturating_sub(self.in_flight)
    }

    /// Requests of all hosts there, as far as known.
    pub(crate) fn busy(&self, now: Instant) -> u32 {
        self.fresh_report(now).map_or(0, |it| it.in_flight).max(self.in_flight)
    }

    /// Its part in the choice per slot of room, from reports and shed requests.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        let reported = self.fresh_report(now).map_or(1.0, |it| {
            (1.0 - f64::from(it.in_flight) / f64::from(self.slots.max(1))).max(MIN_FACTOR)
        });
        let shed = self.shed_at.is_some_and(|it| now < it + SHED_PENALTY);
        if shed { reported.min(MIN_FACTOR) } else { reported }
    }

    /// Expected cost of one more request: its latency times the use of its slots.
    pub(crate) fn cost(&self, now: Instant, unknown_latency_s: f64) -> f64 {
        let latency = self.latency_s(now).unwrap_or(unknown_latency_s).max(MIN_LATENCY_S);
        let slots = f64::from(self.slots) * self.ramp(now);
        latency * f64::from(self.in_flight + 1) / slots.max(f64::MIN_POSITIVE)
    }

    /// Decaying average of the latency.
    pub(crate) fn latency_s(&self, now: Instant) -> Option<f64> {
        let (latency, at) = self.latency?;
        let idle = now.saturating_duration_since(at);
        if idle < Duration::from_secs(1) {
            return Some(latency);
        }
        Some(latency * (-idle.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64()).exp2())
    }

    /// Counts a failure, which ends a probe or may lead to an ejection.
    fn failed(&mut self, outcome: AttemptOutcome, now: Instant) -> Change {
        self.failures = self.failures.saturating_add(1);
        if let Some(it) = self.ejection {
            // Requests from before the ejection fail late and say nothing new.
            if it.probing {
                self.eject(now);
            }
            return Change::None;
        }
        match outcome {
            AttemptOutcome::Unreachable => Change::Eject,
            AttemptOutcome::Broken { .. } if self.failures >= MAX_FAILURES => Change::Eject,
            _ if self.failures >= MAX_FAILURES => Change::EjectIfFew,
            _ => Change::None,
        }
    }

    /// Ends a probe that proved nothing.
    fn end_probe(&mut self) {
        if let Some(it) = &mut self.ejection {
            it.probing = false;
        }
    }

    /// Takes a latency into the average.
    fn sample(&mut self, latency: Duration, now: Instant) {
        let latency = latency.as_secs_f64();
        let average = self.latency_s(now).map_or(latency, |it| it + LATENCY_GAIN * (latency - it));
        self.latency = Some((average, now));
        // Only an instance that stayed through its ramp-up has recovered from its last ejection.
        if self.ramp_from.is_none_or(|it| now >= it + RAMP_UP) {
            self.next_delay = FIRST_PROBE_DELAY;
        }
    }

    /// The report, unless it is too old.
    fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        let (report, measured_at) = self.report?;
        (now <= measured_at + report.period * 2).then_some(report)
    }

    /// Part of its slots that it gets.
    fn ramp(&self, now: Instant) -> f64 {
        self.ramp_from.map_or(1.0, |it| ramp(it, now))
    }
}

/// The part reached by a ramp-up that started at `from`.
pub(crate) fn ramp(from: Instant, now: Instant) -> f64 {
    let passed = now.saturating_duration_since(from).as_secs_f64() / RAMP_UP.as_secs_f64();
    (RAMP_START + (1.0 - RAMP_START) * passed).min(1.0)
}
