//! Compares the answers of a new version with those of the old one.
//!
//! Answers the load of a roll-out: few requests reach the new version, and replicas of both fail
//! for reasons of their own meanwhile.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

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
/// Fewest answers of the new version, on all routes, for a comparison of times.
const MIN_TIMED_ON_ALL: u32 = 12;
/// How many times as long the new version's answers may take, when there are many of them.
const SLOW_FACTOR: f64 = 2.0;
/// Added to that factor, divided by the number of answers: few answers vary more.
const SLOW_FACTOR_OF_FEW: f64 = 10.0;
/// The same on a single route.
const SLOW_FACTOR_ON_ROUTE: f64 = 3.0;
/// Mean delay below which a slower version is not bad; the users' shortest objective is 150 ms.
const MIN_DELAY_MS: f64 = 10.0;
/// Replicas that must have given bad answers; one alone may be broken by itself.
const MIN_BAD_REPLICAS: usize = 2;
/// Replicas with bad answers that are remembered by one entry; reports have to stay short.
const MAX_BAD_REPLICAS: usize = 8;

/// One answer of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Short hash of the route's name and the model.
    pub route: u32,
    /// Stable hash of the replica's name.
    pub replica: u64,
    /// Whether the replica answered with a failure of its own, or not in time.
    pub is_bad: bool,
    /// Time that the replica took, for each event of a stream, in milliseconds; `None` when only
    /// a part of the answer was asked for.
    pub time_ms: Option<u64>,
}

/// Answers on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Answers.
    pub answers: u32,
    /// Answers that were failures.
    pub bad: u32,
    /// Answers whose time is known.
    pub timed: u32,
    /// Sum of those times, in milliseconds.
    pub time_ms: u64,
}

impl RouteCounts {
    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.timed += other.timed;
        self.time_ms += other.time_ms;
    }

    fn bad_share(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }

    fn mean_ms(&self) -> f64 {
        self.time_ms as f64 / f64::from(self.timed.max(1))
    }
}

/// Answers of one version, by route.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Counts by the short hash of the route's name and the model.
    pub routes: BTreeMap<u32, RouteCounts>,
    /// Stable hashes of the replicas that gave bad answers.
    pub bad_replicas: BTreeSet<u64>,
}

impl VersionCounts {
    /// Counts one answer.
    pub fn note(&mut self, sample: &Sample) {
        let counts = self.routes.entry(sample.route).or_default();
        counts.answers += 1;
        if sample.is_bad {
            counts.bad += 1;
            if self.bad_replicas.len() < MAX_BAD_REPLICAS {
                self.bad_replicas.insert(sample.replica);
            }
        } else if let Some(time) = sample.time_ms {
            counts.timed += 1;
            counts.time_ms += time;
        }
    }

    /// Adds the counts of another entry.
    pub fn merge(&mut self, other: &Self) {
        for (route, counts) in &other.routes {
            self.routes.entry(*route).or_default().add(counts);
        }
        self.bad_replicas.extend(&other.bad_replicas);
    }

    /// Answers on all routes.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.total().answers
    }

    fn total(&self) -> RouteCounts {
        let mut total = RouteCounts::default();
        for counts in self.routes.values() {
            total.add(counts);
        }
        total
    }
}

/// Answers of both versions of a service during a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Answers of the new version.
    pub new: VersionCounts,
    /// Answers of the old version.
    pub old: VersionCounts,
}

impl Evidence {
    /// Adds the counts of another entry.
    pub fn merge(&mut self, other: &Self) {
        self.new.merge(&other.new);
        self.old.merge(&other.old);
    }
}

/// What the evidence says of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Verdict {
    /// Nothing speaks against it so far.
    #[display("no difference")]
    Open,
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
        self != Self::Open
    }
}

/// Compares the versions.
///
/// # Examples
///
/// ```
/// use ibissail_direct::{Evidence, Sample, Verdict, judge};
/// let mut evidence = Evidence::default();
/// for replica in 0..6 {
///     let sample = Sample { route: 1, replica, is_bad: true, time_ms: None };
///     evidence.new.note(&sample);
/// }
/// assert_eq!(judge(&evidence), Verdict::Failing);
/// ```
#[must_use]
pub fn judge(evidence: &Evidence) -> Verdict {
    let (new, old) = (evidence.new.total(), evidence.old.total());
    if evidence.new.bad_replicas.len() >= MIN_BAD_REPLICAS {
        let on_route = evidence.new.routes.iter().any(|(route, new)| {
            let old = evidence.old.routes.get(route).copied().unwrap_or_default();
            odds_of_failing(new, &old) > CONDEMNING_ODDS_ON_ROUTE
        });
        if on_route || odds_of_failing(&new, &old) > CONDEMNING_ODDS {
            return Verdict::Failing;
        }
    }
    if is_slow(evidence) { Verdict::Slow } else { Verdict::Open }
}

/// Logarithm of the odds that the new version fails more often: a sequential test of two shares.
fn odds_of_failing(new: &RouteCounts, old: &RouteCounts) -> f64 {
    let good = (GOOD_SHARE + GOOD_FACTOR * old.bad_share()).min(0.6);
    let bad = (old.bad_share() + BAD_EXCESS).max(good + 0.1).min(0.95);
    let failures = f64::from(new.bad) * (bad / good).ln();
    failures + f64::from(new.answers - new.bad) * ((1.0 - bad) / (1.0 - good)).ln()
}

fn is_slow(evidence: &Evidence) -> bool {
    let (mut spent, mut expected, mut timed) = (0.0, 0.0, 0);
    for (route, new) in &evidence.new.routes {
        let Some(old) = evidence.old.routes.get(route) else { continue };
        if old.timed < MIN_TIMED {
            continue;
        }
        let is_delayed = new.mean_ms() > old.mean_ms() + MIN_DELAY_MS;
        let is_slow = new.mean_ms() > SLOW_FACTOR_ON_ROUTE * old.mean_ms();
        if new.timed >= MIN_TIMED && is_delayed && is_slow {
            return true;
        }
        spent += new.time_ms as f64;
        expected += old.mean_ms() * f64::from(new.timed);
        timed += new.timed;
    }
    let is_delayed = spent > expected + MIN_DELAY_MS * f64::from(timed);
    let factor = SLOW_FACTOR + SLOW_FACTOR_OF_FEW / f64::from(timed.max(1));
    timed >= MIN_TIMED_ON_ALL && is_delayed && spent > factor * expected
}
