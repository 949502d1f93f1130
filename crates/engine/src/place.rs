//! Placement of admitted requests: region, version and instance.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{InstanceId, RegionId, ServiceId, ShiftId, VersionId};
use kingcupford_quota::{AcquireOutcome, Holder, Resource};
use kingcupford_rollout::Side;
use kingcupford_route::{AllowedRegion, AttemptOutcome, ChoiceQuery, Outcome};
use tokio::time::Instant;

use crate::{
    engine::{Engine, OPEN_TENANT},
    request::{Attempt, AttemptResult, Refusal, RefusalReason, StartOutcome, Ticket},
};

/// Time for which a request waits for a loan of its nearest region's slots before it goes to a
/// farther one, where it would hold a slot for the way there and back as well.
const SPILL_AFTER: Duration = Duration::from_millis(20);

/// Part of the time until its deadline that a request may wait for a slot.
const WAIT_SHARE: u32 = 10;

/// Time after which the first waiting request counts as demand again; the holder forgets refused
/// demand within about this time and would stop asking for loans.
const RECOUNT: Duration = Duration::from_millis(200);

/// Where an attempt runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement {
    /// The instance.
    pub(crate) instance: InstanceId,
    /// The version that it runs.
    pub(crate) version: VersionId,
    /// Its region, whose permit the attempt holds.
    pub(crate) region: RegionId,
}

/// Whether a region serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placing {
    /// It does.
    Placed,
    /// No permit is free, but a loan may come soon.
    AwaitsLoan,
    /// It does not.
    Full,
}

/// A region that may serve a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    /// The region.
    region: RegionId,
    /// The shift whose cap bounds this path.
    shift: Option<ShiftId>,
}

impl Engine {
    /// Chooses an instance for an admitted request, or lets it wait its turn.
    pub fn start_attempt(&mut self, ticket: Ticket, now: Instant) -> StartOutcome {
        let Some(at) = self.position(ticket) else {
            return StartOutcome::Refused(Refusal::new(RefusalReason::BadRequest));
        };
        if self.requests[at].ready {
            self.requests[at].ready = false;
            return StartOutcome::Attempt(self.attempt(at));
        }
        let request = &self.requests[at];
        if now >= request.deadline {
            return self.refuse(at, RefusalReason::DeadlinePassed, now);
        }
        if request.wait_until.is_some_and(|it| now >= it) {
            return self.refuse(at, RefusalReason::ServiceBusy, now);
        }
        let state = &self.services[usize::from(request.service.0)];
        let is_contended = state.head.is_some() || !state.queue.is_empty();
        if !request.queued && !is_contended && self.place(at, false, now) {
            return StartOutcome::Attempt(self.attempt(at));
        }
        self.wait(at, now)
    }

    /// Tickets of waiting requests that were placed since the last call.
    pub fn ready_tickets(&self) -> impl Iterator<Item = Ticket> {
        self.requests.iter().filter(|it| it.ready).map(|it| it.ticket)
    }

    /// Takes bytes of a link's bandwidth; answers the time in which the own share refills.
    pub fn acquire_link_bytes(
        &mut self,
        from: RegionId,
        to: RegionId,
        bytes: usize,
        now: Instant,
    ) -> Option<std::time::Duration> {
        self.take_link(from, to, |holder, link| holder.acquire_tokens(link, bytes as f64, now))
    }

    /// Repeats [`Self::acquire_link_bytes`] of waiting bytes without counting their demand again.
    pub fn retry_acquire_link_bytes(
        &mut self,
        from: RegionId,
        to: RegionId,
        bytes: usize,
        now: Instant,
    ) -> Option<std::time::Duration> {
        self.take_link(from, to, |holder, link| {
            holder.retry_acquire_tokens(link, bytes as f64, now)
        })
    }

    /// Takes from a link's cap, when there is one between the regions.
    fn take_link(
        &mut self,
        from: RegionId,
        to: RegionId,
        take: impl FnOnce(&mut Holder, Resource) -> AcquireOutcome,
    ) -> Option<std::time::Duration> {
        if from == to || self.snapshot.link(from, to).is_none() {
            return None;
        }
        match take(&mut self.holder, Resource::Link { from, to }) {
            AcquireOutcome::Acquired => None,
            AcquireOutcome::Exhausted { retry_after, .. } => Some(retry_after),
        }
    }

    /// Lets a request wait in its service's queue.
    fn wait(&mut self, at: usize, now: Instant) -> StartOutcome {
        let max_wait = self.settings.max_slot_wait;
        let request = &mut self.requests[at];
        let left = request.deadline.saturating_duration_since(now);
        // An upload that may run for minutes gains more by waiting than by a refusal.
        let max_wait = max_wait.max(left / WAIT_SHARE);
        let until = *request.wait_until.get_or_insert(request.deadline.min(now + max_wait));
        if !request.queued {
            let tenant = request.tenant.unwrap_or(OPEN_TENANT);
            let queue = &mut self.services[usize::from(request.service.0)].queue;
            if queue.push(tenant, 1.0, request.ticket).is_err() {
                return self.refuse(at, RefusalReason::TenantQueueFull, now);
            }
            self.requests[at].queued = true;
        }
        StartOutcome::Wait { until }
    }

    /// Refuses an admitted request that waited in vain.
    fn refuse(&mut self, at: usize, reason: RefusalReason, now: Instant) -> StartOutcome {
        let request = &self.requests[at];
        let outcome = if request.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        let reason = match reason {
            RefusalReason::ServiceBusy if !self.has_instance(request.service) => {
                RefusalReason::NoUpstream
            }
            it => it,
        };
        let end = AttemptResult {
            outcome: AttemptOutcome::Cancelled,
            status: None,
            byte_sent: request.may_have_run,
            draining: false,
            latency: Duration::ZERO,
        };
        self.close(at, &end, now);
        let retry = Duration::from_secs(1);
        StartOutcome::Refused(Refusal::new(reason).with_outcome(outcome).with_retry_after(retry))
    }

    /// Gives free slots to waiting requests in the order of the fair queues.
    pub(crate) fn pump(&mut self, now: Instant) {
        for service in 0..self.services.len() {
            while let Some(ticket) = self.next_waiting(service) {
                let Some(at) = self.position(ticket) else {
                    self.services[service].head = None;
                    continue;
                };
                let state = &mut self.services[service];
                let waited = state.counted.is_some_and(|it| now < it + RECOUNT);
                if !waited {
                    state.counted = Some(now);
                }
                if !self.place(at, waited, now) {
                    break;
                }
                self.services[service].head = None;
                let request = &mut self.requests[at];
                request.queued = false;
                request.ready = true;
            }
        }
    }

    /// The next waiting request of a service, which stays its head until it is placed.
    fn next_waiting(&mut self, service: usize) -> Option<Ticket> {
        let state = &mut self.services[service];
        if state.head.is_none() {
            state.head = state.queue.pop().map(|it| it.1);
        }
        state.head
    }

    /// Finds an instance for a request; `waited` marks one that was counted as demand before.
    fn place(&mut self, at: usize, waited: bool, now: Instant) -> bool {
        let request = &self.requests[at];
        let (service, route) = (request.service, request.route);
        let split = self.rollouts.split(&self.snapshot, service);
        let pick = match request.pick {
            Some(it) => Some(it),
            // A repeat goes to the old version, so that a fault of the new one costs one attempt.
            None if request.attempts > 0 => None,
            None => self.rollouts.pick(service, route),
        };
        // A request that waited while the new version was stopped must not reach it any more.
        let pick = pick.filter(|it| it.side == Side::Old || split.new_share > 0.0);
        let version = match pick {
            Some(it) if it.side == Side::New => split.new.unwrap_or(split.old),
            _ if split.new_share >= 1.0 => split.new.unwrap_or(split.old),
            _ => split.old,
        };
        self.requests[at].pick = pick;
        let is_first = self.requests[at].asked.is_none();
        let asked = *self.requests[at].asked.get_or_insert(now);
        for choice in self.regions(service, is_first) {
            match self.place_in(at, version, choice, waited, now) {
                Placing::Placed => return true,
                Placing::AwaitsLoan if now < asked + SPILL_AFTER => return false,
                Placing::AwaitsLoan | Placing::Full => {}
            }
        }
        false
    }

    /// Finds an instance in one region, inside the region's, the link's and the shift's caps.
    fn place_in(
        &mut self,
        at: usize,
        version: VersionId,
        choice: Choice,
        waited: bool,
        now: Instant,
    ) -> Placing {
        let Some((home_zone, home_region)) = self.home() else { return Placing::Full };
        let request = &self.requests[at];
        let service = request.service;
        let slots = Resource::RegionSlots(service, choice.region);
        let taken = if waited {
            self.holder.retry_acquire_permit(slots, now)
        } else {
            self.holder.acquire_permit(slots, now)
        };
        match taken {
            AcquireOutcome::Acquired => {}
            AcquireOutcome::Exhausted { loan_pending: true, .. } => return Placing::AwaitsLoan,
            AcquireOutcome::Exhausted { .. } => return Placing::Full,
        }
        let share_slots = self.holder.local_limit(slots, now).0 as u32;
        let regions = [AllowedRegion { region: choice.region, share_slots }];
        let request = &self.requests[at];
        let instance = self.balancer.choose(&ChoiceQuery {
            service,
            version,
            home_region,
            home_zone,
            regions: &regions,
            excluded: &request.tried,
            idempotent: request.idempotent,
            now,
        });
        let Some(instance) = instance else {
            self.holder.release_permit(slots, now);
            return Placing::Full;
        };
        if let Some(shift) = choice.shift
            && self.holder.acquire_tokens(Resource::Shift(shift), 1.0, now)
                != AcquireOutcome::Acquired
        {
            self.holder.release_permit(slots, now);
            return Placing::Full;
        }
        self.balancer.record_start(instance, now);
        let request = &mut self.requests[at];
        request.attempts += 1;
        request.placement = Some(Placement { instance, version, region: choice.region });
        Placing::Placed
    }

    /// Regions that may serve a service, in the order of preference; a request counts once towards
    /// the wanted shares of shifts.
    fn regions(&mut self, service: ServiceId, is_first: bool) -> Vec<Choice> {
        let Some((_, home)) = self.home() else { return Vec::new() };
        let snapshot = Arc::clone(&self.snapshot);
        let shift_to = |region: RegionId| {
            let mut shifts = snapshot.active_shifts();
            shifts.find(|(_, it)| it.service == service && it.from == home && it.to == region)
        };
        let mut others: Vec<(f64, Choice)> = snapshot
            .regions
            .iter()
            .filter(|(id, _)| *id != home)
            .map(|(region, _)| {
                let latency_ms = snapshot.link(home, region).map_or(f64::MAX, |it| it.latency_ms);
                (latency_ms, Choice { region, shift: shift_to(region).map(|it| it.0) })
            })
            .collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut res = vec![Choice { region: home, shift: None }];
        res.extend(others.into_iter().map(|it| it.1));
        if is_first && let Some(at) = self.due_shift(&res) {
            let choice = res.remove(at);
            res.insert(0, choice);
        }
        res
    }

    /// The choice whose shift is due for this request, by error diffusion of the wanted shares.
    fn due_shift(&mut self, choices: &[Choice]) -> Option<usize> {
        for (at, choice) in choices.iter().enumerate() {
            let Some(shift) = choice.shift else { continue };
            let credit = &mut self.shift_credit[usize::from(shift.0)];
            *credit = (*credit + self.snapshot.shifts[shift].share).min(2.0);
            if *credit >= 1.0 {
                *credit -= 1.0;
                return Some(at);
            }
        }
        None
    }

    /// Whether any instance of a service may take work.
    fn has_instance(&self, service: ServiceId) -> bool {
        let mut instances = self.snapshot.instances.iter();
        instances
            .any(|(id, it)| it.service == service && !it.draining && !self.balancer.is_ejected(id))
    }

    /// The attempt of a placed request.
    fn attempt(&self, at: usize) -> Attempt {
        let request = &self.requests[at];
        let placement = request.placement.expect("a placed request has a placement");
        Attempt {
            ticket: request.ticket,
            instance: placement.instance,
            version: placement.version,
            service: request.service,
            route: request.route,
            tenant: request.tenant,
            region: placement.region,
            deadline: request.deadline,
            idempotent: request.idempotent,
            fingerprint: request.fingerprint,
            pick: request.pick,
        }
    }
}
