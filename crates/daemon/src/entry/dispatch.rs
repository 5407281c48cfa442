//! Picks a replica for a request and opens the run on its sidecar.

use crate::entry::{
    Shared,
    context::RequestContext,
    crashes::Trial,
    relay::{Relay, ReplicaEndpoint},
};
use ibissail_catalogue::Document;
use ibissail_core::{ErrorKind, Fault, Millis, Target, VmId};
use ibissail_direct::ContentHash;
use ibissail_execution::{Refusal, RunKey, RunRequest, VersionedClaim, paths};
use ibissail_routing::choose_replica;
use ibissail_transport::{CallError, SendError, StreamResponse, open_stream};
use slog::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Timeout for opening a run; a sidecar accepts or refuses without waiting for the upstream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a run request that is the same for every replica.
#[derive(Debug, Clone)]
pub(crate) struct RunSpec {
    /// Whether the request belongs to a session.
    pub(crate) session: bool,
    /// Hash that repeated requests with an idempotency key must match; 0 for models.
    pub(crate) fingerprint: u64,
    /// Hash that all copies of the request have in common.
    pub(crate) content: ContentHash,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// Reasons why opening a run on a replica failed.
#[derive(Debug)]
pub(crate) enum OpenError {
    /// The run did not take place; another replica may be tried.
    NotRun(Fault),
    /// The request was sent, but it is unknown whether the run took place.
    OutcomeUnknown(Fault),
    /// The request is refused on every replica.
    Refused(Fault),
}

/// Picks a replica that serves the target, by expected load, and counts the choice as load.
///
/// Returns `None` if no ready replica outside `tried` serves the target.
pub(crate) fn pick_replica(
    shared: &Shared,
    target: &Target,
    tried: &BTreeSet<VmId>,
) -> Option<PickedReplica> {
    let zone = &shared.node.local.identity.zone;
    let now = shared.node.now();
    let mut membership = shared.membership();
    let replica = choose_replica(&membership, target, zone, tried, now, &mut rand::rng())?;
    let endpoint = ReplicaEndpoint {
        vm: replica.vm.clone(),
        address: replica.address,
        incarnation: replica.incarnation?,
    };
    let picked = PickedReplica { endpoint, ticket: replica.ticket };
    membership.on_choice(&picked.endpoint.vm);
    Some(picked)
}

/// A picked replica, with the ticket for the run request: its sidecar's clock at the last probe.
/// The sidecar refuses requests whose ticket is too old.
#[derive(Debug, Clone)]
pub(crate) struct PickedReplica {
    pub(crate) endpoint: ReplicaEndpoint,
    pub(crate) ticket: Millis,
}

/// A run that is about to be opened on one replica.
#[derive(Debug)]
pub(crate) struct PendingRun<'a> {
    pub(crate) spec: &'a RunSpec,
    pub(crate) key: RunKey,
    pub(crate) target: &'a Target,
    pub(crate) picked: &'a PickedReplica,
    pub(crate) claim: Option<VersionedClaim>,
}

impl PendingRun<'_> {
    /// Builds the message for the sidecar from the current settings and the remaining time.
    ///
    /// Fails if the organisation no longer exists or the deadline has passed.
    fn request(
        &self,
        shared: &Shared,
        ctx: &RequestContext,
        documents: Vec<Document>,
    ) -> Result<RunRequest, OpenError> {
        let organisation =
            ctx.current_organisation(&shared.node.catalogue()).map_err(OpenError::Refused)?;
        let time_left = ctx.time_left(shared);
        if time_left.0 == 0 {
            return Err(OpenError::Refused(ErrorKind::DeadlineUnmet.into()));
        }
        let spec = self.spec;
        Ok(RunRequest {
            key: self.key.clone(),
            incarnation: self.picked.endpoint.incarnation,
            ticket: self.picked.ticket,
            organisation: organisation.id.clone(),
            target: self.target.clone(),
            session: spec.session,
            time_left,
            fingerprint: spec.fingerprint,
            method: spec.method.clone(),
            path: spec.path.clone(),
            content_type: spec.content_type.clone(),
            body: spec.body.clone(),
            revisions: organisation.revisions.clone(),
            documents,
            claim: self.claim.clone(),
        })
    }
}

/// Opens a run; if the sidecar reports stale settings, sends those it asks for and retries once.
pub(crate) async fn open(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    pending_run: PendingRun<'_>,
) -> Result<Relay, OpenError> {
    let picked = pending_run.picked;
    let mut documents = Vec::new();
    loop {
        let req = pending_run.request(shared, ctx, documents)?;
        let may_send_settings = req.documents.is_empty();
        match send(shared, picked, &req).await? {
            Ok(stream) => {
                let (key, endpoint) = (pending_run.key, picked.endpoint.clone());
                let trial = Trial::new(shared, pending_run.spec.content);
                return Ok(Relay::new(shared, key, endpoint, Some((stream, trial))));
            }
            Err(refusal)
                if refusal.fault.kind == ErrorKind::SettingsBehind && may_send_settings =>
            {
                documents = shared.node.settings.documents(&refusal.wanted);
            }
            Err(refusal) => return Err(handle_refusal(shared, ctx, picked, refusal)),
        }
    }
}

/// Response of a sidecar to a run request.
type OpenResult = Result<StreamResponse, Refusal>;

async fn send(
    shared: &Shared,
    picked: &PickedReplica,
    req: &RunRequest,
) -> Result<OpenResult, OpenError> {
    let node = &shared.node;
    let address = picked.endpoint.address;
    let sent: Result<OpenResult, CallError> =
        open_stream(&node.pool, &node.keyring, address, paths::RUN, req, OPEN_TIMEOUT).await;
    sent.map_err(|error| {
        info!(node.log, "dispatch: run not opened"; "run" => %req.key, "error" => %error);
        let now = node.now();
        shared.membership().on_unreachable(&picked.endpoint.vm, now);
        match error {
            CallError::Send(SendError::NotSent(..)) => {
                OpenError::NotRun(Fault::new(ErrorKind::NoReplica, error.to_string()))
            }
            _ => {
                OpenError::OutcomeUnknown(Fault::new(ErrorKind::OutcomeUnknown, error.to_string()))
            }
        }
    })
}

/// Updates the membership and the settings after a refusal, and decides whether to try others.
fn handle_refusal(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    picked: &PickedReplica,
    refusal: Refusal,
) -> OpenError {
    let ReplicaEndpoint { vm, incarnation, .. } = &picked.endpoint;
    let Refusal { fault, newer, .. } = refusal;
    info!(ctx.log, "dispatch: run refused"; "vm" => %vm, "error" => %fault);
    let has_newer_settings = !newer.is_empty();
    shared.node.merge_documents(newer);
    match fault.kind {
        ErrorKind::Draining => shared.membership().on_draining(vm, *incarnation),
        ErrorKind::NoReplica => shared.membership().on_full(vm),
        ErrorKind::StaleTicket => {
            let now = shared.node.now();
            shared.membership().on_unreachable(vm, now);
        }
        _ => {}
    }
    // After newer settings have been merged, another version may be allowed.
    let may_retry = fault.kind.is_reroutable()
        || fault.kind == ErrorKind::SettingsBehind
        || fault.kind == ErrorKind::UnknownRun
        || has_newer_settings;
    if may_retry { OpenError::NotRun(fault) } else { OpenError::Refused(fault) }
}
