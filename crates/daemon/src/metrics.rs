//! Metrics of a process, in the Prometheus text format.

use ibissail_core::{ClassId, ErrorKind, OrganisationId};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{sync::Arc, time::Duration};

/// Upper bounds of the histogram buckets, in seconds; they include the users' latency targets.
const BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.039, 0.06, 0.1, 0.25, 0.51, 1.0, 2.5, 10.0, 60.0];

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    organisation: String,
    class: String,
}

impl RequestLabels {
    pub(crate) fn new(organisation: &OrganisationId, class: &ClassId) -> Self {
        Self { organisation: organisation.to_string(), class: class.to_string() }
    }
}

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabels {
    kind: String,
}

type Histograms = Family<RequestLabels, Histogram>;

fn histograms() -> Histograms {
    Family::new_with_constructor(|| Histogram::new(BOUNDS))
}

/// Metrics of an entry or a sidecar; clones share the same values.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    /// Time until a replica accepted the request.
    queueing: Histograms,
    /// Time until the first bytes of the response.
    first_token: Histograms,
    /// Time between consecutive chunks of a stream.
    between_tokens: Histograms,
    /// Time until the response was complete.
    whole: Histograms,
    /// Requests that ended with an error, by kind.
    refusals: Family<KindLabels, Counter>,
    /// Attempts after the first one of each request.
    pub(crate) reroutes: Counter,
    /// Attempts to attach to a run over a new connection, successful or not.
    pub(crate) reattachments: Counter,
    /// Frames received for another run.
    pub(crate) crossed_frames: Counter,
    /// Settings documents received that were new.
    pub(crate) documents_learned: Counter,
    /// Watches started at the platform.
    pub(crate) watches: Counter,
    /// Runs under which an upstream has ended.
    pub(crate) upstream_crashes: Counter,
    /// Requests that are quarantined because they crash upstreams.
    pub(crate) quarantined_requests: Gauge,
    /// Requests refused because they are quarantined.
    pub(crate) quarantine_refusals: Counter,
    /// Usage records that are not durable yet.
    pub(crate) unsettled_records: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("ibissail");
        let metrics = Self {
            registry: Arc::default(),
            queueing: histograms(),
            first_token: histograms(),
            between_tokens: histograms(),
            whole: histograms(),
            refusals: Family::default(),
            reroutes: Counter::default(),
            reattachments: Counter::default(),
            crossed_frames: Counter::default(),
            documents_learned: Counter::default(),
            watches: Counter::default(),
            upstream_crashes: Counter::default(),
            quarantined_requests: Gauge::default(),
            quarantine_refusals: Counter::default(),
            unsettled_records: Gauge::default(),
        };
        let seconds = [
            ("queueing_seconds", "Time until a replica took the request", &metrics.queueing),
            ("first_token_seconds", "Time until the first bytes", &metrics.first_token),
            ("between_tokens_seconds", "Time between pieces", &metrics.between_tokens),
            ("whole_seconds", "Time until the whole answer", &metrics.whole),
        ];
        for (name, help, family) in seconds {
            registry.register(name, help, family.clone());
        }
        registry.register("refusals", "Refusals by kind", metrics.refusals.clone());
        registry.register("reroutes", "Attempts beyond the first", metrics.reroutes.clone());
        registry.register("reattachments", "Answers taken up again", metrics.reattachments.clone());
        registry.register("crossed_frames", "Frames of other runs", metrics.crossed_frames.clone());
        let learned = metrics.documents_learned.clone();
        registry.register("documents_learned", "Settings documents learned", learned);
        registry.register("watches", "Watches begun at the platform", metrics.watches.clone());
        let crashes = metrics.upstream_crashes.clone();
        registry.register("upstream_crashes", "Runs under which an upstream has ended", crashes);
        let requests = metrics.quarantined_requests.clone();
        registry.register("quarantined_requests", "Quarantined requests", requests);
        let refusals = metrics.quarantine_refusals.clone();
        registry.register("quarantine_refusals", "Requests refused by a quarantine", refusals);
        let unsettled = metrics.unsettled_records.clone();
        registry.register("unsettled_records", "Usage records not yet durable", unsettled);
        Self { registry: Arc::new(registry), ..metrics }
    }

    pub(crate) fn observe_queueing(&self, labels: &RequestLabels, time: Duration) {
        self.queueing.get_or_create(labels).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_first_token(&self, labels: &RequestLabels, time: Duration) {
        self.first_token.get_or_create(labels).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_between_tokens(&self, labels: &RequestLabels, time: Duration) {
        self.between_tokens.get_or_create(labels).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_whole(&self, labels: &RequestLabels, time: Duration) {
        self.whole.get_or_create(labels).observe(time.as_secs_f64());
    }

    pub(crate) fn count_refusal(&self, kind: ErrorKind) {
        self.refusals.get_or_create(&KindLabels { kind: kind.code().to_owned() }).inc();
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let _infallible = encode(&mut text, &self.registry);
        text
    }
}
