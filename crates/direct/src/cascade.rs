//! Which model answers first, and when its answer is replaced by a larger model's.

use ibissail_core::{Millis, ModelId};

/// Confidence, of 100, below which a small model's answer is replaced on the most urgent routes.
const MIN_CONFIDENCE: u8 = 55;
/// By how much less confidence suffices for each further rank.
const CONFIDENCE_PER_RANK: u8 = 8;
/// Confidence below which an answer is replaced whatever its rank.
const LEAST_CONFIDENCE: u8 = 47;

/// Confidence from which an answer is better than a larger model's that comes late: the users
/// count a late answer as three tenths of one on time.
const BETTER_THAN_LATE: u8 = 25;

/// A model in the order of trying.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CascadeStep {
    /// The model.
    pub model: ModelId,
    /// Least confidence with which its answer is taken; `None` takes any.
    pub min_confidence: Option<u8>,
}

impl CascadeStep {
    /// Whether a larger model would be asked if its answer came in time.
    #[must_use]
    pub fn is_unconfident(&self, confidence: u8) -> bool {
        self.min_confidence.is_some_and(|least| confidence < least)
    }

    /// Whether an answer of this confidence is replaced by the next model's.
    ///
    /// Answers the load of bursts: while the larger model's answers come late, a doubtful answer
    /// on time serves the caller better and leaves the larger model to others.
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
    /// # Ok::<(), ibissail_core::UnitError>(())
    /// ```
    #[must_use]
    pub fn should_escalate(&self, confidence: u8, expected_wait: Millis, rest: Millis) -> bool {
        let comes_late = expected_wait > rest;
        self.is_unconfident(confidence) && (!comes_late || confidence < BETTER_THAN_LATE)
    }
}

/// How models are chosen on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelChoice {
    /// The largest model answers all requests.
    Largest,
    /// The smallest model answers all requests.
    Smallest,
    /// The smallest model answers, and the largest where it is not confident.
    Cascade,
}

impl ModelChoice {
    /// The models to try in order, from those of a route, smallest first.
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

/// Least confidence with which a small model's answer is taken at this rank.
fn min_confidence(urgency: u32) -> u8 {
    let rank = u8::try_from(urgency).unwrap_or(u8::MAX);
    MIN_CONFIDENCE.saturating_sub(CONFIDENCE_PER_RANK.saturating_mul(rank)).max(LEAST_CONFIDENCE)
}
