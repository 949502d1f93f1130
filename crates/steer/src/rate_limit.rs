//! Tenants' rates over all hosts, divided by demand.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    heartbeat::{TenantDemand, name_hash},
    manifest::{Manifest, Tenant},
    members::Members,
    window::WindowCount,
};

/// Time constant of the demand estimate: long against the gaps of small tenants, short against a
/// burst.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Part of the tolerated overage that hosts may spend for unevenness; the rest covers views that
/// differ while demand moves.
const SLACK_PART: f64 = 0.6;

/// Demand that each host is taken to have at least, as a part of an even share, so that a host
/// without requests can admit the first ones.
const IDLE_PART: f64 = 0.05;

/// Demand below which a tenant is not told to other hosts.
const MIN_TOLD_PER_S: f32 = 0.01;

/// Longest time that a refused request is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Shortest time that a refused request is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Tolerated excess over a tenant's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitSettings {
    /// Window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Tolerated part above the allowance of a window.
    pub overage_fraction: f64,
    /// Tolerated requests on top.
    pub slack_requests: f64,
}

impl RateLimitSettings {
    /// Window in which requests are counted.
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }
}

/// Why a tenant's request is over its rate at this host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateRefusal {
    /// When to come back.
    pub retry_after: Duration,
    /// The tenant's rate over all hosts.
    pub rate_per_s: f64,
    /// This host's part of it.
    pub share: f64,
    /// Requests per second at this host.
    pub demand_per_s: f64,
}

/// The tenants' buckets at this host.
#[derive(Debug)]
pub struct TenantRateLimiter {
    /// Tolerated excess.
    settings: RateLimitSettings,
    /// Buckets by tenant, sorted by name.
    buckets: Vec<Bucket>,
    /// When this process began to admit; it does not know what a former one admitted.
    started_at: Option<Instant>,
}

/// One tenant's bucket.
#[derive(Debug)]
struct Bucket {
    /// Name of the tenant.
    tenant: String,
    /// Hash of the name.
    hash: u32,
    /// Rate over all hosts, 0 for no limit.
    rate_per_s: f64,
    /// Burst over all hosts.
    burst: f64,
    /// This host's part of both.
    share: f64,
    /// Requests on top that this host may admit at once.
    slack: f64,
    /// Requests that may be admitted now.
    tokens: f64,
    /// When tokens were last added.
    filled_at: Instant,
    /// Requests per second.
    demand: f64,
    /// When the demand was last brought up to date.
    demand_at: Instant,
    /// Requests admitted here in the last window.
    admitted: WindowCount,
    /// Requests that the other hosts admitted in the last window.
    admitted_elsewhere: u32,
    /// Requests per second that are added over all hosts.
    refill_per_s: f64,
}

impl TenantRateLimiter {
    /// No tenants.
    pub fn new(settings: RateLimitSettings) -> Self {
        Self { settings, buckets: Vec::new(), started_at: None }
    }

    /// Takes the tenants of a manifest over; those that stay keep their tokens. New ones start with
    /// the tolerated excess and without a burst, since a former process may just have spent that.
    pub fn apply_manifest(&mut self, manifest: &Manifest, members: &Members, now: Instant) {
        self.started_at.get_or_insert(now);
        let window = self.settings.window();
        let mut old = std::mem::take(&mut self.buckets);
        let mut news = Vec::new();
        for tenant in manifest.tenants() {
            let known = old.iter().position(|it| it.tenant == tenant.name);
            let is_new = known.is_none();
            let bucket = match known {
                Some(at) => old.swap_remove(at).with_limits(tenant),
                None => Bucket::new(tenant, window, now),
            };
            self.buckets.push(bucket);
            news.push(is_new);
        }
        self.update_shares(members, now);
        for (bucket, _) in self.buckets.iter_mut().zip(news).filter(|it| it.1) {
            bucket.tokens = bucket.slack.max(1.0);
        }
    }

    /// Takes changed tolerances over.
    pub fn set_settings(&mut self, settings: RateLimitSettings) {
        self.settings = settings;
    }

    /// Recomputes this host's share of every tenant's rate.
    pub fn update_shares(&mut self, members: &Members, now: Instant) {
        let hosts = members.known_count() as f64;
        let window = self.settings.window();
        let age = self.started_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        // A burst may follow the one before it after a window, if all that was admitted is known.
        let counts_all = age >= window && members.all_hosts_reporting(now);
        for it in &mut self.buckets {
            it.fill(now);
            it.admitted_elsewhere = members.tenant_admitted(it.hash, window, now);
            let burst_per_s = if counts_all { it.burst / self.settings.window_s } else { 0.0 };
            it.refill_per_s = it.rate_per_s + burst_per_s;
            let even = it.rate_per_s / hosts;
            let idle = even * IDLE_PART;
            let own = it.demand_at(now) + idle;
            let others = members.tenant_demand(it.hash, even, now) + idle * (hosts - 1.0);
            it.share = if own + others > 0.0 { own / (own + others) } else { 1.0 / hosts };
            let tolerated = self.settings.overage_fraction
                * (it.rate_per_s * self.settings.window_s + it.burst)
                + self.settings.slack_requests;
            it.slack = tolerated * SLACK_PART / hosts;
        }
    }

    /// Admits a request or answers when to come back.
    pub fn admit(&mut self, tenant: &str, now: Instant) -> Result<(), RateRefusal> {
        let at = self.buckets.binary_search_by(|it| it.tenant.as_str().cmp(tenant));
        let Ok(at) = at else { return Ok(()) };
        let bucket = &mut self.buckets[at];
        bucket.count_demand(now);
        if bucket.rate_per_s <= 0.0 {
            return Ok(());
        }
        bucket.fill(now);
        let window_limit = bucket.rate_per_s * self.settings.window_s + bucket.burst;
        let admitted = f64::from(bucket.admitted.total(now) + bucket.admitted_elsewhere);
        if admitted >= window_limit {
            // What was saved up must not be spent at once by all hosts when the window moves on.
            bucket.tokens = bucket.tokens.min(0.0);
        }
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.admitted.add(now);
            return Ok(());
        }
        let own_rate = bucket.refill_per_s * bucket.share;
        let wait_s = (1.0 - bucket.tokens) / own_rate.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait_s.min(MAX_RETRY_AFTER.as_secs_f64()));
        Err(RateRefusal {
            retry_after: wait.max(MIN_RETRY_AFTER),
            rate_per_s: bucket.rate_per_s,
            share: bucket.share,
            demand_per_s: bucket.demand_at(now),
        })
    }

    /// Gives back what a request took that was refused before it was sent anywhere.
    pub fn refund(&mut self, tenant: &str) {
        if let Ok(at) = self.buckets.binary_search_by(|it| it.tenant.as_str().cmp(tenant)) {
            self.buckets[at].tokens += 1.0;
            self.buckets[at].admitted.uncount();
        }
    }

    /// The demand of all tenants, for peers.
    pub fn demand(&mut self, now: Instant) -> Vec<TenantDemand> {
        let entries = self.buckets.iter_mut().filter(|it| it.rate_per_s > 0.0);
        let mut res: Vec<TenantDemand> = entries
            .map(|it| TenantDemand {
                tenant_hash: it.hash,
                requests_per_s: it.demand_at(now) as f32,
                admitted: it.admitted.total(now),
            })
            .filter(|it| it.requests_per_s > MIN_TOLD_PER_S || it.admitted > 0)
            .collect();
        res.sort_by_key(|it| it.tenant_hash);
        res
    }
}

impl Bucket {
    /// An empty bucket of a tenant that is new to this process.
    fn new(tenant: &Tenant, window: Duration, now: Instant) -> Self {
        Self {
            tenant: tenant.name.clone(),
            hash: name_hash(&tenant.name),
            rate_per_s: tenant.rate_per_s,
            burst: tenant.burst,
            share: 0.0,
            slack: 0.0,
            tokens: 0.0,
            filled_at: now,
            demand: 0.0,
            demand_at: now,
            admitted: WindowCount::new(window, now),
            admitted_elsewhere: 0,
            refill_per_s: 0.0,
        }
    }

    /// Takes changed limits over.
    fn with_limits(mut self, tenant: &Tenant) -> Self {
        self.rate_per_s = tenant.rate_per_s;
        self.burst = tenant.burst;
        self
    }

    /// Adds the tokens since the last call.
    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let capacity = (self.burst * self.share + self.slack).max(1.0);
        self.tokens = (self.tokens + passed * self.refill_per_s * self.share).min(capacity);
    }

    /// Counts a request in the demand.
    fn count_demand(&mut self, now: Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    /// Requests per second.
    fn demand_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.demand_at);
        self.demand * (-passed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
    }
}
