//! Records the requests that callers sent and instances executed, and checks the system's
//! guarantees against these records.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use parking_lot::Mutex;
use tokio::time::Instant;

/// Longest time from the revocation of a key until every host refuses it.
pub(crate) const MAX_REVOCATION_DELAY: Duration = Duration::from_secs(5);

/// Longest time from the registration of an instance as draining until it gets no new requests.
pub(crate) const MAX_DRAIN_DELAY: Duration = Duration::from_millis(2500);

/// Time after a disturbance in which the guarantees on draining instances and planned stops are
/// not checked.
pub(crate) const STABILIZATION_TIME: Duration = Duration::from_secs(4);

/// Time within which a host that is told to stop must end.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time after the grace in which a cut request still counts as cut by the stop.
const STOP_AFTERMATH: Duration = Duration::from_secs(1);

/// Time after the start of a stop until which requests are sent of which a slow instance may be the
/// reason for a cut.
const SLOW_REQUEST_SENT_WITHIN: Duration = Duration::from_secs(3);

/// Time after the start of a stop from which on an instance that is still at work is that reason:
/// the last sixth of the grace.
const SLOW_INSTANCE_WORKS_UNTIL: Duration = Duration::from_secs(5);

/// Time after which a host has read a whole request that it accepted: the tolerated 200 ms, and time
/// for a process that waits for a processor.
const MAX_READ_TIME: Duration = Duration::from_secs(1);

/// Window over which the executions of the rate-limited team are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Executions permitted in one window: a rate of 20 per second and a burst of 20, plus an overage
/// of a tenth and a slack of 20.
const MAX_EXECUTIONS_PER_WINDOW: usize = 152;

/// Fraction of requests that must succeed once the effects of all faults are over.
const MIN_RECOVERED_FRACTION: f64 = 0.95;

/// Tolerated number of valid requests that are refused as invalid: a constant and a fraction of all
/// requests, added up.
const WRONG_REFUSAL_TOLERANCE: (f64, f64) = (5.0, 0.002);

/// Name of the team whose request rate is limited.
pub const LIMITED_TEAM: &str = "limited";

/// What callers and instances observed during a run, with the events that affect the checks.
#[derive(Default)]
pub struct History {
    /// Executions in the order in which they began.
    executions: Mutex<Vec<Execution>>,
    /// Requests in the order in which they ended.
    requests: Mutex<Vec<CallerRequest>>,
    /// Start and end of each fault that is not a planned operation.
    disturbances: Mutex<Vec<(Instant, Instant)>>,
    /// Revoked API keys, with the time of their revocation.
    key_revocations: Mutex<Vec<(String, Instant)>>,
    /// Ids of draining instances, with the time of their registration as draining.
    instance_drains: Mutex<Vec<(String, Instant)>>,
    /// Indices of hosts that were stopped gracefully, with the time of the signal.
    host_stops: Mutex<Vec<(usize, Instant)>>,
    /// Ids of instances that ended, with the time of their end.
    instance_ends: Mutex<Vec<(String, Instant)>>,
}

/// One execution of a request by an instance, recorded when the instance starts to process it.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Request id, as the instance received it.
    pub request_id: String,
    /// Id of the instance.
    pub instance: String,
    /// Service of the instance.
    pub service: String,
    /// Team that the host named in its request to the instance.
    pub team: String,
    /// Whether the caller's API key reached the instance.
    pub has_key: bool,
    /// Path that the instance received.
    pub path: String,
    /// Length of the body that the instance received.
    pub body_bytes: usize,
    /// When processing began.
    pub started_at: Instant,
    /// When the instance had the response; `None` if its connection closed before.
    pub finished_at: Option<Instant>,
}

/// A request of a caller, recorded when it ends.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id, unique within a run.
    pub id: String,
    /// Path that the caller requested.
    pub path: String,
    /// Length of the body that the caller sent.
    pub body_bytes: usize,
    /// Whether instances may execute the request more than once.
    pub is_idempotent: bool,
    /// API key that the caller sent.
    pub key: String,
    /// Team that holds the key.
    pub team: &'static str,
    /// Index of the host that the caller connected to.
    pub host: usize,
    /// Time from the sending until the caller's deadline or the route's timeout, the earlier of the
    /// two.
    pub time_limit: Duration,
    /// When the caller began to send.
    pub sent_at: Instant,
    /// When the whole response was received or the request failed.
    pub ended_at: Instant,
    /// Result that the caller saw.
    pub outcome: RequestOutcome,
}

/// Result of a request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole response was received.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Whether the response carries the seal header, which instances set.
        is_sealed: bool,
        /// Response body.
        body: String,
    },
    /// No connection could be opened.
    Unreachable,
    /// The connection ended before the whole response was received.
    Broken {
        /// Whether it was reset, as opposed to an orderly end.
        is_reset: bool,
    },
    /// The whole response was not received in time.
    TimedOut,
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Short name of the guarantee, such as `revoked-key`.
    pub guarantee: &'static str,
    /// Description of the observation that violates the guarantee.
    pub observed: String,
}

impl History {
    /// Records that an instance began to execute a request; returns the index of the execution.
    pub fn record_execution(&self, execution: Execution) -> usize {
        let mut executions = self.executions.lock();
        executions.push(execution);
        executions.len() - 1
    }

    /// Records that the instance has the response of an execution now.
    pub fn record_execution_finish(&self, execution_index: usize) {
        self.executions.lock()[execution_index].finished_at = Some(Instant::now());
    }

    /// Records a request that ended.
    pub fn record_request(&self, request: CallerRequest) {
        self.requests.lock().push(request);
    }

    /// Records the duration of a fault that is not a planned operation.
    pub fn record_disturbance(&self, from: Instant, until: Instant) {
        self.disturbances.lock().push((from, until));
    }

    /// Records that a key is revoked now.
    pub fn record_key_revocation(&self, key: &str) {
        self.key_revocations.lock().push((key.to_owned(), Instant::now()));
    }

    /// Records that an instance is registered as draining now.
    pub fn record_instance_drain(&self, instance: &str) {
        self.instance_drains.lock().push((instance.to_owned(), Instant::now()));
    }

    /// Records that an instance ends now.
    pub fn record_instance_end(&self, instance: &str) {
        self.instance_ends.lock().push((instance.to_owned(), Instant::now()));
    }

    /// Records that a host is signalled to shut down now.
    pub fn record_host_stop(&self, host: usize) {
        self.host_stops.lock().push((host, Instant::now()));
    }

    /// Number of requests that ended.
    pub fn request_count(&self) -> usize {
        self.requests.lock().len()
    }

    /// Checks all guarantees; requests sent after `settled_at` must show that the deployment has
    /// recovered from all faults.
    pub fn violations(&self, settled_at: Instant) -> Vec<Violation> {
        let requests = self.requests.lock();
        let executions = self.executions.lock();
        let mut executions_by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
        for it in executions.iter() {
            executions_by_id.entry(&it.request_id).or_default().push(it);
        }
        let requests_by_id: HashMap<&str, &CallerRequest> =
            requests.iter().map(|it| (it.id.as_str(), it)).collect();
        let mut res = Vec::new();
        let mut add = |guarantee, observed: String| res.push(Violation { guarantee, observed });
        for it in requests.iter() {
            let executions = executions_by_id.get(it.id.as_str()).map_or(&[][..], Vec::as_slice);
            if let Some((guarantee, observed)) = check_request(it, executions) {
                add(guarantee, format!("request {}: {observed}", it.id));
            }
            if let Some(observed) = self.check_planned_stop(it, executions) {
                add("planned-stop", format!("request {}: {observed}", it.id));
            }
        }
        for it in executions.iter() {
            let Some(request) = requests_by_id.get(it.request_id.as_str()) else { continue };
            if let Some((guarantee, observed)) = self.check_execution(it, request) {
                add(guarantee, format!("request {} at {}: {observed}", it.request_id, it.instance));
            }
        }
        if let Some(observed) = check_rate(&executions, &requests_by_id) {
            add("rate", observed);
        }
        if let Some(observed) = check_wrong_refusals(&requests) {
            add("denied", observed);
        }
        if let Some(observed) = check_recovery(&requests, settled_at) {
            add("recovery", observed);
        }
        res
    }

    /// Number of requests by HTTP status or kind of failure.
    pub fn outcome_counts(&self) -> BTreeMap<String, usize> {
        let mut res = BTreeMap::new();
        for it in self.requests.lock().iter() {
            let outcome = match &it.outcome {
                RequestOutcome::Answered { status, .. } => status.to_string(),
                RequestOutcome::Unreachable => "unreachable".to_owned(),
                RequestOutcome::Broken { is_reset: true } => "reset".to_owned(),
                RequestOutcome::Broken { is_reset: false } => "broken".to_owned(),
                RequestOutcome::TimedOut => "timed-out".to_owned(),
            };
            *res.entry(outcome).or_default() += 1;
        }
        res
    }

    /// Whether no disturbance overlaps the interval, extended by [`STABILIZATION_TIME`] at its
    /// start.
    fn is_undisturbed(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(STABILIZATION_TIME).unwrap_or(from);
        self.disturbances.lock().iter().all(|it| it.1 < from || it.0 > until)
    }

    /// Checks the guarantees that hold for each execution.
    fn check_execution(
        &self,
        execution: &Execution,
        request: &CallerRequest,
    ) -> Option<(&'static str, String)> {
        if execution.has_key {
            return Some(("key-hidden", "the instance received the API key".to_owned()));
        }
        if execution.team != request.team {
            let observed =
                format!("received team `{}`, sent by `{}`", execution.team, request.team);
            return Some(("tenant", observed));
        }
        if execution.path != request.path || execution.body_bytes != request.body_bytes {
            let observed =
                format!("received {} with {} bytes", execution.path, execution.body_bytes);
            return Some(("unchanged", observed));
        }
        let service = service_of(&request.path);
        if execution.service != service {
            return Some(("route", format!("ran at `{}`, not `{service}`", execution.service)));
        }
        let revocations = self.key_revocations.lock();
        let revocation = revocations
            .iter()
            .find(|it| it.0 == request.key && request.sent_at > it.1 + MAX_REVOCATION_DELAY);
        if let Some((_, revoked_at)) = revocation {
            let delay = request.sent_at.saturating_duration_since(*revoked_at);
            return Some(("revoked-key", format!("sent {delay:?} after the revocation")));
        }
        let drains = self.instance_drains.lock();
        let drain = drains
            .iter()
            .find(|it| it.0 == execution.instance && request.sent_at > it.1 + MAX_DRAIN_DELAY);
        if let Some((_, draining_at)) = drain
            && self.is_undisturbed(*draining_at, execution.started_at)
        {
            let delay = request.sent_at.saturating_duration_since(*draining_at);
            return Some(("leaving", format!("sent {delay:?} after the instance was draining")));
        }
        None
    }

    /// Checks that the graceful shutdown of a host did not cut a request: one that reached an
    /// instance ends with a whole response, and so does one that the host has had time to read. A
    /// response of the host's own does not count while an instance is at work.
    fn check_planned_stop(
        &self,
        request: &CallerRequest,
        executions: &[&Execution],
    ) -> Option<String> {
        let CallerRequest { sent_at, ended_at, .. } = *request;
        let at_work = executions
            .iter()
            .find(|it| it.started_at <= ended_at && it.finished_at.is_none_or(|it| it > ended_at));
        let how = match &request.outcome {
            RequestOutcome::Broken { .. }
                if executions.is_empty() && ended_at < sent_at + MAX_READ_TIME =>
            {
                return None;
            }
            RequestOutcome::Broken { is_reset: true } => "reset".to_owned(),
            RequestOutcome::Broken { is_reset: false } => "ended in order".to_owned(),
            RequestOutcome::Answered { status, is_sealed: false, .. } if at_work.is_some() => {
                format!("answered {status} by the host")
            }
            RequestOutcome::Answered { .. }
            | RequestOutcome::Unreachable
            | RequestOutcome::TimedOut => return None,
        };
        let is_instance_lost = self.instance_ends.lock().iter().any(|end| {
            (sent_at..=ended_at).contains(&end.1)
                && executions.iter().any(|it| it.instance == end.0)
        });
        if ended_at >= sent_at + request.time_limit
            || is_instance_lost
            || !self.is_undisturbed(sent_at, ended_at)
        {
            return None;
        }
        let stops = self.host_stops.lock();
        let (_, stopped_at) = stops.iter().find(|(host, stopped_at)| {
            let is_slow = sent_at <= *stopped_at + SLOW_REQUEST_SENT_WITHIN
                && ended_at >= *stopped_at + SLOW_INSTANCE_WORKS_UNTIL
                && at_work.is_some();
            let counted_until = *stopped_at + STOP_GRACE + STOP_AFTERMATH;
            *host == request.host && (*stopped_at..=counted_until).contains(&ended_at) && !is_slow
        })?;
        let ended_after = ended_at.saturating_duration_since(*stopped_at);
        let age = ended_at.saturating_duration_since(sent_at);
        let work = match (at_work, executions.iter().any(|it| it.started_at <= ended_at)) {
            (Some(it), _) => format!("while {} was at work", it.instance),
            (None, true) => "after the instance had the response".to_owned(),
            (None, false) => "before an instance began".to_owned(),
        };
        Some(format!(
            "{how} {ended_after:?} after host {} was told to stop, {age:?} after it was sent, {work}",
            request.host
        ))
    }
}

/// The service that the manifest's routes name for a path.
pub(crate) fn service_of(path: &str) -> &'static str {
    if path.starts_with("/read/") { "catalogue" } else { "orders" }
}

/// Checks the guarantees that hold for the response to each request.
fn check_request(
    request: &CallerRequest,
    executions: &[&Execution],
) -> Option<(&'static str, String)> {
    if !request.is_idempotent && executions.len() > 1 {
        return Some(("at-most-once", format!("ran {} times", executions.len())));
    }
    let RequestOutcome::Answered { status, is_sealed, body } = &request.outcome else {
        return None;
    };
    let means_not_run = matches!(status, 408 | 421 | 429 | 503);
    if !request.is_idempotent && means_not_run && !executions.is_empty() {
        let observed = format!("answered {status} and ran at {}", executions[0].instance);
        return Some(("not-run", observed));
    }
    let expected = crate::instance::response_body(&request.id, request.body_bytes);
    if *status == 200 && (!is_sealed || *body != expected) {
        return Some(("own-answer", format!("sealed: {is_sealed}, body `{body}`")));
    }
    None
}

/// Checks that the rate-limited team stays within its rate. An execution counts towards a window
/// only if its request was both sent and started within it.
fn check_rate(
    executions: &[Execution],
    requests_by_id: &HashMap<&str, &CallerRequest>,
) -> Option<String> {
    let mut spans: Vec<(Instant, Instant)> = executions
        .iter()
        .filter(|it| it.team == LIMITED_TEAM)
        .filter_map(|it| Some((requests_by_id.get(it.request_id.as_str())?.sent_at, it.started_at)))
        .collect();
    spans.sort();
    let count_in_window =
        |from: Instant| spans.iter().filter(|it| it.0 >= from && it.1 < from + RATE_WINDOW).count();
    let max_count = spans.iter().map(|it| count_in_window(it.0)).max().unwrap_or(0);
    (max_count > MAX_EXECUTIONS_PER_WINDOW)
        .then(|| format!("{max_count} requests in 5 s, {MAX_EXECUTIONS_PER_WINDOW} are allowed"))
}

/// Checks that valid requests are not refused as invalid; requests with revocable keys are exempt.
fn check_wrong_refusals(requests: &[CallerRequest]) -> Option<String> {
    let is_wrong_refusal = |it: &&CallerRequest| {
        let RequestOutcome::Answered { status, .. } = it.outcome else { return false };
        (300..500).contains(&status) && ![408, 421, 429].contains(&status) && it.team != "revoked"
    };
    let refused: Vec<&CallerRequest> = requests.iter().filter(is_wrong_refusal).collect();
    let tolerated = WRONG_REFUSAL_TOLERANCE.0 + WRONG_REFUSAL_TOLERANCE.1 * requests.len() as f64;
    (refused.len() as f64 > tolerated).then(|| {
        let first = &refused[0].outcome;
        format!("{} of {} requests, the first {first:?}", refused.len(), requests.len())
    })
}

/// Checks that the requests of the team without a rate limit succeed after `settled_at`. No such
/// request at all counts as a failure.
fn check_recovery(requests: &[CallerRequest], settled_at: Instant) -> Option<String> {
    let after_faults = requests.iter().filter(|it| it.sent_at > settled_at && it.team == "steady");
    let (mut total, mut succeeded) = (0u32, 0u32);
    for it in after_faults {
        total += 1;
        let is_ok = matches!(it.outcome, RequestOutcome::Answered { status: 200, .. });
        succeeded += u32::from(is_ok);
    }
    let fraction = f64::from(succeeded) / f64::from(total.max(1));
    (fraction < MIN_RECOVERED_FRACTION)
        .then(|| format!("{succeeded} of {total} requests after all faults"))
}
