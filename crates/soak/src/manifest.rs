//! Contents of the store that operators and instances write: the manifest and the registrations of
//! instances.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use crate::{host::ZONES, instance::EXECUTION_SLOTS};

/// Host name of all routes in the manifest.
pub(crate) const ROUTE_HOST: &str = "soak.example";

/// Timeout of all routes in the manifest.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_millis(2500);

/// API keys of the team `revoked`, which are revoked one by one while callers use them.
pub(crate) const REVOCABLE_KEYS: [&str; 3] = ["key-one", "key-two", "key-three"];

/// A version of the manifest; `issued_keys` are the [`REVOCABLE_KEYS`] that are still valid.
pub(crate) fn manifest(version: u64, issued_keys: &[&str]) -> Value {
    let route = |name: &str, path_prefix: &str, repeat: &str, service: &str| {
        json!({
            "name": name,
            "host": ROUTE_HOST,
            "path_prefix": path_prefix,
            "repeat": repeat,
            "timeout_ms": ROUTE_TIMEOUT.as_millis() as u64,
            "target_latency_ms": 300,
            "service": service,
            "max_attempts": 2,
            "affinity": true,
        })
    };
    let service = |name: &str| {
        json!({
            "name": name,
            "health_path": "/health",
            "max_connections": 400,
            "cold_start_s": 0,
            "cold_rate_per_s": 100,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", "catalogue"),
            route("order", "/order/", "once", "orders"),
            route("upload", "/order/up/", "upload", "orders"),
            route("idle", &format!("/idle/{version}/"), "idempotent", "catalogue"),
        ],
        "services": [service("catalogue"), service("orders")],
        "tenants": [
            { "name": "steady", "keys": ["key-steady"] },
            { "name": "limited", "keys": ["key-limited"], "rate_per_s": 20, "burst": 20 },
            { "name": "revoked", "keys": issued_keys },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    })
}

/// Registration of an instance; `state` is `ready` or `draining`.
pub(crate) fn registration(
    instance_index: usize,
    service: &str,
    address: SocketAddr,
    state: &str,
) -> Value {
    json!({
        "service": service,
        "address": address.to_string(),
        "zone": ZONES[instance_index % ZONES.len()].0,
        "version": "v1",
        "slots": EXECUTION_SLOTS,
        "state": state,
        "cold_remaining_ms": 0,
    })
}
