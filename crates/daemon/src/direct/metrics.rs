//! Metrics of a direct entry.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{sync::Arc, time::Duration};

/// Upper bounds of the histogram buckets, in seconds; they include the users' latency objectives.
const HISTOGRAM_BUCKETS: [f64; 12] =
    [0.01, 0.03, 0.06, 0.15, 0.3, 0.6, 1.0, 1.5, 2.0, 4.0, 10.0, 25.0];

/// Upper bounds of the histogram buckets of the error of an expected time, in seconds; positive if
/// the time was shorter than expected.
const ERROR_BUCKETS: [f64; 12] =
    [-4.0, -2.0, -1.0, -0.5, -0.2, -0.05, 0.05, 0.2, 0.5, 1.0, 2.0, 4.0];

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) route: String,
    pub(crate) outcome: String,
}

/// Labels of a latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabels {
    pub(crate) route: String,
    pub(crate) organisation: String,
}

/// Labels of a request that waited for capacity or was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AdmissionLabels {
    pub(crate) event: String,
    pub(crate) rank: u32,
    pub(crate) reason: String,
}

/// Label of a counter by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    pub(crate) route: String,
}

/// Labels of a finished attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    pub(crate) end: String,
}

type Histograms = Family<RouteLabels, Histogram>;

/// Metrics of a direct entry; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct DirectMetrics {
    registry: Arc<Registry>,
    requests: Family<OutcomeLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
    escalations: Family<RouteLabel, Counter>,
    low_confidence_accepted: Family<RouteLabel, Counter>,
    first_byte_time: Histograms,
    total_time: Histograms,
    /// Expected minus observed times to the first event, of requests placed by reported load.
    expectation_errors: Histogram,
    /// Requests that run at replicas, as reported lately.
    pub(crate) reported_running: Gauge,
    /// Requests that wait at replicas, as reported lately.
    pub(crate) reported_waiting: Gauge,
    /// Replicas that have reported their load lately.
    pub(crate) reporting_replicas: Gauge,
    /// Calls to the store.
    pub(crate) store_calls: Counter,
    /// Calls to the store that failed.
    pub(crate) store_failures: Counter,
    /// Restores of the store from an older copy.
    pub(crate) store_restores: Counter,
    /// Replicas that have said that they are leaving.
    pub(crate) leaving_replicas: Counter,
    /// Pauses that replicas have asked for.
    pub(crate) replica_pauses: Counter,
    /// Cold replicas.
    pub(crate) cold_replicas: Gauge,
    /// Requests that were not sent to a cold replica because its limit is used.
    pub(crate) cold_withheld: Counter,
    /// Crashes of replicas that a request may have caused.
    pub(crate) crashes: Counter,
    /// Quarantined parts of prompts.
    pub(crate) quarantined_parts: Gauge,
    /// Quarantined requests.
    pub(crate) quarantined_requests: Gauge,
    /// Requests refused because they or a part of them are quarantined.
    pub(crate) quarantine_refusals: Counter,
    /// Age of the configuration, in milliseconds.
    pub(crate) configuration_age: Gauge,
    /// Listed replicas.
    pub(crate) replicas: Gauge,
    /// Evacuated availability zones.
    pub(crate) evacuated_zones: Gauge,
    /// Requests that were running in a zone when its evacuation became known.
    pub(crate) evacuation_requests: Counter,
    /// Requests that are still being sent after their responses.
    pub(crate) unsent_requests: Gauge,
    /// Memory that they hold, in bytes.
    pub(crate) unsent_bytes: Gauge,
    /// Requests whose rest was not sent after their responses.
    pub(crate) cut_requests: Counter,
    /// Memory of messages that are not small, in bytes.
    pub(crate) message_bytes: Gauge,
    /// Responses that were given up because that memory was used up.
    pub(crate) given_up_responses: Counter,
    /// Attempts that failed inside an event of a stream.
    pub(crate) partial_events: Counter,
    /// Live peers.
    pub(crate) peers: Gauge,
    /// Estimated number of live entries, including those that are not known as peers.
    pub(crate) entries: Gauge,
}

impl DirectMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("ibissail_direct");
        let metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            attempts: Family::default(),
            admissions: Family::default(),
            escalations: Family::default(),
            low_confidence_accepted: Family::default(),
            first_byte_time: Family::new_with_constructor(|| Histogram::new(HISTOGRAM_BUCKETS)),
            total_time: Family::new_with_constructor(|| Histogram::new(HISTOGRAM_BUCKETS)),
            expectation_errors: Histogram::new(ERROR_BUCKETS),
            reported_running: Gauge::default(),
            reported_waiting: Gauge::default(),
            reporting_replicas: Gauge::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            store_restores: Counter::default(),
            leaving_replicas: Counter::default(),
            replica_pauses: Counter::default(),
            cold_replicas: Gauge::default(),
            cold_withheld: Counter::default(),
            crashes: Counter::default(),
            quarantined_parts: Gauge::default(),
            quarantined_requests: Gauge::default(),
            quarantine_refusals: Counter::default(),
            configuration_age: Gauge::default(),
            replicas: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuation_requests: Counter::default(),
            unsent_requests: Gauge::default(),
            unsent_bytes: Gauge::default(),
            cut_requests: Counter::default(),
            message_bytes: Gauge::default(),
            given_up_responses: Counter::default(),
            partial_events: Counter::default(),
            peers: Gauge::default(),
            entries: Gauge::default(),
        };
        registry.register("requests", "Ended requests", metrics.requests.clone());
        registry.register("attempts", "Ended attempts", metrics.attempts.clone());
        let help = "Requests that waited for capacity, were rejected or left";
        registry.register("admissions", help, metrics.admissions.clone());
        let escalations = metrics.escalations.clone();
        registry.register("escalations", "Responses replaced by a larger model", escalations);
        registry.register(
            "low_confidence_accepted",
            "Responses of low confidence that were accepted",
            metrics.low_confidence_accepted.clone(),
        );
        registry.register(
            "first_seconds",
            "Time until the first bytes",
            metrics.first_byte_time.clone(),
        );
        registry.register(
            "whole_seconds",
            "Time until the whole answer",
            metrics.total_time.clone(),
        );
        metrics.register_load(&mut registry);
        metrics.register_unsent(&mut registry);
        registry.register("store_calls", "Calls to the store", metrics.store_calls.clone());
        let failures = metrics.store_failures.clone();
        registry.register("store_failures", "Calls to the store that failed", failures);
        let restores = metrics.store_restores.clone();
        registry.register("store_restores", "Restores of the store from an older copy", restores);
        let leaving = metrics.leaving_replicas.clone();
        registry.register("leaving_replicas", "Replicas that said that they leave", leaving);
        let pauses = metrics.replica_pauses.clone();
        registry.register("replica_pauses", "Pauses that replicas asked for", pauses);
        registry.register("cold_replicas", "Cold replicas", metrics.cold_replicas.clone());
        let withheld = metrics.cold_withheld.clone();
        registry.register("cold_withheld", "Requests withheld from cold replicas", withheld);
        let crashes = metrics.crashes.clone();
        registry.register("replica_crashes", "Crashes that a request may have caused", crashes);
        let parts = metrics.quarantined_parts.clone();
        registry.register("quarantined_parts", "Quarantined parts of prompts", parts);
        let requests = metrics.quarantined_requests.clone();
        registry.register("quarantined_requests", "Quarantined requests", requests);
        let refusals = metrics.quarantine_refusals.clone();
        registry.register("quarantine_refusals", "Requests refused by a quarantine", refusals);
        let age = metrics.configuration_age.clone();
        registry.register("configuration_age_ms", "Age of the configuration", age);
        registry.register("replicas", "Replicas listed", metrics.replicas.clone());
        let evacuated = metrics.evacuated_zones.clone();
        registry.register("evacuated_zones", "Evacuated availability zones", evacuated);
        let running = metrics.evacuation_requests.clone();
        registry.register(
            "evacuation_requests",
            "Requests running in a zone at the start of its evacuation",
            running,
        );
        registry.register("peers", "Peers heard of lately", metrics.peers.clone());
        registry.register("entries", "Estimated number of entries", metrics.entries.clone());
        Self { registry: Arc::new(registry), ..metrics }
    }

    fn register_load(&self, registry: &mut Registry) {
        registry.register(
            "first_error_seconds",
            "Expected minus observed time to the first event",
            self.expectation_errors.clone(),
        );
        let running = self.reported_running.clone();
        registry.register("reported_running", "Requests that replicas report to run", running);
        let waiting = self.reported_waiting.clone();
        registry.register("reported_waiting", "Requests that replicas report to wait", waiting);
        let reporting = self.reporting_replicas.clone();
        registry.register("reporting_replicas", "Replicas with a recent load report", reporting);
    }

    fn register_unsent(&self, registry: &mut Registry) {
        let requests = self.unsent_requests.clone();
        registry.register("unsent_requests", "Requests sent on after their responses", requests);
        let bytes = self.unsent_bytes.clone();
        registry.register("unsent_bytes", "Memory of requests sent on after responses", bytes);
        let cut = self.cut_requests.clone();
        registry.register("cut_requests", "Requests not sent whole after their responses", cut);
        let messages = self.message_bytes.clone();
        registry.register("message_bytes", "Memory of messages, in bytes", messages);
        let given_up = self.given_up_responses.clone();
        registry.register("given_up_responses", "Responses given up for lack of memory", given_up);
        let partial = self.partial_events.clone();
        registry.register("partial_events", "Attempts that failed inside an event", partial);
    }

    /// Records an expected and an observed time to the first event.
    pub(crate) fn observe_expectation(&self, expected: Duration, observed: Duration) {
        self.expectation_errors.observe(expected.as_secs_f64() - observed.as_secs_f64());
    }

    pub(crate) fn count_request(&self, route: &str, outcome: &str) {
        let labels = OutcomeLabels { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_attempt(&self, end: &str) {
        self.attempts.get_or_create(&AttemptLabels { end: end.to_owned() }).inc();
    }

    pub(crate) fn count_admission(&self, event: &str, rank: u32, reason: &str) {
        let labels = AdmissionLabels { event: event.to_owned(), rank, reason: reason.to_owned() };
        self.admissions.get_or_create(&labels).inc();
    }

    pub(crate) fn count_escalation(&self, route: &str) {
        self.escalations.get_or_create(&RouteLabel { route: route.to_owned() }).inc();
    }

    pub(crate) fn count_low_confidence_accepted(&self, route: &str) {
        self.low_confidence_accepted.get_or_create(&RouteLabel { route: route.to_owned() }).inc();
    }

    pub(crate) fn observe_first_byte(&self, labels: &RouteLabels, time: Duration) {
        self.first_byte_time.get_or_create(labels).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_total_time(&self, labels: &RouteLabels, time: Duration) {
        self.total_time.get_or_create(labels).observe(time.as_secs_f64());
    }

    /// Encodes all metrics in the text exposition format.
    pub(crate) fn encode_text(&self) -> String {
        let mut text = String::new();
        let _infallible = encode(&mut text, &self.registry);
        text
    }
}
