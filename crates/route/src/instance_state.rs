//! State of one instance as observed by this host: health, latency, load and ramp-up.

use std::time::Duration;

use kingcupford_config::{Instance, RegionId, ServiceId, VersionId, ZoneId};
use tokio::time::Instant;

use crate::retry::AttemptOutcome;

/// Time over which a new or returned instance, or a cold region, ramps up to its full capacity.
pub(crate) const RAMP_UP_DURATION: Duration = Duration::from_secs(30);

/// Fraction of the capacity that an instance or a region gets at the start of its ramp-up.
const RAMP_UP_START_FRACTION: f64 = 0.1;

/// Consecutive failures after which an instance is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Delay before the first probe of an ejected instance; doubles with each failed probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(10);

/// Time during which an instance that shed a request has a reduced weight.
const SHED_PENALTY: Duration = Duration::from_secs(1);

/// Minimum weight after a report or a shed request, because both may mislead.
const MIN_LOAD_WEIGHT: f64 = 0.1;

/// Weight of the newest sample in the exponential moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of the average latency without samples, so that the effect of a past slow phase fades.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);

/// Latency below which instances count as equally fast, since the difference is noise.
const MIN_LATENCY_S: f64 = 0.001;

/// Load that an instance reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the instance runs for all hosts together.
    pub in_flight: u32,
    /// Whether the instance says that it is draining.
    pub draining: bool,
    /// Interval between two reports; a report older than twice this is ignored.
    pub period: Duration,
}

/// Declaration and observed state of one instance.
#[derive(Debug, Clone)]
pub(crate) struct InstanceState {
    pub(crate) service: ServiceId,
    pub(crate) version: VersionId,
    pub(crate) zone: ZoneId,
    pub(crate) region: RegionId,
    /// Declared number of requests that the instance runs at the same time.
    pub(crate) slots: u32,
    /// Whether the snapshot contains the instance and does not drain it.
    pub(crate) accepts_work: bool,
    /// Requests of this host that run at the instance.
    pub(crate) in_flight: u32,
    /// A changed address means another process.
    address: std::net::SocketAddr,
    /// Exponential moving average of the latency of answers in seconds, and when it last changed.
    latency_s: Option<(f64, Instant)>,
    /// Failures since the last answer without a server error.
    consecutive_failures: u32,
    ejection: Option<Ejection>,
    /// Probe delay that the next ejection starts with.
    next_probe_delay: Duration,
    /// Start of the ramp-up; `None` for an instance that was warm from the beginning.
    ramp_up_start: Option<Instant>,
    /// End of a drain that the instance itself announced.
    draining_until: Option<Instant>,
    /// Newest report and when it was measured.
    report: Option<(LoadReport, Instant)>,
    /// Time at which the instance last shed a request.
    shed_at: Option<Instant>,
}

/// Ejection of an instance from load balancing.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    /// Time at which the next probe is due.
    probe_at: Instant,
    /// Delay that led to `probe_at`.
    delay: Duration,
    /// Whether a probe is running.
    probing: bool,
}

/// Effect of a finished attempt on the health of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthChange {
    None,
    /// The instance is to be ejected on conclusive evidence.
    Eject,
    /// The instance is to be ejected unless too many others already are.
    EjectWithinLimit,
    /// The probe was answered, which ended the ejection.
    Returned,
}

impl InstanceState {
    /// Creates the state of an instance that ramps up from `ramp_up_start`, or is warm if `None`.
    pub(crate) fn new(instance: &Instance, ramp_up_start: Option<Instant>) -> Self {
        Self {
            service: instance.service,
            version: instance.version,
            zone: instance.zone,
            region: instance.region,
            slots: instance.slots,
            accepts_work: !instance.draining,
            in_flight: 0,
            address: instance.address,
            latency_s: None,
            consecutive_failures: 0,
            ejection: None,
            next_probe_delay: FIRST_PROBE_DELAY,
            ramp_up_start,
            draining_until: None,
            report: None,
            shed_at: None,
        }
    }

    /// Applies a new declaration. An instance ramps up again if its address or version changed, or
    /// if it accepts work again after a drain or a removal.
    pub(crate) fn update_declaration(&mut self, instance: &Instance, now: Instant) {
        let is_replaced = self.address != instance.address || self.version != instance.version;
        let has_returned = !self.accepts_work && !instance.draining;
        let in_flight = self.in_flight;
        if is_replaced {
            *self = Self { in_flight, ..Self::new(instance, Some(now)) };
            return;
        }
        if has_returned {
            self.ramp_up_start = Some(now);
        }
        self.service = instance.service;
        self.zone = instance.zone;
        self.region = instance.region;
        self.slots = instance.slots;
        self.accepts_work = !instance.draining;
    }

    /// Records a drain that the instance announced; after it, the instance ramps up like a new one.
    pub(crate) fn record_drain(&mut self, until: Instant) {
        let until = self.draining_until.map_or(until, |it| it.max(until));
        self.draining_until = Some(until);
        self.ramp_up_start = Some(until);
    }

    /// Records a report unless a newer one is known.
    pub(crate) fn record_report(&mut self, report: LoadReport, measured_at: Instant) {
        if self.report.is_none_or(|it| it.1 <= measured_at) {
            self.report = Some((report, measured_at));
        }
    }

    /// Counts a request that was sent; to an ejected instance, it is the probe.
    pub(crate) fn record_start(&mut self) {
        self.in_flight += 1;
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = true;
        }
    }

    /// Records the end of a request and returns what it says about the instance's health.
    pub(crate) fn record_end(
        &mut self,
        outcome: AttemptOutcome,
        latency: Duration,
        now: Instant,
    ) -> HealthChange {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered { failed: false } => {
                self.consecutive_failures = 0;
                self.record_latency(latency, now);
                if self.ejection.is_some_and(|it| it.probing) {
                    self.ejection = None;
                    self.ramp_up_start = Some(now);
                    return HealthChange::Returned;
                }
                HealthChange::None
            }
            AttemptOutcome::Shed => {
                self.shed_at = Some(now);
                self.cancel_probe();
                HealthChange::None
            }
            AttemptOutcome::Cancelled => {
                self.cancel_probe();
                HealthChange::None
            }
            AttemptOutcome::Answered { failed: true }
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken { .. }
            | AttemptOutcome::TimedOut => self.record_failure(outcome, now),
        }
    }

    /// Ejects the instance until a probe is answered.
    pub(crate) fn eject(&mut self, now: Instant) {
        let delay = self.next_probe_delay;
        self.next_probe_delay = (delay * 2).min(MAX_PROBE_DELAY);
        self.ejection = Some(Ejection { probe_at: now + delay, delay, probing: false });
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether a probe may be sent. Requests that must not be repeated wait twice as long,
    /// so that others find out first whether the instance still fails.
    pub(crate) fn is_probe_due(&self, idempotent: bool, now: Instant) -> bool {
        let Some(ejection) = self.ejection else { return false };
        let due = if idempotent { ejection.probe_at } else { ejection.probe_at + ejection.delay };
        !ejection.probing && due <= now && !self.is_draining(now)
    }

    /// Returns whether the snapshot, the instance or a fresh report says that it takes no new work.
    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        !self.accepts_work
            || self.draining_until.is_some_and(|it| now < it)
            || self.fresh_report(now).is_some_and(|it| it.draining)
    }

    /// Returns how many requests of this host may run there: all `slots`, or a fraction of them
    /// rounded up while the instance ramps up.
    pub(crate) fn available_slots(&self, now: Instant) -> u32 {
        (f64::from(self.slots) * self.ramp_up_fraction(now)).ceil() as u32
    }

    /// Returns how many more requests of this host may run there; 0 while it drains or is ejected.
    pub(crate) fn free_slots(&self, now: Instant) -> u32 {
        if self.is_ejected() || self.is_draining(now) {
            return 0;
        }
        self.available_slots(now).saturating_sub(self.in_flight)
    }

    /// Returns the requests of all hosts that run there, as far as known.
    pub(crate) fn total_in_flight(&self, now: Instant) -> u32 {
        self.fresh_report(now).map_or(0, |it| it.in_flight).max(self.in_flight)
    }

    /// Returns the weight per free slot in load balancing, between 0.1 and 1. The weight falls with
    /// the reported load and after a shed request.
    pub(crate) fn load_weight(&self, now: Instant) -> f64 {
        let by_report = self.fresh_report(now).map_or(1.0, |it| {
            (1.0 - f64::from(it.in_flight) / f64::from(self.slots.max(1))).max(MIN_LOAD_WEIGHT)
        });
        let has_shed = self.shed_at.is_some_and(|it| now < it + SHED_PENALTY);
        if has_shed { by_report.min(MIN_LOAD_WEIGHT) } else { by_report }
    }

    /// Returns the expected cost of one more request: latency times slot utilization.
    pub(crate) fn cost(&self, now: Instant, default_latency_s: f64) -> f64 {
        let latency_s = self.latency_s(now).unwrap_or(default_latency_s).max(MIN_LATENCY_S);
        let slots = f64::from(self.slots) * self.ramp_up_fraction(now);
        latency_s * f64::from(self.in_flight + 1) / slots.max(f64::MIN_POSITIVE)
    }

    /// Returns the average latency, which decays after 1 s without samples.
    pub(crate) fn latency_s(&self, now: Instant) -> Option<f64> {
        let (latency_s, changed_at) = self.latency_s?;
        let idle = now.saturating_duration_since(changed_at);
        if idle < Duration::from_secs(1) {
            return Some(latency_s);
        }
        Some(latency_s * (-idle.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64()).exp2())
    }

    /// Counts a failure, which ends a probe or may lead to an ejection.
    fn record_failure(&mut self, outcome: AttemptOutcome, now: Instant) -> HealthChange {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Some(ejection) = self.ejection {
            // Late failures of requests from before the ejection contain no new information.
            if ejection.probing {
                self.eject(now);
            }
            return HealthChange::None;
        }
        match outcome {
            AttemptOutcome::Unreachable => HealthChange::Eject,
            AttemptOutcome::Broken { .. }
                if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES =>
            {
                HealthChange::Eject
            }
            _ if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES => {
                HealthChange::EjectWithinLimit
            }
            _ => HealthChange::None,
        }
    }

    /// Ends a probe without a result.
    fn cancel_probe(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = false;
        }
    }

    /// Adds a sample to the average latency.
    fn record_latency(&mut self, latency: Duration, now: Instant) {
        let sample_s = latency.as_secs_f64();
        let average_s =
            self.latency_s(now).map_or(sample_s, |it| it + LATENCY_SAMPLE_WEIGHT * (sample_s - it));
        self.latency_s = Some((average_s, now));
        // Only an instance that completed its ramp-up has recovered from its last ejection.
        if self.ramp_up_start.is_none_or(|it| now >= it + RAMP_UP_DURATION) {
            self.next_probe_delay = FIRST_PROBE_DELAY;
        }
    }

    /// Returns the newest report unless it is stale.
    fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        let (report, measured_at) = self.report?;
        (now <= measured_at + report.period * 2).then_some(report)
    }

    /// Returns the fraction of its slots that may be used.
    fn ramp_up_fraction(&self, now: Instant) -> f64 {
        self.ramp_up_start.map_or(1.0, |it| ramp_up_fraction(it, now))
    }
}

/// Returns the fraction of the capacity at `now` in a ramp-up that started at `start`.
pub(crate) fn ramp_up_fraction(start: Instant, now: Instant) -> f64 {
    let progress =
        now.saturating_duration_since(start).as_secs_f64() / RAMP_UP_DURATION.as_secs_f64();
    (RAMP_UP_START_FRACTION + (1.0 - RAMP_UP_START_FRACTION) * progress).min(1.0)
}
