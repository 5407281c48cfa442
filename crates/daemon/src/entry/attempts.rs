//! Tries a request at one replica after another, a bounded number of times.

use crate::entry::{
    Shared,
    context::RequestContext,
    dispatch::{OpenError, PendingRun, RunSpec, open, pick_replica},
    relay::{Item, Relay, ResponseSummary},
};
use ibissail_core::{ErrorKind, Fault, Target, VmId};
use ibissail_execution::RunKey;
use slog::info;
use std::{collections::BTreeSet, sync::Arc};

/// Replicas tried for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Attempts at a request that may run more than once.
#[derive(Debug)]
pub(crate) struct Attempts<'a, P> {
    shared: &'a Arc<Shared>,
    ctx: &'a RequestContext,
    spec: &'a RunSpec,
    candidates: P,
    tried: BTreeSet<VmId>,
    count: u32,
    last_fault: Option<Fault>,
}

/// An answer whose first bytes have arrived.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    pub(crate) relay: Relay,
    pub(crate) target: Target,
    pub(crate) first: Item,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) relay: Relay,
    pub(crate) target: Target,
    pub(crate) summary: ResponseSummary,
    pub(crate) bytes: Vec<u8>,
}

impl<'a, P> Attempts<'a, P>
where
    P: Fn() -> Result<Vec<Target>, Fault>,
{
    /// No attempt yet; the plan gives the targets in the order in which they should be tried.
    pub(crate) fn new(
        shared: &'a Arc<Shared>,
        ctx: &'a RequestContext,
        spec: &'a RunSpec,
        candidates: P,
    ) -> Self {
        Self { shared, ctx, spec, candidates, tried: BTreeSet::new(), count: 0, last_fault: None }
    }

    /// Opens runs until one has sent its first bytes.
    pub(crate) async fn start(&mut self) -> Result<StartedResponse, Fault> {
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

    /// A whole answer; an attempt that breaks before its end is made again elsewhere.
    pub(crate) async fn complete(&mut self) -> Result<CompleteResponse, Fault> {
        loop {
            let StartedResponse { mut relay, target, first } = self.start().await?;
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
            // The plan is made anew, since a refusal may have brought newer settings.
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
            let (spec, picked) = (self.spec, &picked);
            let pending_run = PendingRun { spec, key, target: &target, picked, claim: None };
            match open(self.shared, self.ctx, pending_run).await {
                Ok(relay) => return Ok((relay, target)),
                // The replica may offer another version that is still allowed.
                Err(OpenError::NotRun(fault)) if fault.kind == ErrorKind::VersionWithdrawn => {
                    self.last_fault = Some(fault);
                }
                Err(OpenError::NotRun(fault) | OpenError::OutcomeUnknown(fault)) => {
                    self.tried.insert(picked.endpoint.vm.clone());
                    self.last_fault = Some(fault);
                }
                Err(OpenError::Refused(fault)) => return Err(fault),
            }
        }
        Err(self.last_fault.take().unwrap_or_else(|| ErrorKind::NoReplica.into()))
    }

    /// Lets another replica be tried, unless the error or the number of attempts forbids it.
    fn record_failure(&mut self, relay: &Relay, fault: Fault) -> Result<(), Fault> {
        info!(self.ctx.log, "request: an attempt failed"; "run" => %relay.key, "error" => %fault);
        if fault.kind == ErrorKind::Timeout || self.count >= MAX_ATTEMPTS {
            return Err(fault);
        }
        self.tried.insert(relay.endpoint.vm.clone());
        self.last_fault = Some(fault);
        Ok(())
    }
}
