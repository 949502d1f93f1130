//! Instances of upstreams that answer for what they ran.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use poem::{
    Request, Response, Server,
    http::{HeaderMap, HeaderName, StatusCode},
    listener::TcpListener,
};
use tokio::{
    sync::Semaphore,
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::ledger::{Ledger, Run};

/// Requests that run at the same time.
pub(crate) const SLOTS: usize = 8;

/// Requests that wait at most.
const QUEUE: usize = 16;

/// Time that work takes when nothing is wrong.
const WORK: Duration = Duration::from_millis(30);

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceFault {
    /// As it should.
    None,
    /// Work takes twenty times as long.
    Slow,
    /// Half of its answers are failures.
    Failing,
    /// Every request is refused unrun.
    Shedding,
}

/// A running instance.
pub(crate) struct Instance {
    /// How it behaves.
    fault: Arc<Mutex<InstanceFault>>,
    /// The task.
    task: JoinHandle<()>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What an instance needs for its answers.
struct Served {
    /// Its id.
    id: String,
    /// Its service.
    service: String,
    /// How it behaves.
    fault: Arc<Mutex<InstanceFault>>,
    /// Requests that may run.
    slots: Semaphore,
    /// Requests that run or wait.
    present: Mutex<usize>,
    /// What ran.
    ledger: Arc<Ledger>,
}

impl Instance {
    /// Starts an instance.
    pub(crate) fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        ledger: &Arc<Ledger>,
    ) -> Self {
        let fault = Arc::new(Mutex::new(InstanceFault::None));
        let served = Arc::new(Served {
            id: id.to_owned(),
            service: service.to_owned(),
            fault: Arc::clone(&fault),
            slots: Semaphore::new(SLOTS),
            present: Mutex::new(0),
            ledger: Arc::clone(ledger),
        });
        let task = tokio::spawn(async move {
            let endpoint = poem::endpoint::make(move |request| {
                let served = Arc::clone(&served);
                async move { Ok::<_, poem::Error>(served.answer(request).await) }
            });
            let server = Server::new(TcpListener::bind(address.to_string()));
            if let Err(error) = server.run(endpoint).await {
                log::error!("instance at {address} ended: {error}");
            }
        });
        Self { fault, task }
    }

    /// Changes how it behaves.
    pub(crate) fn set_fault(&self, fault: InstanceFault) {
        *self.fault.lock() = fault;
    }
}

impl Served {
    /// Answers one request.
    async fn answer(&self, mut request: Request) -> Response {
        let names = kingcupford_node::header_names();
        let headers = request.headers().clone();
        let text = |name: &HeaderName| header(&headers, name);
        let id = text(&names.request_id);
        let not_run = |status: StatusCode| {
            Response::builder()
                .status(status)
                .header(&names.request_id, &id)
                .header(&names.not_run, "1")
                .finish()
        };
        if text(&names.target_instance) != self.id {
            return not_run(StatusCode::MISDIRECTED_REQUEST);
        }
        let fault = *self.fault.lock();
        if fault == InstanceFault::Shedding || *self.present.lock() >= SLOTS + QUEUE {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let present = Present::new(&self.present);
        let Ok(body) = request.take_body().into_bytes().await else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        let Ok(_slot) = self.slots.acquire().await else {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.ledger.ran(Run {
            id: id.clone(),
            instance: self.id.clone(),
            service: self.service.clone(),
            tenant: text(&names.tenant),
            has_key: headers.contains_key(&names.api_key),
            path: request.uri().path().to_owned(),
            body_bytes: body.len(),
            at: Instant::now(),
        });
        sleep(if fault == InstanceFault::Slow { WORK * 20 } else { WORK }).await;
        let fails = fault == InstanceFault::Failing && id.ends_with(['0', '2', '4', '6', '8']);
        let status = if fails { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
        let load = format!("{},0,{SLOTS}", present.count().min(SLOTS));
        Response::builder()
            .status(status)
            .header(&names.request_id, &id)
            .header(&names.seal, format!("seal-{id}"))
            .header(&names.load, load)
            .body(answer_body(&id, body.len()))
    }
}

/// Counts a request while it runs or waits, also when its caller leaves.
struct Present<'a>(&'a Mutex<usize>);

impl<'a> Present<'a> {
    /// Counts a request.
    fn new(count: &'a Mutex<usize>) -> Self {
        *count.lock() += 1;
        Self(count)
    }

    /// Requests that run or wait.
    fn count(&self) -> usize {
        *self.0.lock()
    }
}

impl Drop for Present<'_> {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}

/// The body of the response to a request.
pub fn answer_body(id: &str, body_bytes: usize) -> String {
    format!("ran {id} with {body_bytes} bytes")
}

/// A header's value, empty where there is none.
fn header(headers: &HeaderMap, name: &HeaderName) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}
