//! Routes callers' requests to their handlers.

use crate::{
    entry::{
        Shared, chat,
        context::{REQUEST_HEADER, RequestContext},
        services, sessions,
    },
    response,
};
use http_types::{Method, Request, Response};
use ibissail_core::{ErrorKind, Fault, RequestId};
use ibissail_transport::Caller;
use slog::{debug, info};
use std::sync::Arc;

const SERVICES_PREFIX: &str = "/v1/services/";

/// Handles one request; paths outside `/v1/` are health, status and metrics endpoints.
pub(crate) async fn handle(shared: Arc<Shared>, mut req: Request, caller: Caller) -> Response {
    let path = req.url().path().to_owned();
    if !path.starts_with("/v1/") {
        return response::admin_response(&req, &shared.node.metrics, shared.is_ready(), || {
            shared.status()
        });
    }
    let id = RequestId { entry: shared.node.incarnation, sequence: shared.node.next_sequence() };
    let result = match RequestContext::authenticate(&shared, &req, caller.clone(), id) {
        Ok(ctx) => route(&shared, &ctx, &path, &mut req).await,
        Err(fault) => Err(fault),
    };
    let mut res = result.unwrap_or_else(|fault| {
        caller.discard_body();
        shared.node.metrics.count_refusal(fault.kind);
        info!(shared.node.log, "request: failed"; "request" => %id, "error" => %fault);
        response::error_response(&fault)
    });
    debug!(shared.node.log, "request: completed";
        "request" => %id, "path" => path, "status" => u16::from(res.status()));
    res.insert_header(REQUEST_HEADER, id.to_string());
    res
}

async fn route(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    path: &str,
    req: &mut Request,
) -> Result<Response, Fault> {
    match (req.method(), path) {
        (Method::Post, "/v1/chat/completions") => Box::pin(chat::complete(shared, ctx, req)).await,
        (Method::Get, "/v1/models") => Ok(sessions::list_models(shared, ctx)),
        (Method::Post, "/v1/sessions") => sessions::create(shared, ctx, req).await,
        (_, path) => match path.strip_prefix(SERVICES_PREFIX) {
            Some(service_path) => Box::pin(services::forward(shared, ctx, service_path, req)).await,
            None => Err(Fault::new(ErrorKind::NotFound, format!("`{} {path}`", req.method()))),
        },
    }
}
