//! Instances of the upstream services, which record each request that they execute.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use poem::{
    Request, Response, Server,
    http::{HeaderMap, HeaderName, StatusCode},
    listener::TcpListener,
};
use rand::Rng as _;
use tokio::{
    sync::Semaphore,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout_at},
};

use crate::history::{Execution, History};

/// Requests that an instance executes concurrently.
pub(crate) const EXECUTION_SLOTS: usize = 8;

/// Requests that may wait for a slot.
const QUEUE_CAPACITY: usize = 16;

/// Execution time of every request on a brisk instance without a fault.
const BRISK_EXECUTION_TIME: Duration = Duration::from_millis(30);

/// Deadline of a request without one, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;

/// Fraction of the requests that take a long time on an instance that isn't brisk.
const LONG_FRACTION: f64 = 0.06;

/// Execution times of an instance that isn't brisk, as multiples of its service's.
const USUAL_FACTORS: std::ops::Range<f64> = 0.4..1.2;

/// Execution times of the requests that take a long time, as multiples of their service's.
const LONG_FACTORS: std::ops::Range<f64> = 2.0..4.9;

/// How long instances execute requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// All requests take the same short time.
    Brisk,
    /// Execution times vary, some nearly as long as the callers' deadline.
    Deployment,
}

impl Pace {
    /// Execution time of a request without a fault.
    fn execution_time(self, service: &str) -> Duration {
        let base = match self {
            Self::Brisk => return BRISK_EXECUTION_TIME,
            Self::Deployment if service == "orders" => Duration::from_millis(480),
            Self::Deployment => Duration::from_millis(360),
        };
        let mut rng = rand::rng();
        let factors = if rng.random_bool(LONG_FRACTION) { LONG_FACTORS } else { USUAL_FACTORS };
        base.mul_f64(rng.random_range(factors))
    }
}

/// Misbehavior of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceFault {
    /// The instance behaves correctly.
    None,
    /// Execution takes several times as long.
    Slow,
    /// Requests whose id ends in an even digit are executed but answered with status 500.
    Failing,
    /// Every request is refused without being executed.
    Shedding,
}

/// A running instance; dropping it stops its server.
pub(crate) struct Instance {
    fault: Arc<Mutex<InstanceFault>>,
    server_task: JoinHandle<()>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.server_task.abort();
    }
}

/// Request handler of an instance, shared by its requests.
struct RequestHandler {
    instance_id: String,
    service: String,
    pace: Pace,
    fault: Arc<Mutex<InstanceFault>>,
    slots: Semaphore,
    /// Number of requests that execute or wait for a slot.
    in_flight: Mutex<usize>,
    history: Arc<History>,
}

impl Instance {
    /// Starts an instance that serves requests at an address.
    pub(crate) fn start(
        id: &str,
        service: &str,
        pace: Pace,
        address: SocketAddr,
        history: &Arc<History>,
    ) -> Self {
        let fault = Arc::new(Mutex::new(InstanceFault::None));
        let handler = Arc::new(RequestHandler {
            instance_id: id.to_owned(),
            service: service.to_owned(),
            pace,
            fault: Arc::clone(&fault),
            slots: Semaphore::new(EXECUTION_SLOTS),
            in_flight: Mutex::new(0),
            history: Arc::clone(history),
        });
        let server_task = tokio::spawn(async move {
            let endpoint = poem::endpoint::make(move |request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, poem::Error>(handler.handle(request).await) }
            });
            let server = Server::new(TcpListener::bind(address.to_string()));
            if let Err(error) = server.run(endpoint).await {
                log::error!("server of the instance at {address} failed: {error}");
            }
        });
        Self { fault, server_task }
    }

    /// Sets the fault of the requests that arrive from now on.
    pub(crate) fn set_fault(&self, fault: InstanceFault) {
        *self.fault.lock() = fault;
    }
}

impl RequestHandler {
    async fn handle(&self, mut request: Request) -> Response {
        let names = kingcupford_node::header_names();
        let headers = request.headers().clone();
        let text = |name: &HeaderName| header_text(&headers, name);
        let request_id = text(&names.request_id);
        let not_run = |status: StatusCode| {
            Response::builder()
                .status(status)
                .header(&names.request_id, &request_id)
                .header(&names.not_run, "1")
                .finish()
        };
        if text(&names.target_instance) != self.instance_id {
            return not_run(StatusCode::MISDIRECTED_REQUEST);
        }
        let fault = *self.fault.lock();
        if fault == InstanceFault::Shedding
            || *self.in_flight.lock() >= EXECUTION_SLOTS + QUEUE_CAPACITY
        {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let deadline_ms = text(&names.deadline_ms).parse().unwrap_or(MAX_DEADLINE_MS);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let in_flight = InFlightGuard::new(&self.in_flight);
        let Ok(body) = request.take_body().into_bytes().await else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        let Ok(Ok(_slot)) = timeout_at(deadline, self.slots.acquire()).await else {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        };
        let execution_index = self.history.record_execution(Execution {
            request_id: request_id.clone(),
            instance: self.instance_id.clone(),
            service: self.service.clone(),
            team: text(&names.team),
            has_key: headers.contains_key(&names.api_key),
            path: request.uri().path().to_owned(),
            body_bytes: body.len(),
            started_at: Instant::now(),
            finished_at: None,
        });
        let execution_time = self.pace.execution_time(&self.service);
        let slowdown = match (fault, self.pace) {
            (InstanceFault::Slow, Pace::Brisk) => 20,
            (InstanceFault::Slow, Pace::Deployment) => 5,
            (InstanceFault::None | InstanceFault::Failing | InstanceFault::Shedding, _) => 1,
        };
        let ends_at = Instant::now() + execution_time * slowdown;
        sleep_until(ends_at.min(deadline)).await;
        self.history.record_execution_finish(execution_index);
        let fails =
            fault == InstanceFault::Failing && request_id.ends_with(['0', '2', '4', '6', '8']);
        let status = if ends_at > deadline {
            StatusCode::GATEWAY_TIMEOUT
        } else if fails {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        let load = format!("{},0,{EXECUTION_SLOTS}", in_flight.count().min(EXECUTION_SLOTS));
        Response::builder()
            .status(status)
            .header(&names.request_id, &request_id)
            .header(&names.seal, format!("seal-{request_id}"))
            .header(&names.load, load)
            .body(response_body(&request_id, body.len()))
    }
}

/// Counts a request as in flight until dropped, which also happens when its connection closes
/// early.
struct InFlightGuard<'a>(&'a Mutex<usize>);

impl<'a> InFlightGuard<'a> {
    fn new(in_flight: &'a Mutex<usize>) -> Self {
        *in_flight.lock() += 1;
        Self(in_flight)
    }

    /// Number of all requests in flight.
    fn count(&self) -> usize {
        *self.0.lock()
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}

/// Body of an instance's response; it contains the request id, so that a mixed-up response can be
/// detected.
pub fn response_body(request_id: &str, body_bytes: usize) -> String {
    format!("ran {request_id} with {body_bytes} bytes")
}

/// Value of a header as text; empty if the header is missing or isn't text.
fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}
