//! Handlers for messages from entries to a sidecar.

use crate::sidecar::{Shared, runs};
use http_types::{Request, Response};
use ibissail_catalogue::Purpose;
use ibissail_core::{ErrorKind, Fault};
use ibissail_execution::{
    Admission, AttachRequest, CancelRequest, ConfirmRequest, Load, Probe, ProbeReply, Refusal,
    RunRequest, SettleRequest, SidecarState, paths,
};
use ibissail_transport::Envelope;
use slog::info;
use std::sync::Arc;

/// Handles one message.
pub(crate) async fn handle(shared: Arc<Shared>, req: Request) -> Response {
    let handler = |path: &str, envelope: &Envelope| match path {
        paths::RUN => run(&shared, envelope),
        paths::ATTACH => attach(&shared, envelope),
        paths::CANCEL => cancel(&shared, envelope),
        paths::CONFIRM => confirm(&shared, envelope),
        paths::SETTLE => settle(&shared, envelope),
        paths::PROBE => probe(&shared, envelope),
        _ => Err(Refusal::from(Fault::from(ErrorKind::NotFound))),
    };
    shared.node.handle_message(req, handler).await
}

type HandlerResult = Result<Response, Refusal>;

fn run(shared: &Arc<Shared>, envelope: &Envelope) -> HandlerResult {
    let mut req: RunRequest = envelope.message()?;
    shared.node.merge_documents(std::mem::take(&mut req.documents));
    check_settings(shared, &req)?;
    check_permission(shared, &req)?;
    let key = req.key.clone();
    let now = shared.node.now();
    let admission = shared.table().admit_if(&req, now, || shared.upstream_limit.try_take(now));
    match admission {
        Admission::Start => runs::start(shared, req),
        Admission::Attach => {}
        Admission::Refuse(fault) => return Err(fault.into()),
    }
    Ok(envelope.stream(runs::response_body(shared, key, 0)))
}

/// Refuses the run if the sidecar's settings are not loaded or are older than the sender's.
fn check_settings(shared: &Shared, req: &RunRequest) -> Result<(), Refusal> {
    if !shared.node.is_synced() {
        return Err(Refusal::from(Fault::from(ErrorKind::SettingsMissing)));
    }
    let wanted = shared.node.settings.stale_keys(&req.revisions);
    if wanted.is_empty() {
        return Ok(());
    }
    Err(Refusal { fault: ErrorKind::SettingsBehind.into(), wanted, newer: Vec::new() })
}

/// Refuses the run if the sidecar does not serve its target or the organisation may not use it.
fn check_permission(shared: &Shared, req: &RunRequest) -> Result<(), Refusal> {
    let refuse = |fault: Fault| {
        info!(shared.node.log, "run: refused"; "run" => %req.key, "error" => %fault);
        let newer = shared.node.settings.newer_documents(&req.revisions);
        Refusal { fault, wanted: Vec::new(), newer }
    };
    if req.target != shared.upstream.offers {
        let detail = format!("`{}` is not offered by this sidecar", req.target);
        return Err(refuse(Fault::new(ErrorKind::StaleTicket, detail)));
    }
    let catalogue = shared.node.catalogue();
    let organisation = catalogue.organisation(&req.organisation).map_err(refuse)?;
    let purpose = if req.session { Purpose::Session } else { Purpose::New };
    catalogue.authorize(&organisation, &req.target, purpose).map_err(refuse)
}

fn attach(shared: &Arc<Shared>, envelope: &Envelope) -> HandlerResult {
    let req: AttachRequest = envelope.message()?;
    let now = shared.node.now();
    shared.table().find_or_fence(&req.key, req.incarnation, req.fence, now)?;
    Ok(envelope.stream(runs::response_body(shared, req.key, req.offset)))
}

fn cancel(shared: &Shared, envelope: &Envelope) -> HandlerResult {
    let req: CancelRequest = envelope.message()?;
    let reason = Fault::new(ErrorKind::Incomplete, "the entry no longer reads the response");
    runs::cancel(shared, &req.key, reason);
    Ok(envelope.respond(&()))
}

fn confirm(shared: &Shared, envelope: &Envelope) -> HandlerResult {
    let req: ConfirmRequest = envelope.message()?;
    let due = shared.node.now().saturating_add(shared.node.record_grace());
    for confirmation in req.confirmations {
        shared.outbox().insert(confirmation.record, due);
        shared.table().remove_delivered(&confirmation.key);
    }
    Ok(envelope.respond(&()))
}

fn settle(shared: &Shared, envelope: &Envelope) -> HandlerResult {
    let req: SettleRequest = envelope.message()?;
    shared.outbox().settle(req.requests);
    Ok(envelope.respond(&()))
}

fn probe(shared: &Shared, envelope: &Envelope) -> HandlerResult {
    let Probe {} = envelope.message()?;
    let table = shared.table();
    let state = match (shared.node.is_synced(), table.is_draining()) {
        (_, true) => SidecarState::Draining,
        (false, false) => SidecarState::Starting,
        (true, false) => SidecarState::Ready,
    };
    let load = Load { in_flight: table.running(), concurrency: shared.upstream.concurrency };
    Ok(envelope.respond(&ProbeReply {
        vm: shared.node.local.identity.vm.clone(),
        incarnation: shared.node.incarnation,
        offers: shared.upstream.offers.clone(),
        state,
        load,
        ticket: shared.node.now(),
        digest: shared.node.settings.digest(),
    }))
}
