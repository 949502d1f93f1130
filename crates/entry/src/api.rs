//! HTTP endpoint for callers: `/v1/lookup` answers lookups, all other paths are forwarded.

use std::{net::IpAddr, sync::Arc};

use http::{HeaderValue, StatusCode, header};
use kingcupford_engine::{LookupAnswer, LookupQuery, PresentedKey, Refusal, RefusalReason};
use poem::{Body, Endpoint, Request, Response};
use serde::Serialize;
use tokio::time::Instant;

use crate::{forward, host::Host, refusals};

/// HTTP endpoint for callers.
pub(crate) struct CallerApi {
    host: Arc<Host>,
}

/// JSON body of a lookup answer.
#[derive(Debug, Serialize)]
struct LookupBody {
    /// Hosts in the order in which the caller should try them.
    hosts: Vec<HostBody>,
    /// Time for which the caller may cache the answer.
    ttl_ms: u64,
    /// Name of the caller's site, `None` if no client block contains the caller's address.
    site: Option<String>,
    /// Version of the configuration from which the answer was derived.
    config_version: u64,
}

/// Entry host in a lookup answer.
#[derive(Debug, Serialize)]
struct HostBody {
    name: String,
    /// Addresses at which callers reach the host.
    addresses: Vec<String>,
    /// Binding for request ids that are sent to the host.
    binding: Option<String>,
}

impl CallerApi {
    pub(crate) fn new(host: Arc<Host>) -> Self {
        Self { host }
    }

    /// Answers a lookup. The query parameter `client` replaces the address of the caller.
    fn lookup(&self, request: &Request, client: IpAddr) -> Response {
        let mut service = None;
        let mut address = client;
        for pair in request.uri().query().unwrap_or_default().split('&') {
            match pair.split_once('=') {
                Some(("service", value)) => service = Some(value.to_owned()),
                Some(("client", value)) => match parse_address(value) {
                    Some(it) => address = it,
                    None => {
                        return refusals::to_response(&bad_request("client is not an IP address"));
                    }
                },
                _ => {}
            }
        }
        let Some(service) = service else {
            return refusals::to_response(&bad_request("the parameter `service` is missing"));
        };
        let team = match forward::presented_key(request.headers()) {
            PresentedKey::Key(key) => self.host.snapshot.load().authenticate(&key),
            PresentedKey::Missing | PresentedKey::Malformed => None,
        };
        let query = LookupQuery { service, client: address, team };
        let answer = self.host.engine.lock().lookup(&query, Instant::now());
        self.host.metrics.lookups.inc();
        match answer {
            Some(it) => lookup_response(it),
            None if self.host.snapshot.load().version.0 == 0 => {
                refusals::to_response(&Refusal::new(RefusalReason::NotReady))
            }
            None => refusals::to_response(&Refusal::new(RefusalReason::UnknownService)),
        }
    }
}

impl Endpoint for CallerApi {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let caller = request.remote_addr().0.as_socket_addr().copied();
        let client = caller.map_or(IpAddr::from([127, 0, 0, 1]), |it| it.ip());
        let guard = self.host.connections.begin_request(caller, request.version());
        let header_bytes: usize =
            request.headers().iter().map(|(k, v)| k.as_str().len() + v.len()).sum();
        let target_bytes =
            request.original_uri().path_and_query().map_or(0, |it| it.as_str().len());
        if header_bytes + target_bytes > self.host.settings.limits.max_head_bytes {
            let refusal = bad_request("the request's head is too large");
            let mut res = refusals::to_response(&refusal);
            res.set_status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            return Ok(res);
        }
        if request.uri().path() == "/v1/lookup" {
            return Ok(self.lookup(&request, client));
        }
        let version = request.version();
        let closed = guard.connection_closed().clone();
        let forwarded = forward::forward(&self.host, request, client, guard);
        let Some(mut res) = closed.run_until_cancelled(forwarded).await else {
            // The caller disconnected, so the response is not delivered. Dropping the future has
            // cancelled the request at the upstream.
            return Ok(StatusCode::BAD_REQUEST.into());
        };
        // Otherwise a caller would keep using its open connection until the shutdown closes it.
        if version < http::Version::HTTP_2 && self.host.engine.lock().is_draining() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }
}

/// Returns the HTTP response for a lookup answer.
fn lookup_response(answer: LookupAnswer) -> Response {
    let ttl_ms = u64::try_from(answer.ttl.as_millis()).unwrap_or(u64::MAX);
    let hosts = answer.hosts.into_iter().map(|it| HostBody {
        name: it.name,
        addresses: it.addresses,
        binding: it.binding,
    });
    let body = LookupBody {
        hosts: hosts.collect(),
        ttl_ms,
        site: answer.site,
        config_version: answer.config_version,
    };
    Response::builder()
        .content_type("application/json")
        .header(header::CACHE_CONTROL, format!("max-age={}", ttl_ms / 1000))
        .body(Body::from_json(&body).unwrap_or_else(|_| Body::empty()))
}

/// Parses an IP address from a query parameter, in which colons may be percent-encoded.
fn parse_address(text: &str) -> Option<IpAddr> {
    text.replace("%3A", ":").replace("%3a", ":").parse().ok()
}

/// Creates the refusal of a malformed request.
fn bad_request(detail: &str) -> Refusal {
    Refusal::new(RefusalReason::BadRequest).with_detail(detail.to_owned())
}
