//! Effects of the outcome of an attempt on the health of its replica and on the rollout.

use super::{Shared, attempt::Attempt, peers::truncate_hash};
use crate::clock::since_boot;
use ibissail_core::{InstanceId, Millis, ModelId};
use ibissail_direct::{Sample, latency_class, stable_hash};
use slog::warn;

/// The outcome of a replica's response, as evidence on its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseOutcome {
    /// The response was complete, or was received as far as it was needed.
    Success,
    /// The replica responded with a server error, or was silent for too long.
    Failure,
}

impl Shared {
    /// Records a failure of a replica; returns whether it has just been ejected.
    pub(super) fn record_failure(&self, replica: &InstanceId) -> bool {
        let now = since_boot();
        let mut state = self.state();
        let is_ejected = state.health.entry(replica.clone()).or_default().record_failure(now);
        if is_ejected {
            warn!(self.log, "replica: ejected"; "replica" => %replica);
        }
        is_ejected
    }

    pub(super) fn eject(&self, replica: &InstanceId, reason: &'static str) {
        let mut state = self.state();
        let health = state.health.entry(replica.clone()).or_default();
        if !health.is_ejected(since_boot()) {
            health.eject(since_boot());
            warn!(self.log, "replica: ejected"; "replica" => %replica, "reason" => reason);
        }
    }
}

impl Attempt<'_> {
    /// Hash of the route, the model and the magnitude of the pending prefill; latencies are
    /// compared only between attempts with the same hash.
    fn latency_class(&self) -> u32 {
        let model = self.target.model.as_ref().map_or("-", ModelId::as_str);
        latency_class(&self.request.route.name, model, self.replica().pending_prefill)
    }

    /// Records the time until a stream started, as evidence on the replica's version.
    pub(super) fn record_stream_start(&self) {
        if self.is_cold() {
            return;
        }
        let took = since_boot().since(self.target.started);
        let service = &self.request.service;
        self.shared.state().record_stream_time(
            service,
            &self.replica().version,
            self.latency_class(),
            took,
        );
    }

    /// Records a response, or the lack of one, as evidence on the replica's version; adds the
    /// prompt to the replica's cached prefixes, and a success to its health record.
    pub(super) fn record_response(&self, outcome: ResponseOutcome) {
        self.record_response_at(outcome, since_boot());
    }

    /// Records the outcome of a response that arrived, or failed to arrive, at `now`.
    pub(super) fn record_response_at(&self, outcome: ResponseOutcome, now: Millis) {
        let request = self.request;
        let is_bad = outcome == ResponseOutcome::Failure;
        let is_buffered = !request.route.kind.is_stream();
        let sample = Sample {
            route: truncate_hash(stable_hash(&[&request.route.name])),
            latency_class: self.latency_class(),
            replica: stable_hash(&[self.replica().id.as_str()]),
            is_failure: is_bad,
            latency_ms: (is_buffered && !self.is_cold())
                .then_some(now.since(self.target.started).0),
        };
        let mut state = self.shared.state();
        if !self.target.is_recorded {
            state.record_response(&request.service, &self.replica().version, &sample);
        }
        if !is_bad {
            state.health.entry(self.replica().id.clone()).or_default().record_success();
        }
        if let Some(model) = &self.target.model {
            state.prefixes.record(&self.replica().id, model, &request.params.prompt, now);
        }
    }
}
