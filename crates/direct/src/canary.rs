//! Requests that a version on trial gets beyond its share.
//!
//! Answers the load of services with few requests: their share alone brings a dozen answers, too
//! few to tell a bad version from a good one.

use ibissail_core::{Count, Millis};

/// Part of the requests that a bad version may get beyond its share which trials use; restarts and
/// entries that know of too few peers use some more.
const ALLOWANCE_PART: f64 = 0.6;
/// Fewest entries among which the allowance is divided; a new entry knows of few peers.
const MIN_ENTRIES: usize = 4;

/// How many replicas carry a trial at once, so that each gets about the load that it will have when
/// all requests go to the new version.
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

/// Trial requests of one entry beyond the share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraCanaryRequests {
    taken: u32,
}

impl ExtraCanaryRequests {
    /// Whether the next request goes to the version on trial; it then counts.
    ///
    /// The requests are spread over the order's time, of which `watched` has passed at this entry.
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
        watched: Millis,
        duration: Millis,
    ) -> bool {
        let own = ALLOWANCE_PART * f64::from(allowance.0) / entries.max(MIN_ENTRIES) as f64;
        let passed = (watched.0 as f64 / duration.0.max(1) as f64).min(1.0);
        let is_due = f64::from(self.taken) + 0.5 < own * passed;
        self.taken += u32::from(is_due);
        is_due
    }
}
