//! Load that replicas report, what is learned from attempts for the placement of later ones, and the
//! tokens that entries tell each other.

use super::{
    Shared,
    attempt::Attempt,
    peers::{Notice, replica_hash},
    progress::Target,
    request::AdmittedRequest,
    state::State,
};
use crate::clock::since_boot;
use ibissail_core::{InstanceId, Millis, Tokens};
use ibissail_direct::{CountedRequests, EventsSample, FirstEventSample, ReportedLoad, told_held};
use slog::info;

impl State {
    /// Present duration of work at a replica, relative to the normal one.
    fn speed(&self, id: &InstanceId, now: Millis) -> f64 {
        let replica = self.replicas.get(id);
        let estimate = replica
            .map(|replica| self.reported_loads.estimate(replica, CountedRequests::default(), now));
        estimate.map_or(1.0, |load| load.speed)
    }
}

impl Shared {
    /// Records the load that a run of a replica reports in a response.
    pub(super) fn record_load(
        &self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        report: ReportedLoad,
    ) {
        let now = since_boot();
        let mut state = self.state();
        let own = state.loads.get(id).map_or(0, |load| load.running);
        let State { reported_loads, replicas, .. } = &mut *state;
        let Some(replica) = replicas.get(id) else { return };
        let was_enabled = reported_loads.is_enabled(&replica.service);
        reported_loads.record(replica, started_unix_ms, report, own, now);
        let is_enabled = reported_loads.is_enabled(&replica.service);
        if was_enabled != is_enabled {
            info!(self.log, "placement: reported load"; "service" => %replica.service,
                "is_used" => is_enabled, "replica" => %id);
        }
    }

    /// Sets the metrics of the reported load.
    pub(super) fn measure_reported_load(&self, now: Millis) {
        let (running, waiting, reporting) = self.state().reported_loads.recent_totals(now);
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.reported_running.set(gauge(running));
        self.metrics.reported_waiting.set(gauge(waiting));
        self.metrics.reporting_replicas.set(gauge(reporting));
    }

    /// Notice with the tokens that this entry's requests hold; `None` if no replica of a service
    /// reports its speed. Entries without requests tell so: they would be taken as silent otherwise.
    pub(super) fn build_held(&self) -> Option<Notice> {
        let state = self.state();
        if !state.reported_loads.is_any_enabled() {
            return None;
        }
        let held = state.loads.iter().map(|(id, load)| (replica_hash(id), load.held.0));
        Some(Notice { held: Some(told_held(held.collect())), ..state.empty_notice() })
    }

    /// Learns from the time in which a replica sent `events` of a stream.
    pub(super) fn record_event_time(
        &self,
        request: &AdmittedRequest,
        target: &Target,
        took: Millis,
        events: u64,
    ) {
        let Some(model) = &target.model else { return };
        let expectation = target.replica.expectation;
        let mut state = self.state();
        let speed_now = state.speed(&target.replica.id, since_boot());
        let speed = f64::midpoint(expectation.speed, speed_now);
        let sample = EventsSample { events, took, running: expectation.requests, speed };
        state.work.record_events(&request.service, model, sample);
    }
}

impl Attempt<'_> {
    /// Learns from the time to the first event, or to the response to a call, which arrived at `now`.
    pub(super) fn record_first_event(&self, now: Millis) {
        let (service, expectation) = (&self.request.service, self.replica().expectation);
        let took = now.since(self.target.started);
        if expectation.is_by_load {
            let expected = expectation.first_event.as_duration();
            self.shared.metrics.observe_expectation(expected, took.as_duration());
        }
        if expectation.has_queue || self.target.has_been_silent {
            return;
        }
        let mut state = self.shared.state();
        let speed = f64::midpoint(expectation.speed, state.speed(&self.replica().id, now));
        match &self.target.model {
            None => state.work.record_call(service, took, speed),
            Some(model) => {
                let sample = FirstEventSample {
                    prefill: expectation.prefill,
                    uncertain: expectation.uncertain,
                    token_time_ratio: expectation.token_time_ratio,
                    took,
                    speed,
                };
                state.work.record_first_event(service, model, sample);
            }
        }
    }

    /// Learns the output of a complete stream, one token an event.
    pub(super) fn record_output(&self, events: u64) {
        if self.target.model.is_some() && events > 0 {
            let mut state = self.shared.state();
            state.work.record_output(&self.request.route.name, Tokens(events));
        }
    }
}
