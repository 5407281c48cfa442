//! Checks whether replicas have ended, and takes the attempts there as evidence.

use super::{Shared, progress::SelectedReplica, state::State};
use crate::{
    clock::since_boot,
    crash_check::{CrashCheckResult, check_for_crash},
};
use async_std::task;
use ibissail_core::{InstanceId, Millis};
use ibissail_direct::{CrashEvidence, PartHash, RequestHash, RunHash, SuspectAttempt, ToldRun};
use slog::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

/// Most requests that wait for the check of one replica.
const MAX_WAITING: usize = 64;
/// Most parts and requests in the log line of a crash.
const MAX_LOGGED: usize = 16;
/// Most ids of parts that are remembered for the log.
const MAX_NAMES: usize = 512;

/// The attempts that wait for the check of one run of a replica, by request.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingAttempts(BTreeMap<RequestHash, SuspectAttempt>);

impl WaitingAttempts {
    /// Adds an attempt; returns `false` if too many wait.
    pub(super) fn add(&mut self, suspect: SuspectAttempt) -> bool {
        let request = suspect.lost.request;
        let has_room = self.0.len() < MAX_WAITING || self.0.contains_key(&request);
        if has_room {
            self.0.insert(request, suspect);
        }
        has_room
    }
}

/// Attempts at replicas that are being checked.
pub(super) type PendingChecks = BTreeMap<RunHash, WaitingAttempts>;

/// A check whether a replica has ended.
#[derive(Debug)]
pub(super) struct CrashCheck {
    shared: Arc<Shared>,
    replica: InstanceId,
    run: RunHash,
    address: SocketAddr,
    broken_at: Millis,
}

impl CrashCheck {
    /// Prepares the check of a run of a replica that may have ended at `broken_at`.
    pub(super) fn new(
        shared: &Arc<Shared>,
        replica: InstanceId,
        run: RunHash,
        address: SocketAddr,
        broken_at: Millis,
    ) -> Self {
        Self { shared: Arc::clone(shared), replica, run, address, broken_at }
    }

    /// Opens a connection to the replica. One that accepts it has only broken off answers.
    pub(super) async fn run(self) {
        let result = check_for_crash(self.address).await;
        let has_ended = match result {
            CrashCheckResult::Running => false,
            CrashCheckResult::Ended => true,
            // This entry may be cut off itself.
            CrashCheckResult::Unreachable => self.hears_another_replica(),
        };
        if !has_ended {
            info!(self.shared.log, "replica: not crashed"; "replica" => %self.replica,
                "result" => ?result);
            self.shared.state().pending_checks.remove(&self.run);
            return;
        }
        let Some(attempts) = self.record_crash() else { return };
        let names: BTreeSet<&str> = attempts
            .iter()
            .flat_map(|attempt| &attempt.parts)
            .map(|(_, name)| name.as_str())
            .collect();
        let names: Vec<&str> = names.into_iter().take(MAX_LOGGED).collect();
        let contents: BTreeSet<String> =
            attempts.iter().map(|attempt| attempt.lost.content.to_string()).collect();
        let contents: Vec<String> = contents.into_iter().take(MAX_LOGGED).collect();
        self.shared.record_unreachable(&self.replica);
        self.shared.metrics.crashes.inc();
        info!(self.shared.log, "replica: crashed"; "replica" => %self.replica,
            "requests" => attempts.len(), "contents" => contents.join(" "),
            "suspects" => names.join(" "));
        self.shared.review_quarantines(since_boot());
        self.shared.spread_evidence().await;
    }

    /// Whether another replica has sent bytes to this entry since the attempt broke.
    fn hears_another_replica(&self) -> bool {
        let state = self.shared.state();
        let mut others = state.loads.iter().filter(|(id, _)| **id != self.replica);
        others.any(|(_, load)| load.last_byte_at >= self.broken_at)
    }

    /// Ends the check and records the crash; returns the attempts that may have caused it, if that is
    /// new.
    fn record_crash(&self) -> Option<Vec<SuspectAttempt>> {
        let mut state = self.shared.state();
        let WaitingAttempts(waiting) = state.pending_checks.remove(&self.run)?;
        let mut attempts = state.take_given_up(self.run, self.broken_at);
        attempts.extend(waiting.into_values());
        state.hold_against(self.run, &attempts, since_boot()).then_some(attempts)
    }
}

impl State {
    /// Takes the attempts that ended shortly before a run of a replica did.
    fn take_given_up(&mut self, run: RunHash, ended_at: Millis) -> Vec<SuspectAttempt> {
        let mut attempts = self.given_up.take(run, ended_at);
        for attempt in &mut attempts {
            attempt.lost.ended_at = ended_at;
        }
        attempts
    }

    /// Holds the end of a run against these attempts; returns whether that is new.
    fn hold_against(&mut self, run: RunHash, attempts: &[SuspectAttempt], now: Millis) -> bool {
        let mut is_new = false;
        for SuspectAttempt { lost, is_request_suspect, parts: named } in attempts {
            let parts: Vec<PartHash> = named.iter().map(|(part, _)| *part).collect();
            is_new |= self.quarantine.record_crash(run, lost.request, &parts, now);
            is_new |= *is_request_suspect && self.quarantine.record_lost_run(*lost, now);
            if self.part_names.len() + named.len() > MAX_NAMES {
                self.part_names.clear();
            }
            self.part_names.extend(named.iter().cloned());
        }
        is_new
    }

    /// Holds crashes that a peer has told against the attempts that this entry had given up, or that
    /// were complete, shortly before.
    pub(super) fn hold_told_crashes(&mut self, evidence: &CrashEvidence, now: Millis) {
        let crashes = evidence.crashes.iter().map(|(run, age, _)| (*run, *age));
        let lost_runs = evidence.lost_runs.iter().map(|ToldRun(run, _, _, _, age)| (*run, *age));
        let told: BTreeMap<RunHash, Millis> = lost_runs.chain(crashes).collect();
        for (run, age) in told {
            let attempts = self.take_given_up(run, now.since(age));
            self.hold_against(run, &attempts, now);
        }
    }
}

impl Shared {
    /// Has a replica that accepts no connection checked, if attempts there have been given up.
    pub(super) fn check_given_up(self: &Arc<Self>, replica: &SelectedReplica) {
        let run = RunHash::new(&replica.id, replica.started_unix_ms);
        let now = since_boot();
        let mut state = self.state();
        if state.pending_checks.contains_key(&run) || !state.given_up.has_any(run, now) {
            return;
        }
        state.pending_checks.insert(run, WaitingAttempts::default());
        drop(state);
        let (id, address) = (replica.id.clone(), replica.address);
        task::spawn(CrashCheck::new(self, id, run, address, now).run());
    }
}
