//! The entry's side of the protocol between processes.

use crate::entry::Shared;
use http_types::{Request, Response};
use ibissail_core::{ErrorKind, Fault};
use ibissail_execution::{ConfirmRequest, Refusal, SettleRequest, paths};
use ibissail_transport::Envelope;
use std::sync::Arc;

/// Answers one message.
pub(crate) async fn answer(shared: Arc<Shared>, mut req: Request) -> Response {
    let path = req.url().path().to_owned();
    let envelope = match shared.node.receive(&mut req).await {
        Ok(envelope) => envelope,
        Err(refusal) => return refusal,
    };
    let answered = match path.as_str() {
        paths::EXCHANGE => shared.node.answer_exchange(&envelope),
        paths::VMS => Ok(shared.node.answer_vms(&envelope)),
        paths::CONFIRM => confirm(&shared, &envelope),
        paths::SETTLE => settle(&shared, &envelope),
        _ => Err(Refusal::from(Fault::from(ErrorKind::NotFound))),
    };
    answered.unwrap_or_else(|refusal| envelope.refuse(&refusal))
}

/// Holds records of another entry as their witness.
fn confirm(shared: &Shared, envelope: &Envelope) -> Result<Response, Refusal> {
    let req: ConfirmRequest = envelope.message()?;
    let due = shared.node.now().plus(shared.node.record_grace());
    shared.records.witness(req.confirmations, due);
    Ok(envelope.answer(&()))
}

fn settle(shared: &Shared, envelope: &Envelope) -> Result<Response, Refusal> {
    let req: SettleRequest = envelope.message()?;
    shared.records.forget(req.requests);
    Ok(envelope.answer(&()))
}
