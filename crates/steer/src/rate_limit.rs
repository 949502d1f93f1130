//! Rate limits of tenants over all hosts, divided among the hosts by demand.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    heartbeat::{TenantDemand, name_hash},
    manifest::{Manifest, Tenant},
    members::Members,
    window::WindowCount,
};

/// Time constant of the demand estimate: long compared to the gaps between requests of small
/// tenants, short compared to a burst.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Fraction of the tolerated excess that hosts may use for uneven arrivals. The rest covers views
/// of the hosts that differ while demand moves.
const LOCAL_SLACK_FRACTION: f64 = 0.6;

/// Minimum demand assumed for each host, as a fraction of an even share, so that a host without
/// requests can admit the first ones.
const MIN_DEMAND_FRACTION: f64 = 0.05;

/// Demand up to which a tenant without admitted requests is not reported to other hosts.
const MIN_REPORTED_DEMAND_PER_S: f32 = 0.01;

/// Upper bound for the retry-after time of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Lower bound for the retry-after time of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Tolerated excess over the tenants' rates.
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

/// Refusal of a request that exceeds its tenant's rate at this host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateRefusal {
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Rate limit of the tenant over all hosts.
    pub rate_per_s: f64,
    /// Share of the rate that this host may use, 0 to 1.
    pub share: f64,
    /// Rate of the tenant's requests at this host.
    pub demand_per_s: f64,
}

/// Token buckets of the tenants at this host.
#[derive(Debug)]
pub struct TenantRateLimiter {
    settings: RateLimitSettings,
    /// Buckets sorted by tenant.
    buckets: Vec<Bucket>,
    /// Time at which this process began to admit requests. Requests that an earlier process
    /// admitted are unknown.
    started_at: Option<Instant>,
}

#[derive(Debug)]
struct Bucket {
    tenant: String,
    tenant_hash: u32,
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
    /// Requests that this host admitted within the last window.
    admitted: WindowCount,
    /// Requests that the other hosts admitted within the last window.
    admitted_elsewhere: u32,
    /// Tokens per second over all hosts.
    refill_per_s: f64,
}

impl TenantRateLimiter {
    /// Rate limiter without tenants, which admits every request.
    pub fn new(settings: RateLimitSettings) -> Self {
        Self { settings, buckets: Vec::new(), started_at: None }
    }

    /// Applies the tenants of a manifest. Known tenants keep their tokens. New tenants start with
    /// the tolerated excess but without a burst, since an earlier process may just have spent that.
    pub fn apply_manifest(&mut self, manifest: &Manifest, members: &Members, now: Instant) {
        self.started_at.get_or_insert(now);
        let window = self.settings.window();
        let mut old = std::mem::take(&mut self.buckets);
        let mut is_new_flags = Vec::new();
        for tenant in manifest.tenants() {
            let known = old.iter().position(|it| it.tenant == tenant.name);
            let is_new = known.is_none();
            let bucket = match known {
                Some(at) => old.swap_remove(at).with_limits_of(tenant),
                None => Bucket::new(tenant, window, now),
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

    /// Recomputes this host's share of every tenant's rate from the demand at all hosts.
    pub fn update_shares(&mut self, members: &Members, now: Instant) {
        let hosts = members.known_count() as f64;
        let window = self.settings.window();
        let age = self.started_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        // A burst may follow the previous one after one window, provided that all admitted requests
        // are known.
        let knows_all_admitted = age >= window && members.all_hosts_reporting(now);
        for it in &mut self.buckets {
            it.refill(now);
            it.admitted_elsewhere = members.tenant_admitted(it.tenant_hash, window, now);
            let burst_per_s =
                if knows_all_admitted { it.burst / self.settings.window_s } else { 0.0 };
            it.refill_per_s = it.rate_per_s + burst_per_s;
            let even_share_per_s = it.rate_per_s / hosts;
            let min_demand_per_s = even_share_per_s * MIN_DEMAND_FRACTION;
            let own_demand_per_s = it.demand_per_s_at(now) + min_demand_per_s;
            let other_demand_per_s = members.tenant_demand(it.tenant_hash, even_share_per_s, now)
                + min_demand_per_s * (hosts - 1.0);
            it.share = if own_demand_per_s + other_demand_per_s > 0.0 {
                own_demand_per_s / (own_demand_per_s + other_demand_per_s)
            } else {
                1.0 / hosts
            };
            let tolerated_excess = self.settings.overage_fraction
                * (it.rate_per_s * self.settings.window_s + it.burst)
                + self.settings.slack_requests;
            it.slack = tolerated_excess * LOCAL_SLACK_FRACTION / hosts;
        }
    }

    /// Admits a request, or refuses it with the time after which to retry. Unknown tenants and
    /// tenants without a limit are always admitted.
    pub fn admit(&mut self, tenant: &str, now: Instant) -> Result<(), RateRefusal> {
        let at = self.buckets.binary_search_by(|it| it.tenant.as_str().cmp(tenant));
        let Ok(at) = at else { return Ok(()) };
        let bucket = &mut self.buckets[at];
        bucket.count_demand(now);
        if bucket.rate_per_s <= 0.0 {
            return Ok(());
        }
        bucket.refill(now);
        let window_limit = bucket.rate_per_s * self.settings.window_s + bucket.burst;
        let admitted = f64::from(bucket.admitted.total(now) + bucket.admitted_elsewhere);
        if admitted >= window_limit {
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
    pub fn refund(&mut self, tenant: &str) {
        if let Ok(at) = self.buckets.binary_search_by(|it| it.tenant.as_str().cmp(tenant)) {
            self.buckets[at].tokens += 1.0;
            self.buckets[at].admitted.uncount();
        }
    }

    /// Demand of all limited tenants for the heartbeats, sorted by tenant hash.
    pub fn demand(&mut self, now: Instant) -> Vec<TenantDemand> {
        let entries = self.buckets.iter_mut().filter(|it| it.rate_per_s > 0.0);
        let mut res: Vec<TenantDemand> = entries
            .map(|it| TenantDemand {
                tenant_hash: it.tenant_hash,
                requests_per_s: it.demand_per_s_at(now) as f32,
                admitted: it.admitted.total(now),
            })
            .filter(|it| it.requests_per_s > MIN_REPORTED_DEMAND_PER_S || it.admitted > 0)
            .collect();
        res.sort_by_key(|it| it.tenant_hash);
        res
    }
}

impl Bucket {
    fn new(tenant: &Tenant, window: Duration, now: Instant) -> Self {
        Self {
            tenant: tenant.name.clone(),
            tenant_hash: name_hash(&tenant.name),
            rate_per_s: tenant.rate_per_s,
            burst: tenant.burst,
            share: 0.0,
            slack: 0.0,
            tokens: 0.0,
            refilled_at: now,
            demand_per_s: 0.0,
            demand_updated_at: now,
            admitted: WindowCount::new(window, now),
            admitted_elsewhere: 0,
            refill_per_s: 0.0,
        }
    }

    fn with_limits_of(mut self, tenant: &Tenant) -> Self {
        self.rate_per_s = tenant.rate_per_s;
        self.burst = tenant.burst;
        self
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = (self.burst * self.share + self.slack).max(1.0);
        self.tokens = (self.tokens + elapsed * self.refill_per_s * self.share).min(capacity);
    }

    fn count_demand(&mut self, now: Instant) {
        self.demand_per_s = self.demand_per_s_at(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand_updated_at = now;
    }

    fn demand_per_s_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_updated_at);
        self.demand_per_s * (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
