//! Answers to callers: errors in one form, health, metrics.

use crate::node::Node;
use http_types::{Request, Response, headers::RETRY_AFTER};
use ibissail_core::{ErrorKind, Fault};
use serde::Serialize;
use serde_json::json;

/// A JSON answer.
pub(crate) fn json_answer<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}

/// The body of an error.
pub(crate) fn fault_body(fault: &Fault) -> serde_json::Value {
    json!({"error": {
        "kind": fault.kind.code(),
        "message": fault.to_string(),
        "ran": fault.ran,
        "type": "ibissail_error",
        "code": fault.kind.code(),
    }})
}

/// The answer for an error, by the table of kinds.
pub(crate) fn refusal(fault: &Fault) -> Response {
    let answer = fault.kind.answer();
    let mut res = json_answer(answer.status, &fault_body(fault));
    if let Some(retry_after) = answer.retry_after {
        res.insert_header(RETRY_AFTER, retry_after.to_string());
    }
    res
}

/// Health, readiness and metrics.
pub(crate) fn status(req: &Request, node: &Node, ready: bool) -> Response {
    match req.url().path() {
        "/healthz" => text(200, "ok\n"),
        "/readyz" if ready => text(200, "ready\n"),
        "/readyz" => text(503, "not ready\n"),
        "/metrics" => text(200, &node.metrics.text()),
        _ => refusal(&ErrorKind::NotFound.into()),
    }
}

fn text(status: u16, body: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res.insert_header("content-type", "text/plain; version=0.0.4");
    res
}
