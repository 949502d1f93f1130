//! Callers that use the system as its users' clients do.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use reqwest::{Client, Method, Response};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::{
    ledger::{Ending, LIMITED_TENANT, Ledger, Sent},
    manifest::{HOST, REVOCABLE_KEYS},
};

/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time by which the answer to an expired request may still come.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Time that a lookup may take.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of an upload.
const UPLOAD_BYTES: usize = 60_000;

/// Objects that are asked for.
const OBJECTS: u32 = 60;

/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..100;

/// A host as callers know it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    /// Where it takes requests.
    pub(crate) callers: SocketAddr,
    /// Where it answers lookups.
    pub(crate) lookups: SocketAddr,
}

/// One caller.
pub(crate) struct Caller {
    /// Its connections, which it keeps.
    client: Client,
    /// The hosts.
    entries: Arc<Vec<Entry>>,
    /// What it saw.
    ledger: Arc<Ledger>,
    /// Numbers of requests over all callers.
    numbers: Arc<AtomicU64>,
    /// Its choices.
    rng: SmallRng,
    /// Where to connect, and until when that holds.
    addresses: (Vec<SocketAddr>, Instant),
}

/// The answer to a lookup.
#[derive(Debug, Deserialize)]
struct LookupAnswer {
    /// Where to connect.
    addresses: Vec<SocketAddr>,
    /// For how long.
    ttl_s: f64,
}

impl Caller {
    /// A caller that knows no address yet.
    pub(crate) fn new(
        entries: Arc<Vec<Entry>>,
        ledger: Arc<Ledger>,
        numbers: Arc<AtomicU64>,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let client = Client::builder().no_proxy().timeout(DEADLINE + DEADLINE_MARGIN).build()?;
        let rng = SmallRng::seed_from_u64(seed);
        Ok(Self { client, entries, ledger, numbers, rng, addresses: (Vec::new(), Instant::now()) })
    }

    /// Sends requests until the time is over.
    pub(crate) async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            if Instant::now() >= self.addresses.1 {
                self.look_up().await;
            }
            if let Some(address) = self.addresses.0.choose(&mut self.rng).copied() {
                self.send(address).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS))).await;
        }
    }

    /// Asks up to three hosts where to connect; an old answer is kept when none knows.
    async fn look_up(&mut self) {
        for _ in 0..3 {
            let Some(entry) = self.entries.choose(&mut self.rng) else { return };
            let url = format!("http://{}/v1/lookup?name={HOST}", entry.lookups);
            let answer = self.client.get(url).timeout(LOOKUP_TIMEOUT).send().await;
            let Ok(answer) = answer else { continue };
            if let Ok(it) = answer.json::<LookupAnswer>().await
                && !it.addresses.is_empty()
            {
                let until = Instant::now() + Duration::from_secs_f64(it.ttl_s);
                self.addresses = (it.addresses, until);
                return;
            }
        }
    }

    /// Sends one request and notes how it ends.
    async fn send(&mut self, address: SocketAddr) {
        let host = self.entries.iter().position(|it| it.callers == address);
        let Some(host) = host else { return };
        let names = kingcupford_node::header_names();
        let id = format!("soak-{}", self.numbers.fetch_add(1, Ordering::Relaxed));
        let object = self.rng.random_range(0..OBJECTS);
        let (method, path, body_bytes) = match self.rng.random_range(0..10) {
            0..7 => (Method::GET, format!("/read/{object}"), 0),
            7..9 => (Method::POST, format!("/order/{object}"), 200),
            _ => (Method::POST, format!("/order/up/{object}"), UPLOAD_BYTES),
        };
        let (tenant, key) = match self.rng.random_range(0..20) {
            0..12 => ("steady", "key-steady"),
            12..17 => (LIMITED_TENANT, "key-limited"),
            _ => ("revoked", *REVOCABLE_KEYS.choose(&mut self.rng).unwrap_or(&"")),
        };
        let is_idempotent = method == Method::GET;
        let request = self
            .client
            .request(method, format!("http://{address}{path}"))
            .header("host", HOST)
            .header(&names.request_id, &id)
            .header(&names.deadline_ms, DEADLINE.as_millis().to_string())
            .header(&names.affinity_key, object.to_string())
            .header(&names.api_key, key)
            .body(vec![b'x'; body_bytes]);
        let at = Instant::now();
        let ending = match request.send().await {
            Ok(it) => received(it).await,
            Err(error) => failed(&error),
        };
        let (key, ended_at) = (key.to_owned(), Instant::now());
        self.ledger.ended(Sent {
            id,
            path,
            body_bytes,
            is_idempotent,
            key,
            tenant,
            host,
            at,
            ended_at,
            ending,
        });
    }
}

/// How a request ended whose response began.
async fn received(response: Response) -> Ending {
    let status = response.status().as_u16();
    let is_sealed = response.headers().contains_key(kingcupford_node::header_names().seal);
    match response.text().await {
        Ok(body) => Ending::Answered { status, is_sealed, body },
        Err(error) => failed(&error),
    }
}

/// How a request ended without a whole response.
fn failed(error: &reqwest::Error) -> Ending {
    if error.is_timeout() {
        Ending::TimedOut
    } else if error.is_connect() {
        Ending::Unreachable
    } else {
        Ending::Broken
    }
}
