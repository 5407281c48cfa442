//! Drives a request through its attempts until it has an end.

use super::{
    Direct,
    attempt::{Attempt, Next},
    response::{Refusal, write_whole},
    serve::Work,
};
use crate::clock::since_boot;
use ibissail_core::{ErrorKind, InstanceId, Millis, ModelId, VersionId};
use ibissail_direct::{CascadeStep, ModelChoice};
use ibissail_http1::{Connection, EventSplitter, ResponseHead};
use std::{collections::BTreeSet, sync::Arc};

/// Connections that may fail to open for one request; they reach no replica.
const MAX_DIALS: u32 = 4;
/// Time below which a further attempt is no use.
const MIN_REST: Millis = Millis(30);
/// Part of the retry budget that is kept for failures when a larger model is asked.
pub(super) const FAILURE_RESERVE: f64 = 0.25;
/// How models are chosen.
const MODEL_CHOICE: ModelChoice = ModelChoice::Cascade;

/// How a request ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The caller has a whole answer with this status.
    Answered(u16),
    /// The caller is to get this refusal.
    Refused(Refusal),
    /// The answer was begun and cannot be ended.
    Cut(String),
    /// The caller has left.
    CallerGone,
}

/// How far a request has come.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Attempts that sent bytes.
    pub(crate) sends: u32,
    /// Whether some replica may have run the request.
    pub(crate) may_have_run: bool,
    /// Replicas that are not asked again.
    pub(crate) tried: BTreeSet<InstanceId>,
    /// The version that a begun answer must go on with.
    pub(crate) version: Option<VersionId>,
    /// Whether a failure of a version on trial sends the request back to the old one.
    pub(crate) avoids_new_version: bool,
    /// When the caller got the first bytes of an answer.
    pub(crate) first_at: Option<Millis>,
    /// The events of a stream.
    pub(crate) splitter: EventSplitter,
    /// Each attempt for the log: replica, end, time.
    pub(crate) attempts: Vec<String>,
    /// Connections that could not be opened.
    pub(super) dials: u32,
    /// Whether the next attempt has been taken from the retry budget already.
    pub(super) holds_repeat: bool,
    /// A replica's own failure, for a caller whom no other replica serves.
    pub(super) failure: Option<(ResponseHead, Vec<u8>)>,
}

impl Progress {
    /// What a caller is told whom no replica serves; only a request that cannot have run is refused.
    fn unserved_kind(&self) -> ErrorKind {
        if self.may_have_run { ErrorKind::OutcomeUnknown } else { ErrorKind::NoReplica }
    }

    /// Whether the caller has got the head of an answer.
    pub(crate) fn has_begun_answer(&self) -> bool {
        self.first_at.is_some()
    }

    pub(crate) fn new() -> Self {
        Self {
            sends: 0,
            may_have_run: false,
            tried: BTreeSet::new(),
            version: None,
            avoids_new_version: false,
            first_at: None,
            splitter: EventSplitter::default(),
            attempts: Vec::new(),
            dials: 0,
            holds_repeat: false,
            failure: None,
        }
    }
}

/// Drives a request through its attempts.
pub(super) async fn drive(
    direct: &Arc<Direct>,
    connection: &mut Connection,
    work: &Work,
    progress: &mut Progress,
) -> End {
    let steps = steps(work);
    let mut position = 0;
    loop {
        let step = steps.get(position);
        if let Some(end) = direct.stop_reason(work, progress) {
            return finish(connection, work, progress, end).await;
        }
        let model = step.map(|step| step.model.clone()).or_else(|| work.call.model.clone());
        let Some(picked) = direct.pick(work, progress, model.as_ref()) else {
            let refusal = work.refusal(progress.unserved_kind(), "no replica to try");
            return finish(connection, work, progress, refusal).await;
        };
        let started = since_boot();
        let model_ref = model.as_ref();
        let larger = steps.get(position + 1);
        let attempt =
            Attempt { started, direct, work, picked: &picked, model: model_ref, step, larger };
        let next = attempt.run(connection, progress).await;
        let took = since_boot().since(started);
        let end = match &next {
            Next::End(End::Answered(_)) => "answered",
            Next::End(_) => "ended",
            Next::Again(reason) => reason,
            Next::Larger => "unconfident",
        };
        direct.metrics.attempt(end);
        let model_name = model.as_ref().map_or("-", ModelId::as_str);
        progress.attempts.push(format!("{}/{model_name}:{end}:{took}", picked.id));
        match next {
            Next::End(end) => return end,
            Next::Larger => position += 1,
            Next::Again(_) => {}
        }
    }
}

fn steps(work: &Work) -> Vec<CascadeStep> {
    if work.call.model.is_some() {
        return Vec::new();
    }
    MODEL_CHOICE.steps(&work.route.models, work.route.urgency)
}

impl Direct {
    /// Why no further attempt is made, if so.
    fn stop_reason(&self, work: &Work, progress: &mut Progress) -> Option<Refusal> {
        let now = since_boot();
        let kind = progress.unserved_kind();
        if work.rest(now) < MIN_REST {
            let kind =
                if progress.may_have_run { ErrorKind::Timeout } else { ErrorKind::DeadlineUnmet };
            return Some(work.refusal(kind, "no time is left"));
        }
        if progress.sends >= work.route.attempt_limit.0 {
            return Some(work.refusal(kind, "all attempts have failed"));
        }
        if progress.dials >= MAX_DIALS {
            return Some(work.refusal(kind, "replicas take no connection"));
        }
        let needs_repeat = progress.sends > 0 && !std::mem::take(&mut progress.holds_repeat);
        if needs_repeat && !self.try_take_retry(work, 0.0) {
            return Some(work.refusal(kind, "the retry budget is used up"));
        }
        None
    }

    /// Takes a repeat from the budget unless only the reserve is left.
    pub(super) fn try_take_retry(&self, work: &Work, reserve: f64) -> bool {
        let now = since_boot();
        let mut state = self.state();
        let entries = state.peers.entries(now);
        state.budget(&work.service).try_take_retry(now, entries, reserve)
    }
}

/// Ends a request without a further attempt: with the replica's own failure, if there is one.
async fn finish(
    connection: &mut Connection,
    work: &Work,
    progress: &mut Progress,
    refusal: Refusal,
) -> End {
    if progress.has_begun_answer() {
        return End::Cut(refusal.detail);
    }
    let Some((head, body)) = progress.failure.take() else {
        return End::Refused(refusal);
    };
    match write_whole(connection, &head, &body, work.after).await {
        Ok(()) => End::Answered(head.status),
        Err(_gone) => End::CallerGone,
    }
}
