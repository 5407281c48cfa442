//! Compares the responses of a new version with those of the old one.
//!
//! The new version has given only a few dozen responses by the end of its canary phase, and
//! replicas of both versions may fail or be slow for reasons other than their version.

use crate::{Evidence, RouteCounts, is_pace_class};
use derive_more::Display;
use ibissail_core::Count;

/// Difference between the failure rates of a bad version and of the old one that the sequential
/// test assumes.
const BAD_EXCESS_RATE: f64 = 0.25;
/// Failure rate that a good version may have when the old one has no failures.
const GOOD_FAILURE_RATE: f64 = 0.03;
/// Ratio by which a good version's failure rate may exceed the old one's, in addition to
/// [`GOOD_FAILURE_RATE`]; more than 1, because its few replicas vary more.
const GOOD_FAILURE_RATIO: f64 = 1.5;
/// Log-likelihood ratio (LLR) of the failures on all routes above which a version is rejected; this
/// rejects one good version in 300.
const REJECTION_LLR: f64 = 5.7;
/// LLR of the failures on a single route above which a version is rejected; higher, because there
/// are several routes.
const ROUTE_REJECTION_LLR: f64 = 6.9;
/// Minimum number of responses of each version for a comparison of latencies.
const MIN_TIMED_RESPONSES: u32 = 10;
/// Ratio of geometric mean latencies above which a version is rejected.
const REJECTION_LATENCY_RATIO: f64 = 1.6;
/// Standard errors by which the new version's mean log latency must exceed the old one's for a
/// rejection. The comparison is repeated as responses arrive, and chance exceeds 3 too often.
const REJECTION_STANDARD_ERRORS: f64 = 3.5;
/// Ratio of geometric mean latencies above which a version is suspect.
const SUSPECT_LATENCY_RATIO: f64 = 1.25;
/// Standard errors above which a version is suspect; lower than for a rejection, because this
/// comparison is made only once, at the end of the canary phase.
const SUSPECT_STANDARD_ERRORS: f64 = 1.6;
/// Minimum number of paces of the new version for a comparison.
const MIN_PACES: u32 = 5;
/// Ratio of geometric mean paces above which a version is suspect; higher than for latencies,
/// because all streams at a replica share its engine.
const SUSPECT_PACE_RATIO: f64 = 1.35;
/// Limits for rejecting a version by its latencies.
const LATENCY_REJECTION: SlowdownLimits = SlowdownLimits {
    answers: MIN_TIMED_RESPONSES,
    ratio: REJECTION_LATENCY_RATIO,
    errors: REJECTION_STANDARD_ERRORS,
};
/// Limits above which a version's latencies make it suspect.
const LATENCY_SUSPICION: SlowdownLimits = SlowdownLimits {
    answers: MIN_TIMED_RESPONSES,
    ratio: SUSPECT_LATENCY_RATIO,
    errors: SUSPECT_STANDARD_ERRORS,
};
/// Limits for rejecting a version by the paces of its streams. Few streams of a canary are long
/// enough to have one, but paces vary less than latencies.
const PACE_REJECTION: SlowdownLimits =
    SlowdownLimits { answers: MIN_PACES, ratio: REJECTION_LATENCY_RATIO, errors: 4.5 };
/// Limits above which the paces of a version's streams make it suspect.
const PACE_SUSPICION: SlowdownLimits =
    SlowdownLimits { answers: MIN_PACES, ratio: SUSPECT_PACE_RATIO, errors: 3.0 };
/// LLR of the failures, on all routes or on one, above which a version is suspect: one good version
/// in seven is.
const SUSPECT_LLR: f64 = 2.0;
/// Difference of the geometric mean latencies up to which a slower version is not bad; the
/// operators' shortest objective is 150 ms.
const MIN_DELAY_MS: f64 = 10.0;
/// Minimum number of failing replicas for failures to count against a version that has more than
/// one; a single replica may fail for reasons other than its version.
const MIN_FAILING_REPLICAS: u32 = 2;

/// What the slowdown of a version must exceed to count against it.
#[derive(Debug, Clone, Copy)]
struct SlowdownLimits {
    /// Minimum number of compared responses.
    answers: u32,
    /// Ratio of the geometric means.
    ratio: f64,
    /// Difference of the mean logarithms, in standard errors.
    errors: f64,
}

/// Result of comparing the new version with the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Verdict {
    /// No significant difference so far.
    #[display("no difference")]
    NoDifference,
    /// The new version fails more often.
    #[display("more failures")]
    Failing,
    /// The new version is slower.
    #[display("slower answers")]
    Slow,
}

impl Verdict {
    /// Whether the version must be rolled back.
    #[must_use]
    pub fn is_bad(self) -> bool {
        self != Self::NoDifference
    }
}

/// Compares the new version with the old one; `replicas` is the number of replicas of the new one.
///
/// # Examples
///
/// ```
/// use ibissail_core::Count;
/// use ibissail_direct::{Evidence, Sample, Verdict, compare_versions};
/// let mut evidence = Evidence::default();
/// for replica in 0..6 {
///     let sample =
///         Sample { route: 1, latency_class: 1, replica, is_failure: true, latency_ms: None };
///     evidence.new.record(&sample);
/// }
/// assert_eq!(compare_versions(&evidence, Count(6)), Verdict::Failing);
/// ```
#[must_use]
pub fn compare_versions(evidence: &Evidence, replicas: Count) -> Verdict {
    if exceeds_llr(evidence, replicas, REJECTION_LLR, ROUTE_REJECTION_LLR) {
        return Verdict::Failing;
    }
    let is_slow = slowdown(evidence).exceeds(LATENCY_REJECTION)
        || pace_slowdown(evidence).exceeds(PACE_REJECTION);
    if is_slow { Verdict::Slow } else { Verdict::NoDifference }
}

/// Whether a version that has not been rejected should still not take over.
///
/// Sending all requests to a bad version costs callers more than staying with the old one.
#[must_use]
pub fn is_suspect(evidence: &Evidence, replicas: Count) -> bool {
    exceeds_llr(evidence, replicas, SUSPECT_LLR, SUSPECT_LLR)
        || slowdown(evidence).exceeds(LATENCY_SUSPICION)
        || pace_slowdown(evidence).exceeds(PACE_SUSPICION)
}

/// Whether the log-likelihood ratio of the failures exceeds a bound: `max_llr` on all routes
/// together, or `max_route_llr` on one of them.
fn exceeds_llr(evidence: &Evidence, replicas: Count, max_llr: f64, max_route_llr: f64) -> bool {
    let failing = evidence.new.bad_replicas.len();
    let needed = MIN_FAILING_REPLICAS.min(replicas.0.max(1));
    if failing < needed as usize {
        return false;
    }
    let on_route = evidence.new.routes.iter().any(|(route, new)| {
        let old = evidence.old.routes.get(route).copied().unwrap_or_default();
        failure_llr(*new, old) > max_route_llr
    });
    on_route || failure_llr(evidence.new.total(), evidence.old.total()) > max_llr
}

/// Log-likelihood ratio of the new version's responses: a bad version's failure rate against a good
/// one's, as in a sequential probability ratio test.
fn failure_llr(new: RouteCounts, old: RouteCounts) -> f64 {
    let good = (GOOD_FAILURE_RATE + GOOD_FAILURE_RATIO * old.failure_share()).min(0.6);
    let bad = (old.failure_share() + BAD_EXCESS_RATE).max(good + 0.1).min(0.95);
    let failures = f64::from(new.bad) * (bad / good).ln();
    failures + f64::from(new.answers - new.bad) * ((1.0 - bad) / (1.0 - good)).ln()
}

/// How much slower the new version is than the old one for the same classes of responses.
///
/// The names of the fields appear in logs through `Debug`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slowdown {
    /// Responses of the new version that were compared.
    pub answers: u32,
    /// Ratio of the geometric mean latencies.
    pub ratio: f64,
    /// Difference of the geometric mean latencies, in milliseconds.
    pub delay_ms: f64,
    /// Difference of the mean log latencies, in standard errors.
    pub errors: f64,
}

impl Slowdown {
    fn exceeds(&self, limits: SlowdownLimits) -> bool {
        self.answers >= limits.answers
            && self.ratio > limits.ratio
            && self.delay_ms > MIN_DELAY_MS
            && self.errors > limits.errors
    }
}

/// Compares the latencies of both versions over all classes of responses that both have given;
/// those of streams are the times until they began.
#[must_use]
pub fn slowdown(evidence: &Evidence) -> Slowdown {
    compare_times(evidence, |class| !is_pace_class(class))
}

/// Compares the paces of the streams of both versions after their first events.
#[must_use]
pub fn pace_slowdown(evidence: &Evidence) -> Slowdown {
    compare_times(evidence, is_pace_class)
}

/// Compares the times of both versions over those classes that are `included` and that both have.
fn compare_times<F>(evidence: &Evidence, included: F) -> Slowdown
where
    F: Fn(u32) -> bool,
{
    let (mut answers, mut excess, mut variance, mut old_sum) = (0, 0.0, 0.0, 0.0);
    for (class, new) in evidence.new.times.iter().filter(|(class, _)| included(**class)) {
        let Some(old) =
            evidence.old.times.get(class).filter(|old| old.answers >= MIN_TIMED_RESPONSES)
        else {
            continue;
        };
        let count = f64::from(new.answers);
        answers += new.answers;
        excess += count * (new.mean() - old.mean());
        old_sum += count * old.mean();
        // The old version's mean is an estimate too, so its error counts as well.
        variance += old.variance() * (count + count * count / f64::from(old.answers));
    }
    if answers == 0 {
        return Slowdown::default();
    }
    let ratio = (excess / f64::from(answers)).exp();
    let old_ms = (old_sum / f64::from(answers)).exp();
    let delay_ms = old_ms * (ratio - 1.0);
    Slowdown { answers, ratio, delay_ms, errors: excess / variance.sqrt() }
}
