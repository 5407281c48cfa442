//! The progress of a request over its attempts, and where an attempt is made.

use super::{outbox::Outbox, response::ErrorReply, unsent::RequestRest};
use ibissail_core::{ErrorKind, InstanceId, Millis, ModelId, Tokens, VersionId, ZoneId};
use ibissail_http1::{ResponseHead, StreamPosition, UsualIds};
use std::{collections::BTreeSet, net::SocketAddr};

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum RequestOutcome {
    /// The caller has received a complete response with this status.
    Answered(u16),
    /// The caller is to receive this error response.
    Failed(ErrorReply),
    /// The response was started and cannot be completed, for this reason.
    Truncated(String),
    /// The caller has disconnected.
    CallerGone,
}

/// What to do about a stream that may be resumed and ends in order behind an event that is far ahead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum FarEnd {
    /// Ask another replica whether it goes on elsewhere.
    #[default]
    AskAnother,
    /// Take it for complete, unless the replica that is asked contradicts.
    Take,
    /// Another replica has ended in order without the event.
    Refuse,
}

/// The progress of a request over its attempts.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Number of attempts that sent the request.
    pub(crate) attempts_sent: u32,
    /// Whether some replica may have run the request.
    pub(crate) may_have_run: bool,
    /// Replicas that are not tried again.
    pub(crate) tried: BTreeSet<InstanceId>,
    /// Those of them that have not run the request.
    pub(super) refused: BTreeSet<InstanceId>,
    /// The version that has started the response to the caller.
    pub(crate) pinned_version: Option<VersionId>,
    /// Whether further attempts avoid the canary version, because an attempt has failed.
    pub(crate) avoids_canary: bool,
    /// When the request was let through to its attempts, if admission is controlled.
    pub(super) admitted_at: Option<Millis>,
    /// When the first bytes of the response were sent to the caller.
    pub(crate) first_byte_at: Option<Millis>,
    /// Bytes of the response that have been sent to the caller.
    pub(super) relayed_bytes: u64,
    /// Bytes of them that the caller has not accepted; `None` if it is written to directly.
    pub(super) outbox: Option<Outbox>,
    /// How far the caller has received a stream.
    pub(crate) position: StreamPosition,
    pub(super) far_end: FarEnd,
    /// One entry per attempt for the log: replica, model, result, duration.
    pub(crate) attempt_log: Vec<String>,
    /// Connections that could not be opened.
    pub(super) failed_connects: u32,
    /// Whether the next attempt has been taken from the retry budget already.
    pub(super) has_reserved_retry: bool,
    /// Model, and confidence, of the response that a larger model is to replace.
    pub(super) replaced: Option<(ModelId, u8)>,
    /// A replica's error response, which the caller receives if no other replica serves the
    /// request.
    pub(super) upstream_failure: Option<(ResponseHead, Vec<u8>)>,
    /// Rests of requests that its attempts have sent in part, and that nobody else sends.
    pub(super) unsent: Vec<RequestRest>,
}

impl Progress {
    /// Error kind of a request that no replica has served; `NoReplica` if it cannot have run.
    pub(super) fn unserved_kind(&self) -> ErrorKind {
        if self.may_have_run { ErrorKind::OutcomeUnknown } else { ErrorKind::NoReplica }
    }

    /// Whether the head of a response has been sent to the caller.
    pub(crate) fn has_response_started(&self) -> bool {
        self.first_byte_at.is_some()
    }

    /// Lets replicas that have not run the request be asked again, after a silence.
    pub(super) fn forget_refusals(&mut self) {
        for replica in std::mem::take(&mut self.refused) {
            self.tried.remove(&replica);
        }
        self.failed_connects = 0;
    }

    /// Creates the progress of a request that resumes a stream after this event, if any. Events of such
    /// streams usually have these ids.
    pub(crate) fn new(resume_after: Option<u64>, usual_ids: UsualIds) -> Self {
        Self {
            attempts_sent: 0,
            may_have_run: false,
            tried: BTreeSet::new(),
            refused: BTreeSet::new(),
            pinned_version: None,
            avoids_canary: false,
            admitted_at: None,
            first_byte_at: None,
            relayed_bytes: 0,
            outbox: None,
            position: StreamPosition::after(resume_after).with_usual_ids(usual_ids),
            far_end: FarEnd::default(),
            attempt_log: Vec::new(),
            failed_connects: 0,
            has_reserved_retry: false,
            replaced: None,
            upstream_failure: None,
            unsent: Vec::new(),
        }
    }
}

/// The replica selected for an attempt.
#[derive(Debug, Clone)]
pub(crate) struct SelectedReplica {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) version: VersionId,
    /// Availability zone that it runs in.
    pub(crate) zone: ZoneId,
    /// Start time of the run that was selected; `None` if not reported.
    pub(crate) started_unix_ms: Option<u64>,
    /// Prompt tokens that the replica probably has not cached, in tokens of the largest model.
    pub(crate) pending_prefill: Tokens,
    /// Expected time until the replica has prefilled the prompt.
    pub(crate) expected_wait: Millis,
    pub(super) expectation: Expectation,
}

/// What placement expected of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expectation {
    /// Time to the first event, or to the response to a call.
    pub(super) first_event: Millis,
    /// Whether the replica was selected by the load that the service's replicas report.
    pub(super) is_by_load: bool,
    /// Whether the request was expected to wait for others.
    pub(super) has_queue: bool,
    /// Duration of work on the machine, relative to the normal one.
    pub(super) speed: f64,
    /// Requests at the replica.
    pub(super) requests: f64,
    /// Tokens of the prompt that the replica probably has not cached.
    pub(super) prefill: Tokens,
    /// Tokens of those that it may have cached for requests of other entries.
    pub(super) uncertain: Tokens,
    /// Time per token of the model, relative to the largest model, from the prices.
    pub(super) token_time_ratio: f64,
    /// Tokens of KV cache that the request is expected to hold.
    pub(super) held: Tokens,
}

/// Where an attempt is made.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) replica: SelectedReplica,
    /// The model that is asked; `None` if the request names none.
    pub(super) model: Option<ModelId>,
    /// Position of the model in the cascade.
    pub(super) position: usize,
    pub(super) started: Millis,
    /// Whether the replica was cold when it was selected.
    pub(super) was_cold: bool,
    /// Whether the replica has been silent for too long in this attempt.
    pub(super) has_been_silent: bool,
    /// Whether the response, or the silence, has been counted as evidence on the version.
    pub(super) is_recorded: bool,
    /// Rest of the time for which successors may work on the request besides the replica.
    pub(super) handover_left: Millis,
}
