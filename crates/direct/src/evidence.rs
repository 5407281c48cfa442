//! Counts of the answers that a new version and the old one have given during a roll-out.
//!
//! Answers the load of a roll-out: few requests reach the new version, and replicas of both fail
//! for reasons of their own meanwhile.

use crate::stable_hash;
use ibissail_core::Tokens;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Least standard deviation of the logarithm of a route's times: few answers may agree by chance.
const MIN_DEVIATION: f64 = 0.3;
/// Prompts shorter than this are read in less time than a step of an engine takes.
const MIN_TOLD_APART: u64 = 256;
/// Unit of the sums of logarithms; whole numbers add up to the same sum in any order.
const LOG_UNIT: f64 = 1_000.0;
/// Replicas with bad answers that are remembered by one entry; reports have to stay short.
const MAX_BAD_REPLICAS: usize = 8;

/// Short hash of what times are compared by: the route, the model and how much of the prompt has
/// yet to be read.
///
/// Replicas of a new version keep none of the prompts that the old ones have read already.
///
/// # Examples
///
/// ```
/// use ibissail_core::Tokens;
/// use ibissail_direct::time_kind;
/// assert_eq!(time_kind("drafts", "small", Tokens(700)), time_kind("drafts", "small", Tokens(900)));
/// assert_ne!(time_kind("drafts", "small", Tokens(700)), time_kind("drafts", "small", Tokens(9_000)));
/// ```
#[must_use]
pub fn time_kind(route: &str, model: &str, unread: Tokens) -> u32 {
    let reading = unread.0.max(MIN_TOLD_APART).ilog2().to_string();
    (stable_hash(&[route, model, &reading]) & u64::from(u32::MAX)) as u32
}

/// One answer of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Short hash of the route's name.
    pub route: u32,
    /// What times are compared by, from `time_kind`.
    pub kind: u32,
    /// Stable hash of the replica's name.
    pub replica: u64,
    /// Whether the replica answered with a failure of its own, or not in time.
    pub is_bad: bool,
    /// Time that the replica took, in milliseconds; `None` for a stream, whose time counts at its
    /// beginning.
    pub time_ms: Option<u64>,
}

/// Answers on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Answers.
    pub answers: u32,
    /// Answers that were failures.
    pub bad: u32,
}

impl RouteCounts {
    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }

    pub(crate) fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }
}

/// Times of answers of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeCounts {
    /// Answers whose time is known.
    pub answers: u32,
    /// Sum of the natural logarithms of those times in milliseconds, in thousandths.
    pub log_sum: u64,
    /// Sum of the squares of those logarithms, in thousandths.
    pub log_squares: u64,
}

impl TimeCounts {
    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.log_sum += other.log_sum;
        self.log_squares += other.log_squares;
    }

    fn record(&mut self, time_ms: u64) {
        // Times below a millisecond are taken for one.
        let log = (time_ms.max(1) as f64).ln();
        self.answers += 1;
        self.log_sum += (log * LOG_UNIT) as u64;
        self.log_squares += (log * log * LOG_UNIT) as u64;
    }

    /// Mean logarithm of the times.
    pub(crate) fn mean(&self) -> f64 {
        self.log_sum as f64 / LOG_UNIT / f64::from(self.answers.max(1))
    }

    /// Variance of the logarithm of the times.
    pub(crate) fn variance(&self) -> f64 {
        let square = self.log_squares as f64 / LOG_UNIT / f64::from(self.answers.max(1));
        (square - self.mean().powi(2)).max(MIN_DEVIATION.powi(2))
    }
}

/// Answers of one version, by route.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Counts by the short hash of the route's name.
    pub routes: BTreeMap<u32, RouteCounts>,
    /// Times by the short hash of the kind of answer.
    pub times: BTreeMap<u32, TimeCounts>,
    /// Stable hashes of the replicas that gave bad answers.
    pub bad_replicas: BTreeSet<u64>,
}

impl VersionCounts {
    /// Counts one answer.
    pub fn record(&mut self, sample: &Sample) {
        let counts = self.routes.entry(sample.route).or_default();
        counts.answers += 1;
        if sample.is_bad {
            counts.bad += 1;
            if self.bad_replicas.len() < MAX_BAD_REPLICAS {
                self.bad_replicas.insert(sample.replica);
            }
        } else if let Some(time) = sample.time_ms {
            self.record_time(sample.kind, time);
        }
    }

    /// Counts the time of an answer, or of a part of one that will be counted at its end.
    ///
    /// Slow answers end late: if their times counted at the end only, the fast ones would be
    /// compared with the old version's.
    pub fn record_time(&mut self, kind: u32, time_ms: u64) {
        self.times.entry(kind).or_default().record(time_ms);
    }

    /// Adds the counts of another entry.
    pub fn merge(&mut self, other: &Self) {
        for (route, counts) in &other.routes {
            self.routes.entry(*route).or_default().add(*counts);
        }
        for (kind, counts) in &other.times {
            self.times.entry(*kind).or_default().add(counts);
        }
        self.bad_replicas.extend(&other.bad_replicas);
    }

    /// Answers on all routes.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.total().answers
    }

    pub(crate) fn total(&self) -> RouteCounts {
        let mut total = RouteCounts::default();
        for counts in self.routes.values() {
            total.add(*counts);
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
