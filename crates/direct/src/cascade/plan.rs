//! The expected quality, engine time and lateness of asking certain models in turn.
//!
//! All values are in runs of the largest model: a run of it costs 1, and a sufficient response on
//! time is worth a number of runs that depends on the rank and on the capacity that is left.

use super::{
    LATE_VALUE,
    confidence::{Calibration, ConfidenceHistogram},
};
use ibissail_core::Millis;

/// Cost of asking a second model, besides its run: the retry budget and the entry's work.
const ESCALATION_COST: f64 = 0.05;
/// Parts of the remaining time up to which a response is expected on time, and from which it is
/// expected late; expected times are medians.
const SURELY_ON_TIME: f64 = 0.75;
const SURELY_LATE: f64 = 1.25;

/// A model that may be asked, and what is known of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedModel<'a> {
    /// Position among the models of the route.
    pub(super) index: usize,
    /// Engine time of a complete response, in runs of the largest model.
    pub(super) run_cost: f64,
    /// Part of that time that is spent when a larger model replaces the response.
    pub(super) replaced_part: f64,
    /// Its confidences; `None` for the largest model, which is always taken as sufficient.
    pub(super) confidences: Option<&'a ConfidenceHistogram>,
    /// How its confidences are read.
    pub(super) calibration: Calibration,
    /// Expected time to its first event.
    pub(super) first_event: Millis,
}

impl PlannedModel<'_> {
    /// Expected share of sufficient responses; 0 if no confidence has been recorded.
    fn sufficiency(&self) -> f64 {
        let Some(confidences) = self.confidences else { return 1.0 };
        let groups = confidences.sufficiencies(self.calibration);
        groups.map(|(sufficiency, share)| sufficiency * share).sum()
    }
}

/// What a plan is measured by.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanTerms {
    /// Worth of a sufficient response on time.
    pub(super) worth: f64,
    /// Time left until a response is late.
    pub(super) time_left: Millis,
}

/// What a plan is expected to yield.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Estimate {
    /// Worth of the response less the engine time.
    pub(super) value: f64,
    /// Share of sufficient responses on time; late ones count in part.
    pub(super) quality: f64,
    /// Engine time in runs of the largest model.
    pub(super) engine_time: f64,
    /// Confidence from which the first model's response is accepted; 0 if it is the only one.
    pub(super) min_confidence: u8,
}

/// Value of a response that is expected at this time, relative to one on time.
fn timeliness(expected: Millis, time_left: Millis) -> f64 {
    let ratio = expected.0 as f64 / time_left.0.max(1) as f64;
    let late = ((ratio - SURELY_ON_TIME) / (SURELY_LATE - SURELY_ON_TIME)).clamp(0.0, 1.0);
    1.0 - late * (1.0 - LATE_VALUE)
}

impl PlanTerms {
    /// Estimates asking the first of these models, and each next one where that is better than to
    /// accept the response of the one before. `elapsed` is the time that has passed before.
    pub(super) fn estimate(self, models: &[PlannedModel<'_>], elapsed: Millis) -> Estimate {
        let Some((model, larger)) = models.split_first() else { return Estimate::default() };
        let at = elapsed.saturating_add(model.first_event);
        let timely = timeliness(at, self.time_left);
        if larger.is_empty() {
            let sufficiency = model.sufficiency();
            let quality = sufficiency * timely;
            let value = self.worth * quality - model.run_cost;
            return Estimate { value, quality, engine_time: model.run_cost, min_confidence: 0 };
        }
        let replaced = self.replaced(model, larger, at);
        // A model of which nothing is known is taken as insufficient.
        let Some(confidences) = model.confidences.filter(|known| known.count() > 0.0) else {
            return replaced;
        };
        let mut sum = Estimate {
            min_confidence: model
                .calibration
                .confidence_for((replaced.value + model.run_cost) / (self.worth * timely)),
            ..Estimate::default()
        };
        for (sufficiency, share) in confidences.sufficiencies(model.calibration) {
            let quality = sufficiency * timely;
            let value = self.worth * quality - model.run_cost;
            let accepted =
                Estimate { value, quality, engine_time: model.run_cost, min_confidence: 0 };
            let better = if accepted.value >= replaced.value { accepted } else { replaced };
            sum.value += share * better.value;
            sum.quality += share * better.quality;
            sum.engine_time += share * better.engine_time;
        }
        sum
    }

    /// Estimates replacing the response of a model that has begun at `elapsed` by larger ones.
    pub(super) fn replaced(
        self,
        model: &PlannedModel<'_>,
        larger: &[PlannedModel<'_>],
        elapsed: Millis,
    ) -> Estimate {
        let next = self.estimate(larger, elapsed);
        let spent = model.run_cost * model.replaced_part;
        Estimate {
            value: next.value - spent - ESCALATION_COST,
            engine_time: next.engine_time + spent,
            ..next
        }
    }

    /// Value of accepting a response of this confidence.
    pub(super) fn accepted_value(self, model: &PlannedModel<'_>, confidence: u8) -> f64 {
        let sufficiency = model.calibration.sufficiency(confidence);
        self.worth * sufficiency * timeliness(Millis(0), self.time_left) - model.run_cost
    }
}
