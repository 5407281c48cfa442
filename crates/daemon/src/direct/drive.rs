//! Drives a request through its attempts until it has an end.

use super::{
    Direct,
    answer::{Refusal, write_whole},
    attempt::{NoHead, Patience, Upstream, open},
    peers::short,
    pick::Picked,
    relay::{StreamEnd, relay_stream},
    serve::Work,
};
use crate::clock::since_boot;
use ibissail_core::{ErrorKind, InstanceId, Millis, ModelId, VersionId};
use ibissail_direct::{ModelChoice, Sample, Step, stable_hash, time_kind};
use ibissail_http1::{Connection, EventSplitter, ResponseHead};
use slog::{info, warn};
use std::{collections::BTreeSet, sync::Arc};

/// Connections that may fail to open for one request; they reach no replica.
const MAX_DIALS: u32 = 4;
/// Time below which a further attempt is no use.
const MIN_REST: Millis = Millis(30);
/// Longest whole answer that is held in memory.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Part of the retry budget that is kept for failures when a larger model is asked.
const FAILURE_RESERVE: f64 = 0.25;
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
    dials: u32,
    /// Whether the next attempt has been taken from the retry budget already.
    holds_repeat: bool,
    failure: Option<(ResponseHead, Vec<u8>)>,
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

/// How a replica's answer ended, as evidence on its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerEnd {
    /// As far as it was asked for.
    Good,
    /// The replica failed, or was silent for too long.
    Failure,
}

/// What an attempt leads to.
#[derive(Debug)]
enum Next {
    End(End),
    /// Another replica; the reason is for the log.
    Again(&'static str),
    /// The next larger model.
    Larger,
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

fn steps(work: &Work) -> Vec<Step> {
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
        if needs_repeat && !self.take_repeat(work, 0.0) {
            return Some(work.refusal(kind, "the retry budget is used up"));
        }
        None
    }

    /// Takes a repeat from the budget unless only the reserve is left.
    fn take_repeat(&self, work: &Work, reserve: f64) -> bool {
        let now = since_boot();
        let mut state = self.state();
        let entries = state.peers.entries(now);
        state.budget(&work.service).take_repeat(now, entries, reserve)
    }

    fn note_failure(&self, replica: &InstanceId) {
        let now = since_boot();
        let mut state = self.state();
        if state.health.entry(replica.clone()).or_default().fail(now) {
            warn!(self.log, "replica: ejected"; "replica" => %replica);
        }
    }

    fn note_unreachable(&self, replica: &InstanceId) {
        let mut state = self.state();
        let health = state.health.entry(replica.clone()).or_default();
        if !health.is_ejected(since_boot()) {
            health.eject(since_boot());
            warn!(self.log, "replica: ejected"; "replica" => %replica,
                "reason" => "it takes no connection");
        }
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

/// One attempt at one replica.
struct Attempt<'a> {
    started: Millis,
    direct: &'a Arc<Direct>,
    work: &'a Work,
    picked: &'a Picked,
    model: Option<&'a ModelId>,
    step: Option<&'a Step>,
    larger: Option<&'a Step>,
}

impl Attempt<'_> {
    async fn run(&self, connection: &mut Connection, progress: &mut Progress) -> Next {
        let had_run = progress.may_have_run;
        let has_alternative =
            self.picked.choice > 1 && progress.sends + 1 < self.work.route.attempt_limit.0;
        let patience = Patience::for_head(self.work, has_alternative);
        let opened =
            open(self.direct, self.work, progress, self.picked, self.model, patience).await;
        progress.tried.insert(self.picked.id.clone());
        match opened {
            Ok(upstream) if upstream.reply.is_not_run => {
                progress.may_have_run = had_run;
                info!(self.direct.log, "attempt: not run"; "id" => &self.work.call.id,
                    "replica" => %self.picked.id, "status" => upstream.reply.status);
                Next::Again("not_run")
            }
            Ok(upstream) if !upstream.reply.is_signed && upstream.reply.status < 300 => {
                self.broken(progress, "unsigned", "a success without the replica's signature")
            }
            Ok(upstream) => self.receive(connection, progress, upstream, has_alternative).await,
            Err(NoHead::NotSent(error)) => {
                progress.dials += 1;
                self.direct.note_unreachable(&self.picked.id);
                info!(self.direct.log, "attempt: not sent"; "id" => &self.work.call.id,
                    "replica" => %self.picked.id, "error" => error);
                Next::Again("not_sent")
            }
            Err(NoHead::Lost(error)) => self.broken(progress, "lost", &error),
            Err(NoHead::Stalled(error)) => {
                self.note_answer(AnswerEnd::Failure);
                self.broken(progress, "stalled", &error)
            }
        }
    }

    /// After a failure that does not tell whether the request ran.
    fn broken(&self, progress: &mut Progress, reason: &'static str, error: &str) -> Next {
        let work = self.work;
        self.direct.note_failure(&self.picked.id);
        info!(self.direct.log, "attempt: broken"; "id" => &work.call.id,
            "replica" => %self.picked.id, "reason" => reason, "error" => error);
        progress.splitter.discard_partial_event();
        if !progress.has_begun_answer() {
            progress.version = None;
        }
        if work.route.kind.may_repeat() {
            progress.avoids_new_version = true;
            return Next::Again(reason);
        }
        if progress.has_begun_answer() {
            return Next::End(End::Cut(error.to_owned()));
        }
        let refusal = work.refusal(ErrorKind::OutcomeUnknown, error);
        Next::End(End::Refused(refusal))
    }

    async fn receive(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        mut upstream: Upstream,
        has_alternative: bool,
    ) -> Next {
        let work = self.work;
        if work.route.kind.is_stream() && upstream.reply.status == 200 {
            if !progress.has_begun_answer() {
                self.note_beginning();
            }
            // The larger model may have its place on the same replica.
            progress.tried.remove(&self.picked.id);
            if self.is_unconfident(progress, &upstream)
                && self.direct.take_repeat(work, FAILURE_RESERVE)
            {
                progress.holds_repeat = true;
                self.note_answer(AnswerEnd::Good);
                return Next::Larger;
            }
            progress.tried.insert(self.picked.id.clone());
            progress.version = Some(self.picked.version.clone());
            let patience = Patience::for_event(work, has_alternative);
            let end = relay_stream(connection, work, progress, &mut upstream, patience).await;
            return match end {
                StreamEnd::Whole => {
                    self.note_answer(AnswerEnd::Good);
                    Next::End(End::Answered(upstream.reply.status))
                }
                StreamEnd::CallerGone => Next::End(End::CallerGone),
                StreamEnd::Stalled(error) => {
                    self.note_answer(AnswerEnd::Failure);
                    self.broken(progress, "stalled", &error)
                }
                StreamEnd::Broken(error) => self.broken(progress, "broken", &error),
            };
        }
        if progress.has_begun_answer() {
            return self.broken(progress, "refused", "another replica did not go on");
        }
        let limit = Patience::for_head(work, has_alternative);
        let reading = upstream.body.read_all(&mut upstream.connection, MAX_ANSWER_BYTES);
        let body = match upstream.place.wait(reading, limit).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return self.broken(progress, "torn", &error.to_string()),
            Err(silence) => return self.broken(progress, "stalled", &silence),
        };
        let is_failure = upstream.reply.status >= 500;
        let answer = if is_failure { AnswerEnd::Failure } else { AnswerEnd::Good };
        self.note_answer(answer);
        if is_failure {
            self.direct.note_failure(&self.picked.id);
            if work.route.kind.may_repeat() {
                progress.avoids_new_version = true;
                progress.failure = Some((upstream.head, body));
                return Next::Again("failed");
            }
        }
        drop(upstream.place);
        progress.first_at = Some(since_boot());
        match write_whole(connection, &upstream.head, &body, work.after).await {
            Ok(()) => Next::End(End::Answered(upstream.reply.status)),
            Err(_gone) => Next::End(End::CallerGone),
        }
    }

    /// Whether a small model's answer is to be replaced by a larger one's.
    fn is_unconfident(&self, progress: &Progress, upstream: &Upstream) -> bool {
        let (Some(step), Some(confidence)) = (self.step, upstream.reply.confidence) else {
            return false;
        };
        let is_open = !progress.has_begun_answer()
            && step.is_below(confidence)
            && progress.sends < self.work.route.attempt_limit.0;
        if !is_open {
            return false;
        }
        let larger = self
            .larger
            .and_then(|larger| self.direct.pick(self.work, progress, Some(&larger.model)));
        let objective = self.work.arrived.plus(self.work.route.objective);
        let rest = objective.since(since_boot());
        larger.is_some_and(|larger| step.is_replaced(confidence, larger.wait, rest))
    }

    fn kind(&self) -> u32 {
        let model = self.model.map_or("-", ModelId::as_str);
        time_kind(&self.work.route.name, model, self.picked.unread)
    }

    /// Counts the time until a stream began as evidence on the replica's version.
    fn note_beginning(&self) {
        let took = since_boot().since(self.started);
        let service = &self.work.service;
        self.direct.state().note_time(service, &self.picked.version, self.kind(), took);
    }

    /// Counts an answer, or the lack of one, as evidence on the replica's version.
    fn note_answer(&self, answer: AnswerEnd) {
        let work = self.work;
        let now = since_boot();
        let is_bad = answer == AnswerEnd::Failure;
        let is_call = !work.route.kind.is_stream();
        let sample = Sample {
            route: short(stable_hash(&[&work.route.name])),
            kind: self.kind(),
            replica: stable_hash(&[self.picked.id.as_str()]),
            is_bad,
            time_ms: is_call.then_some(now.since(self.started).0),
        };
        let mut state = self.direct.state();
        state.note_answer(&work.service, &self.picked.version, &sample);
        if !is_bad {
            state.health.entry(self.picked.id.clone()).or_default().succeed();
        }
        if let Some(model) = self.model {
            state.prefixes.note(&self.picked.id, model, &work.call.prompt, now);
        }
    }
}
