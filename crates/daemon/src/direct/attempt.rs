//! One attempt at one replica: what its answer means for the request and for beliefs.

use super::{
    Direct,
    answer::write_whole,
    drive::{End, FAILURE_RESERVE, Progress},
    peers::short,
    pick::Picked,
    relay::{StreamEnd, relay_stream},
    serve::Work,
    upstream::{NoHead, Patience, Upstream, open},
};
use crate::clock::since_boot;
use ibissail_core::{ErrorKind, InstanceId, Millis, ModelId};
use ibissail_direct::{CascadeStep, Sample, latency_class, stable_hash};
use ibissail_http1::Connection;
use slog::{info, warn};
use std::sync::Arc;

/// Longest whole answer that is held in memory.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// What an attempt leads to.
#[derive(Debug)]
pub(super) enum Next {
    End(End),
    /// Another replica; the reason is for the log.
    Again(&'static str),
    /// The next larger model.
    Larger,
}

/// How a replica's answer ended, as evidence on its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerEnd {
    /// As far as it was asked for.
    Good,
    /// The replica failed, or was silent for too long.
    Failure,
}

impl Direct {
    fn note_failure(&self, replica: &InstanceId) {
        let now = since_boot();
        let mut state = self.state();
        if state.health.entry(replica.clone()).or_default().record_failure(now) {
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

/// One attempt at one replica.
pub(super) struct Attempt<'a> {
    pub(super) started: Millis,
    pub(super) direct: &'a Arc<Direct>,
    pub(super) work: &'a Work,
    pub(super) picked: &'a Picked,
    pub(super) model: Option<&'a ModelId>,
    pub(super) step: Option<&'a CascadeStep>,
    pub(super) larger: Option<&'a CascadeStep>,
}

impl Attempt<'_> {
    pub(super) async fn run(&self, connection: &mut Connection, progress: &mut Progress) -> Next {
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
        if work.route.kind.is_repeatable() {
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
        upstream: Upstream,
        has_alternative: bool,
    ) -> Next {
        if self.work.route.kind.is_stream() && upstream.reply.status == 200 {
            self.receive_stream(connection, progress, upstream, has_alternative).await
        } else if progress.has_begun_answer() {
            self.broken(progress, "refused", "another replica did not go on")
        } else {
            self.receive_whole(connection, progress, upstream, has_alternative).await
        }
    }

    async fn receive_stream(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        mut upstream: Upstream,
        has_alternative: bool,
    ) -> Next {
        let work = self.work;
        if !progress.has_begun_answer() {
            self.note_beginning();
        }
        // The larger model may have its place on the same replica.
        progress.tried.remove(&self.picked.id);
        if self.is_unconfident(progress, &upstream)
            && self.direct.try_take_retry(work, FAILURE_RESERVE)
        {
            progress.holds_repeat = true;
            self.note_answer(AnswerEnd::Good);
            return Next::Larger;
        }
        progress.tried.insert(self.picked.id.clone());
        progress.version = Some(self.picked.version.clone());
        let patience = Patience::for_event(work, has_alternative);
        match relay_stream(connection, work, progress, &mut upstream, patience).await {
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
        }
    }

    async fn receive_whole(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        mut upstream: Upstream,
        has_alternative: bool,
    ) -> Next {
        let work = self.work;
        let limit = Patience::for_head(work, has_alternative);
        let reading = upstream.body.read_all(&mut upstream.connection, MAX_ANSWER_BYTES);
        let body = match upstream.place.wait(reading, limit).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return self.broken(progress, "torn", &error.to_string()),
            Err(silence) => return self.broken(progress, "stalled", &silence),
        };
        let is_failure = upstream.reply.status >= 500;
        self.note_answer(if is_failure { AnswerEnd::Failure } else { AnswerEnd::Good });
        if is_failure {
            self.direct.note_failure(&self.picked.id);
            if work.route.kind.is_repeatable() {
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
            && step.is_unconfident(confidence)
            && progress.sends < self.work.route.attempt_limit.0;
        if !is_open {
            return false;
        }
        let larger = self
            .larger
            .and_then(|larger| self.direct.pick(self.work, progress, Some(&larger.model)));
        let objective = self.work.arrived.plus(self.work.route.objective);
        let rest = objective.since(since_boot());
        larger.is_some_and(|larger| step.should_escalate(confidence, larger.wait, rest))
    }

    fn kind(&self) -> u32 {
        let model = self.model.map_or("-", ModelId::as_str);
        latency_class(&self.work.route.name, model, self.picked.unread)
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
            latency_class: self.kind(),
            replica: stable_hash(&[self.picked.id.as_str()]),
            is_failure: is_bad,
            latency_ms: is_call.then_some(now.since(self.started).0),
        };
        let mut state = self.direct.state();
        state.note_answer(&work.service, &self.picked.version, &sample);
        if !is_bad {
            state.health.entry(self.picked.id.clone()).or_default().record_success();
        }
        if let Some(model) = self.model {
            state.prefixes.record(&self.picked.id, model, &work.call.prompt, now);
        }
    }
}
