//! Connections to upstreams and how sendings to them end.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context as _;
use bytes::{Bytes, BytesMut};
use futures_util::TryStreamExt as _;
use http::{HeaderMap, HeaderValue, Method, header};
use kingcupford_route::AttemptOutcome;
use reqwest::{Client, Response, redirect};

use crate::{body::ReplayBody, headers};

/// Time for opening a connection; upstreams take about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an unused connection is kept.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// Longest report that is read.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Connections to upstreams.
pub(crate) struct Upstreams {
    /// Reuses connections.
    pooled: Client,
    /// Opens a connection for each request: one that the upstream closes at that moment would
    /// leave open whether a request that is not idempotent ran.
    fresh: Client,
}

/// One request to one instance.
pub(crate) struct Sending {
    /// The method.
    pub(crate) method: Method,
    /// The whole URL.
    pub(crate) url: String,
    /// Headers for the upstream.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Option<ReplayBody>,
    /// Whether the request may be repeated.
    pub(crate) idempotent: bool,
}

/// A sending that got no answer to pass on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendFailure {
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// Whether a byte may have reached the upstream.
    pub(crate) byte_sent: bool,
    /// Whether the upstream said that it drains.
    pub(crate) draining: bool,
}

impl Upstreams {
    /// Connections with this system's time limits.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let builder = || {
            Client::builder()
                .no_proxy()
                .redirect(redirect::Policy::none())
                .retry(reqwest::retry::never())
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_nodelay(true)
                .http1_only()
        };
        let pooled = builder().pool_idle_timeout(POOL_IDLE).build();
        let fresh = builder().pool_max_idle_per_host(0).build();
        Ok(Self {
            pooled: pooled.context("client for upstreams")?,
            fresh: fresh.context("client for upstreams")?,
        })
    }

    /// Reads a report of an upstream, `None` when there is none in time.
    pub(crate) async fn read_report(&self, url: &str, limit: Duration) -> Option<Bytes> {
        let mut response = self.pooled.get(url).timeout(limit).send().await.ok()?;
        let mut res = BytesMut::new();
        while let Some(chunk) = response.chunk().await.ok()? {
            res.extend_from_slice(&chunk);
            if res.len() > MAX_REPORT_BYTES {
                return None;
            }
        }
        response.status().is_success().then(|| res.freeze())
    }

    /// Sends a request; `started` turns true once a byte may have reached the upstream.
    pub(crate) async fn send(
        &self,
        sending: Sending,
        started: &Arc<AtomicBool>,
    ) -> Result<Response, SendFailure> {
        let client = if sending.idempotent { &self.pooled } else { &self.fresh };
        let mut request = client.request(sending.method, sending.url).headers(sending.headers);
        if let Some(body) = &sending.body {
            request = request.body(reqwest::Body::wrap_stream(body.attempt()));
        }
        // Set before the call: a dropped future must count as possibly sent.
        started.store(true, Ordering::Release);
        match request.send().await {
            Ok(response) => self.check_shed(response),
            Err(error) if error.is_connect() => {
                started.store(false, Ordering::Release);
                Err(SendFailure {
                    outcome: AttemptOutcome::Unreachable,
                    byte_sent: false,
                    draining: false,
                })
            }
            Err(_) => Err(SendFailure {
                outcome: AttemptOutcome::Broken { response_started: false },
                byte_sent: true,
                draining: false,
            }),
        }
    }

    /// Tells an answer from a refusal by the upstream.
    fn check_shed(&self, response: Response) -> Result<Response, SendFailure> {
        let not_run = HeaderValue::from_static("not-run");
        let is_shed = response.status() == http::StatusCode::SERVICE_UNAVAILABLE
            && response.headers().get(headers::OUTCOME) == Some(&not_run);
        if !is_shed {
            return Ok(response);
        }
        let draining = is_draining(response.headers());
        Err(SendFailure { outcome: AttemptOutcome::Shed, byte_sent: false, draining })
    }
}

/// Whether an upstream says that the request may have run only in part.
pub(crate) fn is_unknown(response: &Response) -> bool {
    response.headers().get(headers::OUTCOME).is_some_and(|it| it.as_bytes() == b"unknown")
}

/// Whether an upstream says that it drains.
pub(crate) fn is_draining(headers: &HeaderMap) -> bool {
    headers.get(headers::DRAINING).is_some_and(|it| it.as_bytes() == b"true")
}

/// The body of an answer as a stream of bytes.
pub(crate) fn answer_stream(
    response: Response,
) -> impl futures_util::Stream<Item = std::io::Result<Bytes>> + Send {
    response.bytes_stream().map_err(std::io::Error::other)
}

/// The declared length of a body.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
