//! HTTP client for upstreams and the classification of failed attempts.

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

/// Timeout for opening a connection; upstreams usually accept within about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum length of a load report.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// HTTP clients for upstreams.
pub(crate) struct UpstreamClient {
    /// Reuses connections, for idempotent requests and load reports.
    pooled: Client,
    /// Opens a connection for each request that is not idempotent. If the upstream closed a reused
    /// connection at the moment of sending, it would be unknown whether the request ran.
    unpooled: Client,
}

/// Request of one attempt to one instance.
pub(crate) struct UpstreamRequest {
    pub(crate) method: Method,
    pub(crate) url: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<ReplayBody>,
    pub(crate) idempotent: bool,
}

/// Failure of an attempt that produced no response for the caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendFailure {
    pub(crate) outcome: AttemptOutcome,
    /// Whether a byte of the request may have reached the upstream.
    pub(crate) byte_sent: bool,
    /// Whether the upstream reported that it is draining.
    pub(crate) draining: bool,
}

impl UpstreamClient {
    /// Creates clients that open connections on demand and neither retry nor follow redirects.
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
        let pooled = builder().pool_idle_timeout(POOL_IDLE_TIMEOUT).build();
        let unpooled = builder().pool_max_idle_per_host(0).build();
        Ok(Self {
            pooled: pooled.context("cannot build the HTTP client for upstreams")?,
            unpooled: unpooled.context("cannot build the HTTP client for upstreams")?,
        })
    }

    /// Fetches a load report. Returns `None` if no successful response of at most
    /// [`MAX_REPORT_BYTES`] arrives within the timeout.
    pub(crate) async fn fetch_report(&self, url: &str, timeout: Duration) -> Option<Bytes> {
        let mut response = self.pooled.get(url).timeout(timeout).send().await.ok()?;
        let mut res = BytesMut::new();
        while let Some(chunk) = response.chunk().await.ok()? {
            res.extend_from_slice(&chunk);
            if res.len() > MAX_REPORT_BYTES {
                return None;
            }
        }
        response.status().is_success().then(|| res.freeze())
    }

    /// Sends a request and returns the response as soon as the head has arrived. Sets `byte_sent`
    /// before sending, and clears it if no connection could be opened.
    pub(crate) async fn send(
        &self,
        request: UpstreamRequest,
        byte_sent: &Arc<AtomicBool>,
    ) -> Result<Response, SendFailure> {
        let client = if request.idempotent { &self.pooled } else { &self.unpooled };
        let mut builder = client.request(request.method, request.url).headers(request.headers);
        if let Some(body) = &request.body {
            builder = builder.body(reqwest::Body::wrap_stream(body.attempt()));
        }
        // Set before the call, because a future that is dropped may have sent bytes.
        byte_sent.store(true, Ordering::Release);
        match builder.send().await {
            Ok(response) => self.reject_shed(response),
            Err(error) if error.is_connect() => {
                byte_sent.store(false, Ordering::Release);
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

    /// Turns a response by which the upstream shed the request into a failure.
    fn reject_shed(&self, response: Response) -> Result<Response, SendFailure> {
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

/// Returns whether the upstream reported that the request may have run only in part.
pub(crate) fn is_outcome_unknown(response: &Response) -> bool {
    response.headers().get(headers::OUTCOME).is_some_and(|it| it.as_bytes() == b"unknown")
}

/// Returns whether the upstream reported that it is draining.
pub(crate) fn is_draining(headers: &HeaderMap) -> bool {
    headers.get(headers::DRAINING).is_some_and(|it| it.as_bytes() == b"true")
}

/// Returns the body of a response as a stream of bytes.
pub(crate) fn body_stream(
    response: Response,
) -> impl futures_util::Stream<Item = std::io::Result<Bytes>> + Send {
    response.bytes_stream().map_err(std::io::Error::other)
}

/// Returns the body length that `content-length` declares, `None` if it is absent or malformed.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
