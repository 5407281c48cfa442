//! Attempts as evidence on their requests and on the parts of their prompts: a replica may crash as
//! soon as it begins to run a request, or to answer one with a certain part.

use super::{Shared, progress::Target, request::AdmittedRequest};
use crate::{
    clock::since_boot,
    crash_check::{CrashCheckResult, check_for_crash},
};
use async_std::task;
use ibissail_core::{InstanceId, Millis};
use ibissail_direct::{BLAME_TIME, LostRun, PROOF_TIME, PartHash, RequestHash, RunHash};
use slog::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

/// Most requests that wait for the check of one replica.
const MAX_WAITING: usize = 32;
/// Most replicas that are checked at the same time.
const MAX_CHECKS: usize = 64;
/// Most parts and requests in the log line of a crash, and most bytes of the id of each part.
const MAX_LOGGED: usize = 16;
const MAX_LOGGED_ID_BYTES: usize = 48;

/// Most ids of parts that are remembered for the log.
const MAX_NAMES: usize = 512;

/// Requests whose attempts broke at a replica that is being checked.
pub(super) type PendingChecks = BTreeMap<RunHash, BTreeMap<RequestHash, BrokenAttempt>>;

/// An attempt that may have crashed its replica.
#[derive(Debug, Clone)]
pub(super) struct BrokenAttempt {
    lost: LostRun,
    /// The parts that may have done so, with their ids for the log.
    parts: Vec<(PartHash, String)>,
}

/// One attempt whose replica may have begun to run the request.
#[derive(Debug)]
pub(crate) struct Trial {
    shared: Arc<Shared>,
    /// The attempt as it would be lost now.
    lost: LostRun,
    parts: Vec<PartHash>,
    names: Vec<String>,
    replica: InstanceId,
    address: SocketAddr,
    began_at: Millis,
    is_proven: bool,
    /// Events that have arrived, as far as they have ids.
    events: u64,
}

impl Trial {
    /// Starts a trial when the head of the answer arrives, or the connection breaks before.
    pub(super) fn new(shared: &Arc<Shared>, request: &AdmittedRequest, target: &Target) -> Self {
        let parts = PartHash::shared(&request.params.prompt);
        let ids = request.params.prompt.shared_parts().iter();
        let names = ids.zip(&parts).map(|(part, hash)| logged_part(&part.id, *hash));
        let (replica, now) = (&target.replica, since_boot());
        let lost = LostRun {
            run: RunHash::new(&replica.id, replica.started_unix_ms),
            request: RequestHash::new(&request.params.id),
            content: request.content,
            began_at: target.started,
            ended_at: now,
        };
        Self {
            shared: Arc::clone(shared),
            lost,
            names: names.collect(),
            parts,
            replica: replica.id.clone(),
            address: replica.address,
            began_at: now,
            is_proven: false,
            events: 0,
        }
    }

    /// Number of events that have arrived.
    pub(super) fn event_count(&self) -> u64 {
        self.events
    }

    /// Takes the parts of the prompt off suspicion, because none was answered yet.
    pub(super) fn without_parts(self) -> Self {
        Self { parts: Vec::new(), names: Vec::new(), ..self }
    }

    /// Records that the answer goes on: complete events have arrived.
    pub(super) fn record_events(&mut self, count: u64) {
        self.events += count;
        if since_boot().since(self.began_at) >= PROOF_TIME {
            self.succeed();
        }
    }

    /// Records that the answer has gone on for a while or is complete.
    pub(super) fn succeed(&mut self) {
        if self.is_proven {
            return;
        }
        self.is_proven = true;
        let now = since_boot();
        let mut state = self.shared.state();
        state.quarantine.record_sound_request(self.lost.content, self.lost.began_at, now);
        if !self.parts.is_empty() {
            state.quarantine.record_sound(&self.parts, self.began_at, now);
        }
    }

    /// Records that the attempt broke. If its replica has ended, the request may have crashed it.
    pub(super) fn fail(&self) {
        let now = since_boot();
        let is_fresh = now.since(self.began_at) < BLAME_TIME;
        if !is_fresh || self.is_proven {
            let reason = if self.is_proven { "the answer has gone on" } else { "it is too old" };
            self.log_no_evidence(reason);
            return;
        }
        let run = self.lost.run;
        let mut state = self.shared.state();
        // The check would connect to the replica. An evacuated zone may also lose its power.
        let replica = state.replicas.get(&self.replica);
        if replica.is_some_and(|replica| state.is_evacuated(&replica.zone)) {
            self.log_no_evidence("the zone of the replica is evacuated");
            return;
        }
        let is_first = !state.pending_checks.contains_key(&run);
        if is_first && state.pending_checks.len() >= MAX_CHECKS {
            self.log_no_evidence("too many replicas are being checked");
            return;
        }
        let waiting = state.pending_checks.entry(run).or_default();
        if waiting.len() >= MAX_WAITING {
            self.log_no_evidence("too many requests wait for the check");
        } else {
            let lost = LostRun { ended_at: now, ..self.lost };
            let parts = self.parts.iter().copied().zip(self.names.iter().cloned()).collect();
            waiting.insert(self.lost.request, BrokenAttempt { lost, parts });
        }
        drop(state);
        if is_first {
            let check = CrashCheck {
                shared: Arc::clone(&self.shared),
                replica: self.replica.clone(),
                run,
                address: self.address,
                broken_at: now,
            };
            task::spawn(check.run());
        }
    }

    /// Logs why an attempt that broke is not held against its request.
    fn log_no_evidence(&self, reason: &'static str) {
        info!(self.shared.log, "attempt: no evidence"; "replica" => %self.replica,
            "request" => %self.lost.request, "content" => %self.lost.content, "reason" => reason);
    }
}

/// A check whether a replica has ended.
#[derive(Debug)]
struct CrashCheck {
    shared: Arc<Shared>,
    replica: InstanceId,
    run: RunHash,
    address: SocketAddr,
    broken_at: Millis,
}

impl CrashCheck {
    /// Opens a connection to the replica. One that accepts it has only broken off answers.
    async fn run(self) {
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
        }
        let Some(waiting) = self.record(has_ended) else { return };
        let names: BTreeSet<&str> = waiting
            .values()
            .flat_map(|broken| &broken.parts)
            .map(|(_, name)| name.as_str())
            .collect();
        let names: Vec<&str> = names.into_iter().take(MAX_LOGGED).collect();
        let contents: BTreeSet<String> =
            waiting.values().map(|broken| broken.lost.content.to_string()).collect();
        let contents: Vec<String> = contents.into_iter().take(MAX_LOGGED).collect();
        self.shared.record_unreachable(&self.replica);
        self.shared.metrics.crashes.inc();
        info!(self.shared.log, "replica: crashed"; "replica" => %self.replica,
            "requests" => waiting.len(), "contents" => contents.join(" "),
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

    /// Ends the check; returns the attempts that may have crashed the replica, if it has ended.
    fn record(&self, has_ended: bool) -> Option<BTreeMap<RequestHash, BrokenAttempt>> {
        let now = since_boot();
        let mut state = self.shared.state();
        let waiting = state.pending_checks.remove(&self.run)?;
        if !has_ended {
            return None;
        }
        let mut is_new = false;
        for (request, BrokenAttempt { lost, parts: named }) in &waiting {
            let parts: Vec<PartHash> = named.iter().map(|(part, _)| *part).collect();
            is_new |= state.quarantine.record_crash(self.run, *request, &parts, now);
            is_new |= state.quarantine.record_lost_run(*lost, now);
            if state.part_names.len() + named.len() > MAX_NAMES {
                state.part_names.clear();
            }
            state.part_names.extend(named.iter().cloned());
        }
        is_new.then_some(waiting)
    }
}

/// Id and hash of a part, bounded for the log.
pub(super) fn logged_part(id: &str, hash: PartHash) -> String {
    let mut end = id.len().min(MAX_LOGGED_ID_BYTES);
    while !id.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}={hash}", &id[..end])
}
