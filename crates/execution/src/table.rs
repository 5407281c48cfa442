//! The table of runs of one sidecar incarnation, which enforces that a keyed run is sent to the
//! upstream at most once.

use crate::{
    FencingToken, Holder, HolderState, Reassembler, RunKey, RunOutcome, RunRequest, choose_given_up,
};
use ibissail_core::{ByteSize, ErrorKind, Fault, Incarnation, Millis};
use std::collections::BTreeMap;

/// Limits of a run table.
#[derive(Debug, Clone, Copy)]
pub struct RunTableLimits {
    /// Maximum number of runs in progress.
    pub concurrency: u32,
    /// Maximum size of all buffered responses.
    pub memory: ByteSize,
    /// How long a keyed run is kept after it has ended or was fenced, or its last reader has left,
    /// whichever is later. A run whose outcome is not durable is kept until it is.
    pub retention: Millis,
    /// How long an attempt is kept after it has ended or was fenced, or its last reader has left,
    /// whichever is later.
    pub attempt_retention: Millis,
    /// Maximum age of a request's ticket. It must be far below `retention`: otherwise a delayed
    /// duplicate of a request could arrive after its run has been removed, and run again.
    pub max_ticket_age: Millis,
}

/// Decision on a run request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The run is registered, and the caller must start it.
    Start,
    /// The run exists already; the response is read from it.
    Attach,
    /// The request is refused and starts no run.
    Refuse(Fault),
}

#[derive(Debug, Clone)]
enum State {
    Running,
    Ended {
        outcome: RunOutcome,
        at: Millis,
        /// Whether the outcome is durable in the claim. Always true for an attempt, which has none.
        settled: bool,
    },
    /// Nothing was sent to the upstream, and the run must not start under this token or a lower
    /// one.
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
    began_at: Millis,
    /// When a reader last left; before that, when the run was registered.
    idle_since: Millis,
}

/// A copy of a run's response so far, from an offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSnapshot {
    /// Bytes from the requested offset on.
    pub bytes: Vec<u8>,
    /// How the run ended, if it has. A fenced run counts as failed.
    pub outcome: Option<RunOutcome>,
}

/// The runs of one sidecar incarnation: in progress, recently ended, or fenced.
#[derive(Debug)]
pub struct RunTable {
    incarnation: Incarnation,
    limits: RunTableLimits,
    runs: BTreeMap<RunKey, Run>,
    running: u32,
    buffered_bytes: usize,
    draining: bool,
}

impl RunTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: RunTableLimits) -> Self {
        Self {
            incarnation,
            limits,
            runs: BTreeMap::new(),
            running: 0,
            buffered_bytes: 0,
            draining: false,
        }
    }

    /// Refuses new runs from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether new runs are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of runs in progress.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Decides on a run request. `Start` registers the run as in progress. A refusal because the
    /// table is draining or full fences a keyed run.
    pub fn admit(&mut self, req: &RunRequest, now: Millis) -> Admission {
        self.admit_if(req, now, || true)
    }

    /// The same, except that a run that would start is refused like one at a full table unless
    /// `may_start` returns true.
    pub fn admit_if<F>(&mut self, req: &RunRequest, now: Millis, may_start: F) -> Admission
    where
        F: FnOnce() -> bool,
    {
        if let Some(run) = self.runs.get(&req.key)
            && let Some(admission) = Self::admit_existing(run, req)
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
        if self.is_full() || !may_start() {
            return self.refuse(req, ErrorKind::NoReplica, now);
        }
        self.running += 1;
        self.insert(req.key.clone(), req.fingerprint, State::Running, now);
        Admission::Start
    }

    /// Refuses a run. A keyed run is fenced, since a duplicate of the request may still be in
    /// flight.
    fn refuse(&mut self, req: &RunRequest, kind: ErrorKind, now: Millis) -> Admission {
        if req.key.is_keyed() {
            let token = req.fencing_token();
            let state = State::Fenced { at: now, fault: kind.into(), token };
            self.insert(req.key.clone(), req.fingerprint, state, now);
        }
        Admission::Refuse(kind.into())
    }

    /// Whether a new run is refused. Used memory does not refuse it if an attempt can be given up.
    fn is_full(&self) -> bool {
        let is_memory_full = self.buffered_bytes >= self.limits.memory.as_usize();
        self.running >= self.limits.concurrency || is_memory_full && self.holders().is_empty()
    }

    /// Attempts that hold bytes and are not complete. The outcome of a keyed run must be known, so
    /// that none is given up.
    fn holders(&self) -> Vec<Holder> {
        let holder = |(key, run): (&RunKey, &Run)| {
            let state = match run.state {
                State::Running => HolderState::Running,
                State::Ended { outcome: RunOutcome::Failed(_), .. } => HolderState::Failed,
                State::Ended { .. } | State::Fenced { .. } => return None,
            };
            let bytes = ByteSize(run.bytes.len() as u64);
            let may_free = !key.is_keyed() && !run.bytes.is_empty();
            may_free.then(|| Holder { key: key.clone(), state, bytes, began_at: run.began_at })
        };
        self.runs.iter().filter_map(holder).collect()
    }

    /// Makes room for `added` more bytes of a run in progress; returns the attempts in progress that
    /// were given up for it with a fault, possibly the run itself. Their bytes are freed, also
    /// beside a reader, who sees the fault.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ByteSize, Incarnation, Millis, RequestId};
    /// use ibissail_execution::{RunKey, RunTable, RunTableLimits};
    /// let limits = RunTableLimits {
    ///     concurrency: 2,
    ///     memory: ByteSize(8),
    ///     retention: Millis(1),
    ///     attempt_retention: Millis(1),
    ///     max_ticket_age: Millis(1),
    /// };
    /// let mut table = RunTable::new(Incarnation(1), limits);
    /// let request = RequestId { entry: Incarnation(1), sequence: 1 };
    /// let key = RunKey::Attempt { request, attempt: 0 };
    /// assert!(table.make_room(&key, ByteSize(9), Millis(0)).is_empty(), "it does not run");
    /// ```
    pub fn make_room(&mut self, key: &RunKey, added: ByteSize, now: Millis) -> Vec<Holder> {
        let total = self.buffered_bytes.saturating_add(added.as_usize());
        let needed = total.saturating_sub(self.limits.memory.as_usize());
        let Some(Run { state: State::Running, began_at, bytes, .. }) = self.runs.get(key) else {
            return Vec::new();
        };
        if needed == 0 {
            return Vec::new();
        }
        let mut holders = self.holders();
        if !key.is_keyed() {
            // The run competes with all that it would hold.
            holders.retain(|holder| holder.key != *key);
            let bytes = ByteSize((bytes.len() as u64).saturating_add(added.0));
            let (state, began_at) = (HolderState::Running, *began_at);
            holders.push(Holder { key: key.clone(), state, bytes, began_at });
        }
        let mut given_up = choose_given_up(holders, ByteSize(needed as u64));
        for holder in &given_up {
            let detail = "given up: the sidecar's memory limit for responses is reached";
            let fault = Fault::new(ErrorKind::UpstreamFailed, detail);
            self.end(&holder.key, RunOutcome::Failed(fault), now);
            self.free_bytes(&holder.key);
        }
        given_up.retain(|holder| holder.state == HolderState::Running);
        given_up
    }

    fn free_bytes(&mut self, key: &RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            self.buffered_bytes -= std::mem::take(&mut run.bytes).len();
        }
    }

    /// Maximum size of all buffered responses.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ByteSize, Incarnation, Millis};
    /// use ibissail_execution::{RunTable, RunTableLimits};
    /// let limits = RunTableLimits {
    ///     concurrency: 2,
    ///     memory: ByteSize(8),
    ///     retention: Millis(1),
    ///     attempt_retention: Millis(1),
    ///     max_ticket_age: Millis(1),
    /// };
    /// assert_eq!(RunTable::new(Incarnation(1), limits).memory(), ByteSize(8));
    /// ```
    #[must_use]
    pub fn memory(&self) -> ByteSize {
        self.limits.memory
    }

    /// Decides on a request for a known run; `None` when the run is fenced and the request has a
    /// higher token, under which it may start.
    fn admit_existing(run: &Run, req: &RunRequest) -> Option<Admission> {
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
            began_at: now,
            idle_since: now,
        };
        self.runs.insert(key, run);
    }

    /// Checks that a run exists. With `fence`, a run that does not exist is fenced: it can no
    /// longer start under this token or a lower one.
    ///
    /// # Errors
    ///
    /// `UnknownRun` when the run has not started (and, with `fence`, will not start under this
    /// token); `StaleTicket` when the request is addressed to another incarnation of the sidecar.
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

    /// Appends response bytes to a run; `false` when the run is unknown or not in progress, or when
    /// the buffered responses would exceed the memory limit.
    pub fn append(&mut self, key: &RunKey, bytes: &[u8]) -> bool {
        let Some(run) = self.runs.get_mut(key) else {
            return false;
        };
        let fits = self.buffered_bytes + bytes.len() <= self.limits.memory.as_usize();
        if !matches!(run.state, State::Running) || !fits {
            return false;
        }
        let length = run.reassembler.length();
        let _in_order = run.reassembler.accept(length, bytes);
        run.bytes.extend_from_slice(bytes);
        self.buffered_bytes += bytes.len();
        true
    }

    /// Records the outcome of a run; later outcomes are ignored.
    pub fn end(&mut self, key: &RunKey, outcome: RunOutcome, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.state, State::Running) {
            run.state = State::Ended { outcome, at: now, settled: !key.is_keyed() };
            self.running -= 1;
        }
    }

    /// Fences a run in progress of which nothing was sent to the upstream: it must not start again
    /// under this token or a lower one.
    pub fn fence(&mut self, key: &RunKey, token: FencingToken, fault: Fault, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.state, State::Running) {
            run.state = State::Fenced { at: now, fault, token };
            self.running -= 1;
        }
    }

    /// Whether any run has readers.
    #[must_use]
    pub fn has_readers(&self) -> bool {
        self.runs.values().any(|run| run.readers > 0)
    }

    /// Whether the outcome of any keyed run is not durable yet.
    #[must_use]
    pub fn has_unsettled(&self) -> bool {
        let unsettled = |run: &Run| matches!(run.state, State::Ended { settled: false, .. });
        self.runs.values().any(unsettled)
    }

    /// Marks the outcome of a keyed run as durable, so that the run may expire.
    pub fn settle(&mut self, key: &RunKey) {
        if let Some(Run { state: State::Ended { settled, .. }, .. }) = self.runs.get_mut(key) {
            *settled = true;
        }
    }

    /// Length and digest of a run's response so far; `None` when the run is unknown.
    #[must_use]
    pub fn reassembler(&self, key: &RunKey) -> Option<&Reassembler> {
        self.runs.get(key).map(|run| &run.reassembler)
    }

    /// Copies a run's response so far, from an offset on; `None` when the run is unknown.
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

    /// Registers a reader of a run.
    pub fn add_reader(&mut self, key: &RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.readers += 1;
        }
    }

    /// Removes a reader of a run.
    pub fn remove_reader(&mut self, key: &RunKey, now: Millis) {
        if let Some(run) = self.runs.get_mut(key) {
            run.readers = run.readers.saturating_sub(1);
            run.idle_since = now;
        }
    }

    /// Attempts in progress that have had no reader for longer than `limit`.
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

    /// Removes an ended attempt whose response has been delivered. Keyed runs are kept for retries
    /// until they expire.
    pub fn remove_delivered(&mut self, key: &RunKey) {
        if !key.is_keyed() {
            self.remove(key);
        }
    }

    /// Removes ended runs that are past their retention.
    pub fn expire(&mut self, now: Millis) {
        let expired: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(key, run)| self.is_expired(key, run, now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.remove(key);
        }
    }

    fn is_expired(&self, key: &RunKey, run: &Run, now: Millis) -> bool {
        let retention =
            if key.is_keyed() { self.limits.retention } else { self.limits.attempt_retention };
        match run.state {
            // Removing an outcome that is not durable would let the key run again.
            State::Running | State::Ended { settled: false, .. } => false,
            State::Ended { at, .. } | State::Fenced { at, .. } => {
                run.readers == 0 && now.since(at.max(run.idle_since)) > retention
            }
        }
    }

    fn remove(&mut self, key: &RunKey) {
        let ended = self.runs.get(key).is_some_and(|run| !matches!(run.state, State::Running));
        if ended && let Some(run) = self.runs.remove(key) {
            self.buffered_bytes -= run.bytes.len();
        }
    }

    /// Number of runs in the table: in progress, ended or fenced.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether the table has no runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
