//! The log line of each request.

use std::{fmt, time::Duration};

use http::StatusCode;
use kingcupford_steer::{Refusal, RequestPlan, Side};
use kingcupford_telemetry::{Event, OutcomeLabels, RefusalLabels, TenantLabels};
use tokio::time::Instant;

use crate::state::State;

/// Characters of a request's id that are logged; usual ids have 16 to 36.
const MAX_ID_CHARS: usize = 64;

/// What is known of a request for its log line.
pub(crate) struct RequestLog {
    /// Its id, or `-`.
    pub(crate) id: String,
    /// When its head was read.
    pub(crate) arrived: Instant,
    /// How it was admitted.
    pub(crate) plan: Option<RequestPlan>,
    /// Why it was not admitted.
    pub(crate) denied: Option<Denied>,
    /// Instances that it was sent to, with what came of it.
    pub(crate) attempts: Vec<AttemptLog>,
}

/// Why a request was not admitted, and on which view.
pub(crate) struct Denied {
    /// The reason.
    pub(crate) denial: Refusal,
    /// Version of the manifest in force, 0 for none.
    pub(crate) manifest_version: u64,
    /// Age of the view.
    pub(crate) view_age: Option<Duration>,
}

/// One attempt.
pub(crate) struct AttemptLog {
    /// Id of the instance.
    pub(crate) instance: String,
    /// Time that was expected to the response.
    pub(crate) expected: Duration,
    /// Time from the arrival of the request to the sending.
    pub(crate) sent_after: Duration,
    /// What came of it.
    pub(crate) outcome: &'static str,
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Ending {
    /// With a response of an instance.
    Answered(StatusCode),
    /// Refused before it ran.
    Refused(StatusCode, &'static str),
    /// Without a response, and it may have run.
    Failed(StatusCode, &'static str),
    /// The caller left.
    Abandoned,
}

impl RequestLog {
    /// A request that just arrived; of its id only characters are kept that cannot be read as
    /// another field.
    pub(crate) fn new(id: &str, arrived: Instant) -> Self {
        let id = id
            .chars()
            .take(MAX_ID_CHARS)
            .map(|it| if it.is_ascii_alphanumeric() || "-_.".contains(it) { it } else { '?' });
        Self { id: id.collect(), arrived, plan: None, denied: None, attempts: Vec::new() }
    }

    /// Writes the line and counts the request.
    pub(crate) fn end(&self, state: &State, ending: Ending) {
        let took = self.arrived.elapsed();
        let tenant = self.plan.as_ref().and_then(|it| it.tenant.as_ref());
        let denied_tenant = self.denied.as_ref().and_then(|it| match &it.denial {
            Refusal::OverRate { tenant, .. } => Some(tenant),
            _ => None,
        });
        let tenant = tenant.or(denied_tenant).map_or("open", |it| it.name.as_str()).to_owned();
        let service = self.plan.as_ref().map_or("-", |it| it.service.as_str()).to_owned();
        let metrics = &state.metrics;
        let (event, outcome, status, reason) = match ending {
            Ending::Answered(status) => (Event::RequestAnswered, "executed", status.as_u16(), "-"),
            Ending::Refused(status, reason) => {
                let labels = RefusalLabels { tenant: tenant.clone(), reason: reason.to_owned() };
                metrics.refusals.get_or_create(&labels).inc();
                (Event::RequestRefused, "not-run", status.as_u16(), reason)
            }
            Ending::Failed(status, reason) => {
                (Event::RequestFailed, "unknown", status.as_u16(), reason)
            }
            Ending::Abandoned => (Event::RequestAbandoned, "abandoned", 0, "caller left"),
        };
        if matches!(ending, Ending::Answered(_)) {
            let labels = TenantLabels { tenant: tenant.clone(), service: service.clone() };
            metrics.latency.get_or_create(&labels).observe(took.as_secs_f64());
        }
        let labels = OutcomeLabels { tenant, service, outcome: outcome.to_owned() };
        metrics.requests.get_or_create(&labels).inc();
        let id = &self.id;
        let took_ms = took.as_millis();
        event.log(format_args!(
            "id={id} status={status} reason=\"{reason}\" outcome={outcome} took_ms={took_ms}{self}"
        ));
    }
}

impl fmt::Display for RequestLog {
    /// The deciding inputs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(it) = &self.denied {
            let age_ms = age_ms(it.view_age);
            write!(f, " manifest={} view_age_ms={age_ms}", it.manifest_version)?;
            if let Refusal::OverRate { tenant, refusal } = &it.denial {
                write!(
                    f,
                    " tenant={} rate_per_s={:.1} share={:.3} demand_per_s={:.1}",
                    tenant.name, refusal.rate_per_s, refusal.share, refusal.demand_per_s
                )?;
            }
        }
        if let Some(plan) = &self.plan {
            let tenant = plan.tenant.as_ref().map_or("open", |it| it.name.as_str());
            let age_ms = age_ms(plan.view_age);
            write!(
                f,
                " route={} service={} tenant={tenant} manifest={} view_age_ms={age_ms}",
                plan.route.name, plan.service, plan.manifest_version
            )?;
            if plan.side == Side::New {
                write!(f, " side=new")?;
            }
        }
        for it in &self.attempts {
            let (sent, expected) = (it.sent_after.as_millis(), it.expected.as_millis());
            let (instance, outcome) = (&it.instance, it.outcome);
            write!(f, " attempt={instance}@{sent}ms,expected:{expected}ms,{outcome}")?;
        }
        Ok(())
    }
}

/// An age in whole milliseconds, -1 for none.
fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |it| it.as_millis() as i64)
}
