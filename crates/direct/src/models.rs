//! Which model answers first, and when its answer is replaced by a larger model's.

use ibissail_core::ModelId;

/// Confidence, of 100, below which a small model's answer is replaced on the most urgent routes.
const MIN_CONFIDENCE: u8 = 55;
/// By how much less confidence suffices for each further rank.
const CONFIDENCE_PER_RANK: u8 = 8;
/// Confidence below which an answer is replaced whatever its rank.
const LEAST_CONFIDENCE: u8 = 47;

/// A model in the order of trying.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The model.
    pub model: ModelId,
    /// Least confidence with which its answer is taken; `None` takes any.
    pub min_confidence: Option<u8>,
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
    pub fn steps(self, models: &[ModelId], urgency: u32) -> Vec<Step> {
        let last = |model: &ModelId| Step { model: model.clone(), min_confidence: None };
        match (self, models) {
            (_, []) => Vec::new(),
            (Self::Smallest, [smallest, ..]) => vec![last(smallest)],
            (Self::Cascade, [smallest, .., largest]) => {
                let min_confidence = Some(min_confidence(urgency));
                let first = Step { model: smallest.clone(), min_confidence };
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
