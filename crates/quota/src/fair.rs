//! Weighted fair queuing of waiting requests per tenant.

use std::collections::VecDeque;

use kingcupford_config::TenantId;

/// Waiting requests, served by weighted fair queuing with a bound for each tenant.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    /// Most waiting requests of one tenant.
    limit_per_tenant: usize,
    /// Virtual start of the request served last.
    virtual_time: f64,
    /// One lane per tenant that ever waited, sorted by tenant.
    lanes: Vec<Lane<T>>,
    /// Waiting requests of all tenants.
    len: usize,
}

/// The waiting requests of one tenant.
#[derive(Debug, Clone)]
struct Lane<T> {
    /// The tenant.
    tenant: TenantId,
    /// Virtual finish of the tenant's latest request.
    last_finish: f64,
    /// Requests with virtual start and finish.
    waiting: VecDeque<(f64, f64, T)>,
}

impl<T> FairQueue<T> {
    /// An empty queue that holds up to `limit_per_tenant` requests of each tenant.
    pub fn new(limit_per_tenant: usize) -> Self {
        Self { limit_per_tenant, virtual_time: 0.0, lanes: Vec::new(), len: 0 }
    }

    /// Appends a request, or answers it back when its tenant has too many waiting.
    pub fn push(&mut self, tenant: TenantId, weight: f64, item: T) -> Result<(), T> {
        let at = match self.lanes.binary_search_by_key(&tenant, |it| it.tenant) {
            Ok(at) => at,
            Err(at) => {
                let lane = Lane { tenant, last_finish: 0.0, waiting: VecDeque::new() };
                self.lanes.insert(at, lane);
                at
            }
        };
        let lane = &mut self.lanes[at];
        if lane.waiting.len() >= self.limit_per_tenant {
            return Err(item);
        }
        let start = lane.last_finish.max(self.virtual_time);
        lane.last_finish = start + 1.0 / weight.max(f64::EPSILON);
        lane.waiting.push_back((start, lane.last_finish, item));
        self.len += 1;
        Ok(())
    }

    /// Takes the request with the earliest virtual finish.
    pub fn pop(&mut self) -> Option<(TenantId, T)> {
        let lanes = self.lanes.iter_mut().filter(|it| !it.waiting.is_empty());
        let lane = lanes.min_by(|a, b| a.waiting[0].1.total_cmp(&b.waiting[0].1))?;
        let (start, _, item) = lane.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(start);
        self.len -= 1;
        Some((lane.tenant, item))
    }

    /// Removes requests that `keep` rejects, such as those past their deadline.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for lane in &mut self.lanes {
            lane.waiting.retain(|it| keep(&it.2));
        }
        self.len = self.lanes.iter().map(|it| it.waiting.len()).sum();
    }

    /// Waiting requests of all tenants.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests of one tenant.
    pub fn tenant_len(&self, tenant: TenantId) -> usize {
        let at = self.lanes.binary_search_by_key(&tenant, |it| it.tenant);
        at.map_or(0, |at| self.lanes[at].waiting.len())
    }
}
