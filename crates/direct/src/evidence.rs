//! Response counts and latencies of the new and the old version during a rollout.
//!
//! Few requests reach the new version, and replicas of both versions may fail at the same time for
//! reasons other than their version.

use crate::stable_hash;
use ibissail_core::Tokens;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound on the standard deviation of log latencies: a few responses may be similar by
/// chance.
const MIN_DEVIATION: f64 = 0.3;
/// Prompts with fewer tokens left to prefill take less time than one engine step, so they are
/// counted as one size.
const MIN_PREFILL_TOKENS: u64 = 256;
/// Scale of the stored logarithms; sums of integers do not depend on the order of addition.
const LOG_SCALE: f64 = 1_000.0;
/// Maximum number of failing replicas that one entry records, to keep its reports short.
const MAX_FAILING_REPLICAS: usize = 8;

/// Short hash that identifies responses with comparable latencies: those of the same route and
/// model whose tokens left to prefill lie between the same powers of two.
///
/// Prefill is included because replicas of a new version have not cached the prompts that the old
/// ones have.
///
/// # Examples
///
/// ```
/// use ibissail_core::Tokens;
/// use ibissail_direct::latency_class;
/// assert_eq!(
///     latency_class("drafts", "small", Tokens(700)),
///     latency_class("drafts", "small", Tokens(900))
/// );
/// assert_ne!(
///     latency_class("drafts", "small", Tokens(700)),
///     latency_class("drafts", "small", Tokens(9_000))
/// );
/// ```
#[must_use]
pub fn latency_class(route: &str, model: &str, prefill: Tokens) -> u32 {
    let prefill_log2 = prefill.0.max(MIN_PREFILL_TOKENS).ilog2().to_string();
    (stable_hash(&[route, model, &prefill_log2]) & u64::from(u32::MAX)) as u32
}

/// One response of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Short hash of the route's name.
    pub route: u32,
    /// Class of responses whose latencies are comparable, from [`latency_class`].
    pub latency_class: u32,
    /// Stable hash of the replica's name.
    pub replica: u64,
    /// Whether the replica itself failed or did not respond in time.
    pub is_failure: bool,
    /// Latency in milliseconds; `None` for a stream, whose latency is recorded when it begins.
    pub latency_ms: Option<u64>,
}

/// Responses on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Number of responses.
    pub answers: u32,
    /// Number of responses that were failures.
    pub bad: u32,
}

impl RouteCounts {
    fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }

    pub(crate) fn failure_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }
}

/// Sums over the latencies of one class of responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeCounts {
    /// Number of responses with a known latency.
    pub answers: u32,
    /// Sum of the natural logarithms of the latencies in milliseconds, in thousandths.
    pub log_sum: u64,
    /// Sum of the squares of those logarithms, in thousandths.
    pub log_squares: u64,
}

impl TimeCounts {
    fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.log_sum = self.log_sum.saturating_add(other.log_sum);
        self.log_squares = self.log_squares.saturating_add(other.log_squares);
    }

    fn record(&mut self, latency_ms: u64) {
        // A latency below one millisecond counts as one millisecond.
        let log = (latency_ms.max(1) as f64).ln();
        self.answers += 1;
        self.log_sum += (log * LOG_SCALE) as u64;
        self.log_squares += (log * log * LOG_SCALE) as u64;
    }

    /// Mean of the log latencies.
    pub(crate) fn mean(&self) -> f64 {
        self.log_sum as f64 / LOG_SCALE / f64::from(self.answers.max(1))
    }

    /// Variance of the log latencies, with a lower bound.
    pub(crate) fn variance(&self) -> f64 {
        let mean_square = self.log_squares as f64 / LOG_SCALE / f64::from(self.answers.max(1));
        (mean_square - self.mean().powi(2)).max(MIN_DEVIATION.powi(2))
    }
}

/// Responses of one version.
///
/// The names of the types and fields in it appear in logs through `Debug`, and those of the fields
/// in reports to peers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Response counts by short hash of the route's name.
    pub routes: BTreeMap<u32, RouteCounts>,
    /// Latencies by class, from [`latency_class`].
    pub times: BTreeMap<u32, TimeCounts>,
    /// Stable hashes of the replicas that failed.
    pub bad_replicas: BTreeSet<u64>,
}

impl VersionCounts {
    /// Counts one response.
    pub fn record(&mut self, sample: &Sample) {
        let counts = self.routes.entry(sample.route).or_default();
        counts.answers += 1;
        if sample.is_failure {
            counts.bad += 1;
            if self.bad_replicas.len() < MAX_FAILING_REPLICAS {
                self.bad_replicas.insert(sample.replica);
            }
        } else if let Some(latency) = sample.latency_ms {
            self.record_latency(sample.latency_class, latency);
        }
    }

    /// Records the latency of a response, or of the beginning of one that is counted at its end.
    ///
    /// Slow responses end late. If latencies were recorded only at the end, the new version's fast
    /// responses would be compared with all of the old version's.
    pub fn record_latency(&mut self, latency_class: u32, latency_ms: u64) {
        self.times.entry(latency_class).or_default().record(latency_ms);
    }

    /// Adds the counts of another entry.
    pub fn merge(&mut self, other: &Self) {
        for (route, counts) in &other.routes {
            self.routes.entry(*route).or_default().add(*counts);
        }
        for (class, counts) in &other.times {
            self.times.entry(*class).or_default().add(counts);
        }
        self.bad_replicas.extend(&other.bad_replicas);
    }

    /// Number of responses on all routes.
    #[must_use]
    pub fn response_count(&self) -> u32 {
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

/// Responses of both versions of a service during a rollout.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Responses of the new version.
    pub new: VersionCounts,
    /// Responses of the old version.
    pub old: VersionCounts,
}

impl Evidence {
    /// Adds the counts of another entry.
    pub fn merge(&mut self, other: &Self) {
        self.new.merge(&other.new);
        self.old.merge(&other.old);
    }
}
