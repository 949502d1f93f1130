//! Callers, which look hosts up and send requests as the clients of users do.

use std::{
    convert::Infallible,
    error::Error,
    io, iter,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use reqwest::{Body, Client, Method, Response};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::{
    history::{CallerRequest, History, LIMITED_TEAM, RequestOutcome},
    manifest::{REVOCABLE_KEYS, ROUTE_HOST, ROUTE_TIMEOUT},
};

/// Deadline of a caller's orders, unless the caller is impatient.
const ORDER_DEADLINE: Duration = Duration::from_millis(2500);

/// Deadline of its other requests.
const DEADLINE: Duration = Duration::from_secs(2);

/// Fraction of these deadlines that impatient callers set.
const IMPATIENT_FRACTION: f64 = 0.6;

/// Lifetimes for which a caller keeps the response of a lookup.
const LOOKUP_TTLS: [u32; 2] = [1, 3];

/// Fraction of the lookups that fail on the caller's side.
const LOST_LOOKUP_FRACTION: f64 = 0.25;

/// Time after a failed lookup until the next one; the expired addresses stay in use.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Chunks of a body without a length.
const BODY_CHUNKS: usize = 4;

/// Time after the deadline in which a host may still answer that the request expired.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

const ORDER_BYTES: usize = 200;

const UPLOAD_BYTES: usize = 60_000;

/// Number of different affinity keys that callers send.
const AFFINITY_KEYS: u32 = 60;

/// Pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 20..100;

/// Addresses at which callers reach a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostEndpoints {
    pub(crate) caller_address: SocketAddr,
    pub(crate) lookup_address: SocketAddr,
}

pub(crate) struct Caller {
    /// Keeps connections open between requests.
    client: Client,
    /// Opens a connection for each request; orders are sent this way.
    fresh_client: Client,
    is_impatient: bool,
    /// Lifetimes for which a lookup response is kept.
    lookup_ttls: u32,
    hosts: Arc<Vec<HostEndpoints>>,
    history: Arc<History>,
    /// Number of the next request id, shared by all callers.
    next_request_number: Arc<AtomicU64>,
    rng: SmallRng,
    /// Addresses from the last lookup and when they expire.
    resolved: (Vec<SocketAddr>, Instant),
}

/// Response body of a host's lookup endpoint.
#[derive(Debug, Deserialize)]
struct LookupResponse {
    addresses: Vec<SocketAddr>,
    ttl_s: f64,
}

impl Caller {
    /// Creates a caller that has not resolved any address yet.
    pub(crate) fn new(
        hosts: Arc<Vec<HostEndpoints>>,
        history: Arc<History>,
        next_request_number: Arc<AtomicU64>,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let client = Client::builder().no_proxy().build()?;
        let fresh_client = Client::builder().no_proxy().pool_max_idle_per_host(0).build()?;
        let mut rng = SmallRng::seed_from_u64(seed);
        Ok(Self {
            client,
            fresh_client,
            is_impatient: rng.random_range(0..4) == 0,
            lookup_ttls: *LOOKUP_TTLS.choose(&mut rng).unwrap_or(&1),
            hosts,
            history,
            next_request_number,
            rng,
            resolved: (Vec::new(), Instant::now()),
        })
    }

    /// Sends requests one after the other until the given time.
    pub(crate) async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            if Instant::now() >= self.resolved.1 {
                self.look_up().await;
            }
            if let Some(address) = self.resolved.0.choose(&mut self.rng).copied() {
                self.send_request(address).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS))).await;
        }
    }

    /// Looks the addresses up at up to three random hosts; if none returns any, the expired
    /// addresses stay in use.
    async fn look_up(&mut self) {
        let attempts = if self.rng.random_bool(LOST_LOOKUP_FRACTION) { 0 } else { 3 };
        for _ in 0..attempts {
            let Some(host) = self.hosts.choose(&mut self.rng) else { return };
            let url = format!("http://{}/v1/lookup?name={ROUTE_HOST}", host.lookup_address);
            let response = self.client.get(url).timeout(LOOKUP_TIMEOUT).send().await;
            let Ok(response) = response else { continue };
            if let Ok(it) = response.json::<LookupResponse>().await
                && !it.addresses.is_empty()
            {
                let expires_at =
                    Instant::now() + Duration::from_secs_f64(it.ttl_s) * self.lookup_ttls;
                self.resolved = (it.addresses, expires_at);
                return;
            }
        }
        self.resolved.1 = Instant::now() + LOOKUP_RETRY_DELAY;
    }

    /// Sends one random request and records its outcome.
    async fn send_request(&mut self, address: SocketAddr) {
        let host = self.hosts.iter().position(|it| it.caller_address == address);
        let Some(host) = host else { return };
        let names = kingcupford_node::header_names();
        let id = format!("soak-{}", self.next_request_number.fetch_add(1, Ordering::Relaxed));
        let affinity_key = self.rng.random_range(0..AFFINITY_KEYS);
        let (client, method, path, body_bytes, deadline) = match self.rng.random_range(0..10) {
            0..7 => (&self.client, Method::GET, format!("/read/{affinity_key}"), 0, DEADLINE),
            7..9 => {
                let path = format!("/order/{affinity_key}");
                (&self.fresh_client, Method::POST, path, ORDER_BYTES, ORDER_DEADLINE)
            }
            _ => {
                let path = format!("/order/up/{affinity_key}");
                (&self.client, Method::POST, path, UPLOAD_BYTES, DEADLINE)
            }
        };
        let patience = if self.is_impatient { IMPATIENT_FRACTION } else { 1.0 };
        let deadline = deadline.mul_f64(patience);
        let body = vec![b'x'; body_bytes];
        let body = if method == Method::POST && self.rng.random() {
            let chunks = body.chunks(body_bytes / BODY_CHUNKS).map(<[u8]>::to_vec);
            let chunks: Vec<_> = chunks.map(Ok::<_, Infallible>).collect();
            Body::wrap_stream(futures_util::stream::iter(chunks))
        } else {
            body.into()
        };
        let (team, key) = match self.rng.random_range(0..20) {
            0..12 => ("steady", "key-steady"),
            12..17 => (LIMITED_TEAM, "key-limited"),
            _ => ("revoked", *REVOCABLE_KEYS.choose(&mut self.rng).unwrap_or(&"")),
        };
        let is_idempotent = method == Method::GET;
        let request = client
            .request(method, format!("http://{address}{path}"))
            .header("host", ROUTE_HOST)
            .header(&names.request_id, &id)
            .header(&names.deadline_ms, deadline.as_millis().to_string())
            .header(&names.affinity_key, affinity_key.to_string())
            .header(&names.api_key, key)
            .timeout(deadline + DEADLINE_MARGIN)
            .body(body);
        let sent_at = Instant::now();
        let outcome = match request.send().await {
            Ok(it) => outcome_of_response(it).await,
            Err(error) => outcome_of_error(&error),
        };
        let (key, ended_at) = (key.to_owned(), Instant::now());
        self.history.record_request(CallerRequest {
            id,
            path,
            body_bytes,
            is_idempotent,
            key,
            team,
            host,
            time_limit: deadline.min(ROUTE_TIMEOUT),
            sent_at,
            ended_at,
            outcome,
        });
    }
}

/// Reads the body of a response and returns the outcome of its request.
async fn outcome_of_response(response: Response) -> RequestOutcome {
    let status = response.status().as_u16();
    let is_sealed = response.headers().contains_key(kingcupford_node::header_names().seal);
    match response.text().await {
        Ok(body) => RequestOutcome::Answered { status, is_sealed, body },
        Err(error) => outcome_of_error(&error),
    }
}

/// Outcome of a request without a whole response.
fn outcome_of_error(error: &reqwest::Error) -> RequestOutcome {
    if error.is_timeout() {
        RequestOutcome::TimedOut
    } else if error.is_connect() {
        RequestOutcome::Unreachable
    } else {
        let causes = iter::successors(Some(error as &(dyn Error + 'static)), |&it| it.source());
        let is_reset = causes
            .filter_map(|it| it.downcast_ref::<io::Error>())
            .any(|it| it.kind() == io::ErrorKind::ConnectionReset);
        RequestOutcome::Broken { is_reset }
    }
}
