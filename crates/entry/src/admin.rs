//! Health, readiness, status and metrics for operators.

use std::sync::Arc;

use http::StatusCode;
use poem::{Body, Endpoint, Request, Response};
use tokio::time::Instant;

use crate::host::Host;

/// Serves the admin address.
pub(crate) struct AdminApi {
    /// The host.
    host: Arc<Host>,
}

impl AdminApi {
    /// The admin address of a host.
    pub(crate) fn new(host: Arc<Host>) -> Self {
        Self { host }
    }

    /// The state for operators as JSON.
    fn status(&self) -> Response {
        let status = self.host.engine.lock().status(Instant::now());
        let body = Body::from_json(&status).unwrap_or_else(|_| Body::empty());
        Response::builder().content_type("application/json").body(body)
    }

    /// Whether this host should get callers.
    fn readiness(&self) -> Response {
        let status = self.host.engine.lock().status(Instant::now());
        let (code, text) = if status.config_version == 0 {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
        } else if status.draining {
            (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        } else {
            (StatusCode::OK, "ready\n")
        };
        Response::builder().status(code).body(text)
    }

    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> Response {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Response::builder().content_type(content_type).body(self.host.metrics.render())
    }
}

impl Endpoint for AdminApi {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        Ok(match request.uri().path() {
            "/healthz" => Response::builder().body("healthy\n"),
            "/readyz" => self.readiness(),
            "/status" => self.status(),
            "/metrics" => self.metrics(),
            _ => Response::builder().status(StatusCode::NOT_FOUND).body("not found\n"),
        })
    }
}
