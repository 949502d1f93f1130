//! Rate limits of teams over all hosts, divided among the hosts by demand.
//!
//! Every host claims a part of a team's rate, in proportion to the demand that it reports. It uses
//! a higher claim only after all hosts have acknowledged the report, and a lower one at once, so no
//! host ever counts less for another one than that one uses. The shares of all hosts therefore never
//! add up to more than the rate, however late heartbeats arrive and wherever the network is
//! partitioned. Only while a team's requests are well below its limit, and all hosts report, shares
//! follow the demand without a claim.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    heartbeat::{TeamDemand, name_hash},
    manifest::{Manifest, Team},
    members::Members,
    window::WindowCount,
};

/// Time constant of the demand estimate: short compared to a burst.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time constant of the claimed demand while it falls: long compared to the gaps between requests
/// of small teams, since a claim that was given up takes a round of heartbeats to return.
const CLAIM_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Part of an even share that a process uses before all hosts have acknowledged its first claim.
/// The process that it replaces has claimed about an even share.
const UNACKNOWLEDGED_SHARE_FRACTION: f64 = 0.5;

/// Fraction of the tolerated excess that hosts may use for uneven arrivals. The rest covers
/// [`LEAD_EXCESS_FRACTION`].
const LOCAL_SLACK_FRACTION: f64 = 0.7;

/// Value of [`LOCAL_SLACK_FRACTION`] for a process that does not know what earlier processes admitted
/// in the present window.
const NEW_PROCESS_SLACK_FRACTION: f64 = 0.4;

/// Requests that all hosts together may admit ahead of acknowledged claims before they notice a
/// partition, as a fraction of those allowed in a window.
const LEAD_EXCESS_FRACTION: f64 = 0.03;

/// Fraction of a window's limit up to which shares follow the current demand at once. Most teams
/// stay below it, and their few requests arrive unevenly at many hosts.
const SCARCE_FRACTION: f64 = 0.5;

/// Fraction of a window up to which reports of other hosts may be old for their counts to be used.
const MAX_REPORT_AGE_FRACTION: f64 = 0.5;

/// Minimum demand assumed for each host, as a fraction of an even share, so that a host without
/// requests can admit the first ones.
const MIN_DEMAND_FRACTION: f64 = 0.05;

/// Demand up to which nothing is claimed.
const MIN_CLAIMED_DEMAND_PER_S: f64 = 0.1;

/// Upper bound for the retry-after time of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Lower bound for the retry-after time of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Tolerated excess over the teams' rates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitSettings {
    /// Length of the window in which requests are counted.
    pub window_s: f64,
    /// Tolerated excess as a fraction of the requests that are allowed in a window.
    pub overage_fraction: f64,
    /// Tolerated excess in requests per window, in addition to the fraction.
    pub slack_requests: f64,
}

impl RateLimitSettings {
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }
}

/// Refusal of a request that exceeds its team's rate at this host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateRefusal {
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Rate limit of the team over all hosts.
    pub rate_per_s: f64,
    /// Share of the rate that this host may use, 0 to 1.
    pub share: f64,
    /// Rate of the team's requests at this host.
    pub demand_per_s: f64,
}

/// Token buckets of the teams at this host.
#[derive(Debug)]
pub struct TeamRateLimiter {
    settings: RateLimitSettings,
    /// Buckets sorted by team.
    buckets: Vec<Bucket>,
    /// Time at which this process began to admit requests. Requests that an earlier process
    /// admitted are unknown.
    started_at: Option<Instant>,
    /// Heartbeat that first reported the current claims.
    claimed_sequence: Option<u64>,
    /// Whether all hosts have acknowledged a claim of this process.
    has_acknowledged_claim: bool,
    /// Whether all hosts reported recently and report often, so that their admitted requests are
    /// known.
    counts_are_recent: bool,
}

#[derive(Debug)]
struct Bucket {
    team: String,
    team_hash: u32,
    /// Rate over all hosts, 0 for no limit.
    rate_per_s: f64,
    /// Burst over all hosts.
    burst: f64,
    /// Share of rate and burst that this host may use, 0 to 1.
    share: f64,
    /// Requests that this host may admit on top of its share of the burst.
    slack: f64,
    tokens: f64,
    refilled_at: Instant,
    demand_per_s: f64,
    demand_updated_at: Instant,
    /// Demand that falls with [`CLAIM_TIME_CONSTANT`].
    sustained_demand_per_s: f64,
    /// Demand that this host reports to the others.
    claim_per_16_s: u32,
    /// Demand by which this host computes its own share; at most what any other host counts for it.
    usable_claim_per_16_s: u32,
    /// Requests that this host admitted within the last window.
    admitted: WindowCount,
    /// Requests that the other hosts admitted within the last window.
    admitted_elsewhere: u32,
    /// Tokens per second over all hosts.
    refill_per_s: f64,
    /// Whether the requests of all hosts may reach the limit, so that shares must not add up to
    /// more than the whole.
    is_scarce: bool,
}

impl TeamRateLimiter {
    /// Rate limiter without teams, which admits every request.
    pub fn new(settings: RateLimitSettings) -> Self {
        Self {
            settings,
            buckets: Vec::new(),
            started_at: None,
            claimed_sequence: None,
            has_acknowledged_claim: false,
            counts_are_recent: false,
        }
    }

    /// Applies the teams of a manifest. Known teams keep their tokens. New teams start with
    /// the tolerated excess but without a burst, since an earlier process may just have spent that.
    pub fn apply_manifest(&mut self, manifest: &Manifest, members: &Members, now: Instant) {
        self.started_at.get_or_insert(now);
        let window = self.settings.window();
        let mut old = std::mem::take(&mut self.buckets);
        let mut is_new_flags = Vec::new();
        for team in manifest.teams() {
            let known = old.iter().position(|it| it.team == team.name);
            let is_new = known.is_none();
            let bucket = match known {
                Some(at) => old.swap_remove(at).with_limits_of(team),
                None => Bucket::new(team, window, now),
            };
            self.buckets.push(bucket);
            is_new_flags.push(is_new);
        }
        self.update_shares(members, now);
        for (bucket, _) in self.buckets.iter_mut().zip(is_new_flags).filter(|it| it.1) {
            bucket.tokens = bucket.slack.max(1.0);
        }
    }

    /// Replaces the settings. The buckets' slack changes with the next
    /// [`update_shares`](Self::update_shares).
    pub fn set_settings(&mut self, settings: RateLimitSettings) {
        self.settings = settings;
    }

    /// Recomputes this host's share of every team's rate from the demand at all hosts.
    pub fn update_shares(&mut self, members: &Members, now: Instant) {
        let hosts = members.known_count() as f64;
        let window = self.settings.window();
        let age = self.started_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        // A burst may follow the previous one after one window, provided that all admitted requests
        // are known.
        let all_hosts_reporting = members.all_hosts_reporting(now);
        let knows_all_admitted = age >= window && all_hosts_reporting;
        let max_report_age = members.max_report_age();
        self.counts_are_recent =
            knows_all_admitted && max_report_age <= window.mul_f64(MAX_REPORT_AGE_FRACTION);
        let slack_fraction =
            if age >= window { LOCAL_SLACK_FRACTION } else { NEW_PROCESS_SLACK_FRACTION };
        // Until a partition is noticed, this much more than the whole rate is spent.
        let lead = if knows_all_admitted {
            let unnoticed_s = max_report_age.as_secs_f64();
            LEAD_EXCESS_FRACTION * self.settings.window_s / unnoticed_s / hosts
        } else {
            0.0
        };
        for it in &mut self.buckets {
            it.refill(now);
            it.admitted_elsewhere = members.team_admitted(it.team_hash, window, now);
            let burst_per_s =
                if knows_all_admitted { it.burst / self.settings.window_s } else { 0.0 };
            it.refill_per_s = it.rate_per_s + burst_per_s;
            let even_share_per_s = it.rate_per_s / hosts;
            let min_demand_per_s = even_share_per_s * MIN_DEMAND_FRACTION;
            let usable_claim_per_s = f64::from(it.usable_claim_per_16_s) / 16.0 + min_demand_per_s;
            let others = members.team_demand(it.team_hash, even_share_per_s, now);
            let other_minimum_per_s = min_demand_per_s * (hosts - 1.0);
            let other_claims_per_s = others.claimed_per_s + other_minimum_per_s;
            let other_demand_per_s = others.current_per_s + other_minimum_per_s;
            let share_of = |demand_per_s: f64, other_demand_per_s: f64| {
                let total_per_s = demand_per_s + other_demand_per_s;
                if total_per_s > 0.0 { demand_per_s / total_per_s } else { 1.0 / hosts }
            };
            let secure_share = if self.has_acknowledged_claim {
                share_of(usable_claim_per_s, other_claims_per_s)
            } else {
                UNACKNOWLEDGED_SHARE_FRACTION / hosts
            };
            let current_share =
                share_of(it.demand_per_s_at(now) + min_demand_per_s, other_demand_per_s);
            let window_limit = it.window_limit(self.settings.window_s);
            let admitted = f64::from(it.admitted.total(now) + it.admitted_elsewhere);
            it.is_scarce = admitted >= window_limit * SCARCE_FRACTION || !all_hosts_reporting;
            it.share = if it.is_scarce {
                current_share.clamp(secure_share, secure_share + lead)
            } else {
                current_share.max(secure_share)
            };
            let tolerated_excess =
                self.settings.overage_fraction * window_limit + self.settings.slack_requests;
            it.slack = tolerated_excess * slack_fraction / hosts;
        }
    }

    /// Admits a request, or refuses it with the time after which to retry. Unknown teams and
    /// teams without a limit are always admitted.
    pub fn admit(&mut self, team: &str, now: Instant) -> Result<(), RateRefusal> {
        let at = self.buckets.binary_search_by(|it| it.team.as_str().cmp(team));
        let Ok(at) = at else { return Ok(()) };
        let bucket = &mut self.buckets[at];
        bucket.count_demand(now);
        if bucket.rate_per_s <= 0.0 {
            return Ok(());
        }
        bucket.refill(now);
        let window_limit = bucket.window_limit(self.settings.window_s);
        let own_admitted = bucket.admitted.total(now);
        let admitted = f64::from(own_admitted + bucket.admitted_elsewhere);
        // Requests of hosts that do not report often are unknown, so that each host keeps to its own
        // part.
        let exceeds_own_part = bucket.is_scarce
            && !self.counts_are_recent
            && f64::from(own_admitted) >= window_limit * bucket.share + bucket.slack;
        if admitted >= window_limit || exceeds_own_part {
            // Saved tokens must not be spent by all hosts at once when the window moves on.
            bucket.tokens = bucket.tokens.min(0.0);
        }
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.admitted.add(now);
            return Ok(());
        }
        let own_refill_per_s = bucket.refill_per_s * bucket.share;
        let wait_s = (1.0 - bucket.tokens) / own_refill_per_s.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait_s.min(MAX_RETRY_AFTER.as_secs_f64()));
        Err(RateRefusal {
            retry_after: wait.max(MIN_RETRY_AFTER),
            rate_per_s: bucket.rate_per_s,
            share: bucket.share,
            demand_per_s: bucket.demand_per_s_at(now),
        })
    }

    /// Refunds the token of a request that was refused before it was sent to an instance.
    pub fn refund(&mut self, team: &str) {
        if let Ok(at) = self.buckets.binary_search_by(|it| it.team.as_str().cmp(team)) {
            self.buckets[at].tokens += 1.0;
            self.buckets[at].admitted.uncount();
        }
    }

    /// Demand of all limited teams for the heartbeat with a sequence number, sorted by team hash.
    ///
    /// `acknowledged` is the newest heartbeat that all other hosts have received. Once that includes
    /// the current claims, this host uses them and reports new ones.
    pub fn claim_demand(
        &mut self,
        acknowledged: Option<u64>,
        sequence: u64,
        now: Instant,
    ) -> Vec<TeamDemand> {
        if self.claimed_sequence.is_none_or(|it| acknowledged >= Some(it)) {
            self.has_acknowledged_claim = self.claimed_sequence.is_some();
            self.claimed_sequence = Some(sequence);
            self.buckets.iter_mut().for_each(|it| it.renew_claim(now));
        }
        let entries = self.buckets.iter_mut().filter(|it| it.rate_per_s > 0.0);
        let mut res: Vec<TeamDemand> = entries
            .map(|it| TeamDemand {
                team_hash: it.team_hash,
                requests_per_16_s: (it.demand_per_s_at(now) * 16.0).round() as u32,
                claimed_per_16_s: it.claim_per_16_s,
                admitted: it.admitted.total(now),
            })
            .filter(|it| it.claimed_per_16_s > 0 || it.admitted > 0)
            .collect();
        res.sort_by_key(|it| it.team_hash);
        res
    }
}

impl Bucket {
    fn new(team: &Team, window: Duration, now: Instant) -> Self {
        Self {
            team: team.name.clone(),
            team_hash: name_hash(&team.name),
            rate_per_s: team.rate_per_s,
            burst: team.burst,
            share: 0.0,
            slack: 0.0,
            tokens: 0.0,
            refilled_at: now,
            demand_per_s: 0.0,
            demand_updated_at: now,
            sustained_demand_per_s: 0.0,
            claim_per_16_s: 0,
            usable_claim_per_16_s: 0,
            admitted: WindowCount::new(window, now),
            admitted_elsewhere: 0,
            refill_per_s: 0.0,
            is_scarce: true,
        }
    }

    fn with_limits_of(mut self, team: &Team) -> Self {
        self.rate_per_s = team.rate_per_s;
        self.burst = team.burst;
        self
    }

    /// Requests that all hosts together may admit in a window, without the tolerated excess.
    fn window_limit(&self, window_s: f64) -> f64 {
        self.rate_per_s * window_s + self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = (self.burst * self.share + self.slack).max(1.0);
        self.tokens = (self.tokens + elapsed * self.refill_per_s * self.share).min(capacity);
    }

    fn count_demand(&mut self, now: Instant) {
        self.decay_demand(now);
        self.demand_per_s += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.sustained_demand_per_s = self.sustained_demand_per_s.max(self.demand_per_s);
    }

    fn decay_demand(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.demand_updated_at);
        self.demand_updated_at = now;
        self.demand_per_s *= decay(elapsed, DEMAND_TIME_CONSTANT);
        self.sustained_demand_per_s *= decay(elapsed, CLAIM_TIME_CONSTANT);
    }

    fn demand_per_s_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_updated_at);
        self.demand_per_s * decay(elapsed, DEMAND_TIME_CONSTANT)
    }

    /// Uses the acknowledged claim, and claims the present demand.
    fn renew_claim(&mut self, now: Instant) {
        self.decay_demand(now);
        self.usable_claim_per_16_s = self.claim_per_16_s;
        let demand_per_s = self.sustained_demand_per_s;
        let is_claimed = demand_per_s > MIN_CLAIMED_DEMAND_PER_S;
        self.claim_per_16_s = if is_claimed { (demand_per_s * 16.0).round() as u32 } else { 0 };
        self.usable_claim_per_16_s = self.usable_claim_per_16_s.min(self.claim_per_16_s);
    }
}

/// Fraction of an estimate that remains after a time.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
