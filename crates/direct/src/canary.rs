//! Canary requests beyond the traffic share.
//!
//! On a service with few requests the share alone yields about a dozen responses, too few to tell a
//! bad version from a good one.

use ibissail_core::{Count, Millis};

/// Part of the exposure allowance that canaries use; the rest is for restarts and for entries that
/// know too few peers.
const ALLOWANCE_PART: f64 = 0.6;
/// Minimum number of entries among which the allowance is divided, because a new entry knows few
/// peers.
const MIN_ENTRIES: usize = 4;

/// Number of replicas that receive canary requests at the same time, so that each gets about the
/// load that it will have once all requests go to the new version.
///
/// `share` is the new version's share of the requests, `old_replicas` the number of replicas of the
/// old version.
///
/// # Examples
///
/// ```
/// use ibissail_direct::canary_replica_count;
/// assert_eq!(canary_replica_count(0.06, 9), 1);
/// assert_eq!(canary_replica_count(0.04, 49), 2);
/// ```
#[must_use]
pub fn canary_replica_count(share: f64, old_replicas: usize) -> usize {
    ((share * old_replicas as f64).ceil() as usize).max(1)
}

/// Canary requests that one entry has sent beyond the traffic share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraCanaryRequests {
    taken: u32,
}

impl ExtraCanaryRequests {
    /// Takes one extra canary request if one is due; returns whether the next request goes to the
    /// new version.
    ///
    /// The requests are spread over the rollout's duration, of which this entry has observed the
    /// part `observed_for`.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Count, Millis};
    /// use ibissail_direct::ExtraCanaryRequests;
    /// let mut extra = ExtraCanaryRequests::default();
    /// let half = Millis(6_000);
    /// let taken = (0..100).filter(|_| extra.try_take(Count(30), 5, half, Millis(12_000))).count();
    /// assert_eq!(taken, 2);
    /// ```
    pub fn try_take(
        &mut self,
        allowance: Count,
        entries: usize,
        observed_for: Millis,
        duration: Millis,
    ) -> bool {
        let own_allowance =
            ALLOWANCE_PART * f64::from(allowance.0) / entries.max(MIN_ENTRIES) as f64;
        let elapsed_share = (observed_for.0 as f64 / duration.0.max(1) as f64).min(1.0);
        let is_due = f64::from(self.taken) + 0.5 < own_allowance * elapsed_share;
        self.taken += u32::from(is_due);
        is_due
    }
}
