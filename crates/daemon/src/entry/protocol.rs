//! Handlers for messages from other processes to an entry.

use crate::entry::Shared;
use http_types::{Request, Response};
use ibissail_core::{ErrorKind, Fault};
use ibissail_execution::{ConfirmRequest, CrashNotice, Refusal, SettleRequest, paths};
use ibissail_transport::Envelope;
use std::sync::Arc;

/// Handles one message.
pub(crate) async fn handle(shared: Arc<Shared>, req: Request) -> Response {
    let handler = |path: &str, envelope: &Envelope| match path {
        paths::CONFIRM => confirm(&shared, envelope),
        paths::SETTLE => settle(&shared, envelope),
        paths::CRASHES => merge_crashes(&shared, envelope),
        _ => Err(Refusal::from(Fault::from(ErrorKind::NotFound))),
    };
    shared.node.handle_message(req, handler).await
}

/// Stores records of another entry as their witness.
fn confirm(shared: &Shared, envelope: &Envelope) -> Result<Response, Refusal> {
    let req: ConfirmRequest = envelope.message()?;
    let due = shared.node.now().saturating_add(shared.node.record_grace());
    shared.records.witness(req.confirmations, due);
    Ok(envelope.respond(&()))
}

fn settle(shared: &Shared, envelope: &Envelope) -> Result<Response, Refusal> {
    let req: SettleRequest = envelope.message()?;
    shared.records.forget(req.requests);
    Ok(envelope.respond(&()))
}

/// Adds what another entry has seen to crash upstreams.
fn merge_crashes(shared: &Shared, envelope: &Envelope) -> Result<Response, Refusal> {
    let notice: CrashNotice = envelope.message()?;
    shared.merge_crashes(&notice)?;
    Ok(envelope.respond(&()))
}
