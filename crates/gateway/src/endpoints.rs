//! HTTP endpoints for lookups, health checks and metrics.

use std::{future::ready, rc::Rc};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::{net::TcpListener, time::Instant};

use crate::{
    caller_connections::CallerConnections,
    listener::serve_http,
    state::{Phase, State},
};

/// Body of the response to a lookup.
#[derive(Debug, Serialize)]
struct LookupResponse {
    /// Addresses for callers to connect to, as `ip:port`.
    addresses: Vec<String>,
    /// Time for which callers may keep the response.
    ttl_s: f64,
}

/// Serves the endpoints until the future is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    state: Rc<State>,
    caller_connections: Rc<CallerConnections>,
) {
    let handler =
        move |request: Request<Incoming>| ready(handle(&state, &caller_connections, &request));
    serve_http(listener, handler).await;
}

fn handle(
    state: &State,
    caller_connections: &CallerConnections,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/v1/lookup" => lookup(state, request.uri().query().unwrap_or_default()),
        "/readyz" => readiness(state),
        "/healthz" => text_response(StatusCode::OK, "text/plain", "alive\n".to_owned()),
        "/metrics" => metrics(state, caller_connections),
        _ => text_response(StatusCode::NOT_FOUND, "text/plain", "no such path\n".to_owned()),
    }
}

/// Returns the addresses of live hosts near the caller's zone, with their time to live.
fn lookup(state: &State, query: &str) -> Response<Full<Bytes>> {
    let now = Instant::now();
    state.check_suspension(now);
    state.metrics.lookups.inc();
    let own_state = state.host_state(now);
    let steering = state.steering.borrow();
    let settings = steering.settings();
    let caller_locality =
        query_parameter(query, "zone").and_then(|it| settings.zone_map.locality(it));
    let addresses =
        steering.members.lookup_addresses(&settings.own_host, own_state, caller_locality, now);
    let response = LookupResponse {
        addresses: addresses.iter().map(ToString::to_string).collect(),
        ttl_s: state.settings().lookup_ttl.as_secs_f64(),
    };
    let body = serde_json::to_string(&response).unwrap_or_default();
    text_response(StatusCode::OK, "application/json", body)
}

/// Reports whether the process accepts requests.
fn readiness(state: &State) -> Response<Full<Bytes>> {
    let now = Instant::now();
    state.check_suspension(now);
    let is_ready =
        state.phase.get() == Phase::Serving && state.steering.borrow().has_confirmed_view(now);
    if is_ready {
        text_response(StatusCode::OK, "text/plain", "ready\n".to_owned())
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".to_owned())
    }
}

/// Renders the metrics in the Prometheus text format.
fn metrics(state: &State, caller_connections: &CallerConnections) -> Response<Full<Bytes>> {
    let now = Instant::now();
    let steering = state.steering.borrow();
    let metrics = &state.metrics;
    let to_gauge = |it: usize| i64::try_from(it).unwrap_or(i64::MAX);
    let version = steering.manifest().map_or(0, |it| it.version());
    metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    metrics.live_members.set(to_gauge(steering.members.live_count(now)));
    metrics.instances.set(to_gauge(steering.instances.len()));
    metrics.caller_connections.set(to_gauge(caller_connections.len()));
    metrics.idle_upstream_connections.set(to_gauge(state.pool.idle_count()));
    let view_age_ms = steering.freshness.age(now).map_or(-1, |it| it.as_millis() as i64);
    metrics.view_age_ms.set(view_age_ms);
    text_response(StatusCode::OK, "text/plain; version=0.0.4", metrics.render())
}

/// Value of a query parameter. Percent escapes are not decoded, since names of zones and hosts need
/// none.
pub(crate) fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.find(|it| it.0 == name).map(|it| it.1)
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
