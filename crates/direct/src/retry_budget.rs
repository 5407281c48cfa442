//! Bounds attempts beyond the first of each request, over all entries together.
//!
//! Answers the load of failing replicas and callers that repeat at once: without a bound, the
//! repeats of all entries multiply the load on the replicas that are left.

use ibissail_core::Millis;
use std::collections::VecDeque;

/// Part of the shared ratio that this entry uses; the rest covers unlike clocks and windows.
const USED_PART: f64 = 0.8;
/// Entries that the allowance is divided among, when fewer are known.
const MIN_ENTRIES: usize = 8;
/// Length of a bucket of counts.
const BUCKET: Millis = Millis(500);

/// What the operators allow over all entries.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio in a window.
    pub allowance: f64,
    /// Length of the window.
    pub window: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Millis,
    firsts: u32,
    repeats: u32,
}

/// This entry's share of the repeats towards one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// An unused budget.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).firsts += 1;
    }

    /// Takes a repeat if one is left; `reserve` is the part of the budget that must remain.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{RetryBudgetLimits, RetryBudget};
    /// let limits = RetryBudgetLimits { ratio: 0.5, allowance: 16.0, window: Millis(10_000) };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_take_retry(Millis(0), 1, 0.0) && budget.try_take_retry(Millis(0), 1, 0.0));
    /// assert!(!budget.try_take_retry(Millis(0), 1, 0.0));
    /// ```
    pub fn try_take_retry(&mut self, now: Millis, entries: usize, reserve: f64) -> bool {
        let allowance = self.limits.allowance / entries.max(MIN_ENTRIES) as f64;
        let (firsts, repeats) = self.counts(now);
        let allowed = USED_PART * self.limits.ratio * f64::from(firsts) + allowance;
        let is_left = f64::from(repeats) + 1.0 <= allowed * (1.0 - reserve);
        if is_left {
            self.bucket(now).repeats += 1;
        }
        is_left
    }

    fn counts(&mut self, now: Millis) -> (u32, u32) {
        self.drop_old(now);
        let sum = |counts: (u32, u32), bucket: &Bucket| {
            (counts.0 + bucket.firsts, counts.1 + bucket.repeats)
        };
        self.buckets.iter().fold((0, 0), sum)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        self.drop_old(now);
        let is_current = self.buckets.back().is_some_and(|last| now.since(last.start) < BUCKET);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, firsts: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn drop_old(&mut self, now: Millis) {
        let window = self.limits.window;
        while self.buckets.front().is_some_and(|first| now.since(first.start) > window) {
            self.buckets.pop_front();
        }
    }
}
