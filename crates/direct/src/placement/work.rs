//! Work of requests, and the rates at which replicas perform it, learned from observations.
//!
//! Engines differ by a factor of 2, and models by a factor of 10; prices tell neither. Observed
//! times include queues, pauses and prefill of other requests, so the rates are medians.

use crate::Prompt;
use ibissail_core::{Millis, ModelId, ServiceId, Tokens};
use std::collections::{BTreeMap, VecDeque};

/// Time until the first event apart from queues and prefill, in milliseconds; the operators' engines
/// take 47 to 62.
const FIRST_EVENT_OVERHEAD_MS: f64 = 55.0;
/// Prefill rate in tokens per millisecond until one has been learned.
const DEFAULT_PREFILL_RATE: f64 = 25.0;
/// Bounds of a learned prefill rate in tokens per millisecond.
const PREFILL_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);
/// Step of a batch with no request in milliseconds, and the addition for each running request.
const BATCH_STEP_MS: f64 = 3.2;
const BATCH_STEP_MS_PER_REQUEST: f64 = 0.065;
/// Bounds of a learned ratio of a model's step to that of the standard model.
const STEP_RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Work of a call to a service that runs no models in milliseconds, until it has been learned.
const DEFAULT_CALL_MS: f64 = 20.0;
/// Bounds of the learned work of a call in milliseconds.
const CALL_BOUNDS: (f64, f64) = (1.0, 2_000.0);
/// Observations before their median replaces a constant.
const MIN_OBSERVATIONS: usize = 30;
/// Most recent observations of which the median is taken.
const MAX_OBSERVATIONS: usize = 63;
/// Prefill below which a time to the first event says little about the prefill rate.
const MIN_OBSERVED_PREFILL: u64 = 500;
/// Shortest prefill time from which a rate is computed, in milliseconds.
const MIN_PREFILL_MS: f64 = 1.0;
/// Events after the first ones of a stream from which their mean time is known.
const MIN_EVENTS: u64 = 8;
/// Number of recent outputs of a route whose median is taken.
const MAX_OUTPUTS: usize = 31;
/// Outputs of a route before their median is used.
const MIN_OUTPUTS: usize = 5;
/// Most services and models, and most routes, of which observations are kept.
const MAX_KEYS: usize = 256;

/// Rates at which the replicas of a service perform the work of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkRates {
    /// Prompt tokens of this model prefilled per millisecond.
    pub prefill_rate: f64,
    /// The same for the service's usual mix of models, in tokens of the largest model as given by
    /// [`crate::PromptDemand::token_time_ratio`].
    pub pending_rate: f64,
    /// Time to the first event apart from queues and prefill, in milliseconds.
    pub overhead_ms: f64,
    /// Step of a batch relative to that of the standard model; each running request generates one
    /// token in a step.
    pub step_ratio: f64,
    /// Work of a call to a service that runs no models, in milliseconds.
    pub call_ms: f64,
}

impl Default for WorkRates {
    fn default() -> Self {
        Self {
            prefill_rate: DEFAULT_PREFILL_RATE,
            pending_rate: DEFAULT_PREFILL_RATE,
            overhead_ms: FIRST_EVENT_OVERHEAD_MS,
            step_ratio: 1.0,
            call_ms: DEFAULT_CALL_MS,
        }
    }
}

impl WorkRates {
    /// Time for prefilling tokens on a machine of normal speed, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_rate
    }

    /// Time between two events of a stream beside this number of running requests, in milliseconds.
    #[must_use]
    pub fn event_ms(&self, running: f64) -> f64 {
        self.step_ratio * (BATCH_STEP_MS + BATCH_STEP_MS_PER_REQUEST * running)
    }

    /// Time that one more running request adds to each event of the others, in milliseconds.
    #[must_use]
    pub fn added_event_ms(&self) -> f64 {
        self.step_ratio * BATCH_STEP_MS_PER_REQUEST
    }
}

/// The most recent observations of a figure.
#[derive(Debug, Clone, Default)]
struct Observations {
    recent: VecDeque<f64>,
    median: Option<f64>,
}

impl Observations {
    /// Adds an observation; the median is known from `minimum` observations on.
    fn record(&mut self, value: f64, minimum: usize, maximum: usize) {
        if self.recent.len() >= maximum {
            self.recent.pop_front();
        }
        self.recent.push_back(value);
        if self.recent.len() >= minimum {
            let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
            sorted.sort_by(f64::total_cmp);
            self.median = sorted.get(sorted.len() / 2).copied();
        }
    }
}

#[derive(Debug, Clone, Default)]
struct ModelWork {
    prefill_rate: Observations,
    step_ratio: Observations,
}

/// Time to the first event of a request that found no queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEventSample {
    /// Prompt tokens that the replica probably had not cached.
    pub prefill: Tokens,
    /// Tokens of those that the replica may have cached for requests of other entries.
    pub uncertain: Tokens,
    /// Time per token of the model, relative to the largest model, as used for pending prefill.
    pub token_time_ratio: f64,
    /// Time from sending the request to the first event.
    pub took: Millis,
    /// Duration of work on the machine, relative to the normal one.
    pub speed: f64,
}

/// Events of a stream after the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventsSample {
    /// Number of events.
    pub events: u64,
    /// Time in which they arrived.
    pub took: Millis,
    /// Requests at the replica.
    pub running: f64,
    /// Duration of work on the machine, relative to the normal one.
    pub speed: f64,
}

/// Rates learned for each service and model, and outputs for each route.
#[derive(Debug, Clone, Default)]
pub struct LearnedWork {
    models: BTreeMap<ServiceId, BTreeMap<ModelId, ModelWork>>,
    /// Prefill rates of all models of a service, in tokens of the largest model.
    pending_rates: BTreeMap<ServiceId, Observations>,
    calls: BTreeMap<ServiceId, Observations>,
    outputs: BTreeMap<String, Observations>,
}

impl LearnedWork {
    /// Rates for a model of a service, or for calls to a service that runs no models; constants
    /// where fewer than 30 observations are known.
    #[must_use]
    pub fn rates(&self, service: &ServiceId, model: Option<&ModelId>) -> WorkRates {
        let defaults = WorkRates::default();
        let call_ms = self.calls.get(service).and_then(|calls| calls.median);
        let call_ms = call_ms.unwrap_or(defaults.call_ms);
        let work = model.and_then(|model| self.models.get(service)?.get(model));
        let prefill_rate = work.and_then(|work| work.prefill_rate.median);
        let step_ratio = work.and_then(|work| work.step_ratio.median);
        let pending_rate = self.pending_rates.get(service).and_then(|rates| rates.median);
        WorkRates {
            prefill_rate: prefill_rate.unwrap_or(defaults.prefill_rate),
            pending_rate: pending_rate.unwrap_or(defaults.pending_rate),
            step_ratio: step_ratio.unwrap_or(defaults.step_ratio),
            call_ms,
            ..defaults
        }
    }

    /// Learns from the time to the first event of a request that found no queue.
    pub fn record_first_event(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        sample: FirstEventSample,
    ) {
        let FirstEventSample { prefill, uncertain, token_time_ratio, took, speed } = sample;
        // The rate would be too high if much of the prompt had been cached unnoticed.
        if prefill.0 < MIN_OBSERVED_PREFILL || uncertain.0.saturating_mul(4) > prefill.0 {
            return;
        }
        let prefill_ms = (took.0 as f64 - FIRST_EVENT_OVERHEAD_MS) / speed.max(0.1);
        let rate = prefill.0 as f64 / prefill_ms.max(MIN_PREFILL_MS);
        let (least, most) = PREFILL_RATE_BOUNDS;
        if let Some(work) = self.model_work(service, model) {
            work.prefill_rate.record(rate.clamp(least, most), MIN_OBSERVATIONS, MAX_OBSERVATIONS);
            let pending_rates = self.pending_rates.entry(service.clone()).or_default();
            let rate = (rate * token_time_ratio).clamp(least, most);
            pending_rates.record(rate, MIN_OBSERVATIONS, MAX_OBSERVATIONS);
        }
    }

    /// Learns from the mean time between the events of a stream; one with less than eight of them
    /// after the first is ignored.
    pub fn record_events(&mut self, service: &ServiceId, model: &ModelId, sample: EventsSample) {
        let EventsSample { events, took, running, speed } = sample;
        if events < MIN_EVENTS {
            return;
        }
        let event_ms = took.0 as f64 / events as f64;
        let standard = BATCH_STEP_MS + BATCH_STEP_MS_PER_REQUEST * running.max(0.0);
        let ratio = event_ms / speed.max(0.1) / standard;
        let (least, most) = STEP_RATIO_BOUNDS;
        if !ratio.is_finite() {
            return;
        }
        if let Some(work) = self.model_work(service, model) {
            let ratio = ratio.clamp(least, most);
            work.step_ratio.record(ratio, MIN_OBSERVATIONS, MAX_OBSERVATIONS);
        }
    }

    /// Learns from the time of a call that found a free slot.
    pub fn record_call(&mut self, service: &ServiceId, took: Millis, speed: f64) {
        if self.calls.len() >= MAX_KEYS && !self.calls.contains_key(service) {
            return;
        }
        let (least, most) = CALL_BOUNDS;
        let work = (took.0 as f64 / speed.max(0.1)).clamp(least, most);
        let calls = self.calls.entry(service.clone()).or_default();
        calls.record(work, MIN_OBSERVATIONS, MAX_OBSERVATIONS);
    }

    /// Records the output of a complete response, for the requests to come on the route.
    pub fn record_output(&mut self, route: &str, output: Tokens) {
        if self.outputs.len() >= MAX_KEYS && !self.outputs.contains_key(route) {
            return;
        }
        let outputs = self.outputs.entry(route.to_owned()).or_default();
        outputs.record(output.0 as f64, MIN_OUTPUTS, MAX_OUTPUTS);
    }

    /// Expected output of a request, at most what it permits.
    #[must_use]
    pub fn expected_output(&self, route: &str, prompt: &Prompt, hint: Option<Tokens>) -> Tokens {
        let observed = self.outputs.get(route).and_then(|outputs| outputs.median);
        expected_output(prompt.output, hint, observed)
    }

    fn model_work(&mut self, service: &ServiceId, model: &ModelId) -> Option<&mut ModelWork> {
        let is_known = self.models.get(service).is_some_and(|models| models.contains_key(model));
        let count: usize = self.models.values().map(BTreeMap::len).sum();
        if !is_known && count >= MAX_KEYS {
            return None;
        }
        Some(self.models.entry(service.clone()).or_default().entry(model.clone()).or_default())
    }
}

/// Expected output: the geometric mean of the caller's estimate, which is often far off, and the
/// median of the route's recent outputs; one of them if only one is known, and half of the maximum
/// otherwise.
fn expected_output(most: Tokens, hint: Option<Tokens>, observed: Option<f64>) -> Tokens {
    let most = most.0 as f64;
    let hint = hint.map(|hint| (hint.0 as f64).clamp(1.0, most.max(1.0)));
    let observed = observed.map(|observed| observed.clamp(1.0, most.max(1.0)));
    let expected = match (hint, observed) {
        (Some(hint), Some(observed)) => (hint * observed).sqrt(),
        (Some(one), None) | (None, Some(one)) => one,
        (None, None) => most / 2.0,
    };
    Tokens(expected.min(most) as u64)
}
