//! Log line of a request.

use std::{fmt, time::Duration};

use http::StatusCode;
use kingcupford_steer::{Refusal, RequestPlan, Side};
use kingcupford_telemetry::{Event, OutcomeLabels, RefusalLabels, TeamLabels};
use tokio::time::Instant;

use crate::state::State;

/// Maximum number of characters of a request id in the log; common ids have 16 to 36.
const MAX_LOGGED_ID_CHARS: usize = 64;

/// Data for the log line of a request.
pub(crate) struct RequestLog {
    /// Request id, or `-`.
    pub(crate) id: LoggedId,
    /// Time at which the head was read.
    pub(crate) arrived: Instant,
    /// How the request was admitted.
    pub(crate) plan: Option<RequestPlan>,
    /// Why the request was not admitted.
    pub(crate) refusal: Option<RefusalLog>,
    pub(crate) attempts: Vec<AttemptLog>,
}

/// A refusal with the state that it was based on.
pub(crate) struct RefusalLog {
    pub(crate) refusal: Refusal,
    /// Version of the active manifest, 0 for none.
    pub(crate) manifest_version: u64,
    pub(crate) view_age: Option<Duration>,
}

pub(crate) struct AttemptLog {
    /// Id of the instance.
    pub(crate) instance: String,
    /// Latency that steering expected.
    pub(crate) expected_latency: Duration,
    /// Time from the arrival of the request until the attempt was sent.
    pub(crate) sent_after: Duration,
    pub(crate) outcome: &'static str,
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestOutcome {
    /// An instance responded with this status.
    Answered(StatusCode),
    /// Refused before the request ran, with status and reason.
    Refused(StatusCode, &'static str),
    /// No response, with status and reason; the request may have run.
    Failed(StatusCode, &'static str),
    /// The caller disconnected.
    Abandoned,
    /// The process ended.
    Cut,
}

impl RequestLog {
    /// Creates the log data of a request that has just arrived.
    pub(crate) fn new(id: &str, arrived: Instant) -> Self {
        Self { id: LoggedId::new(id), arrived, plan: None, refusal: None, attempts: Vec::new() }
    }

    /// Writes the log line and updates the request metrics.
    pub(crate) fn finish(&self, state: &State, request_outcome: RequestOutcome) {
        let duration = self.arrived.elapsed();
        let team = self.plan.as_ref().and_then(|it| it.team.as_ref());
        let refused_team = self.refusal.as_ref().and_then(|it| match &it.refusal {
            Refusal::OverRate { team, .. } => Some(team),
            _ => None,
        });
        let team = team.or(refused_team).map_or("open", |it| it.name.as_str()).to_owned();
        let service = self.plan.as_ref().map_or("-", |it| it.service.as_str()).to_owned();
        let metrics = &state.metrics;
        let (event, outcome, status, reason) = match request_outcome {
            RequestOutcome::Answered(status) => {
                (Event::RequestAnswered, "executed", status.as_u16(), "-")
            }
            RequestOutcome::Refused(status, reason) => {
                let labels = RefusalLabels { tenant: team.clone(), reason: reason.to_owned() };
                metrics.refusals.get_or_create(&labels).inc();
                (Event::RequestRefused, "not-run", status.as_u16(), reason)
            }
            RequestOutcome::Failed(status, reason) => {
                (Event::RequestFailed, "unknown", status.as_u16(), reason)
            }
            RequestOutcome::Abandoned => (Event::RequestAbandoned, "abandoned", 0, "caller left"),
            RequestOutcome::Cut => (Event::RequestCut, "unknown", 0, "end of the process"),
        };
        if matches!(request_outcome, RequestOutcome::Answered(_)) {
            let labels = TeamLabels { tenant: team.clone(), service: service.clone() };
            metrics.latency.get_or_create(&labels).observe(duration.as_secs_f64());
        }
        let labels = OutcomeLabels { tenant: team, service, outcome: outcome.to_owned() };
        metrics.requests.get_or_create(&labels).inc();
        let id = &self.id;
        let took_ms = duration.as_millis();
        let arrived_in_shutdown = state
            .shutdown
            .get()
            .and_then(|it| self.arrived.checked_duration_since(it.started_at))
            .map(|it| format!(" in_shutdown_ms={}", it.as_millis()))
            .unwrap_or_default();
        event.log(format_args!(
            "id={id} status={status} reason=\"{reason}\" outcome={outcome} took_ms={took_ms}{arrived_in_shutdown}{self}"
        ));
    }
}

/// Request id as it is logged.
pub(crate) struct LoggedId(String);

impl LoggedId {
    /// Replaces characters that could be mistaken for another field by `?`.
    pub(crate) fn new(id: &str) -> Self {
        let chars = id
            .chars()
            .take(MAX_LOGGED_ID_CHARS)
            .map(|it| if it.is_ascii_alphanumeric() || "-_.".contains(it) { it } else { '?' });
        Self(chars.collect())
    }
}

impl fmt::Display for LoggedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for RequestLog {
    /// Writes the fields that explain the decision, each with a leading space.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(it) = &self.refusal {
            let age_ms = age_ms(it.view_age);
            write!(f, " manifest={} view_age_ms={age_ms}", it.manifest_version)?;
            if let Refusal::OverRate { team, refusal: rate_refusal } = &it.refusal {
                write!(
                    f,
                    " tenant={} rate_per_s={:.1} share={:.3} demand_per_s={:.1}",
                    team.name,
                    rate_refusal.rate_per_s,
                    rate_refusal.share,
                    rate_refusal.demand_per_s
                )?;
            }
        }
        if let Some(plan) = &self.plan {
            let team = plan.team.as_ref().map_or("open", |it| it.name.as_str());
            let age_ms = age_ms(plan.view_age);
            write!(
                f,
                " route={} service={} tenant={team} manifest={} view_age_ms={age_ms}",
                plan.route.name, plan.service, plan.manifest_version
            )?;
            if plan.side == Side::New {
                write!(f, " side=new")?;
            }
        }
        for it in &self.attempts {
            let (sent, expected) = (it.sent_after.as_millis(), it.expected_latency.as_millis());
            let (instance, outcome) = (&it.instance, it.outcome);
            write!(f, " attempt={instance}@{sent}ms,expected:{expected}ms,{outcome}")?;
        }
        Ok(())
    }
}

/// Age in whole milliseconds, -1 for none.
fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |it| it.as_millis() as i64)
}
