//! Retries a request on other replicas, up to a maximum number of attempts.

use crate::entry::{
    Shared,
    context::RequestContext,
    dispatch::{OpenError, PendingRun, PickedReplica, RunSpec, open, pick_replica},
    relay::{Item, Relay, RelayEnd, ResponseSummary},
};
use ibissail_core::{ErrorKind, Fault, Ran, Target, VmId};
use ibissail_execution::RunKey;
use slog::info;
use std::{collections::BTreeSet, sync::Arc};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of further run requests to a sidecar that has not responded to the first, when no
/// other is left.
const MAX_REPEATED_OPENS: u32 = 2;

/// Retry state of a request that is safe to run more than once.
#[derive(Debug)]
pub(crate) struct Attempts<'a, F> {
    shared: &'a Arc<Shared>,
    ctx: &'a RequestContext,
    spec: &'a RunSpec,
    candidates: F,
    tried: BTreeSet<VmId>,
    count: u32,
    /// Whether an attempt that has failed may have reached an upstream. The request's fault then
    /// never says that it has not run, whatever the last attempt reported.
    may_have_run: bool,
    last_fault: Option<Fault>,
    /// The last run whose sidecar has not responded, and which may still take place.
    silent: Option<(RunKey, PickedReplica, Target)>,
}

/// A response whose first bytes have arrived.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    pub(crate) relay: Relay,
    pub(crate) target: Target,
    pub(crate) first: Item,
}

/// A response that has been received completely.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) relay: Relay,
    pub(crate) target: Target,
    pub(crate) summary: ResponseSummary,
    pub(crate) bytes: Vec<u8>,
}

impl<'a, F> Attempts<'a, F>
where
    F: Fn() -> Result<Vec<Target>, Fault>,
{
    /// Creates the state before the first attempt; `candidates` returns targets in order of
    /// preference.
    pub(crate) fn new(
        shared: &'a Arc<Shared>,
        ctx: &'a RequestContext,
        spec: &'a RunSpec,
        candidates: F,
    ) -> Self {
        Self {
            shared,
            ctx,
            spec,
            candidates,
            tried: BTreeSet::new(),
            count: 0,
            may_have_run: false,
            last_fault: None,
            silent: None,
        }
    }

    /// Opens runs until one has sent its first bytes.
    ///
    /// Returns the last fault once no candidate or no attempt is left.
    pub(crate) async fn start(&mut self) -> Result<StartedResponse, Fault> {
        let started = self.try_start().await;
        started.map_err(|fault| self.final_fault(fault))
    }

    async fn try_start(&mut self) -> Result<StartedResponse, Fault> {
        loop {
            let (mut relay, target) = self.open().await?;
            let metrics = &self.shared.node.metrics;
            metrics.observe_queueing(&self.ctx.labels, self.ctx.started.elapsed());
            match relay.next(self.ctx).await {
                Ok(first) => {
                    metrics.observe_first_token(&self.ctx.labels, self.ctx.started.elapsed());
                    return Ok(StartedResponse { relay, target, first });
                }
                Err(fault) => self.record_failure(&relay, fault)?,
            }
        }
    }

    /// Collects the complete response; an attempt that fails midway is retried on another replica.
    pub(crate) async fn complete(&mut self) -> Result<CompleteResponse, Fault> {
        let completed = Box::pin(self.try_complete(None)).await;
        completed.map_err(|fault| self.final_fault(fault))
    }

    /// Like `complete`, beginning with an attempt that has sent its first bytes.
    pub(crate) async fn complete_started(
        &mut self,
        started: StartedResponse,
    ) -> Result<CompleteResponse, Fault> {
        let completed = Box::pin(self.try_complete(Some(started))).await;
        completed.map_err(|fault| self.final_fault(fault))
    }

    async fn try_complete(
        &mut self,
        mut started: Option<StartedResponse>,
    ) -> Result<CompleteResponse, Fault> {
        loop {
            let StartedResponse { mut relay, target, first } = match started.take() {
                Some(started) => started,
                None => self.try_start().await?,
            };
            match relay.collect(self.ctx, first).await {
                Ok((bytes, summary)) => {
                    return Ok(CompleteResponse { relay, target, summary, bytes });
                }
                Err(fault) => self.record_failure(&relay, fault)?,
            }
        }
    }

    async fn open(&mut self) -> Result<(Relay, Target), Fault> {
        while self.count < MAX_ATTEMPTS {
            self.shared.check_quarantine(self.spec.content)?;
            if self.may_have_run && !self.shared.may_retry(self.spec.content) {
                break;
            }
            // Recomputed for each attempt, since a refusal may have delivered newer settings.
            let targets = (self.candidates)()?;
            let choice = targets.into_iter().find_map(|target| {
                let picked = pick_replica(self.shared, &target, &self.tried)?;
                Some((picked, target))
            });
            let Some((picked, target)) = choice else { break };
            if self.count > 0 {
                self.shared.node.metrics.reroutes.inc();
            }
            let key = RunKey::Attempt { request: self.ctx.id, attempt: self.count };
            self.count += 1;
            match self.open_run(key.clone(), &picked, &target).await {
                Ok(relay) => return Ok((relay, target)),
                // The replica is not marked as tried: it may offer another version that is allowed.
                Err(OpenError::NotRun(fault)) if fault.kind == ErrorKind::VersionWithdrawn => {
                    self.last_fault = Some(fault);
                }
                Err(OpenError::NotRun(fault)) => {
                    self.tried.insert(picked.endpoint.vm.clone());
                    self.last_fault = Some(fault);
                }
                Err(OpenError::OutcomeUnknown(fault)) => {
                    self.may_have_run = true;
                    self.tried.insert(picked.endpoint.vm.clone());
                    self.last_fault = Some(fault);
                    self.silent = Some((key, picked, target));
                }
                Err(OpenError::Refused(fault)) => return Err(fault),
            }
        }
        if let Some(reopened) = self.reopen_silent().await {
            return Ok(reopened);
        }
        Err(self.last_fault.take().unwrap_or_else(|| ErrorKind::NoReplica.into()))
    }

    async fn open_run(
        &self,
        key: RunKey,
        picked: &PickedReplica,
        target: &Target,
    ) -> Result<Relay, OpenError> {
        let pending_run = PendingRun { spec: self.spec, key, target, picked, claim: None };
        open(self.shared, self.ctx, pending_run).await
    }

    /// Asks a silent sidecar for the same run again, which it starts only once; `None` if it stays
    /// silent or refuses.
    async fn reopen_silent(&mut self) -> Option<(Relay, Target)> {
        let (key, picked, target) = self.silent.take()?;
        for _ in 0..MAX_REPEATED_OPENS {
            info!(self.ctx.log, "request: waiting for a silent sidecar"; "run" => %key);
            match self.open_run(key.clone(), &picked, &target).await {
                Ok(relay) => return Some((relay, target)),
                Err(OpenError::OutcomeUnknown(_)) => {}
                Err(OpenError::NotRun(_) | OpenError::Refused(_)) => return None,
            }
        }
        None
    }

    /// The fault for the caller: the last one, unless it says that the request has not run although
    /// an earlier attempt may have.
    fn final_fault(&self, fault: Fault) -> Fault {
        if self.may_have_run && fault.ran == Ran::No {
            return Fault::new(ErrorKind::OutcomeUnknown, fault.to_string());
        }
        fault
    }

    /// Records a failed attempt; returns the fault if it timed out or no attempt is left.
    fn record_failure(&mut self, relay: &Relay, fault: Fault) -> Result<(), Fault> {
        info!(self.ctx.log, "request: attempt failed"; "run" => %relay.key, "error" => %fault);
        self.may_have_run |= relay.end() != RelayEnd::NotRun;
        if fault.kind == ErrorKind::Timeout || self.count >= MAX_ATTEMPTS {
            return Err(fault);
        }
        self.tried.insert(relay.endpoint.vm.clone());
        self.last_fault = Some(fault);
        Ok(())
    }
}
