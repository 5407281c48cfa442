//! Requests with an idempotency key: run at most once, claimed in the platform before dispatch.

use crate::entry::{
    Shared, billing,
    context::RequestContext,
    dispatch::{OpenError, PendingRun, PickedReplica, RunSpec, open, pick_replica},
    relay::{Relay, RelayEnd, ReplicaEndpoint, ResponseSummary},
    services,
};
use async_std::task;
use http_types::Response;
use ibissail_core::{ErrorKind, Fault, Revision, Target, VmId};
use ibissail_execution::{
    Claim, ClaimStep, ClaimView, FencingToken, RunKey, StoredOutcome, TokenCounts, VersionedClaim,
    claim_key, next_step,
};
use ibissail_object_store::{Object, PlatformError};
use slog::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Attach requests for a claimed run that has not started, before the run is fenced.
const MAX_ATTACH_TRIES: u32 = 10;
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of steps of the claim protocol for one request.
const MAX_STEPS: u32 = 8;

/// Runs a request under its idempotency key, or replays the outcome of its first run.
///
/// Fails with `NoReplica`, with `Ran::Unknown`, if `MAX_STEPS` steps do not lead to a response.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    key: &str,
    target: &Target,
    spec: &RunSpec,
) -> Result<Response, Fault> {
    let path = claim_key(&ctx.organisation.id, key);
    let run_key = RunKey::Keyed { organisation: ctx.organisation.id.clone(), key: key.to_owned() };
    let mut keyed_request =
        KeyedRequest { shared, ctx, target, spec, path, run_key, tried: BTreeSet::new() };
    let mut view = keyed_request.read_claim().await;
    for _ in 0..MAX_STEPS {
        let step = next_step(view, spec.fingerprint);
        view = match step {
            ClaimStep::Replay(claim) => return keyed_request.respond_with_outcome(claim).await,
            ClaimStep::Refuse(fault) => return Err(fault),
            ClaimStep::Create => match Box::pin(keyed_request.claim_and_send(None)).await? {
                StepOutcome::Respond(response) => return Ok(response),
                StepOutcome::Continue(view) => view,
            },
            ClaimStep::Replace { claim, base } => {
                match Box::pin(keyed_request.claim_and_send(Some((claim, base)))).await? {
                    StepOutcome::Respond(response) => return Ok(response),
                    StepOutcome::Continue(view) => view,
                }
            }
            ClaimStep::Attach(claim, revision) => {
                match keyed_request.attach_to_claimed_run(claim, revision).await? {
                    StepOutcome::Respond(response) => return Ok(response),
                    StepOutcome::Continue(view) => view,
                }
            }
        };
    }
    Err(Fault::from(ErrorKind::NoReplica).with_ran_unknown())
}

/// Result of one step of the claim protocol.
enum StepOutcome {
    Respond(Response),
    /// Not finished; the next step follows from this view of the claim.
    Continue(ClaimView),
}

/// A request with an idempotency key in progress.
struct KeyedRequest<'a> {
    shared: &'a Arc<Shared>,
    ctx: &'a RequestContext,
    target: &'a Target,
    spec: &'a RunSpec,
    path: String,
    run_key: RunKey,
    tried: BTreeSet<VmId>,
}

impl KeyedRequest<'_> {
    async fn read_claim(&self) -> ClaimView {
        match self.shared.node.platform.get(&self.path).await {
            Ok(Some(object)) => parse_claim(&object),
            Ok(None) => ClaimView::Absent,
            Err(_) => ClaimView::Unreadable,
        }
    }

    /// Writes a claim that names a sidecar, and only then opens the run on it.
    ///
    /// `fenced` is the claim to replace, with its revision; with `None`, a first claim is created.
    async fn claim_and_send(
        &mut self,
        fenced: Option<(Claim, Revision)>,
    ) -> Result<StepOutcome, Fault> {
        let replaced = fenced.as_ref().map(|(claim, _)| claim);
        let quarantined = self.shared.check_quarantine(self.spec.content);
        quarantined.map_err(|fault| self.unclaimed_fault(fault, replaced))?;
        let Some(picked) = pick_replica(self.shared, self.target, &self.tried) else {
            return Err(self.unclaimed_fault(ErrorKind::NoReplica.into(), replaced));
        };
        self.tried.insert(picked.endpoint.vm.clone());
        let claim = self.new_claim(&picked, fenced.as_ref().map(|(claim, _)| claim));
        let written = self.write_claim(&claim, fenced.map(|(_, base)| base)).await;
        match written {
            ClaimWrite::Held(revision) => self.send_run(claim, revision, &picked).await,
            ClaimWrite::NotHeld(view) => Ok(StepOutcome::Continue(view)),
        }
    }

    /// Fault for a key that no sidecar can or may run now.
    ///
    /// A claim of another request is no longer valid at its sidecar, but the entry that wrote it
    /// may still replace it and run the key.
    fn unclaimed_fault(&self, fault: Fault, fenced: Option<&Claim>) -> Fault {
        match fenced {
            Some(claim) if claim.request != self.ctx.id => fault.with_ran_unknown(),
            _ => fault,
        }
    }

    fn new_claim(&self, picked: &PickedReplica, fenced: Option<&Claim>) -> Claim {
        Claim {
            request: fenced.map_or(self.ctx.id, |claim| claim.request),
            fingerprint: self.spec.fingerprint,
            vm: picked.endpoint.vm.clone(),
            address: picked.endpoint.address,
            incarnation: picked.endpoint.incarnation,
            fencing_token: fenced.map(|claim| claim.fencing_token.next()).unwrap_or_default(),
            outcome: None,
        }
    }

    async fn write_claim(&self, claim: &Claim, base: Option<Revision>) -> ClaimWrite {
        let value = serde_json::to_string(claim).unwrap_or_default();
        let platform = &self.shared.node.platform;
        let written = match base {
            None => platform.create(&self.path, &value).await,
            Some(base) => platform.update(&self.path, base, &value).await,
        };
        match written {
            Ok(revision) => ClaimWrite::Held(revision),
            Err(PlatformError::Conflict(_, Some(object))) => {
                ClaimWrite::NotHeld(parse_claim(&object))
            }
            Err(PlatformError::Conflict(_, None)) => ClaimWrite::NotHeld(ClaimView::Absent),
            Err(PlatformError::NotApplied(_)) => ClaimWrite::NotHeld(ClaimView::Unreadable),
            // The write may have succeeded, so the claim is read back. A first claim names this
            // request, so an equal one was written here. A replacement does not: another entry may
            // have written an equal one and opened the run under it.
            Err(PlatformError::OutcomeUnknown(_)) => match self.read_claim().await {
                ClaimView::Held(stored, revision) if base.is_none() && stored == *claim => {
                    ClaimWrite::Held(revision)
                }
                view => ClaimWrite::NotHeld(view),
            },
        }
    }

    async fn send_run(
        &mut self,
        claim: Claim,
        revision: Revision,
        picked: &PickedReplica,
    ) -> Result<StepOutcome, Fault> {
        let held_claim = VersionedClaim { claim: claim.clone(), revision };
        let key = self.run_key.clone();
        let (shared, ctx) = (self.shared, self.ctx);
        let (spec, target) = (self.spec, self.target);
        let pending_run = PendingRun { spec, key, target, picked, claim: Some(held_claim) };
        match Box::pin(open(shared, ctx, pending_run)).await {
            Ok(relay) => self.collect_response(claim, revision, relay).await,
            Err(OpenError::NotRun(fault)) => {
                info!(ctx.log, "keyed: run not opened"; "vm" => %claim.vm, "error" => %fault);
                Ok(StepOutcome::Continue(ClaimView::Fenced(claim, revision)))
            }
            Err(OpenError::Refused(fault)) => Err(fault),
            Err(OpenError::OutcomeUnknown(_)) => {
                Ok(StepOutcome::Continue(ClaimView::Held(claim, revision)))
            }
        }
    }

    /// Attaches to the run on the sidecar that the claim names, fencing it if it has not started.
    async fn attach_to_claimed_run(
        &mut self,
        claim: Claim,
        revision: Revision,
    ) -> Result<StepOutcome, Fault> {
        let endpoint = ReplicaEndpoint {
            vm: claim.vm.clone(),
            address: claim.address,
            incarnation: claim.incarnation,
        };
        let mut relay = Relay::new(self.shared, self.run_key.clone(), endpoint, None);
        match self.attach(&mut relay, claim.fencing_token).await {
            Ok(()) => self.collect_response(claim, revision, relay).await,
            Err(fault) if fault.kind == ErrorKind::UnknownRun => {
                self.tried.insert(claim.vm.clone());
                Ok(StepOutcome::Continue(ClaimView::Fenced(claim, revision)))
            }
            Err(_) => self.reread_claim(claim).await,
        }
    }

    /// Attaches to a run; if it has not started after `MAX_ATTACH_TRIES`, fences it.
    ///
    /// The retries leave time for another entry that has written the claim to open the run.
    async fn attach(&self, relay: &mut Relay, fencing_token: FencingToken) -> Result<(), Fault> {
        for _ in 0..MAX_ATTACH_TRIES {
            match relay.attach(self.ctx, None).await {
                Err(fault) if fault.kind == ErrorKind::UnknownRun => task::sleep(RETRY_DELAY).await,
                result => return result,
            }
        }
        relay.attach(self.ctx, Some(fencing_token)).await
    }

    /// Reads the claim again after attaching to its sidecar has failed: it may have an outcome now.
    async fn reread_claim(&self, claim: Claim) -> Result<StepOutcome, Fault> {
        match self.read_claim().await {
            ClaimView::Held(stored, _) if stored.outcome.is_none() => {
                Ok(StepOutcome::Continue(ClaimView::Lost(claim)))
            }
            view => Ok(StepOutcome::Continue(view)),
        }
    }

    /// Collects the response of the claimed run and bills it under the id of the first request.
    async fn collect_response(
        &self,
        claim: Claim,
        revision: Revision,
        mut relay: Relay,
    ) -> Result<StepOutcome, Fault> {
        relay.hold_on();
        let collected = match relay.next(self.ctx).await {
            Ok(first) => relay.collect(self.ctx, first).await,
            Err(fault) => Err(fault),
        };
        match collected {
            Ok((bytes, summary)) => {
                services::bill(self.shared, self.ctx, claim.request, self.target, &relay).await;
                relay.finish().await;
                let (shared, ctx) = (self.shared, self.ctx);
                Ok(StepOutcome::Respond(services::respond(
                    shared,
                    ctx,
                    self.target,
                    &summary,
                    bytes,
                )))
            }
            Err(fault) => self.after_failed_run(claim, revision, relay.end(), fault).await,
        }
    }

    /// Decides how to go on after a claimed run has failed or its response was lost.
    async fn after_failed_run(
        &self,
        claim: Claim,
        revision: Revision,
        end: RelayEnd,
        fault: Fault,
    ) -> Result<StepOutcome, Fault> {
        match end {
            RelayEnd::Open => Err(fault),
            RelayEnd::NotRun => Ok(StepOutcome::Continue(ClaimView::Fenced(claim, revision))),
            RelayEnd::AttachRefused => {
                info!(self.ctx.log, "keyed: attach refused"; "vm" => %claim.vm, "error" => %fault);
                if fault.kind == ErrorKind::UnknownRun {
                    // The same incarnation answers: attaching again fences the run.
                    return Ok(StepOutcome::Continue(ClaimView::Held(claim, revision)));
                }
                self.reread_claim(claim).await
            }
        }
    }

    /// Replays the stored outcome, billed under the id of the first request.
    async fn respond_with_outcome(&self, claim: Claim) -> Result<Response, Fault> {
        match claim.outcome {
            Some(StoredOutcome::Answer { status, content_type, body }) => {
                let record = services::usage_record(self.ctx, claim.request, self.target);
                let address = claim.address;
                billing::confirm(self.shared, self.ctx, address, &self.run_key, record).await;
                let summary =
                    ResponseSummary { status, content_type, tokens: TokenCounts::default() };
                Ok(services::respond(self.shared, self.ctx, self.target, &summary, body))
            }
            Some(StoredOutcome::Failed(fault)) => Err(fault),
            None => Err(ErrorKind::OutcomeUnknown.into()),
        }
    }
}

/// Result of writing a claim.
enum ClaimWrite {
    /// The claim was written, at this revision.
    Held(Revision),
    /// The claim was not written, or this is not known; the view is that of the stored claim.
    NotHeld(ClaimView),
}

fn parse_claim(object: &Object) -> ClaimView {
    match serde_json::from_str(&object.value) {
        Ok(claim) => ClaimView::Held(claim, object.revision),
        Err(_) => ClaimView::Unreadable,
    }
}
