//! Sends each request of a caller to the part that answers it.

use crate::{
    answer,
    entry::{
        Shared,
        call::{Call, REQUEST_HEADER},
        chat, services, sessions,
    },
};
use http_types::{Method, Request, Response};
use ibissail_core::{ErrorKind, Fault, RequestId};
use ibissail_transport::Caller;
use slog::{debug, info};
use std::sync::Arc;

const SERVICES_PREFIX: &str = "/v1/services/";

/// Answers one request.
pub(crate) async fn answer(shared: Arc<Shared>, mut req: Request, caller: Caller) -> Response {
    let path = req.url().path().to_owned();
    if !path.starts_with("/v1/") {
        return answer::status(&req, &shared.node.metrics, shared.is_ready(), || shared.status());
    }
    let id = RequestId { entry: shared.node.incarnation, sequence: shared.node.next_sequence() };
    let answered = match Call::open(&shared, &req, caller.clone(), id) {
        Ok(call) => route(&shared, &call, &path, &mut req).await,
        Err(fault) => Err(fault),
    };
    let mut res = answered.unwrap_or_else(|fault| {
        caller.discard_body();
        shared.node.metrics.refusal(fault.kind);
        info!(shared.node.log, "request: refused"; "request" => %id, "error" => %fault);
        answer::refusal(&fault)
    });
    debug!(shared.node.log, "request: answered";
        "request" => %id, "path" => path, "status" => u16::from(res.status()));
    res.insert_header(REQUEST_HEADER, id.to_string());
    res
}

async fn route(
    shared: &Arc<Shared>,
    call: &Call,
    path: &str,
    req: &mut Request,
) -> Result<Response, Fault> {
    match (req.method(), path) {
        (Method::Post, "/v1/chat/completions") => chat::complete(shared, call, req).await,
        (Method::Get, "/v1/models") => Ok(sessions::models(shared, call)),
        (Method::Post, "/v1/sessions") => sessions::begin(shared, call, req).await,
        (_, path) => match path.strip_prefix(SERVICES_PREFIX) {
            Some(rest) => Box::pin(services::forward(shared, call, rest, req)).await,
            None => Err(Fault::new(ErrorKind::NotFound, format!("`{} {path}`", req.method()))),
        },
    }
}
