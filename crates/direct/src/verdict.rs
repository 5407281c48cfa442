//! Compares the answers of a new version with those of the old one.
//!
//! Answers the load of a roll-out: the new version has given some dozens of answers by the end of
//! its trial, and replicas of both fail or are slow for reasons of their own.

use crate::{Evidence, RouteCounts};
use derive_more::Display;

/// Share of failures above the old version's that a bad version is expected to have.
const BAD_EXCESS: f64 = 0.25;
/// Share of failures that a good version may have when the old one has none.
const GOOD_SHARE: f64 = 0.03;
/// Failures of a good version for each of the old one; its few replicas vary more.
const GOOD_FACTOR: f64 = 1.5;
/// Logarithm of the odds at which a version is condemned: one good version in 300.
const CONDEMNING_ODDS: f64 = 5.7;
/// The same on a single route; there are several of them.
const CONDEMNING_ODDS_ON_ROUTE: f64 = 6.9;
/// Fewest answers of each version for a comparison of times.
const MIN_TIMED: u32 = 10;
/// How many times as long a bad version's answers take at least, by the geometric mean.
const SLOW_FACTOR: f64 = 1.6;
/// Standard errors by which the mean logarithm of the new version's times must exceed the old
/// one's; answers that are judged again and again cross 3 by chance too often.
const CONDEMNING_ERRORS: f64 = 3.5;
/// How many times as long a suspect version's answers take at least.
const SUSPECT_FACTOR: f64 = 1.25;
/// Standard errors of a suspect version, which is judged once, at the end of its trial.
const SUSPECT_ERRORS: f64 = 1.6;
/// Logarithm of the odds, on all routes or on one, that a suspect version fails more often: one
/// good version in seven.
const SUSPECT_ODDS: f64 = 2.0;
/// Mean delay below which a slower version is not bad; the users' shortest objective is 150 ms.
const MIN_DELAY_MS: f64 = 10.0;
/// Replicas that must have given bad answers; one alone may be broken by itself.
const MIN_BAD_REPLICAS: usize = 2;

/// What the evidence says of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Verdict {
    /// Nothing speaks against it so far.
    #[display("no difference")]
    NoDifference,
    /// It fails more often.
    #[display("more failures")]
    Failing,
    /// It is slower.
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

/// Compares the versions.
///
/// # Examples
///
/// ```
/// use ibissail_direct::{Evidence, Sample, Verdict, compare_versions};
/// let mut evidence = Evidence::default();
/// for replica in 0..6 {
///     let sample = Sample { route: 1, kind: 1, replica, is_bad: true, time_ms: None };
///     evidence.new.record(&sample);
/// }
/// assert_eq!(compare_versions(&evidence), Verdict::Failing);
/// ```
#[must_use]
pub fn compare_versions(evidence: &Evidence) -> Verdict {
    if fails(evidence, CONDEMNING_ODDS, CONDEMNING_ODDS_ON_ROUTE) {
        return Verdict::Failing;
    }
    let is_slow = slowdown(evidence).exceeds(SLOW_FACTOR, CONDEMNING_ERRORS);
    if is_slow { Verdict::Slow } else { Verdict::NoDifference }
}

/// Whether a version that has not been condemned should not take over either.
///
/// To give all requests to a bad version costs callers more than to stay with the old one.
#[must_use]
pub fn is_suspect(evidence: &Evidence) -> bool {
    fails(evidence, SUSPECT_ODDS, SUSPECT_ODDS)
        || slowdown(evidence).exceeds(SUSPECT_FACTOR, SUSPECT_ERRORS)
}

/// Whether the odds of failing exceed a bound, on all routes together or on one of them.
fn fails(evidence: &Evidence, odds: f64, odds_on_route: f64) -> bool {
    if evidence.new.bad_replicas.len() < MIN_BAD_REPLICAS {
        return false;
    }
    let on_route = evidence.new.routes.iter().any(|(route, new)| {
        let old = evidence.old.routes.get(route).copied().unwrap_or_default();
        odds_of_failing(*new, old) > odds_on_route
    });
    on_route || odds_of_failing(evidence.new.total(), evidence.old.total()) > odds
}

/// Logarithm of the odds that the new version fails more often: a sequential test of two shares.
fn odds_of_failing(new: RouteCounts, old: RouteCounts) -> f64 {
    let good = (GOOD_SHARE + GOOD_FACTOR * old.bad_share()).min(0.6);
    let bad = (old.bad_share() + BAD_EXCESS).max(good + 0.1).min(0.95);
    let failures = f64::from(new.bad) * (bad / good).ln();
    failures + f64::from(new.answers - new.bad) * ((1.0 - bad) / (1.0 - good)).ln()
}

/// How much longer the new version's answers take than the old one's for the same kinds of answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slowdown {
    /// Answers of the new version that were compared.
    pub answers: u32,
    /// Ratio of the geometric means.
    pub ratio: f64,
    /// Difference of the geometric means, in milliseconds.
    pub delay_ms: f64,
    /// Difference of the mean logarithms, in standard errors.
    pub errors: f64,
}

impl Slowdown {
    fn exceeds(&self, factor: f64, errors: f64) -> bool {
        self.answers >= MIN_TIMED
            && self.ratio > factor
            && self.delay_ms > MIN_DELAY_MS
            && self.errors > errors
    }
}

/// Compares the times of both versions over all kinds of answer that both have given.
#[must_use]
pub fn slowdown(evidence: &Evidence) -> Slowdown {
    let (mut answers, mut excess, mut variance, mut old_sum) = (0, 0.0, 0.0, 0.0);
    for (kind, new) in &evidence.new.times {
        let Some(old) = evidence.old.times.get(kind).filter(|old| old.answers >= MIN_TIMED) else {
            continue;
        };
        let count = f64::from(new.answers);
        answers += new.answers;
        excess += count * (new.mean() - old.mean());
        old_sum += count * old.mean();
        // The old version's mean is itself uncertain.
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
