//! Selects the model that responds first, and decides when a larger model replaces its response.

mod confidence;
mod plan;
mod room;
mod selector;

pub use confidence::{Calibration, ConfidenceHistogram};
pub use selector::{ModelPlan, ModelQuery, ModelSelector, PlanReason};

use ibissail_core::{Millis, ModelId};

/// Confidence, out of 100, below which a small model's response is replaced on the most urgent
/// routes.
const MIN_CONFIDENCE_MOST_URGENT: u8 = 55;
/// Reduction of that confidence for each further rank of urgency.
const CONFIDENCE_PER_RANK: u8 = 8;
/// Confidence below which a response is replaced at any rank.
const MIN_CONFIDENCE_ANY_RANK: u8 = 47;

/// Confidence from which a response on time is better than a larger model's late one: operators
/// value a late response at three tenths of one on time.
const MIN_CONFIDENCE_ON_TIME: u8 = 25;
/// Value of a late response relative to one on time, as operators state it.
const LATE_VALUE: f64 = 0.3;

/// One of the models that a request tries in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CascadeStep {
    /// Model that is asked.
    pub model: ModelId,
    /// Minimum confidence at which its response is accepted; `None` accepts any.
    pub min_confidence: Option<u8>,
}

impl CascadeStep {
    /// Whether the confidence is too low, so that a larger model is asked if it can respond in
    /// time.
    #[must_use]
    pub fn is_unconfident(&self, confidence: u8) -> bool {
        self.min_confidence.is_some_and(|min| confidence < min)
    }

    /// Whether a larger model replaces a response of this confidence.
    ///
    /// `expected_wait` is the larger model's, `time_left` the time until a response is late.
    ///
    /// During a burst the larger model responds late. A doubtful response on time then serves the
    /// caller better, and leaves the larger model to other requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::CascadeStep;
    /// let step = CascadeStep { model: "small".parse()?, min_confidence: Some(50) };
    /// assert!(step.should_escalate(30, Millis(200), Millis(1_000)));
    /// assert!(!step.should_escalate(30, Millis(2_000), Millis(1_000)));
    /// assert!(step.should_escalate(10, Millis(2_000), Millis(1_000)));
    /// # Ok::<(), ibissail_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn should_escalate(
        &self,
        confidence: u8,
        expected_wait: Millis,
        time_left: Millis,
    ) -> bool {
        let is_late = expected_wait > time_left;
        self.is_unconfident(confidence) && (!is_late || confidence < MIN_CONFIDENCE_ON_TIME)
    }
}

/// How the models of a route are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelChoice {
    /// The largest model responds to every request.
    Largest,
    /// The smallest model responds to every request.
    Smallest,
    /// The smallest model responds first; the largest replaces responses that are not confident.
    Cascade,
}

impl ModelChoice {
    /// Models to try, in order; `models` are those of the route, smallest first.
    #[must_use]
    pub fn steps(self, models: &[ModelId], urgency: u32) -> Vec<CascadeStep> {
        let last = |model: &ModelId| CascadeStep { model: model.clone(), min_confidence: None };
        match (self, models) {
            (_, []) => Vec::new(),
            (Self::Smallest, [smallest, ..]) => vec![last(smallest)],
            (Self::Cascade, [smallest, .., largest]) => {
                let min_confidence = Some(min_confidence(urgency));
                let first = CascadeStep { model: smallest.clone(), min_confidence };
                vec![first, last(largest)]
            }
            (Self::Largest | Self::Cascade, [.., largest]) => vec![last(largest)],
        }
    }
}

/// Minimum confidence at which the fixed cascade accepts a small model's response at this rank; 0 is
/// the most urgent.
///
/// # Examples
///
/// ```
/// assert!(ibissail_direct::min_confidence(0) > ibissail_direct::min_confidence(1));
/// ```
#[must_use]
pub fn min_confidence(urgency: u32) -> u8 {
    let rank = u8::try_from(urgency).unwrap_or(u8::MAX);
    MIN_CONFIDENCE_MOST_URGENT
        .saturating_sub(CONFIDENCE_PER_RANK.saturating_mul(rank))
        .max(MIN_CONFIDENCE_ANY_RANK)
}
