//! What callers reach: lookups under `/v1/lookup`, everything else is forwarded.

use std::{net::IpAddr, sync::Arc};

use http::{HeaderValue, StatusCode, header};
use kingcupford_engine::{LookupAnswer, LookupQuery, PresentedKey, Refusal, RefusalReason};
use poem::{Body, Endpoint, Request, Response};
use serde::Serialize;
use tokio::time::Instant;

use crate::{forward, host::Host, respond};

/// Serves callers.
pub(crate) struct CallerApi {
    /// The host.
    host: Arc<Host>,
}

/// JSON body of a lookup answer.
#[derive(Debug, Serialize)]
struct LookupBody {
    /// Hosts in the order in which to try them.
    hosts: Vec<HostBody>,
    /// How long the answer may be cached.
    ttl_ms: u64,
    /// Name of the caller's site, when a client block matches.
    site: Option<String>,
    /// Version of the configuration that was used.
    config_version: u64,
}

/// A host in a lookup answer.
#[derive(Debug, Serialize)]
struct HostBody {
    /// Its name.
    name: String,
    /// Addresses that callers use.
    addresses: Vec<String>,
    /// Binding for request ids that it runs.
    binding: Option<String>,
}

impl CallerApi {
    /// The callers' side of a host.
    pub(crate) fn new(host: Arc<Host>) -> Self {
        Self { host }
    }

    /// Answers which hosts a caller should use.
    fn lookup(&self, request: &Request, client: IpAddr) -> Response {
        let mut service = None;
        let mut address = client;
        for pair in request.uri().query().unwrap_or_default().split('&') {
            match pair.split_once('=') {
                Some(("service", value)) => service = Some(value.to_owned()),
                Some(("client", value)) => match parse_address(value) {
                    Some(it) => address = it,
                    None => return respond::refusal(&bad_request("client is not an IP address")),
                },
                _ => {}
            }
        }
        let Some(service) = service else {
            return respond::refusal(&bad_request("the parameter `service` is missing"));
        };
        let tenant = match forward::shown_key(request.headers()) {
            PresentedKey::Key(key) => self.host.snapshot.load().authenticate(&key),
            PresentedKey::Missing | PresentedKey::Malformed => None,
        };
        let query = LookupQuery { service, client: address, tenant };
        let answer = self.host.engine.lock().lookup(&query, Instant::now());
        self.host.metrics.lookups.inc();
        match answer {
            Some(it) => lookup_response(it),
            None if self.host.snapshot.load().version.0 == 0 => {
                respond::refusal(&Refusal::new(RefusalReason::NotReady))
            }
            None => respond::refusal(&Refusal::new(RefusalReason::UnknownService)),
        }
    }
}

impl Endpoint for CallerApi {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let caller = request.remote_addr().0.as_socket_addr().copied();
        let client = caller.map_or(IpAddr::from([127, 0, 0, 1]), |it| it.ip());
        let guard = self.host.connections.request(caller);
        let head_bytes: usize =
            request.headers().iter().map(|(k, v)| k.as_str().len() + v.len()).sum();
        let target = request.original_uri().path_and_query().map_or(0, |it| it.as_str().len());
        if head_bytes + target > self.host.settings.limits.max_head_bytes {
            let refusal = bad_request("the request's head is too large");
            let mut res = respond::refusal(&refusal);
            res.set_status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            return Ok(res);
        }
        if request.uri().path() == "/v1/lookup" {
            return Ok(self.lookup(&request, client));
        }
        let version = request.version();
        let ended = guard.ended().clone();
        let forwarded = forward::forward(&self.host, request, client, guard);
        let Some(mut res) = ended.run_until_cancelled(forwarded).await else {
            // Nobody reads this answer; dropping the work has cancelled it at the upstream.
            return Ok(StatusCode::BAD_REQUEST.into());
        };
        // A caller with an open connection would otherwise stay until the shutdown closes it.
        if version < http::Version::HTTP_2 && self.host.engine.lock().is_draining() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }
}

/// The HTTP answer of a lookup.
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

/// Reads an address from a query parameter, where colons may be escaped.
fn parse_address(text: &str) -> Option<IpAddr> {
    text.replace("%3A", ":").replace("%3a", ":").parse().ok()
}

/// A refusal of a malformed request.
fn bad_request(detail: &str) -> Refusal {
    Refusal::new(RefusalReason::BadRequest).with_detail(detail.to_owned())
}
