//! What the confidences that a model has reported say about a response.
//!
//! Nobody tells whether a response was sufficient. A confidence is the model's own rough opinion,
//! with noise; what is known of a route's earlier confidences tells the noise from the difference.

/// Highest confidence that a model reports.
const MAX_CONFIDENCE: u8 = 100;
/// Confidences that are counted together.
const BIN_WIDTH: u8 = 5;
const BINS: usize = (MAX_CONFIDENCE / BIN_WIDTH) as usize;
/// Responses after which an earlier one counts 1/e: a shift of a route's requests shows within a
/// few hundred of them.
const MEMORY: f64 = 300.0;
/// Confidence at which a response is as likely to be sufficient as not.
const EVEN_CONFIDENCE: f64 = 50.0;
/// Confidence points over which the odds of a sufficient response grow by a factor of e, before
/// anything is known of a route. It corresponds to a noise of some 25 points.
const DEFAULT_SCALE: f64 = 14.0;
/// Lowest such scale: no opinion is more exact than some points.
const MIN_SCALE: f64 = 4.0;
/// Standard deviations of a normal distribution per unit of the logistic one that is nearest to it.
const LOGISTIC_WIDTH: f64 = 1.7;
/// Reliability that is assumed before pairs of confidences are known.
const ASSUMED_RELIABILITY: f64 = 0.7;
/// Number of pairs, and their variance, that the assumption counts for.
const ASSUMED_PAIRS: f64 = 30.0;
const ASSUMED_VARIANCE: f64 = 300.0;
/// Factor on the measured slope: confidences are cut off at 100, which flattens that of a larger
/// model by about a third in the histories of `tests/model_choice.rs`.
const CUT_OFF_CORRECTION: f64 = 1.5;
/// Lowest reliability: a larger model that always reports the same must not make the confidences of
/// a smaller one worthless.
const MIN_RELIABILITY: f64 = 0.5;

/// How a confidence is read as the probability of a sufficient response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Calibration {
    /// Mean confidence of the route's requests.
    mean: f64,
    /// Part of a deviation from the mean that is not noise.
    reliability: f64,
    /// Confidence points over which the odds grow by a factor of e.
    scale: f64,
}

impl Default for Calibration {
    /// Takes confidences as they are.
    fn default() -> Self {
        Self { mean: EVEN_CONFIDENCE, reliability: 1.0, scale: DEFAULT_SCALE }
    }
}

impl Calibration {
    /// Probability that a response of this confidence is sufficient; confidences above 100 count
    /// as 100.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::Calibration;
    /// let calibration = Calibration::default();
    /// assert!(calibration.sufficiency(20) < 0.2 && calibration.sufficiency(90) > 0.9);
    /// ```
    #[must_use]
    pub fn sufficiency(&self, confidence: u8) -> f64 {
        self.sufficiency_at(f64::from(confidence.min(MAX_CONFIDENCE)))
    }

    fn sufficiency_at(&self, confidence: f64) -> f64 {
        let expected = self.mean + self.reliability * (confidence - self.mean);
        1.0 / (1.0 + ((EVEN_CONFIDENCE - expected) / self.scale).exp())
    }

    /// Lowest confidence at which a response is sufficient with this probability; 101 if there is
    /// none.
    pub(super) fn confidence_for(&self, probability: f64) -> u8 {
        if probability.is_nan() || probability <= self.sufficiency(0) {
            return 0;
        }
        if probability > self.sufficiency(MAX_CONFIDENCE) {
            return MAX_CONFIDENCE + 1;
        }
        let odds = probability / (1.0 - probability);
        let expected = EVEN_CONFIDENCE + self.scale * odds.ln();
        (self.mean + (expected - self.mean) / self.reliability).ceil() as u8
    }
}

/// Distribution of a model's recent confidences.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfidenceHistogram {
    bins: [f32; BINS],
    /// Number of recorded confidences, the earlier ones reduced.
    count: f64,
}

fn bin_middle(index: usize) -> f64 {
    (index as f64 + 0.5) * f64::from(BIN_WIDTH)
}

impl ConfidenceHistogram {
    /// Records a confidence; one above 100 is ignored, because no model reports it.
    pub fn record(&mut self, confidence: u8) {
        if confidence > MAX_CONFIDENCE {
            return;
        }
        let kept = 1.0 - 1.0 / MEMORY;
        for bin in &mut self.bins {
            *bin *= kept as f32;
        }
        self.count = self.count * kept + 1.0;
        let index = usize::from(confidence / BIN_WIDTH).min(BINS - 1);
        self.bins[index] += 1.0;
    }

    /// Number of recorded confidences, the earlier ones reduced; at most 300.
    #[must_use]
    pub fn count(&self) -> f64 {
        self.count
    }

    /// The middle, and the share of the responses, of each group of confidences; empty if none has
    /// been recorded.
    fn shares(&self) -> impl Iterator<Item = (f64, f64)> {
        let total: f64 = self.bins.iter().map(|bin| f64::from(*bin)).sum();
        let occupied = self.bins.iter().enumerate().filter(|(_, bin)| **bin > 0.0);
        occupied.map(move |(index, bin)| (bin_middle(index), f64::from(*bin) / total))
    }

    /// Probability of a sufficient response, and share of the responses, for each group of
    /// confidences.
    pub(super) fn sufficiencies(
        &self,
        calibration: Calibration,
    ) -> impl Iterator<Item = (f64, f64)> {
        self.shares().map(move |(middle, share)| (calibration.sufficiency_at(middle), share))
    }

    /// How these confidences are read, if this part of a deviation from their mean is not noise.
    pub(super) fn calibration(&self, reliability: f64) -> Calibration {
        let mean: f64 = self.shares().map(|(middle, share)| middle * share).sum();
        let variance: f64 =
            self.shares().map(|(middle, share)| (middle - mean).powi(2) * share).sum();
        // Deviation of the true value, given a confidence.
        let deviation = (variance * reliability * (1.0 - reliability)).sqrt();
        Calibration { mean, reliability, scale: (deviation / LOGISTIC_WIDTH).max(MIN_SCALE) }
    }
}

/// Confidences of a model and of the larger model that has replaced its response.
///
/// Both have seen the same request, so what they have in common is not noise: the slope of the
/// larger model's confidence over the smaller one's is the reliability. It does not matter that only
/// responses of low confidence are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ConfidencePairs {
    count: f64,
    /// Means of both, and sums of the products of deviations.
    means: [f64; 2],
    squares: f64,
    products: f64,
}

impl ConfidencePairs {
    /// Records the confidences of the replaced response and of the one that replaced it.
    pub(super) fn record(&mut self, replaced: u8, larger: u8) {
        if replaced > MAX_CONFIDENCE || larger > MAX_CONFIDENCE {
            return;
        }
        let kept = 1.0 - 1.0 / MEMORY;
        self.count = self.count * kept + 1.0;
        let before = f64::from(replaced) - self.means[0];
        self.means[0] += before / self.count;
        self.means[1] += (f64::from(larger) - self.means[1]) / self.count;
        self.squares = self.squares * kept + before * (f64::from(replaced) - self.means[0]);
        self.products = self.products * kept + before * (f64::from(larger) - self.means[1]);
    }

    /// Part of a deviation of the smaller model's confidence that is not noise.
    pub(super) fn reliability(&self) -> f64 {
        let assumed = ASSUMED_PAIRS * ASSUMED_VARIANCE;
        let measured = self.products * CUT_OFF_CORRECTION;
        let slope = (measured + ASSUMED_RELIABILITY * assumed) / (self.squares.max(0.0) + assumed);
        slope.clamp(MIN_RELIABILITY, 1.0)
    }
}
