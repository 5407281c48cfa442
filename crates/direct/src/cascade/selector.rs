//! Selects the models for a request from what was observed of them.
//!
//! The load is streams of several routes with prompts of 600 to 12,000 tokens; each entry learns
//! from its own requests only.

use super::{
    CascadeStep, ModelChoice,
    confidence::{Calibration, ConfidenceHistogram, ConfidencePairs},
    plan::{Estimate, PlanTerms, PlannedModel},
    room::CapacityRoom,
};
use crate::{Prompt, stable_hash};
use derive_more::Display;
use ibissail_core::{Count, Millis, ModelId, ServiceId};
use std::collections::BTreeMap;

/// Responses of a model that must have been observed before its confidences count.
const MIN_RESPONSES: f64 = 30.0;
/// Share of the requests that try another order of models, while too little is known of it and
/// later.
const FIRST_EXPLORED_SHARE: f64 = 0.25;
const LATER_EXPLORED_SHARE: f64 = 0.03;
/// Advantage that another order of models must have over the usual one, in runs of the largest.
const MIN_ADVANTAGE: f64 = 0.05;
/// Time after which an observed time to the first event no longer counts: the load has changed.
const TIME_VALIDITY: Millis = Millis(5_000);
/// Weight of the newest time to the first event, among logarithms.
const TIME_WEIGHT: f64 = 0.2;
/// Prompt tokens that take as much engine time as one generated token.
const PROMPT_TOKENS_PER_OUTPUT: f64 = 8.0;
/// Engine time of a model relative to the next larger one where no prices tell it.
const ASSUMED_COST_RATIO: f64 = 1.0 / 3.0;
/// Lowest engine time of a model relative to the largest.
const MIN_RUN_COST: f64 = 0.02;
/// Most records kept; the one used least recently is removed for another.
const MAX_RECORDS: usize = 1_024;

/// Length of a prompt, as far as it decides how well a model responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PromptLength {
    /// Up to 1,500 tokens.
    Short,
    /// Up to 5,000 tokens.
    Medium,
    /// Above.
    Long,
}

impl PromptLength {
    fn of(prompt: &Prompt) -> Self {
        match prompt.input.0 {
            0..=1_500 => Self::Short,
            1_501..=5_000 => Self::Medium,
            _ => Self::Long,
        }
    }
}

/// A request for which models are selected.
#[derive(Debug, Clone, Copy)]
pub struct ModelQuery<'r> {
    /// Service that runs the models.
    pub service: &'r ServiceId,
    /// Name of the route.
    pub route: &'r str,
    /// Models of the route, smallest first.
    pub models: &'r [ModelId],
    /// Time per token of each of them, relative to the largest; other values than those between 0 and
    /// 1 count as unknown.
    pub token_times: &'r [f64],
    /// The prompt.
    pub prompt: &'r Prompt,
    /// Rank of the route, for the fixed cascade; 0 is the most urgent.
    pub route_urgency: u32,
    /// Rank of the request.
    pub urgency: u32,
    /// Most replicas that the request may be sent to.
    pub attempt_limit: Count,
    /// Latency objective for the first event.
    pub objective: Millis,
    /// Time left until the first event is late.
    pub time_left: Millis,
    /// Whether the models are selected from observations; the fixed cascade is used otherwise.
    pub is_adaptive: bool,
    /// Whether requests are delayed or rejected for lack of capacity.
    pub is_capacity_short: bool,
    /// Random number of the request.
    pub random: u64,
}

impl ModelQuery<'_> {
    /// Engine time of a response in runs of the largest model. Values that cannot be ratios of a
    /// smaller model are replaced by assumed ones.
    fn run_cost(&self, index: usize) -> f64 {
        let larger = self.models.len().saturating_sub(index + 1);
        match self.token_times.get(index) {
            _ if larger == 0 => 1.0,
            Some(ratio) if *ratio > 0.0 && *ratio < 1.0 => ratio.max(MIN_RUN_COST),
            _ => ASSUMED_COST_RATIO.powf(larger.min(3) as f64),
        }
    }
}

/// Why certain models are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PlanReason {
    /// The fixed cascade: observations are not used, or there are too few.
    #[display("fixed")]
    Fixed,
    /// It has the highest expected value.
    #[display("best")]
    Best,
    /// It is tried in order to observe it.
    #[display("explored")]
    Explored,
}

/// Models to ask in turn, and what is expected of them.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlan {
    /// The models; empty if the route names none.
    pub steps: Vec<CascadeStep>,
    /// Why they were selected.
    pub reason: PlanReason,
    /// Expected share of sufficient responses on time, from 0 to 1.
    pub quality: f64,
    /// Expected engine time in runs of the largest model.
    pub engine_time: f64,
}

/// What was observed of a model on one route at one length of prompts.
#[derive(Debug, Clone, Default)]
struct ModelRecord {
    /// Confidences of responses that no other model's preceded.
    first: ConfidenceHistogram,
    /// Confidences of responses that replace another one.
    second: ConfidenceHistogram,
    /// Confidences of responses that were replaced, and of those that replaced them.
    pairs: ConfidencePairs,
    /// Mean logarithm of the time to the first event, and when it was last observed.
    first_event: Option<(f64, Millis)>,
    used_at: Millis,
}

impl ModelRecord {
    fn confidences(&self, is_first: bool) -> &ConfidenceHistogram {
        if is_first { &self.first } else { &self.second }
    }

    /// How its confidences are read; as they are before enough have been observed.
    fn calibration(&self, is_first: bool) -> Calibration {
        let confidences = self.confidences(is_first);
        if confidences.count() < MIN_RESPONSES {
            return Calibration::default();
        }
        confidences.calibration(self.pairs.reliability())
    }

    fn first_event(&self, now: Millis) -> Option<Millis> {
        let (mean, at) = self.first_event?;
        (now.since(at) < TIME_VALIDITY).then(|| Millis(mean.exp() as u64))
    }
}

type RecordKey = (String, PromptLength, ModelId);

/// Selects models from the confidences and times that were observed.
#[derive(Debug, Clone, Default)]
pub struct ModelSelector {
    records: BTreeMap<RecordKey, ModelRecord>,
    rooms: BTreeMap<ServiceId, CapacityRoom>,
}

impl ModelSelector {
    /// Models to ask for a request.
    ///
    /// Minimises the expected engine time at the quality that the rank and the capacity demand.
    /// Without `is_adaptive`, or while too little was observed, it is the fixed cascade of the
    /// smallest and the largest model.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Count, Millis, Tokens};
    /// use ibissail_direct::{ModelQuery, ModelSelector, Prompt};
    /// let models = ["small".parse()?, "large".parse()?];
    /// let prompt = Prompt { input: Tokens(600), ..Prompt::default() };
    /// let service = "writers".parse()?;
    /// let query = ModelQuery {
    ///     service: &service,
    ///     route: "drafts",
    ///     models: &models,
    ///     token_times: &[0.1, 1.0],
    ///     prompt: &prompt,
    ///     route_urgency: 0,
    ///     urgency: 0,
    ///     attempt_limit: Count(3),
    ///     objective: Millis(2_000),
    ///     time_left: Millis(2_000),
    ///     is_adaptive: true,
    ///     is_capacity_short: false,
    ///     random: 7,
    /// };
    /// let plan = ModelSelector::default().plan(&query, Millis(0));
    /// assert_eq!(plan.steps[0].model, models[0]);
    /// # Ok::<(), ibissail_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn plan(&mut self, query: &ModelQuery<'_>, now: Millis) -> ModelPlan {
        let steps = ModelChoice::Cascade.steps(query.models, query.route_urgency);
        let fixed = ModelPlan { steps, reason: PlanReason::Fixed, quality: 0.0, engine_time: 0.0 };
        let count = query.models.len();
        if !query.is_adaptive || count < 2 || query.token_times.len() != count {
            return fixed;
        }
        if query.is_capacity_short {
            self.rooms.entry(query.service.clone()).or_default().record_shortage();
        }
        let orders = possible_orders(count, query.attempt_limit);
        if let Some(order) = self.explored(query, &orders) {
            return self.build(query, order, PlanReason::Explored, now).unwrap_or(fixed);
        }
        let known = orders.iter().filter(|order| self.is_known(query, order));
        let mut best: Option<(&Vec<usize>, Estimate)> = None;
        for order in known {
            let estimate = self.estimate(query, order, now);
            let margin = if order[0] == 0 { 0.0 } else { MIN_ADVANTAGE };
            if best.is_none_or(|(_, best)| estimate.value > best.value + margin) {
                best = Some((order, estimate));
            }
        }
        // The largest model alone needs no observations, but is compared with the smallest.
        let is_smallest_known = self.is_known(query, &[0]);
        match best {
            Some((order, _)) if is_smallest_known => {
                self.build(query, order, PlanReason::Best, now).unwrap_or(fixed)
            }
            _ => fixed,
        }
    }

    /// Whether the response of `step`, of this confidence, is to be replaced by that of the step
    /// after it. `expected_wait` is the wait for the larger model at the replica selected for it.
    ///
    /// `query.time_left` is the time left now. Without `is_adaptive` the fixed bounds decide.
    #[must_use]
    pub fn should_escalate(
        &self,
        query: &ModelQuery<'_>,
        steps: &[CascadeStep],
        position: usize,
        confidence: u8,
        expected_wait: Millis,
        now: Millis,
    ) -> bool {
        let Some(step) = steps.get(position) else { return false };
        if !query.is_adaptive || query.token_times.len() != query.models.len() {
            return step.should_escalate(confidence, expected_wait, query.time_left);
        }
        let order: Vec<usize> = steps[position..]
            .iter()
            .filter_map(|step| query.models.iter().position(|model| *model == step.model))
            .collect();
        if order.len() < 2 || order.len() != steps.len() - position {
            return false;
        }
        let empty = ConfidenceHistogram::default();
        let mut planned = self.planned(query, &order, position == 0, &empty, now);
        planned[1].first_event = planned[1].first_event.max(expected_wait);
        let terms = self.terms(query);
        let replaced = terms.replaced(&planned[0], &planned[1..], Millis(0));
        terms.accepted_value(&planned[0], confidence) < replaced.value
    }

    /// Records the confidence of a model's response. `replaced` is the model, and the confidence, of
    /// the response that it replaces; `None` if no other model has responded before.
    pub fn record_confidence(
        &mut self,
        query: &ModelQuery<'_>,
        model: &ModelId,
        replaced: Option<(&ModelId, u8)>,
        confidence: u8,
        now: Millis,
    ) {
        if let Some((smaller, replaced)) = replaced
            && let Some(record) = self.record(query, smaller, now)
        {
            record.pairs.record(replaced, confidence);
        }
        let Some(record) = self.record(query, model, now) else { return };
        match replaced {
            Some(_) => record.second.record(confidence),
            None => record.first.record(confidence),
        }
    }

    /// Records the time from sending a request to the begin of the model's response.
    pub fn record_first_event(
        &mut self,
        query: &ModelQuery<'_>,
        model: &ModelId,
        took: Millis,
        now: Millis,
    ) {
        let Some(record) = self.record(query, model, now) else { return };
        let observed = (took.0.max(1) as f64).ln();
        let mean = match record.first_event {
            Some((mean, at)) if now.since(at) < TIME_VALIDITY => {
                mean + TIME_WEIGHT * (observed - mean)
            }
            _ => observed,
        };
        record.first_event = Some((mean, now));
        let room = self.rooms.entry(query.service.clone()).or_default();
        room.record(took, query.objective, now);
    }

    /// The record to add an observation to; `None` if the models are not selected from them.
    fn record(
        &mut self,
        query: &ModelQuery<'_>,
        model: &ModelId,
        now: Millis,
    ) -> Option<&mut ModelRecord> {
        if !query.is_adaptive || !query.models.contains(model) {
            return None;
        }
        let key = record_key(query, model);
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.used_at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.and_then(|key| self.records.remove(&key));
        }
        let record = self.records.entry(key).or_default();
        record.used_at = now;
        Some(record)
    }

    /// Whether enough was observed of all models of an order whose responses may be refused.
    fn is_known(&self, query: &ModelQuery<'_>, order: &[usize]) -> bool {
        order
            .iter()
            .enumerate()
            .all(|(position, index)| self.observed(query, *index, position == 0) >= MIN_RESPONSES)
    }

    /// Number of confidences observed of a model; unlimited for the largest.
    fn observed(&self, query: &ModelQuery<'_>, index: usize, is_first: bool) -> f64 {
        if index + 1 == query.models.len() {
            return f64::INFINITY;
        }
        let record = self.records.get(&record_key(query, &query.models[index]));
        record.map_or(0.0, |record| record.confidences(is_first).count())
    }

    /// The order of models that this request tries in order to observe it, if it is to try one.
    /// Nothing is tried while capacity is short.
    fn explored<'o>(
        &self,
        query: &ModelQuery<'_>,
        orders: &'o [Vec<usize>],
    ) -> Option<&'o Vec<usize>> {
        if query.is_capacity_short {
            return None;
        }
        let draw = |name: &str| stable_hash(&[name, &query.random.to_string()]);
        let cascades: Vec<&Vec<usize>> = orders.iter().filter(|order| order.len() > 1).collect();
        let chosen = usize::try_from(draw("order") % cascades.len().max(1) as u64).ok()?;
        let order = *cascades.get(chosen)?;
        let is_known = self.is_known(query, order);
        let share = if is_known { LATER_EXPLORED_SHARE } else { FIRST_EXPLORED_SHARE };
        let point = (draw("share") % 10_000) as f64 / 10_000.0;
        (point < share).then_some(order)
    }

    fn terms(&self, query: &ModelQuery<'_>) -> PlanTerms {
        let room = self.rooms.get(query.service).copied().unwrap_or_default();
        let worth = room.worth(query.urgency, query.is_capacity_short);
        PlanTerms { worth, time_left: query.time_left }
    }

    fn estimate(&self, query: &ModelQuery<'_>, order: &[usize], now: Millis) -> Estimate {
        let empty = ConfidenceHistogram::default();
        let planned = self.planned(query, order, true, &empty, now);
        self.terms(query).estimate(&planned, Millis(0))
    }

    fn build(
        &self,
        query: &ModelQuery<'_>,
        order: &[usize],
        reason: PlanReason,
        now: Millis,
    ) -> Option<ModelPlan> {
        let empty = ConfidenceHistogram::default();
        let planned = self.planned(query, order, true, &empty, now);
        let terms = self.terms(query);
        let whole = terms.estimate(&planned, Millis(0));
        let step = |position: usize| {
            let rest = terms.estimate(&planned[position..], Millis(0));
            let is_last = position + 1 == planned.len();
            Some(CascadeStep {
                model: query.models.get(planned[position].index)?.clone(),
                min_confidence: (!is_last).then_some(rest.min_confidence),
            })
        };
        let steps = (0..planned.len()).map(step).collect::<Option<Vec<CascadeStep>>>()?;
        Some(ModelPlan { steps, reason, quality: whole.quality, engine_time: whole.engine_time })
    }

    fn planned<'a>(
        &'a self,
        query: &ModelQuery<'_>,
        order: &[usize],
        is_first: bool,
        empty: &'a ConfidenceHistogram,
        now: Millis,
    ) -> Vec<PlannedModel<'a>> {
        let planned = |(position, index): (usize, &usize)| {
            let record = self.records.get(&record_key(query, &query.models[*index]));
            let is_largest = index + 1 == query.models.len();
            let is_first = is_first && position == 0;
            let confidences = record.map_or(empty, |record| record.confidences(is_first));
            let calibration = record.map(|record| record.calibration(is_first));
            PlannedModel {
                index: *index,
                run_cost: query.run_cost(*index),
                replaced_part: prompt_part(query.prompt),
                confidences: (!is_largest).then_some(confidences),
                calibration: calibration.unwrap_or_default(),
                first_event: record.and_then(|record| record.first_event(now)).unwrap_or_default(),
            }
        };
        order.iter().enumerate().map(planned).collect()
    }
}

fn record_key(query: &ModelQuery<'_>, model: &ModelId) -> RecordKey {
    (query.route.to_owned(), PromptLength::of(query.prompt), model.clone())
}

/// Part of a run that processes the prompt; confidences arrive after it.
fn prompt_part(prompt: &Prompt) -> f64 {
    let input = prompt.input.0 as f64;
    let output = prompt.output.0 as f64 * PROMPT_TOKENS_PER_OUTPUT;
    if input + output > 0.0 { input / (input + output) } else { 1.0 }
}

/// Orders in which models may be asked: increasing in size and ending with the largest, unless the
/// request may be sent only once. The preferred one among equals is first.
fn possible_orders(count: usize, attempt_limit: Count) -> Vec<Vec<usize>> {
    let largest = count - 1;
    if attempt_limit.0 < 2 {
        return (0..count).map(|only| vec![only]).collect();
    }
    let mut orders: Vec<Vec<usize>> = (0..largest).map(|first| vec![first, largest]).collect();
    if attempt_limit.0 >= 3 {
        orders.extend((1..largest).map(|middle| vec![0, middle, largest]));
    }
    orders.push(vec![largest]);
    orders
}
