//! Placement of admitted requests: region, version and instance.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{InstanceId, RegionId, ServiceId, ShiftId, VersionId};
use kingcupford_quota::{AcquireOutcome, Holder, Resource};
use kingcupford_rollout::Side;
use kingcupford_route::{AllowedRegion, AttemptOutcome, ChoiceQuery, MIN_ATTEMPT_TIME, Outcome};
use tokio::time::Instant;

use crate::{
    engine::{Engine, OPEN_ROUTE_TEAM},
    request::{Attempt, AttemptResult, Refusal, RefusalReason, StartOutcome, Ticket},
};

/// Time that a request waits for a loan of a region's slots before it tries a farther region, where
/// it would hold a slot for the network round trip as well.
const SPILL_DELAY: Duration = Duration::from_millis(20);

/// Divisor of the time left until a request's deadline, which gives the time that the request may
/// wait for a slot if that is longer than [`crate::EngineSettings::max_slot_wait`].
const SLOT_WAIT_DIVISOR: u32 = 10;

/// Interval at which the first waiting request of a service counts as demand again. The holder
/// forgets refused demand after about this time and would stop requesting loans.
const DEMAND_RECOUNT_INTERVAL: Duration = Duration::from_millis(200);

/// Placement of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement {
    pub(crate) instance: InstanceId,
    /// Version that the instance runs.
    pub(crate) version: VersionId,
    /// Region of the instance, of whose slots the attempt holds a permit.
    pub(crate) region: RegionId,
}

/// Result of the placement of a request in one region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RegionPlacement {
    Placed,
    /// No permit is free, but a loan is pending.
    LoanPending,
    /// The region cannot run the request now.
    Unavailable,
}

/// A region that may run a request.
#[derive(Debug, Clone, Copy)]
struct RegionCandidate {
    region: RegionId,
    /// Traffic shift from the home region to this one, whose cap applies to the request.
    shift: Option<ShiftId>,
}

impl Engine {
    /// Chooses an instance for an admitted request, or queues the request until a slot is free.
    pub fn start_attempt(&mut self, ticket: Ticket, now: Instant) -> StartOutcome {
        let Some(index) = self.request_index(ticket) else {
            return StartOutcome::Refused(Refusal::new(RefusalReason::BadRequest));
        };
        if self.may_be_cut(self.requests[index].deadline) {
            return self.refuse_admitted(index, RefusalReason::ShuttingDown, now);
        }
        if self.requests[index].deadline < now + MIN_ATTEMPT_TIME {
            return self.refuse_admitted(index, RefusalReason::DeadlinePassed, now);
        }
        if self.requests[index].is_ready {
            self.requests[index].is_ready = false;
            return StartOutcome::Attempt(self.build_attempt(index));
        }
        let request = &self.requests[index];
        if request.wait_until.is_some_and(|it| now >= it) {
            return self.refuse_admitted(index, RefusalReason::ServiceBusy, now);
        }
        let state = &self.services[usize::from(request.service.0)];
        let is_contended = state.queue_head.is_some() || !state.queue.is_empty();
        if !request.is_queued && !is_contended && self.try_place(index, false, now) {
            return StartOutcome::Attempt(self.build_attempt(index));
        }
        self.enqueue(index, now)
    }

    /// Returns the tickets of requests that were placed while they waited and for which
    /// [`Self::start_attempt`] must be called again.
    pub fn ready_tickets(&self) -> impl Iterator<Item = Ticket> {
        self.requests.iter().filter(|it| it.is_ready).map(|it| it.ticket)
    }

    /// Takes bytes from the bandwidth cap of the link between two regions.
    ///
    /// Returns `None` if the bytes may be sent now, and otherwise the time after which this host's
    /// share of the cap has refilled.
    pub fn acquire_link_bytes(
        &mut self,
        from: RegionId,
        to: RegionId,
        bytes: usize,
        now: Instant,
    ) -> Option<std::time::Duration> {
        self.acquire_link(from, to, |holder, link| holder.acquire_tokens(link, bytes as f64, now))
    }

    /// Repeats [`Self::acquire_link_bytes`] for bytes that wait, without counting their demand
    /// again.
    pub fn retry_acquire_link_bytes(
        &mut self,
        from: RegionId,
        to: RegionId,
        bytes: usize,
        now: Instant,
    ) -> Option<std::time::Duration> {
        self.acquire_link(from, to, |holder, link| {
            holder.retry_acquire_tokens(link, bytes as f64, now)
        })
    }

    /// Calls `acquire` with the cap of a link. Returns the time after which to retry, or `None` if
    /// there is no link between the regions or the tokens were acquired.
    fn acquire_link(
        &mut self,
        from: RegionId,
        to: RegionId,
        acquire: impl FnOnce(&mut Holder, Resource) -> AcquireOutcome,
    ) -> Option<std::time::Duration> {
        if from == to || self.snapshot.link(from, to).is_none() {
            return None;
        }
        match acquire(&mut self.holder, Resource::Link { from, to }) {
            AcquireOutcome::Acquired => None,
            AcquireOutcome::Exhausted { retry_after, .. } => Some(retry_after),
        }
    }

    /// Adds a request to the queue of its service, if it is not queued yet.
    fn enqueue(&mut self, index: usize, now: Instant) -> StartOutcome {
        let max_wait = self.settings.max_slot_wait;
        let request = &mut self.requests[index];
        let remaining = request.deadline.saturating_duration_since(now);
        // Waiting is better than a refusal for an upload that may run for minutes.
        let max_wait = max_wait.max(remaining / SLOT_WAIT_DIVISOR);
        let until = *request.wait_until.get_or_insert(request.deadline.min(now + max_wait));
        if !request.is_queued {
            let team = request.team.unwrap_or(OPEN_ROUTE_TEAM);
            let queue = &mut self.services[usize::from(request.service.0)].queue;
            if queue.push(team, 1.0, request.ticket).is_err() {
                return self.refuse_admitted(index, RefusalReason::TeamQueueFull, now);
            }
            self.requests[index].is_queued = true;
        }
        StartOutcome::Wait { until }
    }

    /// Ends an admitted request whose attempt cannot start.
    fn refuse_admitted(
        &mut self,
        index: usize,
        reason: RefusalReason,
        now: Instant,
    ) -> StartOutcome {
        let request = &self.requests[index];
        let outcome = if request.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        let reason = match reason {
            RefusalReason::ServiceBusy if !self.has_available_instance(request.service) => {
                RefusalReason::NoUpstream
            }
            it => it,
        };
        let result = AttemptResult {
            outcome: AttemptOutcome::Cancelled,
            status: None,
            byte_sent: request.may_have_run,
            draining: false,
            latency: Duration::ZERO,
        };
        let was_placed = request.placement.is_some();
        if was_placed {
            self.record_attempt_end(index, &result, now);
        }
        self.close_request(index, &result, now);
        if was_placed {
            self.dispatch_waiting(now);
        }
        let retry_after = match reason {
            RefusalReason::ShuttingDown => Duration::ZERO,
            _ => Duration::from_secs(1),
        };
        StartOutcome::Refused(
            Refusal::new(reason).with_outcome(outcome).with_retry_after(retry_after),
        )
    }

    /// Places waiting requests on free slots, in the order of the fair queues.
    pub(crate) fn dispatch_waiting(&mut self, now: Instant) {
        for service in 0..self.services.len() {
            while let Some(ticket) = self.next_waiting(service) {
                let Some(index) = self.request_index(ticket) else {
                    self.services[service].queue_head = None;
                    continue;
                };
                let state = &mut self.services[service];
                let demand_counted =
                    state.demand_counted_at.is_some_and(|it| now < it + DEMAND_RECOUNT_INTERVAL);
                if !demand_counted {
                    state.demand_counted_at = Some(now);
                }
                if !self.try_place(index, demand_counted, now) {
                    break;
                }
                self.services[service].queue_head = None;
                let request = &mut self.requests[index];
                request.is_queued = false;
                request.is_ready = true;
            }
        }
    }

    /// Returns the next waiting request of a service, which stays the queue's head until it is
    /// placed.
    fn next_waiting(&mut self, service: usize) -> Option<Ticket> {
        let state = &mut self.services[service];
        if state.queue_head.is_none() {
            state.queue_head = state.queue.pop().map(|it| it.1);
        }
        state.queue_head
    }

    /// Tries to place a request on an instance. Returns whether it was placed.
    ///
    /// `demand_counted` is set if the demand of the service's waiting requests was counted
    /// recently.
    fn try_place(&mut self, index: usize, demand_counted: bool, now: Instant) -> bool {
        let request = &self.requests[index];
        let (service, route) = (request.service, request.route);
        let split = self.rollouts.split(&self.snapshot, service);
        let pick = match request.version_pick {
            Some(it) => Some(it),
            // Retries go to the old version, so that a fault of the new one costs one attempt.
            None if request.attempts > 0 => None,
            None => self.rollouts.pick(service, route),
        };
        // The new version may have been stopped while the request waited for it.
        let pick = pick.filter(|it| it.side == Side::Old || split.new_share > 0.0);
        let version = match pick {
            Some(it) if it.side == Side::New => split.new.unwrap_or(split.old),
            _ if split.new_share >= 1.0 => split.new.unwrap_or(split.old),
            _ => split.old,
        };
        self.requests[index].version_pick = pick;
        let is_first_try = self.requests[index].slot_requested_at.is_none();
        let requested_at = *self.requests[index].slot_requested_at.get_or_insert(now);
        for candidate in self.region_candidates(service, is_first_try) {
            match self.try_place_in(index, version, candidate, demand_counted, now) {
                RegionPlacement::Placed => return true,
                RegionPlacement::LoanPending if now < requested_at + SPILL_DELAY => return false,
                RegionPlacement::LoanPending | RegionPlacement::Unavailable => {}
            }
        }
        false
    }

    /// Tries to place a request in one region, within the caps of the region's slots and of the
    /// traffic shift.
    fn try_place_in(
        &mut self,
        index: usize,
        version: VersionId,
        candidate: RegionCandidate,
        demand_counted: bool,
        now: Instant,
    ) -> RegionPlacement {
        let Some((home_zone, home_region)) = self.home_locality() else {
            return RegionPlacement::Unavailable;
        };
        let request = &self.requests[index];
        let service = request.service;
        let slots = Resource::RegionSlots(service, candidate.region);
        let permit = if demand_counted {
            self.holder.retry_acquire_permit(slots, now)
        } else {
            self.holder.acquire_permit(slots, now)
        };
        match permit {
            AcquireOutcome::Acquired => {}
            AcquireOutcome::Exhausted { loan_pending: true, .. } => {
                return RegionPlacement::LoanPending;
            }
            AcquireOutcome::Exhausted { .. } => return RegionPlacement::Unavailable,
        }
        let share_slots = self.holder.local_limit(slots, now).0 as u32;
        let regions = [AllowedRegion { region: candidate.region, share_slots }];
        let request = &self.requests[index];
        let instance = self.balancer.choose(&ChoiceQuery {
            service,
            version,
            home_region,
            home_zone,
            regions: &regions,
            excluded: &request.tried_instances,
            idempotent: request.idempotent,
            now,
        });
        let Some(instance) = instance else {
            self.holder.release_permit(slots, now);
            return RegionPlacement::Unavailable;
        };
        if let Some(shift) = candidate.shift
            && self.holder.acquire_tokens(Resource::Shift(shift), 1.0, now)
                != AcquireOutcome::Acquired
        {
            self.holder.release_permit(slots, now);
            return RegionPlacement::Unavailable;
        }
        self.balancer.record_start(instance, now);
        let request = &mut self.requests[index];
        request.attempts += 1;
        request.placement = Some(Placement { instance, version, region: candidate.region });
        RegionPlacement::Placed
    }

    /// Returns the regions that may run a request of a service, in order of preference: the target
    /// of a due traffic shift, the home region, then the other regions by latency.
    ///
    /// `is_first_try` must be set exactly once per request, because each request adds to the credit
    /// of the shifts once.
    fn region_candidates(
        &mut self,
        service: ServiceId,
        is_first_try: bool,
    ) -> Vec<RegionCandidate> {
        let Some((_, home)) = self.home_locality() else { return Vec::new() };
        let snapshot = Arc::clone(&self.snapshot);
        let shift_to = |region: RegionId| {
            let mut shifts = snapshot.active_shifts();
            shifts.find(|(_, it)| it.service == service && it.from == home && it.to == region)
        };
        let mut others: Vec<(f64, RegionCandidate)> = snapshot
            .regions
            .iter()
            .filter(|(id, _)| *id != home)
            .map(|(region, _)| {
                let latency_ms = snapshot.link(home, region).map_or(f64::MAX, |it| it.latency_ms);
                (latency_ms, RegionCandidate { region, shift: shift_to(region).map(|it| it.0) })
            })
            .collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut res = vec![RegionCandidate { region: home, shift: None }];
        res.extend(others.into_iter().map(|it| it.1));
        if is_first_try && let Some(index) = self.due_shift(&res) {
            let candidate = res.remove(index);
            res.insert(0, candidate);
        }
        res
    }

    /// Returns the index of the first candidate whose shift is due, by error diffusion: adds the
    /// configured share of each shift to its credit until a credit reaches 1, and takes 1 from that
    /// credit.
    fn due_shift(&mut self, candidates: &[RegionCandidate]) -> Option<usize> {
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(shift) = candidate.shift else { continue };
            let credit = &mut self.shift_credit[usize::from(shift.0)];
            *credit = (*credit + self.snapshot.shifts[shift].share).min(2.0);
            if *credit >= 1.0 {
                *credit -= 1.0;
                return Some(index);
            }
        }
        None
    }

    /// Returns whether any instance of a service is neither draining nor ejected.
    fn has_available_instance(&self, service: ServiceId) -> bool {
        let mut instances = self.snapshot.instances.iter();
        instances
            .any(|(id, it)| it.service == service && !it.draining && !self.balancer.is_ejected(id))
    }

    /// Returns the attempt of a placed request.
    fn build_attempt(&self, index: usize) -> Attempt {
        let request = &self.requests[index];
        let placement = request.placement.expect("a placed request has a placement");
        Attempt {
            ticket: request.ticket,
            instance: placement.instance,
            version: placement.version,
            service: request.service,
            route: request.route,
            team: request.team,
            region: placement.region,
            deadline: request.deadline,
            idempotent: request.idempotent,
            fingerprint: request.fingerprint,
            pick: request.version_pick,
        }
    }
}
