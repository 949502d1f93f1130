//! The manifest and the registrations that operators and instances write.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::{host::ZONES, instance::SLOTS};

/// The host that routes have.
pub(crate) const HOST: &str = "soak.example";

/// Keys of the tenant whose keys are revoked while callers use them.
pub(crate) const REVOCABLE_KEYS: [&str; 3] = ["key-one", "key-two", "key-three"];

/// A version of the manifest in which some of [`REVOCABLE_KEYS`] are still issued.
pub(crate) fn manifest(version: u64, issued: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, repeat: &str, service: &str| {
        json!({
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "repeat": repeat,
            "timeout_ms": 1800,
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
            { "name": "revoked", "keys": issued },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    })
}

/// The registration of an instance.
pub(crate) fn registration(at: usize, service: &str, address: SocketAddr, state: &str) -> Value {
    json!({
        "service": service,
        "address": address.to_string(),
        "zone": ZONES[at % ZONES.len()].0,
        "version": "v1",
        "slots": SLOTS,
        "state": state,
        "cold_remaining_ms": 0,
    })
}
