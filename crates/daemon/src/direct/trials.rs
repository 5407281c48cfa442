//! Attempts as evidence on their requests and on the parts of their prompts: a replica may crash as
//! soon as it begins to run a request, or to answer one with a certain part.
//!
//! What counts is how far the response got, and whether the replica has ended; not how its end
//! looked on the connection of the attempt.

use super::{
    Shared, crash_checks::CrashCheck, progress::SelectedReplica, request::AdmittedRequest,
};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{InstanceId, Millis, ZoneId};
use ibissail_direct::{
    AttemptNumber, GIVEN_UP_TTL, LostRun, PROOF_EVENTS, PROOF_TIME, PartHash, RequestHash, RunHash,
    ShortResponse, SuspectAttempt, stable_hash,
};
use slog::info;
use std::{net::SocketAddr, sync::Arc};

/// Most replicas that are checked at the same time.
const MAX_CHECKS: usize = 64;
/// Most bytes of the id of a part in a log line.
const MAX_LOGGED_ID_BYTES: usize = 48;

/// One attempt whose replica may have begun to run the request.
#[derive(Debug)]
pub(crate) struct Trial {
    pub(super) shared: Arc<Shared>,
    /// The attempt as it would be lost now.
    pub(super) lost: LostRun,
    parts: Vec<PartHash>,
    names: Vec<String>,
    pub(super) replica: InstanceId,
    pub(super) zone: ZoneId,
    pub(super) address: SocketAddr,
    /// When the head of the response arrived.
    head_at: Option<Millis>,
    /// Events that have arrived.
    events: u64,
    is_request_proven: bool,
    are_parts_proven: bool,
    /// Whether it has been decided what the attempt is evidence for.
    is_settled: bool,
    attempt: AttemptNumber,
}

impl Trial {
    /// Starts a trial when the request is sent.
    pub(super) fn new(
        shared: &Arc<Shared>,
        request: &AdmittedRequest,
        replica: &SelectedReplica,
    ) -> Self {
        let parts = PartHash::shared(&request.params.prompt);
        let ids = request.params.prompt.shared_parts().iter();
        let names = ids.zip(&parts).map(|(part, hash)| logged_part(&part.id, *hash));
        let now = since_boot();
        let service = stable_hash(&[request.service.as_str()]);
        let attempt =
            shared.state().quarantine.begin_attempt(service, request.content, &parts, now);
        let lost = LostRun {
            run: RunHash::new(&replica.id, replica.started_unix_ms),
            request: RequestHash::new(&request.params.id),
            content: request.content,
            began_at: now,
            ended_at: now,
        };
        Self {
            shared: Arc::clone(shared),
            lost,
            names: names.collect(),
            are_parts_proven: parts.is_empty(),
            parts,
            replica: replica.id.clone(),
            zone: replica.zone.clone(),
            address: replica.address,
            head_at: None,
            events: 0,
            is_request_proven: false,
            is_settled: false,
            attempt,
        }
    }

    /// Number of events that have arrived.
    pub(super) fn event_count(&self) -> u64 {
        self.events
    }

    /// Records that the head of the response has arrived.
    pub(super) fn record_head(&mut self) {
        self.head_at = Some(since_boot());
        let LostRun { run, began_at, .. } = self.lost;
        let mut state = self.shared.state();
        let answered = &mut state.loads.entry(self.replica.clone()).or_default().answered;
        if answered.is_none_or(|(_, latest)| latest < began_at) {
            *answered = Some((run, began_at));
        }
    }

    /// Records that the answer goes on: complete events have arrived.
    pub(super) fn record_events(&mut self, count: u64) {
        self.events += count;
        let has_gone_on = self.answering_since(since_boot()) >= PROOF_TIME;
        if has_gone_on && self.events >= PROOF_EVENTS {
            self.succeed();
        }
    }

    fn answering_since(&self, now: Millis) -> Millis {
        self.head_at.map_or(Millis(0), |head_at| now.since(head_at))
    }

    /// Records that the replica has not run the request, or will not be heard on it.
    pub(super) fn dismiss(&mut self) {
        self.is_settled = true;
        self.settle_attempt();
    }

    /// Records that the attempt is no longer in progress for what it is evidence for.
    fn settle_attempt(&self) {
        self.shared.state().quarantine.settle_attempt(self.attempt, since_boot());
    }

    /// Records that the answer has gone on for a while.
    fn succeed(&mut self) {
        self.succeed_request();
        self.settle_attempt();
        if self.are_parts_proven {
            return;
        }
        self.are_parts_proven = true;
        let now = since_boot();
        let began_at = self.head_at.unwrap_or(self.lost.began_at);
        self.shared.state().quarantine.record_sound(&self.parts, began_at, now);
    }

    /// Records that the response is complete. After a short one the replica may still end because of
    /// the prompt, so that it proves the parts only a while later.
    pub(super) fn complete(&mut self) {
        let now = since_boot();
        if self.are_parts_proven || self.answering_since(now) >= PROOF_TIME {
            self.succeed();
            return;
        }
        self.succeed_request();
        self.is_settled = true;
        let began_at = self.head_at.unwrap_or(self.lost.began_at);
        let (replica, parts) = (self.replica.clone(), self.parts.clone());
        let response = ShortResponse { replica, parts, began_at, ended_at: now };
        let Some(attempt) = self.suspect() else { return };
        let mut state = self.shared.state();
        state.quarantine.settle_attempt(self.attempt, now.saturating_add(GIVEN_UP_TTL));
        state.given_up.add_short(attempt, response);
    }

    /// Records that the replica has run the request to an end without answering on its prompt.
    pub(super) fn succeed_request(&mut self) {
        if self.is_request_proven {
            return;
        }
        self.is_request_proven = true;
        let mut state = self.shared.state();
        let LostRun { content, began_at, .. } = self.lost;
        state.quarantine.record_sound_request(content, began_at, since_boot());
    }

    /// Records that the attempt broke. If its replica has ended, the request may have crashed it.
    pub(super) fn fail(&mut self) {
        self.is_settled = true;
        self.settle_attempt();
        let Some(suspect) = self.suspect() else {
            self.log_no_evidence("the answer has gone on");
            return;
        };
        let run = self.lost.run;
        let broken_at = suspect.lost.ended_at;
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
        if !state.pending_checks.entry(run).or_default().add(suspect) {
            self.log_no_evidence("too many requests wait for the check");
        }
        drop(state);
        if is_first {
            let (replica, address) = (self.replica.clone(), self.address);
            task::spawn(CrashCheck::new(&self.shared, replica, run, address, broken_at).run());
        }
    }

    /// The attempt as it ends now, with what it may have crashed its replica with; `None` if that is
    /// nothing.
    fn suspect(&self) -> Option<SuspectAttempt> {
        let parts = self.parts.iter().copied().zip(self.names.iter().cloned());
        let parts: Vec<_> = parts.filter(|_| !self.are_parts_proven).collect();
        let is_request_suspect = !self.is_request_proven;
        (is_request_suspect || !parts.is_empty()).then(|| SuspectAttempt {
            lost: LostRun { ended_at: since_boot(), ..self.lost },
            is_request_suspect,
            parts,
        })
    }

    /// Logs why an attempt that broke is not held against its request.
    fn log_no_evidence(&self, reason: &'static str) {
        info!(self.shared.log, "attempt: no evidence"; "replica" => %self.replica,
            "request" => %self.lost.request, "content" => %self.lost.content, "reason" => reason);
    }
}

impl Drop for Trial {
    /// An attempt that was neither answered nor broken off by its replica has been given up.
    fn drop(&mut self) {
        self.settle_attempt();
        if self.is_settled {
            return;
        }
        if let Some(suspect) = self.suspect() {
            self.shared.state().given_up.add(suspect);
        }
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
