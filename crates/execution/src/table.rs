//! All runs of one start of a sidecar: the state machine behind at-most-once.

use crate::{FencingToken, Reassembler, RunKey, RunOutcome, RunRequest};
use ibissail_core::{ByteSize, ErrorKind, Fault, Incarnation, Millis};
use std::collections::BTreeMap;

/// Bounds of a table.
#[derive(Debug, Clone, Copy)]
pub struct RunTableLimits {
    /// Runs in progress.
    pub concurrency: u32,
    /// Bytes of answers kept.
    pub memory: ByteSize,
    /// How long a keyed run is kept after its end.
    pub retention: Millis,
    /// How long an attempt is kept after its end.
    pub attempt_retention: Millis,
    /// Greatest age of a ticket; far below `retention`, so that no request outlives its record.
    pub max_ticket_age: Millis,
}

/// What becomes of a run request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The caller of this function must start the run.
    Start,
    /// The run is there already: read it.
    Attach,
    /// The run does not take place for this request.
    Refuse(Fault),
}

#[derive(Debug, Clone)]
enum State {
    Running,
    Ended {
        outcome: RunOutcome,
        at: Millis,
        settled: bool,
    },
    /// A keyed run that has not begun, and may not under this claim or an earlier one.
    Fenced {
        at: Millis,
        fault: Fault,
        token: FencingToken,
    },
}

#[derive(Debug)]
struct Run {
    fingerprint: u64,
    state: State,
    bytes: Vec<u8>,
    reassembler: Reassembler,
    readers: u32,
    idle_since: Millis,
}

/// What a reader sees of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSnapshot {
    /// Bytes from the offset that was asked for.
    pub bytes: Vec<u8>,
    /// How the run ended, if it has.
    pub outcome: Option<RunOutcome>,
}

/// All runs of one start of a sidecar.
#[derive(Debug)]
pub struct RunTable {
    incarnation: Incarnation,
    limits: RunTableLimits,
    runs: BTreeMap<RunKey, Run>,
    running: u32,
    kept_bytes: usize,
    draining: bool,
}

impl RunTable {
    /// An empty table.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: RunTableLimits) -> Self {
        Self {
            incarnation,
            limits,
            runs: BTreeMap::new(),
            running: 0,
            kept_bytes: 0,
            draining: false,
        }
    }

    /// Takes no new runs from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether new runs are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Runs in progress.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Decides on a request; `Start` reserves the run.
    pub fn admit(&mut self, req: &RunRequest, now: Millis) -> Admission {
        if let Some(run) = self.runs.get(&req.key)
            && let Some(admission) = Self::admit_known(run, req)
        {
            return admission;
        }
        if req.incarnation != self.incarnation {
            return Admission::Refuse(ErrorKind::StaleTicket.into());
        }
        if now.since(req.ticket) > self.limits.max_ticket_age {
            return Admission::Refuse(ErrorKind::StaleTicket.into());
        }
        if self.draining {
            return self.refuse(req, ErrorKind::Draining, now);
        }
        if self.is_full() {
            return self.refuse(req, ErrorKind::NoReplica, now);
        }
        self.running += 1;
        self.insert(req.key.clone(), req.fingerprint, State::Running, now);
        Admission::Start
    }

    /// Refuses a run; a keyed one is barred, since a copy of the request may still be under way.
    fn refuse(&mut self, req: &RunRequest, kind: ErrorKind, now: Millis) -> Admission {
        if req.key.is_keyed() {
            let token = req.fencing_token();
            let state = State::Fenced { at: now, fault: kind.into(), token };
            self.insert(req.key.clone(), req.fingerprint, state, now);
        }
        Admission::Refuse(kind.into())
    }

    fn is_full(&self) -> bool {
        self.running >= self.limits.concurrency || self.kept_bytes >= self.limits.memory.as_usize()
    }

    /// What a request meets at a known run; `None` when a later claim may begin it anew.
    fn admit_known(run: &Run, req: &RunRequest) -> Option<Admission> {
        match &run.state {
            State::Fenced { token, .. } if req.fencing_token() > *token => None,
            State::Fenced { .. } => Some(Admission::Refuse(ErrorKind::UnknownRun.into())),
            _ if run.fingerprint != req.fingerprint => {
                Some(Admission::Refuse(ErrorKind::KeyReused.into()))
            }
            State::Running | State::Ended { .. } => Some(Admission::Attach),
        }
    }

    fn insert(&mut self, key: RunKey, fingerprint: u64, state: State, now: Millis) {
        let run = Run {
            fingerprint,
            state,
            bytes: Vec::new(),
            reassembler: Reassembler::default(),
            readers: 0,
            idle_since: now,
        };
        self.runs.insert(key, run);
    }

    /// Whether a run is there; a keyed one that is not may never begin after this.
    ///
    /// # Errors
    ///
    /// `UnknownRun` when the run has not taken place and will not, `StaleTicket` when another
    /// start of the sidecar is meant.
    pub fn find_or_fence(
        &mut self,
        key: &RunKey,
        incarnation: Incarnation,
        fence: Option<FencingToken>,
        now: Millis,
    ) -> Result<(), Fault> {
        if incarnation != self.incarnation {
            return Err(ErrorKind::StaleTicket.into());
        }
        let known = self.runs.get(key).map(|run| &run.state);
        if let Some(State::Running | State::Ended { .. }) = known {
            return Ok(());
        }
        let fenced = match known {
            Some(State::Fenced { token, .. }) => Some(*token),
            _ => None,
        };
        if fence > fenced
            && let Some(token) = fence
        {
            let state = State::Fenced { at: now, fault: ErrorKind::UnknownRun.into(), token };
            self.insert(key.clone(), 0, state, now);
        }
        Err(ErrorKind::UnknownRun.into())
    }

    /// Adds bytes to a run; `false` when the run has ended or its answer is too large.
    pub fn append(&mut self, key: &RunKey, bytes: &[u8]) -> bool {
        let Some(run) = self.runs.get_mut(key) else {
            return false;
        };
        let fits = self.kept_bytes + bytes.len() <= self.limits.memory.as_usize();
        if !matches!(run.state, State::Running) || !fits {
            return false;
        }
        let length = run.reassembler.length();
        let _in_order = run.reassembler.accept(length, bytes);
        run.bytes.extend_from_slice(bytes);
        self.kept_bytes += bytes.len();
        true
    }

    /// Ends a run; the first ending stays.
    pub fn end(&mut self, key: &RunKey, outcome: RunOutcome, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.state, State::Running) {
            run.state = State::Ended { outcome, at: now, settled: !key.is_keyed() };
            self.running -= 1;
        }
    }

    /// Ends a run of which nothing has reached the upstream; it may not begin again here.
    pub fn fence(&mut self, key: &RunKey, token: FencingToken, fault: Fault, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.state, State::Running) {
            run.state = State::Fenced { at: now, fault, token };
            self.running -= 1;
        }
    }

    /// Whether anybody reads a run.
    #[must_use]
    pub fn has_readers(&self) -> bool {
        self.runs.values().any(|run| run.readers > 0)
    }

    /// Whether the outcome of a keyed run is not durable yet.
    #[must_use]
    pub fn has_unsettled(&self) -> bool {
        let unsettled = |run: &Run| matches!(run.state, State::Ended { settled: false, .. });
        self.runs.values().any(unsettled)
    }

    /// Notes that the outcome of a keyed run is durable, so that the run may be forgotten.
    pub fn settle(&mut self, key: &RunKey) {
        if let Some(Run { state: State::Ended { settled, .. }, .. }) = self.runs.get_mut(key) {
            *settled = true;
        }
    }

    /// Length and digest of a run's answer so far.
    #[must_use]
    pub fn reassembler(&self, key: &RunKey) -> Option<&Reassembler> {
        self.runs.get(key).map(|run| &run.reassembler)
    }

    /// What a run has from an offset on.
    #[must_use]
    pub fn snapshot(&self, key: &RunKey, from: u64) -> Option<RunSnapshot> {
        let run = self.runs.get(key)?;
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(run.bytes.len());
        let outcome = match &run.state {
            State::Ended { outcome, .. } => Some(outcome.clone()),
            State::Fenced { fault, .. } => Some(RunOutcome::Failed(fault.clone())),
            State::Running => None,
        };
        Some(RunSnapshot { bytes: run.bytes[from..].to_vec(), outcome })
    }

    /// Counts a reader in.
    pub fn add_reader(&mut self, key: &RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.readers += 1;
        }
    }

    /// Counts a reader out.
    pub fn remove_reader(&mut self, key: &RunKey, now: Millis) {
        if let Some(run) = self.runs.get_mut(key) {
            run.readers = run.readers.saturating_sub(1);
            run.idle_since = now;
        }
    }

    /// Attempts in progress that nobody has read for longer than `limit`.
    #[must_use]
    pub fn abandoned(&self, limit: Millis, now: Millis) -> Vec<RunKey> {
        let is_abandoned = |(key, run): &(&RunKey, &Run)| {
            matches!(run.state, State::Running)
                && !key.is_keyed()
                && run.readers == 0
                && now.since(run.idle_since) > limit
        };
        self.runs.iter().filter(is_abandoned).map(|(key, _)| key.clone()).collect()
    }

    /// Forgets the answer of an attempt that has been delivered.
    pub fn remove_delivered(&mut self, key: &RunKey) {
        if !key.is_keyed() {
            self.remove(key);
        }
    }

    /// Forgets runs past their retention.
    pub fn expire(&mut self, now: Millis) {
        let old: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(key, run)| self.is_expired(key, run, now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &old {
            self.remove(key);
        }
    }

    fn is_expired(&self, key: &RunKey, run: &Run, now: Millis) -> bool {
        let retention =
            if key.is_keyed() { self.limits.retention } else { self.limits.attempt_retention };
        match run.state {
            // Forgetting an outcome that is not durable would let the key run again.
            State::Running | State::Ended { settled: false, .. } => false,
            State::Ended { at, .. } | State::Fenced { at, .. } => {
                run.readers == 0 && now.since(at.max(run.idle_since)) > retention
            }
        }
    }

    fn remove(&mut self, key: &RunKey) {
        let ended = self.runs.get(key).is_some_and(|run| !matches!(run.state, State::Running));
        if ended && let Some(run) = self.runs.remove(key) {
            self.kept_bytes -= run.bytes.len();
        }
    }

    /// Runs that are kept, in progress or ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no run is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
