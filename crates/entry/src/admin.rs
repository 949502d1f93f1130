//! HTTP endpoint for operators: health, readiness, status and metrics.

use std::sync::Arc;

use http::StatusCode;
use poem::{Body, Endpoint, Request, Response};
use tokio::time::Instant;

use crate::host::Host;

/// HTTP endpoint for operators.
pub(crate) struct AdminApi {
    host: Arc<Host>,
}

impl AdminApi {
    pub(crate) fn new(host: Arc<Host>) -> Self {
        Self { host }
    }

    /// Returns the status of the host as JSON.
    fn status(&self) -> Response {
        let status = self.host.engine.lock().status(Instant::now());
        let body = Body::from_json(&status).unwrap_or_else(|_| Body::empty());
        Response::builder().content_type("application/json").body(body)
    }

    /// Reports whether callers should use this host: it has a configuration and is not draining.
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

    /// Returns the metrics in the OpenMetrics text format.
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
