//! One attempt at one replica, and what its response means for the request.

use super::{
    Shared,
    handover::{HandoverReason, KeptAttempt, PendingResponse, ask_successor, hand_over},
    outcomes::ResponseOutcome,
    pace::PaceRecorder,
    progress::{FarEnd, Progress, RequestOutcome, SelectedReplica, Target},
    relay::{StreamOutcome, relay_stream},
    request::AdmittedRequest,
    response::write_complete,
    retry::FAILURE_RESERVE,
    upstream::{Exchange, Received, ReceivedHead, SendError, StallLimits, UpstreamResponse},
};
use crate::clock::since_boot;
use ibissail_core::{ErrorKind, Millis};
use ibissail_direct::CascadeStep;
use ibissail_http1::{Connection, Framing};
use ibissail_platform::{Rejection, ReplicaResponse};
use slog::info;
use std::sync::Arc;

/// Result of an attempt whose replica guarantees that it has not run the request.
const NOT_RUN: &str = "not_run";

/// The next step after an attempt.
#[derive(Debug)]
pub(super) enum NextStep {
    Done(RequestOutcome),
    /// Try another replica; the reason is for the log and the metrics.
    Retry(&'static str),
    /// Ask the next larger model, and deliver this response if it is not to be had.
    Escalate(Box<UpstreamResponse>),
    /// Try another replica, and wait on if there is none.
    Silent(Box<PendingResponse>),
    /// Ask another replica how the stream ends, and take the end of this response if none tells.
    Unconfirmed(Box<UpstreamResponse>),
    /// Go back to the kept attempt, whose replica has gone on.
    GoBack,
}

/// One attempt at one replica.
pub(super) struct Attempt<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) request: &'a AdmittedRequest,
    pub(super) target: &'a Target,
    /// The models to try in turn; empty if the caller has chosen the model.
    pub(super) steps: &'a [CascadeStep],
}

impl<'a> Attempt<'a> {
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        request: &'a AdmittedRequest,
        target: &'a Target,
        steps: &'a [CascadeStep],
    ) -> Self {
        Self { shared, request, target, steps }
    }

    /// Sends the request and forwards the response; returns the step that follows. `kept` is an
    /// earlier attempt that this one takes over from.
    pub(super) async fn run(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        kept: &mut Option<KeptAttempt>,
    ) -> NextStep {
        let Self { shared, request, .. } = *self;
        let may_have_run_before = progress.may_have_run;
        let resume_after = progress.position.last_id();
        let model = self.target.model.as_ref();
        let opening = Exchange::open(shared, request, resume_after, self.replica(), model);
        let Some(opened) = ask_successor(kept, request, None, opening).await else {
            self.return_retry(progress);
            return NextStep::GoBack;
        };
        progress.tried.insert(self.replica().id.clone());
        let exchange = match opened {
            Ok(exchange) => exchange,
            Err(SendError::Withheld(error)) => return self.handle_withheld(progress, &error),
            Err(error) => return self.handle_refused_connection(progress, &error.to_string()),
        };
        progress.attempts_sent += 1;
        progress.may_have_run = true;
        let sent_at = since_boot();
        let receiving = self.receive_head(progress, exchange);
        let next = match ask_successor(kept, request, Some(sent_at), receiving).await {
            Some(Ok(upstream)) => {
                if upstream.response.status < 300 {
                    kept.take_if(|attempt| attempt.reason == HandoverReason::Unconfident);
                }
                let delivering = self.deliver(connection, progress, upstream);
                hand_over(kept, sent_at, delivering).await
            }
            Some(Err(next)) => next,
            None => {
                // It has not failed, and may be asked again.
                progress.tried.remove(&self.replica().id);
                NextStep::GoBack
            }
        };
        if matches!(next, NextStep::Retry(NOT_RUN)) {
            progress.may_have_run = may_have_run_before;
        } else if let Some(attempt) = kept {
            attempt.spend(since_boot().since(sent_at));
        }
        next
    }

    /// Goes on with an attempt that was kept; returns the step that follows.
    pub(super) async fn resume(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        pending: PendingResponse,
    ) -> NextStep {
        match pending {
            PendingResponse::Unanswered(exchange, received) => {
                let accepted = match received {
                    Some(received) => self.accept_head(progress, exchange, *received),
                    None => self.receive_head(progress, exchange).await,
                };
                match accepted {
                    Ok(upstream) => self.deliver(connection, progress, upstream).await,
                    Err(next) => next,
                }
            }
            PendingResponse::Answering(upstream) if self.is_stream(&upstream) => {
                self.relay(connection, progress, *upstream).await
            }
            PendingResponse::Answering(upstream) => {
                self.receive_buffered(connection, progress, *upstream).await
            }
        }
    }

    pub(super) fn replica(&self) -> &SelectedReplica {
        &self.target.replica
    }

    fn record_signals(&self, response: &ReplicaResponse) {
        let SelectedReplica { id, started_unix_ms, .. } = self.replica();
        self.shared.record_signals(id, *started_unix_ms, response.is_leaving, response.pause);
        if response.limit.is_some() || response.ends_limit {
            self.shared.record_limit(id, *started_unix_ms, response.limit);
        }
        if response.rejection != Some(Rejection::Misdirected) {
            self.shared.record_cold_response(id, *started_unix_ms, response.cold);
        }
        if let Some(load) = response.load {
            self.shared.record_load(id, *started_unix_ms, load);
        }
    }

    /// Gives the retry of an attempt that has reached no replica back to the budget.
    fn return_retry(&self, progress: &Progress) {
        if progress.attempts_sent > 0 {
            self.shared.state().budget(&self.request.service).return_retry();
        }
    }

    /// Handles an attempt that was withheld because of the zone of its replica, which is not to
    /// blame.
    fn handle_withheld(&self, progress: &mut Progress, error: &str) -> NextStep {
        self.return_retry(progress);
        progress.refused.insert(self.replica().id.clone());
        info!(self.shared.log, "attempt: withheld"; "id" => &self.request.params.id,
            "replica" => %self.replica().id, "zone" => %self.replica().zone, "reason" => error);
        NextStep::Retry("withheld")
    }

    fn handle_refused_connection(&self, progress: &mut Progress, error: &str) -> NextStep {
        progress.failed_connects += 1;
        self.return_retry(progress);
        progress.refused.insert(self.replica().id.clone());
        self.shared.eject(&self.replica().id, "it does not accept connections");
        self.shared.record_unreachable(&self.replica().id);
        self.shared.check_given_up(self.replica());
        info!(self.shared.log, "attempt: not sent"; "id" => &self.request.params.id,
            "replica" => %self.replica().id, "error" => error);
        NextStep::Retry("not_sent")
    }

    fn handle_rejection(
        &self,
        progress: &mut Progress,
        rejection: Rejection,
        status: u16,
    ) -> NextStep {
        progress.refused.insert(self.replica().id.clone());
        info!(self.shared.log, "attempt: not run"; "id" => &self.request.params.id,
            "replica" => %self.replica().id, "status" => status);
        // A model that the caller has chosen may be the reason instead.
        let is_misdirected = rejection == Rejection::Misdirected;
        if is_misdirected && self.request.params.model.is_none() {
            self.shared.eject(&self.replica().id, "another process has its address");
        }
        NextStep::Retry(NOT_RUN)
    }

    /// Handles a silence. The replica may be sound, so its connection stays open until another
    /// replica has taken the request over.
    fn handle_silence(
        &self,
        progress: &mut Progress,
        pending: PendingResponse,
        error: &str,
    ) -> NextStep {
        if !self.target.has_been_silent {
            if !self.is_slow_because_cold() {
                self.record_response(ResponseOutcome::Failure);
                if self.shared.record_failure(&self.replica().id) {
                    self.shared.record_unreachable(&self.replica().id);
                }
            }
            info!(self.shared.log, "attempt: silent"; "id" => &self.request.params.id,
                "replica" => %self.replica().id, "error" => error);
        }
        if !progress.has_response_started() {
            progress.pinned_version = None;
        }
        progress.avoids_canary = true;
        NextStep::Silent(Box::new(pending))
    }

    /// Handles a failure that leaves open whether the request ran: retries a request that is
    /// repeatable, and ends any other.
    fn handle_failure(
        &self,
        progress: &mut Progress,
        reason: &'static str,
        received: Received,
        error: &str,
    ) -> NextStep {
        let request = self.request;
        self.shared.record_failure(&self.replica().id);
        let partial_event_bytes = received.partial_event_bytes();
        if partial_event_bytes > 0 {
            self.shared.metrics.partial_events.inc();
        }
        info!(self.shared.log, "attempt: failed"; "id" => &request.params.id,
            "content" => %request.content, "replica" => %self.replica().id, "reason" => reason,
            "received" => %received, "partial_event_bytes" => partial_event_bytes,
            "error" => error);
        if !progress.has_response_started() {
            progress.pinned_version = None;
        }
        if request.route.kind.is_repeatable() {
            progress.avoids_canary = true;
            return NextStep::Retry(reason);
        }
        if progress.has_response_started() {
            return NextStep::Done(RequestOutcome::Truncated(error.to_owned()));
        }
        let reply = request.error_reply(ErrorKind::OutcomeUnknown, error);
        NextStep::Done(RequestOutcome::Failed(reply))
    }

    /// Receives the head of the response of a replica that runs the request; the error is the step
    /// that follows if there is none.
    async fn receive_head(
        &self,
        progress: &mut Progress,
        mut exchange: Exchange,
    ) -> Result<UpstreamResponse, NextStep> {
        let stall_limits = StallLimits::for_head(self.request);
        let received = exchange.receive_head(self.request, stall_limits).await;
        self.accept_head(progress, exchange, received)
    }

    /// Accepts the head of a response, unless it says that the replica has not run the request.
    fn accept_head(
        &self,
        progress: &mut Progress,
        mut exchange: Exchange,
        received: ReceivedHead,
    ) -> Result<UpstreamResponse, NextStep> {
        let (head, response) = match received {
            Ok(received) => received,
            Err(SendError::Stalled(error)) => {
                let pending = PendingResponse::Unanswered(exchange, None);
                return Err(self.handle_silence(progress, pending, &error));
            }
            Err(error) => {
                exchange.trial.fail();
                return Err(self.handle_failure(
                    progress,
                    "lost",
                    Received::Nothing,
                    &error.to_string(),
                ));
            }
        };
        if let Some(fault) = response.fault {
            let (received, error) = (Received::Head(head.framing), fault.to_string());
            return Err(self.handle_failure(progress, fault.reason(), received, &error));
        }
        self.record_signals(&response);
        if let Some(rejection) = response.rejection {
            exchange.trial.dismiss();
            return Err(self.handle_rejection(progress, rejection, response.status));
        }
        Ok(UpstreamResponse::new(exchange, head, response, progress.position))
    }

    /// Forwards a response whose head has been received.
    async fn deliver(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        upstream: UpstreamResponse,
    ) -> NextStep {
        if self.is_stream(&upstream) {
            self.receive_stream(connection, progress, upstream).await
        } else if progress.has_response_started() {
            let error = "the replica did not resume the stream";
            self.handle_failure(progress, "refused", upstream.received_so_far(), error)
        } else {
            self.receive_buffered(connection, progress, upstream).await
        }
    }

    fn is_stream(&self, upstream: &UpstreamResponse) -> bool {
        self.request.is_stream(upstream.response.status)
    }

    async fn receive_stream(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        upstream: UpstreamResponse,
    ) -> NextStep {
        let request = self.request;
        if !progress.has_response_started() {
            self.record_stream_start();
            self.record_first_event(since_boot());
            self.observe_model(progress, upstream.response.confidence);
        }
        // The larger model may run on the same replica.
        progress.tried.remove(&self.replica().id);
        if self.should_escalate(progress, &upstream)
            && self.shared.try_take_retry(request, FAILURE_RESERVE)
        {
            progress.has_reserved_retry = true;
            self.record_response(ResponseOutcome::Success);
            self.record_escalation(progress, upstream.response.confidence);
            return NextStep::Escalate(Box::new(upstream));
        }
        if !progress.has_response_started() {
            self.report_accepted(upstream.response.confidence);
        }
        progress.tried.insert(self.replica().id.clone());
        self.relay(connection, progress, upstream).await
    }

    async fn relay(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        mut upstream: UpstreamResponse,
    ) -> NextStep {
        progress.pinned_version = Some(self.replica().version.clone());
        let limits = StallLimits::for_event(self.request);
        let mut pace = PaceRecorder::new(self.shared, self.request, self.target);
        let relaying =
            relay_stream(connection, self.request, progress, &mut upstream, limits, &mut pace);
        let outcome = relaying.await;
        progress.position = progress.position.with_signs_of(upstream.splitter.position());
        match outcome {
            StreamOutcome::Complete => {
                self.log_close_delimited(upstream.head.framing, upstream.received_so_far());
                upstream.exchange.trial.complete();
                self.record_response(ResponseOutcome::Success);
                self.record_output(progress.position.event_count());
                let (service, route) = (&self.request.service, &self.request.route.name);
                self.shared.state().event_ids.record(service, route, progress.position);
                let status = upstream.response.status;
                // The replica is released before a slow caller has read the response.
                upstream.exchange.finish(progress);
                let flushed = match &mut progress.outbox {
                    Some(outbox) => outbox.flush().await,
                    None => Ok(()),
                };
                NextStep::Done(match flushed {
                    Ok(()) => RequestOutcome::Answered(status),
                    Err(_gone) => RequestOutcome::CallerGone,
                })
            }
            StreamOutcome::CallerGone => NextStep::Done(RequestOutcome::CallerGone),
            StreamOutcome::Stalled(error) => self.handle_silence(
                progress,
                PendingResponse::Answering(Box::new(upstream)),
                &error,
            ),
            StreamOutcome::Broken(error) => {
                upstream.exchange.trial.fail();
                self.handle_failure(progress, "broken", upstream.received_so_far(), &error)
            }
            StreamOutcome::Unconfirmed => {
                // One other replica is asked.
                progress.far_end = FarEnd::Take;
                NextStep::Unconfirmed(Box::new(upstream))
            }
        }
    }

    /// Logs a response that ended with its connection, as it also does if its replica ends.
    fn log_close_delimited(&self, framing: Framing, received: Received) {
        if framing == Framing::UntilClose {
            info!(self.shared.log, "attempt: ended with its connection";
                "id" => &self.request.params.id, "replica" => %self.replica().id,
                "received" => %received);
        }
    }

    async fn receive_buffered(
        &self,
        connection: &mut Connection,
        progress: &mut Progress,
        mut upstream: UpstreamResponse,
    ) -> NextStep {
        let request = self.request;
        let limit = StallLimits::for_head(request);
        let waited = match upstream.read_error.take() {
            Some(error) => Ok(Err(error)),
            None => upstream.wait_for_all(limit).await,
        };
        let received = upstream.received_so_far();
        let taken = waited.map(|read| read.and_then(|()| upstream.take_body()));
        let body = match taken {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                upstream.exchange.trial.fail();
                return self.handle_failure(progress, "torn", received, &error.to_string());
            }
            Err(error) => {
                return self.handle_silence(
                    progress,
                    PendingResponse::Answering(Box::new(upstream)),
                    &error,
                );
            }
        };
        let received_at = since_boot();
        if upstream.head.framing == Framing::UntilClose {
            let Exchange { trial, connection: replica, .. } = &upstream.exchange;
            let end = trial.check_unframed_end(&request.params.id, replica).await;
            if !end.is_complete() {
                upstream.exchange.trial.fail();
                return self.handle_failure(progress, "torn", received, &end.to_string());
            }
        }
        self.log_close_delimited(upstream.head.framing, received);
        let UpstreamResponse { mut exchange, head, response, memory, .. } = upstream;
        // A complete response is not given up; its connection may still take the rest of the request.
        drop(memory);
        let is_failure = response.status >= 500;
        let outcome = if is_failure { ResponseOutcome::Failure } else { ResponseOutcome::Success };
        self.record_response_at(outcome, received_at);
        if is_failure {
            self.shared.record_failure(&self.replica().id);
            if request.route.kind.is_repeatable() {
                exchange.finish(progress);
                progress.avoids_canary = true;
                progress.upstream_failure = Some((head, body));
                return NextStep::Retry("failed");
            }
        }
        if !is_failure {
            if self.target.model.is_none() {
                self.record_first_event(received_at);
            }
            if response.status >= 300 {
                exchange.trial.succeed_request();
            } else {
                exchange.trial.complete();
            }
        }
        exchange.finish(progress);
        progress.first_byte_at = Some(since_boot());
        self.shared.record_first_event(request, progress);
        match write_complete(connection, &head, &body, request.after_response).await {
            Ok(()) => NextStep::Done(RequestOutcome::Answered(response.status)),
            Err(_gone) => NextStep::Done(RequestOutcome::CallerGone),
        }
    }

    /// Whether the response of a small model is to be replaced by that of the next larger one.
    fn should_escalate(&self, progress: &Progress, upstream: &UpstreamResponse) -> bool {
        let position = self.target.position;
        let (Some(larger), Some(confidence)) =
            (self.steps.get(position + 1), upstream.response.confidence)
        else {
            return false;
        };
        let may_escalate = !progress.has_response_started()
            && self.is_replaced(confidence, Millis(0))
            && progress.attempts_sent < self.request.route.attempt_limit.0
            && self.shared.check_permission(self.request, true).is_none();
        if !may_escalate {
            return false;
        }
        let larger = self.shared.select_replica(self.request, progress, Some(&larger.model));
        larger.is_some_and(|larger| self.is_replaced(confidence, larger.expected_wait))
    }
}
