//! Tries a request at one replica after another, a bounded number of times.

use crate::entry::{
    Shared,
    call::Call,
    dispatch::{Job, NotOpened, Opening, open, pick},
    relay::{Item, Relay, Whole},
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
    call: &'a Call,
    job: &'a Job,
    plan: P,
    tried: BTreeSet<VmId>,
    count: u32,
    last: Option<Fault>,
}

/// An answer whose first bytes have arrived.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) relay: Relay,
    pub(crate) target: Target,
    pub(crate) first: Item,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) relay: Relay,
    pub(crate) target: Target,
    pub(crate) whole: Whole,
    pub(crate) bytes: Vec<u8>,
}

impl<'a, P> Attempts<'a, P>
where
    P: Fn() -> Result<Vec<Target>, Fault>,
{
    /// No attempt yet; the plan gives the targets in the order in which they should be tried.
    pub(crate) fn new(shared: &'a Arc<Shared>, call: &'a Call, job: &'a Job, plan: P) -> Self {
        Self { shared, call, job, plan, tried: BTreeSet::new(), count: 0, last: None }
    }

    /// Opens runs until one has sent its first bytes.
    pub(crate) async fn begin(&mut self) -> Result<Begun, Fault> {
        loop {
            let (mut relay, target) = self.open().await?;
            let metrics = &self.shared.node.metrics;
            metrics.queueing(&self.call.labels, self.call.started.elapsed());
            match relay.next(self.call).await {
                Ok(first) => {
                    metrics.first_token(&self.call.labels, self.call.started.elapsed());
                    return Ok(Begun { relay, target, first });
                }
                Err(fault) => self.note_failure(&relay, fault)?,
            }
        }
    }

    /// A whole answer; an attempt that breaks before its end is made again elsewhere.
    pub(crate) async fn whole(&mut self) -> Result<Answered, Fault> {
        loop {
            let Begun { mut relay, target, first } = self.begin().await?;
            match relay.collect(self.call, first).await {
                Ok((bytes, whole)) => {
                    return Ok(Answered { relay, target, whole, bytes });
                }
                Err(fault) => self.note_failure(&relay, fault)?,
            }
        }
    }

    async fn open(&mut self) -> Result<(Relay, Target), Fault> {
        while self.count < MAX_ATTEMPTS {
            // The plan is made anew, since a refusal may have brought newer settings.
            let targets = (self.plan)()?;
            let found = targets.into_iter().find_map(|target| {
                let picked = pick(self.shared, &target, &self.tried)?;
                Some((picked, target))
            });
            let Some((picked, target)) = found else { break };
            if self.count > 0 {
                self.shared.node.metrics.reroutes.inc();
            }
            let key = RunKey::Attempt { request: self.call.id, attempt: self.count };
            self.count += 1;
            let (job, picked) = (self.job, &picked);
            let opening = Opening { job, key, target: &target, picked, claim: None };
            match open(self.shared, self.call, opening).await {
                Ok(relay) => return Ok((relay, target)),
                // The replica may offer another version that is still allowed.
                Err(NotOpened::NotRun(fault)) if fault.kind == ErrorKind::VersionWithdrawn => {
                    self.last = Some(fault);
                }
                Err(NotOpened::NotRun(fault) | NotOpened::Unknown(fault)) => {
                    self.tried.insert(picked.place.vm.clone());
                    self.last = Some(fault);
                }
                Err(NotOpened::Refused(fault)) => return Err(fault),
            }
        }
        Err(self.last.take().unwrap_or_else(|| ErrorKind::NoReplica.into()))
    }

    /// Lets another replica be tried, unless the error or the number of attempts forbids it.
    fn note_failure(&mut self, relay: &Relay, fault: Fault) -> Result<(), Fault> {
        info!(self.call.log, "request: an attempt failed"; "run" => %relay.key, "error" => %fault);
        if fault.kind == ErrorKind::Timeout || self.count >= MAX_ATTEMPTS {
            return Err(fault);
        }
        self.tried.insert(relay.place.vm.clone());
        self.last = Some(fault);
        Ok(())
    }
}
