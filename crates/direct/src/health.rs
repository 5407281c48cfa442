//! Outlier ejection: excludes failing replicas for a while, then tries them again.

use ibissail_core::Millis;

/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Failure share above which a replica is ejected; two failures in a row exceed it.
const EJECTION_FAILURE_SHARE: f64 = 0.4;
/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Maximum duration of an ejection.
const MAX_EJECTION: Millis = Millis(8_000);

/// Recent failures of a replica, as seen by one entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Health {
    failure_share: f64,
    ejections: u32,
    ejected_until: Millis,
}

impl Health {
    /// Records a successful response; once failures have become rare, the next ejection has the
    /// first duration again.
    pub fn record_success(&mut self) {
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
        if self.failure_share < OUTCOME_WEIGHT / 2.0 {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether the replica has just been ejected.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let is_ejection = self.failure_share > EJECTION_FAILURE_SHARE && !self.is_ejected(now);
        if is_ejection {
            let duration = FIRST_EJECTION.0 << self.ejections.min(3);
            self.ejected_until = now.saturating_add(Millis(duration.min(MAX_EJECTION.0)));
            self.ejections += 1;
        }
        is_ejection
    }

    /// Ejects the replica at once, for example when its address does not respond.
    pub fn eject(&mut self, now: Millis) {
        self.failure_share = self.failure_share.max(EJECTION_FAILURE_SHARE);
        self.record_failure(now);
    }

    /// Whether the replica is currently ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Moving average of the share of requests that failed.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
