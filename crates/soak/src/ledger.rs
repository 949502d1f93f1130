//! What callers sent and instances ran, and whether the promises held.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time within which a revoked key must be dead.
pub(crate) const REVOCATION: Duration = Duration::from_secs(5);

/// Time after which a leaving instance gets no more requests.
pub(crate) const LEAVING: Duration = Duration::from_millis(2500);

/// Time without disturbance from which bounds hold again.
pub(crate) const STABLE: Duration = Duration::from_secs(4);

/// Window in which a tenant's requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Requests of the limited tenant that may run in a window: 20 a second, a burst of 20, a tenth and
/// 20 on top.
const RATE_LIMIT: usize = 152;

/// Part of the requests that must succeed once all faults are over.
const RECOVERED_PART: f64 = 0.95;

/// Refusals of proper requests as improper ones that are tolerated, and the part on top.
const DENIED: (f64, f64) = (5.0, 0.002);

/// Name of the tenant that has a rate.
pub const LIMITED_TENANT: &str = "limited";

/// Everything that was seen.
#[derive(Default)]
pub struct Ledger {
    /// Runs, in their order.
    runs: Mutex<Vec<Run>>,
    /// Requests, in the order in which they ended.
    requests: Mutex<Vec<Sent>>,
    /// Times with a disturbance that nobody planned.
    disturbances: Mutex<Vec<(Instant, Instant)>>,
    /// Revoked keys.
    revoked: Mutex<Vec<(String, Instant)>>,
    /// Instances that leave.
    leaving: Mutex<Vec<(String, Instant)>>,
    /// Graceful shutdowns of hosts.
    stops: Mutex<Vec<(usize, Instant)>>,
}

/// A request that an instance began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// The instance.
    pub instance: String,
    /// The instance's service.
    pub service: String,
    /// The tenant that the instance was told.
    pub tenant: String,
    /// Whether the caller's key came along.
    pub has_key: bool,
    /// Its path.
    pub path: String,
    /// Length of its body.
    pub body_bytes: usize,
    /// When it began.
    pub at: Instant,
}

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Length of its body.
    pub body_bytes: usize,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The key that it showed.
    pub key: String,
    /// The tenant that holds the key.
    pub tenant: &'static str,
    /// The host that took it.
    pub host: usize,
    /// When it was sent.
    pub at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub ending: Ending,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With a response.
    Answered {
        /// Its status.
        status: u16,
        /// Whether an instance vouched for it.
        is_sealed: bool,
        /// Its body.
        body: String,
    },
    /// No connection could be opened.
    Unreachable,
    /// The connection ended without a response.
    Broken,
    /// No response came in time.
    TimedOut,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl Ledger {
    /// Notes a run.
    pub fn ran(&self, run: Run) {
        self.runs.lock().push(run);
    }

    /// Notes a request that ended.
    pub fn ended(&self, sent: Sent) {
        self.requests.lock().push(sent);
    }

    /// Notes a disturbance that nobody planned.
    pub fn disturbed(&self, from: Instant, until: Instant) {
        self.disturbances.lock().push((from, until));
    }

    /// Notes that a key was revoked.
    pub fn revoked(&self, key: &str) {
        self.revoked.lock().push((key.to_owned(), Instant::now()));
    }

    /// Notes that an instance leaves.
    pub fn leaves(&self, instance: &str) {
        self.leaving.lock().push((instance.to_owned(), Instant::now()));
    }

    /// Notes that a host was told to stop.
    pub fn stopped(&self, host: usize) {
        self.stops.lock().push((host, Instant::now()));
    }

    /// Requests that ended.
    pub fn requests(&self) -> usize {
        self.requests.lock().len()
    }

    /// Every broken promise; `calm_from` is when all faults were over for long enough.
    pub fn violations(&self, calm_from: Instant) -> Vec<Violation> {
        let requests = self.requests.lock();
        let runs = self.runs.lock();
        let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        for it in runs.iter() {
            by_id.entry(&it.id).or_default().push(it);
        }
        let sent: HashMap<&str, &Sent> = requests.iter().map(|it| (it.id.as_str(), it)).collect();
        let mut res = Vec::new();
        let mut found = |promise, seen: String| res.push(Violation { promise, seen });
        for it in requests.iter() {
            let runs = by_id.get(it.id.as_str()).map_or(&[][..], Vec::as_slice);
            if let Some((promise, seen)) = request_fault(it, runs) {
                found(promise, format!("request {}: {seen}", it.id));
            }
            if let Some(seen) = self.stop_fault(it, runs) {
                found("planned-stop", format!("request {}: {seen}", it.id));
            }
        }
        for run in runs.iter() {
            let Some(it) = sent.get(run.id.as_str()) else { continue };
            if let Some((promise, seen)) = self.run_fault(run, it) {
                found(promise, format!("request {} at {}: {seen}", run.id, run.instance));
            }
        }
        if let Some(it) = rate_fault(&runs, &sent) {
            found("rate", it);
        }
        if let Some(it) = denied_fault(&requests) {
            found("denied", it);
        }
        if let Some(it) = recovery_fault(&requests, calm_from) {
            found("recovery", it);
        }
        res
    }

    /// How requests ended, for the report.
    pub fn summary(&self) -> BTreeMap<String, usize> {
        let mut res = BTreeMap::new();
        for it in self.requests.lock().iter() {
            let ending = match &it.ending {
                Ending::Answered { status, .. } => status.to_string(),
                Ending::Unreachable => "unreachable".to_owned(),
                Ending::Broken => "broken".to_owned(),
                Ending::TimedOut => "timed-out".to_owned(),
            };
            *res.entry(ending).or_default() += 1;
        }
        res
    }

    /// Whether nothing unplanned happened from a while before `from` until `until`.
    fn is_calm(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(STABLE).unwrap_or(from);
        self.disturbances.lock().iter().all(|it| it.1 < from || it.0 > until)
    }

    /// What is wrong with a run.
    fn run_fault(&self, run: &Run, sent: &Sent) -> Option<(&'static str, String)> {
        if run.has_key {
            return Some(("key-hidden", "the key came along".to_owned()));
        }
        if run.tenant != sent.tenant {
            return Some(("tenant", format!("told `{}`, is `{}`", run.tenant, sent.tenant)));
        }
        if run.path != sent.path || run.body_bytes != sent.body_bytes {
            return Some(("unchanged", format!("{} with {} bytes", run.path, run.body_bytes)));
        }
        let service = service_of(&sent.path);
        if run.service != service {
            return Some(("route", format!("ran at `{}`, not `{service}`", run.service)));
        }
        let revoked = self.revoked.lock();
        let key = revoked.iter().find(|it| it.0 == sent.key && sent.at > it.1 + REVOCATION);
        if let Some((_, at)) = key {
            let late = sent.at.saturating_duration_since(*at);
            return Some(("revoked-key", format!("sent {late:?} after the revocation")));
        }
        let leaving = self.leaving.lock();
        let left = leaving.iter().find(|it| it.0 == run.instance && sent.at > it.1 + LEAVING);
        if let Some((_, at)) = left
            && self.is_calm(*at, run.at)
        {
            let late = sent.at.saturating_duration_since(*at);
            return Some(("leaving", format!("sent {late:?} after the instance was leaving")));
        }
        None
    }

    /// Whether a graceful shutdown cut a request.
    fn stop_fault(&self, sent: &Sent, runs: &[&Run]) -> Option<String> {
        let is_cut = matches!(sent.ending, Ending::Broken);
        if !is_cut || runs.is_empty() {
            return None;
        }
        let stops = self.stops.lock();
        let stop = stops.iter().find(|it| {
            it.0 == sent.host && sent.at <= it.1 + Duration::from_secs(3) && sent.ended_at >= it.1
        })?;
        self.is_calm(sent.at, sent.ended_at).then(|| {
            let after = sent.ended_at.saturating_duration_since(stop.1);
            format!("cut {after:?} after host {} was told to stop", sent.host)
        })
    }
}

/// The service of a path.
pub(crate) fn service_of(path: &str) -> &'static str {
    if path.starts_with("/read/") { "catalogue" } else { "orders" }
}

/// What is wrong with how a request ended.
fn request_fault(sent: &Sent, runs: &[&Run]) -> Option<(&'static str, String)> {
    if !sent.is_idempotent && runs.len() > 1 {
        return Some(("at-most-once", format!("ran {} times", runs.len())));
    }
    let Ending::Answered { status, is_sealed, body } = &sent.ending else { return None };
    let says_not_run = matches!(status, 408 | 421 | 429 | 503);
    if !sent.is_idempotent && says_not_run && !runs.is_empty() {
        return Some(("not-run", format!("answered {status} and ran at {}", runs[0].instance)));
    }
    let expected = crate::instance::answer_body(&sent.id, sent.body_bytes);
    if *status == 200 && (!is_sealed || *body != expected) {
        return Some(("own-answer", format!("sealed: {is_sealed}, body `{body}`")));
    }
    None
}

/// Whether the limited tenant got more than its rate allows.
fn rate_fault(runs: &[Run], sent: &HashMap<&str, &Sent>) -> Option<String> {
    let mut spans: Vec<(Instant, Instant)> = runs
        .iter()
        .filter(|it| it.tenant == LIMITED_TENANT)
        .filter_map(|it| Some((sent.get(it.id.as_str())?.at, it.at)))
        .collect();
    spans.sort();
    let in_window =
        |from: Instant| spans.iter().filter(|it| it.0 >= from && it.1 < from + RATE_WINDOW).count();
    let most = spans.iter().map(|it| in_window(it.0)).max().unwrap_or(0);
    (most > RATE_LIMIT).then(|| format!("{most} requests in 5 s, {RATE_LIMIT} are allowed"))
}

/// Whether proper requests were refused as improper ones.
fn denied_fault(requests: &[Sent]) -> Option<String> {
    let is_denied = |it: &&Sent| {
        let Ending::Answered { status, .. } = it.ending else { return false };
        (300..500).contains(&status) && ![408, 421, 429].contains(&status) && it.tenant != "revoked"
    };
    let denied: Vec<&Sent> = requests.iter().filter(is_denied).collect();
    let tolerated = DENIED.0 + DENIED.1 * requests.len() as f64;
    (denied.len() as f64 > tolerated).then(|| {
        format!("{} of {} requests, the first {:?}", denied.len(), requests.len(), denied[0].ending)
    })
}

/// Whether requests fail after all faults are over.
fn recovery_fault(requests: &[Sent], calm_from: Instant) -> Option<String> {
    let late = requests.iter().filter(|it| it.at > calm_from && it.tenant == "steady");
    let (mut all, mut good) = (0u32, 0u32);
    for it in late {
        all += 1;
        good += u32::from(matches!(it.ending, Ending::Answered { status: 200, .. }));
    }
    let part = f64::from(good) / f64::from(all.max(1));
    (part < RECOVERED_PART).then(|| format!("{good} of {all} requests after all faults"))
}
