//! Makes attempts for a request until one succeeds or no other is allowed.

use super::{
    Shared,
    attempt::{Attempt, NextStep},
    handover::{HANDOVER_TIME, HandoverReason, KeptAttempt, PendingResponse},
    progress::{Progress, RequestOutcome, SelectedReplica, Target},
    request::{AdmittedRequest, RETRY_AFTER_SPREAD},
    response::{ErrorReply, write_complete},
};
use crate::clock::since_boot;
use ibissail_core::{ErrorKind, Millis, ModelId};
use ibissail_direct::{CascadeStep, retry_after_pause};
use ibissail_http1::Connection;
use rand::Rng;
use slog::info;
use std::sync::Arc;

/// Most connections that may fail to open for one request. They are counted separately, because
/// such an attempt reaches no replica. When half of the replicas have crashed, one request in sixteen
/// meets four of them in a row.
const MAX_FAILED_CONNECTS: u32 = 16;
/// Failed connections from which another is tried only in the first half of the latency objective:
/// each may last until its timeout.
const MIN_FAILED_CONNECTS: u32 = 4;
/// Most selections of a replica for one attempt.
const MAX_SELECTIONS: u32 = 3;
/// Remaining time below which a further attempt is not worthwhile.
const MIN_TIME_LEFT: Millis = Millis(30);
/// Part of the retry budget that escalations to a larger model leave for failures.
pub(super) const FAILURE_RESERVE: f64 = 0.25;

/// Makes attempts for a request until it has an outcome.
pub(super) async fn make_attempts(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    request: &AdmittedRequest,
    progress: &mut Progress,
) -> RequestOutcome {
    let steps = shared.cascade_steps(request);
    let mut position = 0;
    let mut kept: Option<KeptAttempt> = None;
    // Why no other attempt is made, but the kept one is gone back to.
    let mut no_other: Option<ErrorReply> = None;
    loop {
        shared.wait_for_evacuations().await;
        let selected = match no_other.take() {
            Some(reply) => Err(reply),
            None => shared.next_target(request, progress, steps.get(position), position),
        };
        let waiting = kept.take().filter(|attempt| attempt.is_current(progress));
        let (target, next) = match (selected, waiting) {
            (Ok(target), mut earlier) => {
                let silent = earlier.as_ref().filter(|kept| kept.reason == HandoverReason::Silent);
                let predecessor = silent.map(|kept| kept.target.replica.id.clone());
                let attempt = Attempt::new(shared, request, &target, &steps);
                let next = attempt.run(connection, progress, &mut earlier).await;
                kept = earlier;
                // A sound replica that was given up for one that has not taken the request over
                // may be asked again.
                if let (NextStep::Retry(_), None, Some(id)) = (&next, &kept, predecessor) {
                    progress.tried.remove(&id);
                }
                (target, next)
            }
            (Err(reply), Some(attempt)) => {
                shared.log_wait(request, &attempt.target, &reply);
                position = attempt.target.position;
                go_back(shared, connection, request, progress, &steps, attempt).await
            }
            (Err(reply), None) => {
                return finish_without_attempt(connection, request, progress, reply).await;
            }
        };
        shared.record_attempt(progress, &target, &next);
        match next {
            NextStep::Done(RequestOutcome::Failed(reply)) if kept.is_some() => {
                no_other = Some(reply);
            }
            NextStep::Done(outcome) => return outcome,
            NextStep::Escalate(upstream) => {
                position = target.position + 1;
                let pending = PendingResponse::Answering(upstream);
                let reason = HandoverReason::Unconfident;
                kept = Some(KeptAttempt::new(target, pending, reason, progress));
            }
            NextStep::Retry(_) => {}
            NextStep::GoBack => {
                let kind = ErrorKind::OutcomeUnknown;
                no_other = Some(request.error_reply(kind, "the replica has gone on"));
            }
            NextStep::Unconfirmed(upstream) => {
                let pending = PendingResponse::Answering(upstream);
                let reason = HandoverReason::Unconfirmed;
                kept = Some(KeptAttempt::new(target, pending, reason, progress));
            }
            NextStep::Silent(pending) => {
                let reason = HandoverReason::Silent;
                kept = Some(KeptAttempt::new(target, *pending, reason, progress));
            }
        }
    }
}

/// Goes on with a kept attempt. No other replica works on the request: successors have refused it
/// or failed.
async fn go_back(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    request: &AdmittedRequest,
    progress: &mut Progress,
    steps: &[CascadeStep],
    kept: KeptAttempt,
) -> (Target, NextStep) {
    shared.log_return(request, progress, &kept);
    kept.restore(progress);
    progress.forget_refusals();
    let KeptAttempt { mut target, pending, reason, .. } = kept;
    target.has_been_silent |= reason == HandoverReason::Silent;
    target.is_recorded = true;
    // A larger model may have been asked at the same replica.
    progress.tried.insert(target.replica.id.clone());
    shared.record_session(request, &target.replica.version);
    let relayed_before = progress.relayed_bytes;
    let attempt = Attempt::new(shared, request, &target, steps);
    let next = attempt.resume(connection, progress, pending).await;
    if progress.relayed_bytes > relayed_before {
        target.handover_left = HANDOVER_TIME;
    }
    (target, next)
}

impl Shared {
    /// Selects the replica for the next attempt; returns the error response if none may be made. A
    /// retry is taken from the budget unless the last attempt has reserved it.
    fn next_target(
        &self,
        request: &AdmittedRequest,
        progress: &mut Progress,
        step: Option<&CascadeStep>,
        position: usize,
    ) -> Result<Target, ErrorReply> {
        if let Some(reply) = self.quarantine_reply(request, progress) {
            return Err(reply);
        }
        if progress.may_have_run && !self.state().quarantine.may_retry(request.content) {
            let detail = "the request may have crashed replicas";
            return Err(request.error_reply(ErrorKind::OutcomeUnknown, detail));
        }
        if let Some(reply) = Self::check_limits(request, progress) {
            return Err(reply);
        }
        if progress.has_response_started() && progress.position.is_doubtful() {
            let detail = "the stream cannot be resumed: an event far ahead was none of it";
            return Err(request.error_reply(ErrorKind::OutcomeUnknown, detail));
        }
        // A response that has started may be finished.
        if !progress.has_response_started()
            && let Some(reply) = self.check_permission(request, progress.may_have_run)
        {
            return Err(reply);
        }
        if let Some(reason) = self.evacuations_unknown() {
            let kind = match progress.unserved_kind() {
                ErrorKind::NoReplica => ErrorKind::SettingsStale,
                other => other,
            };
            return Err(request.error_reply(kind, &reason));
        }
        let model = step.map(|step| step.model.clone()).or_else(|| request.params.model.clone());
        let Some(replica) = self.select_replica(request, progress, model.as_ref()) else {
            return Err(self.no_replica_reply(request, progress));
        };
        let needs_retry =
            progress.attempts_sent > 0 && !std::mem::take(&mut progress.has_reserved_retry);
        if needs_retry && !self.try_take_retry(request, 0.0) {
            let kind = progress.unserved_kind();
            return Err(request.error_reply(kind, "the retry budget is exhausted"));
        }
        let Some(replica) = self.take_limit(replica, request, progress, model.as_ref()) else {
            if needs_retry {
                self.state().budget(&request.service).return_retry();
            }
            return Err(self.no_replica_reply(request, progress));
        };
        self.record_session(request, &replica.version);
        Ok(Target {
            was_cold: self.is_cold(&replica.id),
            replica,
            model,
            position,
            started: since_boot(),
            has_been_silent: false,
            is_recorded: false,
            handover_left: HANDOVER_TIME,
        })
    }

    /// Takes the request from the limits of the selected replica. Another request may have used them
    /// up since the selection, and then another replica is selected.
    fn take_limit(
        &self,
        selected: SelectedReplica,
        request: &AdmittedRequest,
        progress: &Progress,
        model: Option<&ModelId>,
    ) -> Option<SelectedReplica> {
        let mut replica = selected;
        for _ in 1..MAX_SELECTIONS {
            if self.try_take_limit(&request.service, &replica.id) {
                return Some(replica);
            }
            replica = self.select_replica(request, progress, model)?;
        }
        self.try_take_limit(&request.service, &replica.id).then_some(replica)
    }

    /// Returns the error response if the time or the attempts of a request are used up.
    fn check_limits(request: &AdmittedRequest, progress: &Progress) -> Option<ErrorReply> {
        let kind = progress.unserved_kind();
        if request.time_left(since_boot()) < MIN_TIME_LEFT {
            let kind =
                if progress.may_have_run { ErrorKind::Timeout } else { ErrorKind::DeadlineUnmet };
            return Some(request.error_reply(kind, "too little time is left for an attempt"));
        }
        if progress.attempts_sent >= request.route.attempt_limit.0 {
            return Some(request.error_reply(kind, "all attempts have failed"));
        }
        let is_late = 2 * since_boot().since(request.arrived_at).0 > request.route.objective.0;
        let limit = if is_late { MIN_FAILED_CONNECTS } else { MAX_FAILED_CONNECTS };
        if progress.failed_connects >= limit {
            return Some(request.error_reply(kind, "replicas do not accept connections"));
        }
        None
    }

    /// Logs, once for each attempt, why a silent one is waited for.
    fn log_wait(&self, request: &AdmittedRequest, target: &Target, reply: &ErrorReply) {
        if !target.has_been_silent {
            info!(self.log, "attempt: waiting on"; "id" => &request.params.id,
                "replica" => %target.replica.id, "reason" => &reply.detail);
        }
    }

    /// Logs an attempt that is gone back to, with the bytes that its next event begins with. Each
    /// silence of an attempt leads here, but only the first is logged.
    fn log_return(&self, request: &AdmittedRequest, progress: &Progress, kept: &KeptAttempt) {
        let KeptAttempt { target, reason, .. } = kept;
        if target.has_been_silent {
            return;
        }
        info!(self.log, "attempt: gone back to"; "id" => &request.params.id,
            "replica" => %target.replica.id, "reason" => %reason,
            "events" => progress.position.event_count(),
            "partial_event_bytes" => kept.partial_event_bytes());
    }

    /// Counts an attempt and adds its result to the log line of the request.
    fn record_attempt(&self, progress: &mut Progress, target: &Target, next: &NextStep) {
        let result = match next {
            NextStep::Done(RequestOutcome::Answered(_)) => "answered",
            NextStep::Done(_) => "ended",
            NextStep::Retry(reason) => reason,
            NextStep::Escalate(_) => "unconfident",
            NextStep::GoBack => "abandoned",
            NextStep::Unconfirmed(_) => "unconfirmed",
            NextStep::Silent(_) if target.has_been_silent => return,
            NextStep::Silent(_) => "stalled",
        };
        self.metrics.count_attempt(result);
        let model = target.model.as_ref().map_or("-", ModelId::as_str);
        let took = since_boot().since(target.started);
        progress.attempt_log.push(format!("{}/{model}:{result}:{took}", target.replica.id));
    }

    /// Error response if no replica may take the request, with the reason if it is their zones. If all have asked for a pause, the caller
    /// is told when the first accepts requests again.
    fn no_replica_reply(&self, request: &AdmittedRequest, progress: &Progress) -> ErrorReply {
        let kind = progress.unserved_kind();
        let reply = request.error_reply(kind, "no replica is available");
        if reply.retry_after.is_none() {
            return reply;
        }
        let now = since_boot();
        let mut state = self.state();
        if let Some(detail) = state.excluded_zones(request, now) {
            // Nobody knows when an evacuation ends.
            return ErrorReply { detail, ..reply };
        }
        let shares = state.fleet_shares(&request.service, now);
        let Some(wait) = state.time_until_accepted(request, shares, now) else { return reply };
        let retry_after = match state.book_return(&request.service, wait, shares, now) {
            Some(booked) => booked,
            None => retry_after_pause(wait, RETRY_AFTER_SPREAD, rand::rng().random()),
        };
        let detail = format!("no replica takes a request before {wait}");
        ErrorReply { retry_after: Some(retry_after), detail, ..reply }
    }

    /// Takes a retry from the budget; returns `false` if no more than the share `reserve` of the
    /// budget is left.
    pub(super) fn try_take_retry(&self, request: &AdmittedRequest, reserve: f64) -> bool {
        let now = since_boot();
        let mut state = self.state();
        let entries = state.peers.entry_count(now);
        state.budget(&request.service).try_take_retry(now, entries, reserve)
    }
}

/// Ends a request without a further attempt, with a replica's error response if there is one.
async fn finish_without_attempt(
    connection: &mut Connection,
    request: &AdmittedRequest,
    progress: &mut Progress,
    reply: ErrorReply,
) -> RequestOutcome {
    if progress.has_response_started() {
        return RequestOutcome::Truncated(reply.detail);
    }
    let Some((head, body)) = progress.upstream_failure.take() else {
        return RequestOutcome::Failed(reply);
    };
    match write_complete(connection, &head, &body, request.after_response).await {
        Ok(()) => RequestOutcome::Answered(head.status),
        Err(_gone) => RequestOutcome::CallerGone,
    }
}
