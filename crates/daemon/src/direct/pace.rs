//! The pace of a stream as evidence on the version of its replica.

use super::{
    Shared, State,
    progress::{Progress, Target},
    request::AdmittedRequest,
};
use crate::clock::since_boot;
use ibissail_core::{InstanceId, Millis, ModelId, Tokens};
use ibissail_direct::{StreamPace, pace_class};
use std::sync::Arc;

/// Measures the pace of one attempt's stream, and records it once.
#[derive(Debug)]
pub(super) struct PaceRecorder<'a> {
    shared: &'a Arc<Shared>,
    request: &'a AdmittedRequest,
    target: &'a Target,
    pace: StreamPace,
    /// Pending prefill of all requests at the replica: the larger value of those at the beginning
    /// and the end of the measurement.
    prefill_beside: Option<Tokens>,
    /// When the first events arrived.
    first_at: Option<Millis>,
    /// When the last events arrived, and how many have arrived after the first ones.
    last: (Millis, u64),
}

impl State {
    /// Prompt tokens at a replica that wait to be prefilled, for this entry and its peers.
    fn pending_prefill(&self, replica: &InstanceId, now: Millis) -> Tokens {
        let own = self.loads.get(replica).copied().unwrap_or_default().pending_prefill;
        Tokens(own.0.saturating_add(self.peers.pending_prefill(replica, now).0))
    }
}

impl<'a> PaceRecorder<'a> {
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        request: &'a AdmittedRequest,
        target: &'a Target,
    ) -> Self {
        Self {
            shared,
            request,
            target,
            pace: StreamPace::default(),
            prefill_beside: None,
            first_at: None,
            last: (Millis(0), 0),
        }
    }

    /// Records that the first event is sent to the caller.
    pub(super) fn record_first_event(&self, progress: &Progress) {
        self.shared.record_first_event(self.request, progress);
    }

    /// Records complete events that have arrived.
    pub(super) fn record_events(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        let now = since_boot();
        if self.first_at.is_some() {
            self.last = (now, self.last.1 + count);
        } else {
            self.first_at = Some(now);
        }
        if self.prefill_beside.is_none() {
            let state = self.shared.state();
            self.prefill_beside = Some(state.pending_prefill(&self.target.replica.id, now));
        }
        if let Some(pace) = self.pace.record_events(count, now) {
            self.record(pace);
        }
    }

    fn record(&self, pace: Millis) {
        // The silence has been counted as a failure of this attempt.
        if self.target.has_been_silent {
            return;
        }
        let replica = &self.target.replica;
        // A cold replica is slow whatever its version.
        if self.target.was_cold || self.shared.is_cold(&replica.id) {
            return;
        }
        let mut state = self.shared.state();
        let prefill_now = state.pending_prefill(&replica.id, since_boot());
        let prefill_beside = self.prefill_beside.unwrap_or_default().max(prefill_now);
        let model = self.target.model.as_ref().map_or("-", ModelId::as_str);
        let class = pace_class(&self.request.route.name, model, prefill_beside);
        state.record_stream_time(&self.request.service, &replica.version, class, pace);
    }
}

impl Drop for PaceRecorder<'_> {
    /// Records the pace of a short stream, and of one that its caller has left, perhaps because it
    /// was slow.
    fn drop(&mut self) {
        if let Some(pace) = self.pace.finish() {
            self.record(pace);
        }
        let Some(first_at) = self.first_at.filter(|_| !self.target.has_been_silent) else { return };
        let (last_at, count) = self.last;
        self.shared.record_event_time(self.request, self.target, last_at.since(first_at), count);
    }
}
