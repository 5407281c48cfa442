//! Limits the retries of all entries together.
//!
//! When replicas fail and callers retry at once, unlimited retries of all entries would multiply
//! the load on the remaining replicas.

use ibissail_core::Millis;
use std::collections::VecDeque;

/// Part of the configured ratio that each entry uses; the rest absorbs differences between the
/// entries' clocks and windows.
const USED_PART: f64 = 0.8;
/// Minimum number of entries among which the allowance is divided, when fewer are known.
const MIN_ENTRIES: usize = 8;
/// Length of a counting bucket.
const BUCKET_LENGTH: Millis = Millis(500);

/// Limits on the retries of all entries together, set by the operators.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio in one window.
    pub allowance: f64,
    /// Length of the window.
    pub window: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// This entry's share of the retries to one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Millis) {
        self.current_bucket(now).requests += 1;
    }

    /// Callers' requests in the last `span`, at most the window.
    #[must_use]
    pub fn recent_requests(&self, span: Millis, now: Millis) -> u32 {
        let recent = self.buckets.iter().filter(|bucket| now.since(bucket.start) < span);
        recent.map(|bucket| bucket.requests).sum()
    }

    /// Takes a retry if the budget allows one; returns whether it does.
    ///
    /// `entries` is the number of entries known, this one included. `reserve` is the share of the
    /// budget that must remain for retries after failures, and 0 for those.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{RetryBudget, RetryBudgetLimits};
    /// let limits = RetryBudgetLimits { ratio: 0.5, allowance: 16.0, window: Millis(10_000) };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_take_retry(Millis(0), 1, 0.0) && budget.try_take_retry(Millis(0), 1, 0.0));
    /// assert!(!budget.try_take_retry(Millis(0), 1, 0.0));
    /// ```
    pub fn try_take_retry(&mut self, now: Millis, entries: usize, reserve: f64) -> bool {
        let allowance = self.limits.allowance / entries.max(MIN_ENTRIES) as f64;
        let (requests, retries) = self.counts(now);
        let allowed = USED_PART * self.limits.ratio * f64::from(requests) + allowance;
        let is_allowed = f64::from(retries) + 1.0 <= allowed * (1.0 - reserve);
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        is_allowed
    }

    /// Gives back a retry that has reached no replica.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{RetryBudget, RetryBudgetLimits};
    /// let limits = RetryBudgetLimits { ratio: 0.5, allowance: 8.0, window: Millis(10_000) };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_take_retry(Millis(0), 1, 0.0));
    /// assert!(!budget.try_take_retry(Millis(0), 1, 0.0));
    /// budget.return_retry();
    /// assert!(budget.try_take_retry(Millis(0), 1, 0.0));
    /// ```
    pub fn return_retry(&mut self) {
        // It may have been taken in an earlier bucket.
        if let Some(bucket) = self.buckets.iter_mut().rev().find(|bucket| bucket.retries > 0) {
            bucket.retries -= 1;
        }
    }

    fn counts(&mut self, now: Millis) -> (u32, u32) {
        self.drop_expired(now);
        let sum = |counts: (u32, u32), bucket: &Bucket| {
            (counts.0 + bucket.requests, counts.1 + bucket.retries)
        };
        self.buckets.iter().fold((0, 0), sum)
    }

    fn current_bucket(&mut self, now: Millis) -> &mut Bucket {
        self.drop_expired(now);
        let is_current =
            self.buckets.back().is_some_and(|last| now.since(last.start) < BUCKET_LENGTH);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn drop_expired(&mut self, now: Millis) {
        let window = self.limits.window;
        while self.buckets.front().is_some_and(|first| now.since(first.start) > window) {
            self.buckets.pop_front();
        }
    }
}
