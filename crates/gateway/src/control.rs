//! Lookups, readiness and metrics over HTTP.

use std::{future::ready, rc::Rc};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::{net::TcpListener, time::Instant};

use crate::{
    callers::Callers,
    listener::serve_each,
    state::{Phase, State},
};

/// The answer to a lookup.
#[derive(Debug, Serialize)]
struct LookupAnswer {
    /// Where callers connect.
    addresses: Vec<String>,
    /// For how long they may keep the answer, in seconds.
    ttl_s: f64,
}

/// Serves the control interface until it is dropped.
pub(crate) async fn serve(listener: TcpListener, state: Rc<State>, callers: Rc<Callers>) {
    let answer = move |request: Request<Incoming>| ready(answer(&state, &callers, &request));
    serve_each(listener, answer).await;
}

/// Answers one request.
fn answer(state: &State, callers: &Callers, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/v1/lookup" => lookup(state, request.uri().query().unwrap_or_default()),
        "/readyz" => readiness(state),
        "/healthz" => text(StatusCode::OK, "text/plain", "alive\n".to_owned()),
        "/metrics" => metrics(state, callers),
        _ => text(StatusCode::NOT_FOUND, "text/plain", "no such path\n".to_owned()),
    }
}

/// Tells a caller where to connect.
fn lookup(state: &State, query: &str) -> Response<Full<Bytes>> {
    let now = Instant::now();
    state.check_pause(now);
    state.metrics.lookups.inc();
    let own_state = state.beat_state(now);
    let steering = state.steering.borrow();
    let settings = steering.settings();
    let near = parameter(query, "zone").and_then(|it| settings.zone_map.locality(it));
    let addresses = steering.members.lookup_addresses(&settings.own_host, own_state, near, now);
    let answer = LookupAnswer {
        addresses: addresses.iter().map(ToString::to_string).collect(),
        ttl_s: state.settings().lookup_ttl.as_secs_f64(),
    };
    let body = serde_json::to_string(&answer).unwrap_or_default();
    text(StatusCode::OK, "application/json", body)
}

/// Tells whether requests are taken.
fn readiness(state: &State) -> Response<Full<Bytes>> {
    let now = Instant::now();
    state.check_pause(now);
    let is_ready =
        state.phase.get() == Phase::Serving && state.steering.borrow().has_confirmed_view(now);
    if is_ready {
        text(StatusCode::OK, "text/plain", "ready\n".to_owned())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".to_owned())
    }
}

/// The metrics.
fn metrics(state: &State, callers: &Callers) -> Response<Full<Bytes>> {
    let now = Instant::now();
    let steering = state.steering.borrow();
    let metrics = &state.metrics;
    let number = |it: usize| i64::try_from(it).unwrap_or(i64::MAX);
    let version = steering.manifest().map_or(0, |it| it.version());
    metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    metrics.live_members.set(number(steering.members.live_count(now)));
    metrics.instances.set(number(steering.instances.len()));
    metrics.caller_connections.set(number(callers.len()));
    metrics.idle_upstream_connections.set(number(state.pool.len()));
    let age = steering.freshness.age(now).map_or(-1, |it| it.as_millis() as i64);
    metrics.view_age.set(age);
    text(StatusCode::OK, "text/plain; version=0.0.4", metrics.render())
}

/// A parameter of a query; names of zones and hosts need no escapes.
pub(crate) fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.find(|it| it.0 == name).map(|it| it.1)
}

/// A response with a text.
fn text(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    res
}
