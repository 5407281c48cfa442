//! Responses to callers: JSON, errors, and the health, status and metrics endpoints.

use crate::metrics::Metrics;
use http_types::{Request, Response, headers::RETRY_AFTER};
use ibissail_core::{ErrorKind, Fault};
use serde::Serialize;
use serde_json::{Value, json};

/// A JSON response.
pub(crate) fn json_response<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}

/// JSON body of an error response.
pub(crate) fn error_body(fault: &Fault) -> Value {
    json!({"error": {
        "kind": fault.kind.code(),
        "message": fault.to_string(),
        "ran": fault.ran,
        "type": "ibissail_error",
        "code": fault.kind.code(),
    }})
}

/// Error response, with the status and `Retry-After` of the error kind.
pub(crate) fn error_response(fault: &Fault) -> Response {
    let response = fault.kind.response();
    let mut res = json_response(response.status, &error_body(fault));
    if let Some(retry_after) = response.retry_after {
        res.insert_header(RETRY_AFTER, retry_after.to_string());
    }
    res
}

/// Handles `/healthz`, `/readyz`, `/status` and `/metrics`.
pub(crate) fn admin_response<S>(req: &Request, metrics: &Metrics, ready: bool, state: S) -> Response
where
    S: FnOnce() -> Value,
{
    match req.url().path() {
        "/healthz" => text(200, "ok\n"),
        "/readyz" if ready => text(200, "ready\n"),
        "/readyz" => text(503, "not ready\n"),
        "/status" => json_response(200, &state()),
        "/metrics" => text(200, &metrics.text()),
        _ => error_response(&ErrorKind::NotFound.into()),
    }
}

fn text(status: u16, body: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res.insert_header("content-type", "text/plain; version=0.0.4");
    res
}
