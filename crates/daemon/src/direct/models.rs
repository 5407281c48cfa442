//! Selects the models for a request, and decides whether a larger one replaces a response.

use super::{Shared, State, attempt::Attempt, progress::Progress, request::AdmittedRequest};
use crate::clock::since_boot;
use ibissail_core::{Millis, ModelId, ServiceId};
use ibissail_direct::{CascadeStep, ModelQuery, PlanReason, Shedding, min_confidence, stable_hash};
use slog::{debug, info};

impl AdmittedRequest {
    /// Time left until the first event is late.
    pub(super) fn objective_left(&self, now: Millis) -> Millis {
        self.arrived_at.saturating_add(self.route.objective).since(now)
    }
}

impl State {
    /// Times per token of the models of a route, relative to the largest.
    fn token_times(&self, request: &AdmittedRequest) -> Vec<f64> {
        let models = request.route.models.iter();
        models.map(|model| self.token_time_ratio(&request.service, model)).collect()
    }

    /// Whether the order of models is adapted: while capacity is short, or always by the option.
    ///
    /// With plenty of capacity, long plans got more answers of models too small for them: their credit
    /// was 0.81 instead of 0.85 on a quiet day, as entries learn alone and explore.
    fn adapts_models(&self, service: &ServiceId, now: Millis) -> bool {
        let is_forced = self.shedding == Shedding::On;
        self.is_adaptive(service) && (is_forced || self.is_capacity_short(service, now))
    }

    fn model_query<'r>(
        &self,
        request: &'r AdmittedRequest,
        token_times: &'r [f64],
        now: Millis,
    ) -> ModelQuery<'r> {
        let service = &request.service;
        ModelQuery {
            service,
            route: &request.route.name,
            models: &request.route.models,
            token_times,
            prompt: &request.params.prompt,
            route_urgency: request.route.urgency,
            urgency: request.urgency,
            attempt_limit: request.route.attempt_limit,
            objective: request.route.objective,
            time_left: request.objective_left(now),
            is_adaptive: self.adapts_models(service, now),
            is_capacity_short: self.is_capacity_short(service, now),
            random: stable_hash(&[&request.params.id]),
        }
    }
}

impl Shared {
    /// The models to try in turn; none if the caller has chosen the model.
    pub(super) fn cascade_steps(&self, request: &AdmittedRequest) -> Vec<CascadeStep> {
        if request.params.model.is_some() {
            return Vec::new();
        }
        let now = since_boot();
        let mut state = self.state();
        let token_times = state.token_times(request);
        let query = state.model_query(request, &token_times, now);
        let plan = state.models.plan(&query, now);
        drop(state);
        if plan.reason != PlanReason::Fixed {
            let models: Vec<&str> = plan.steps.iter().map(|step| step.model.as_str()).collect();
            let bounds: Vec<String> = plan
                .steps
                .iter()
                .filter_map(|step| step.min_confidence.map(|bound| bound.to_string()))
                .collect();
            debug!(self.log, "models: selected"; "id" => &request.params.id,
                "route" => &request.route.name, "models" => models.join(","),
                "bounds" => bounds.join(","), "reason" => plan.reason.to_string(),
                "quality" => format!("{:.2}", plan.quality),
                "engine_time" => format!("{:.2}", plan.engine_time),
                "is_capacity_short" => query.is_capacity_short);
        }
        plan.steps
    }
}

impl Attempt<'_> {
    /// Whether the response of this confidence is to be replaced if the larger model's wait is
    /// `expected_wait`.
    pub(super) fn is_replaced(&self, confidence: u8, expected_wait: Millis) -> bool {
        let now = since_boot();
        let state = self.shared.state();
        let token_times = state.token_times(self.request);
        let query = state.model_query(self.request, &token_times, now);
        let position = self.target.position;
        let models = &state.models;
        models.should_escalate(&query, self.steps, position, confidence, expected_wait, now)
    }

    /// Records the confidence and the time to the begin of a response.
    pub(super) fn observe_model(&self, progress: &Progress, confidence: Option<u8>) {
        let (Some(model), false) = (&self.target.model, self.steps.is_empty()) else { return };
        let now = since_boot();
        let mut state = self.shared.state();
        let token_times = state.token_times(self.request);
        let query = state.model_query(self.request, &token_times, now);
        let took = now.since(self.target.started);
        state.models.record_first_event(&query, model, took, now);
        if let Some(confidence) = confidence {
            let replaced = progress.replaced.as_ref();
            let replaced = replaced.map(|(model, confidence)| (model, *confidence));
            state.models.record_confidence(&query, model, replaced, confidence, now);
        }
    }

    /// Records, logs and counts a response that a larger model is to replace.
    pub(super) fn record_escalation(&self, progress: &mut Progress, confidence: Option<u8>) {
        progress.replaced = self.target.model.clone().zip(confidence);
        self.shared.metrics.count_escalation(&self.request.route.name);
        self.log_confidence("models: escalated", confidence.unwrap_or_default());
    }

    /// Logs and counts a response that is delivered, if the fixed cascade would have replaced it.
    pub(super) fn report_accepted(&self, confidence: Option<u8>) {
        let Some(confidence) = confidence else { return };
        let is_low = confidence < min_confidence(self.request.route.urgency);
        let is_largest = self.request.route.models.last() == self.target.model.as_ref();
        if self.steps.is_empty() || is_largest || !is_low {
            return;
        }
        self.shared.metrics.count_low_confidence_accepted(&self.request.route.name);
        self.log_confidence("models: low confidence accepted", confidence);
    }

    fn log_confidence(&self, message: &'static str, confidence: u8) {
        let now = since_boot();
        let (is_adaptive, is_capacity_short) = {
            let state = self.shared.state();
            let service = &self.request.service;
            (state.adapts_models(service, now), state.is_capacity_short(service, now))
        };
        if !is_adaptive {
            return;
        }
        let model = self.target.model.as_ref().map_or("-", ModelId::as_str);
        info!(self.shared.log, "{}", message; "id" => &self.request.params.id,
            "route" => &self.request.route.name, "model" => model, "confidence" => confidence,
            "time_left_ms" => self.request.objective_left(now).0,
            "is_capacity_short" => is_capacity_short);
    }
}
