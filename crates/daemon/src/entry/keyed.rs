//! Calls that may run at most once: claimed in the platform before they are sent.

use crate::entry::{
    Shared, billing,
    call::Call,
    dispatch::{Job, NotOpened, Opening, PickedPlace, open, pick},
    relay::{Place, Relay, Whole},
    services,
};
use async_std::task;
use http_types::Response;
use ibissail_core::{ErrorKind, Fault, Ran, Revision, Target, VmId};
use ibissail_execution::{
    Claim, ClaimStep, ClaimView, FencingToken, RunKey, StoredOutcome, TokenCounts, VersionedClaim,
    claim_key, next_step,
};
use ibissail_object_store::{Object, PlatformError};
use slog::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Looks for a run whose claim stands, before the run is barred.
const CLAIM_LOOKS: u32 = 10;
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Steps taken for one call before it is given up.
const MAX_STEPS: u32 = 8;

/// Runs a call under its idempotency key, or finds how it came out.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    key: &str,
    target: &Target,
    job: &Job,
) -> Result<Response, Fault> {
    let path = claim_key(&call.member.id, key);
    let run_key = RunKey::Keyed { organisation: call.member.id.clone(), key: key.to_owned() };
    let mut keyed = Keyed { shared, call, target, job, path, run_key, tried: BTreeSet::new() };
    let mut view = keyed.read().await;
    for _ in 0..MAX_STEPS {
        let step = next_step(view, job.fingerprint);
        view = match step {
            ClaimStep::Replay(outcome) => return keyed.answer_outcome(outcome).await,
            ClaimStep::Refuse(fault) => return Err(fault),
            ClaimStep::Create => match Box::pin(keyed.claim_and_send(None)).await? {
                Next::Answer(response) => return Ok(response),
                Next::Look(view) => view,
            },
            ClaimStep::Replace { claim, base } => {
                match Box::pin(keyed.claim_and_send(Some((claim, base)))).await? {
                    Next::Answer(response) => return Ok(response),
                    Next::Look(view) => view,
                }
            }
            ClaimStep::Attach(claim, revision) => match keyed.ask(claim, revision).await? {
                Next::Answer(response) => return Ok(response),
                Next::Look(view) => view,
            },
        };
    }
    Err(Fault::from(ErrorKind::NoReplica).with_ran_unknown())
}

enum Next {
    Answer(Response),
    Look(ClaimView),
}

struct Keyed<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    target: &'a Target,
    job: &'a Job,
    path: String,
    run_key: RunKey,
    tried: BTreeSet<VmId>,
}

impl Keyed<'_> {
    async fn read(&self) -> ClaimView {
        match self.shared.node.platform.get(&self.path).await {
            Ok(Some(object)) => held(&object),
            Ok(None) => ClaimView::Absent,
            Err(_) => ClaimView::Unreadable,
        }
    }

    /// Names a sidecar in the claim, and only then gives it the call.
    async fn claim_and_send(&mut self, barred: Option<(Claim, Revision)>) -> Result<Next, Fault> {
        let Some(picked) = pick(self.shared, self.target, &self.tried) else {
            return Err(ErrorKind::NoReplica.into());
        };
        self.tried.insert(picked.place.vm.clone());
        let claim = self.new_claim(&picked, barred.as_ref().map(|(claim, _)| claim));
        let written = self.write(&claim, barred.map(|(_, base)| base)).await;
        match written {
            Written::Held(revision) => self.send(claim, revision, &picked).await,
            Written::Other(view) => Ok(Next::Look(view)),
        }
    }

    fn new_claim(&self, picked: &PickedPlace, barred: Option<&Claim>) -> Claim {
        Claim {
            request: barred.map_or(self.call.id, |claim| claim.request),
            fingerprint: self.job.fingerprint,
            vm: picked.place.vm.clone(),
            address: picked.place.address,
            incarnation: picked.place.incarnation,
            fencing_token: barred.map(|claim| claim.fencing_token.next()).unwrap_or_default(),
            outcome: None,
        }
    }

    async fn write(&self, claim: &Claim, base: Option<Revision>) -> Written {
        let value = serde_json::to_string(claim).unwrap_or_default();
        let platform = &self.shared.node.platform;
        let written = match base {
            None => platform.create(&self.path, &value).await,
            Some(base) => platform.update(&self.path, base, &value).await,
        };
        match written {
            Ok(revision) => Written::Held(revision),
            Err(PlatformError::Conflict(_, Some(object))) => Written::Other(held(&object)),
            Err(PlatformError::Conflict(_, None)) => Written::Other(ClaimView::Absent),
            Err(PlatformError::NotApplied(_)) => Written::Other(ClaimView::Unreadable),
            // Only reading tells whether the claim stands; the sidecar named in it is the same
            // whoever wrote it, and that sidecar runs the key once.
            Err(PlatformError::OutcomeUnknown(_)) => match self.read().await {
                ClaimView::Held(found, revision) if found == *claim => Written::Held(revision),
                view => Written::Other(view),
            },
        }
    }

    async fn send(
        &mut self,
        claim: Claim,
        revision: Revision,
        picked: &PickedPlace,
    ) -> Result<Next, Fault> {
        let held = VersionedClaim { claim: claim.clone(), revision };
        let key = self.run_key.clone();
        let (shared, call) = (self.shared, self.call);
        let (job, target) = (self.job, self.target);
        let opening = Opening { job, key, target, picked, claim: Some(held) };
        match Box::pin(open(shared, call, opening)).await {
            Ok(relay) => self.finish(claim, revision, relay).await,
            Err(NotOpened::NotRun(fault)) => {
                info!(call.log, "keyed: not run"; "vm" => %claim.vm, "error" => %fault);
                Ok(Next::Look(ClaimView::Fenced(claim, revision)))
            }
            Err(NotOpened::Refused(fault)) => Err(fault),
            Err(NotOpened::Unknown(_)) => Ok(Next::Look(ClaimView::Held(claim, revision))),
        }
    }

    /// Asks the sidecar that the claim names; a run that has not begun there never will.
    async fn ask(&mut self, claim: Claim, revision: Revision) -> Result<Next, Fault> {
        let place =
            Place { vm: claim.vm.clone(), address: claim.address, incarnation: claim.incarnation };
        let mut relay = Relay::new(self.shared, self.run_key.clone(), place, None);
        match self.attach(&mut relay, claim.fencing_token).await {
            Ok(()) => self.finish(claim, revision, relay).await,
            Err(fault) if fault.kind == ErrorKind::UnknownRun => {
                self.tried.insert(claim.vm.clone());
                Ok(Next::Look(ClaimView::Fenced(claim, revision)))
            }
            Err(_) => self.look_again(claim).await,
        }
    }

    /// Waits a little for a run whose claim may just have been made, and then bars it.
    async fn attach(&self, relay: &mut Relay, number: FencingToken) -> Result<(), Fault> {
        for _ in 0..CLAIM_LOOKS {
            match relay.attach(self.call, None).await {
                Err(fault) if fault.kind == ErrorKind::UnknownRun => task::sleep(CLAIM_PAUSE).await,
                found => return found,
            }
        }
        relay.attach(self.call, Some(number)).await
    }

    /// The sidecar has gone; it may have written the outcome before.
    async fn look_again(&self, claim: Claim) -> Result<Next, Fault> {
        match self.read().await {
            ClaimView::Held(found, _) if found.outcome.is_none() => {
                Ok(Next::Look(ClaimView::Lost(claim)))
            }
            view => Ok(Next::Look(view)),
        }
    }

    async fn finish(
        &self,
        claim: Claim,
        revision: Revision,
        mut relay: Relay,
    ) -> Result<Next, Fault> {
        let collected = match relay.next(self.call).await {
            Ok(first) => relay.collect(self.call, first).await,
            Err(fault) => Err(fault),
        };
        match collected {
            Ok((bytes, whole)) => {
                services::bill(self.shared, self.call, claim.request, self.target, &relay).await;
                relay.finish().await;
                let (shared, call) = (self.shared, self.call);
                Ok(Next::Answer(services::respond(shared, call, self.target, &whole, bytes)))
            }
            // The sidecar has barred the run: nothing has reached the service.
            Err(fault) if fault.ran == Ran::No => {
                Ok(Next::Look(ClaimView::Fenced(claim, revision)))
            }
            Err(fault) => Err(fault),
        }
    }

    /// Gives the first outcome again, billed under the first request.
    async fn answer_outcome(&self, claim: Claim) -> Result<Response, Fault> {
        match claim.outcome {
            Some(StoredOutcome::Answer { status, content_type, body }) => {
                let record = services::record(self.call, claim.request, self.target);
                let address = claim.address;
                billing::confirm(self.shared, self.call, address, &self.run_key, record).await;
                let whole = Whole { status, content_type, tokens: TokenCounts::default() };
                Ok(services::respond(self.shared, self.call, self.target, &whole, body))
            }
            Some(StoredOutcome::Failed(fault)) => Err(fault),
            None => Err(ErrorKind::OutcomeUnknown.into()),
        }
    }
}

enum Written {
    Held(Revision),
    Other(ClaimView),
}

fn held(object: &Object) -> ClaimView {
    match serde_json::from_str(&object.value) {
        Ok(claim) => ClaimView::Held(claim, object.revision),
        Err(_) => ClaimView::Unreadable,
    }
}
