//! Takes replicas that fail out of the choice, and lets them back by trial.

use ibissail_core::Millis;

/// Weight of the newest outcome in the moving share of failures.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Share of failures from which a replica is taken out; two in a row are above it.
const EJECTION_SHARE: f64 = 0.4;
/// First time out of the choice; it doubles with each further one.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Longest time out of the choice.
const MAX_EJECTION: Millis = Millis(8_000);

/// What an entry has seen of a replica's failures.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Health {
    failure_share: f64,
    ejections: u32,
    ejected_until: Millis,
}

impl Health {
    /// Takes note of an answer.
    pub fn record_success(&mut self) {
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
        if self.failure_share < OUTCOME_WEIGHT / 2.0 {
            self.ejections = 0;
        }
    }

    /// Takes note of a failure; returns whether the replica has just been taken out.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let is_out = self.failure_share > EJECTION_SHARE && !self.is_ejected(now);
        if is_out {
            let time = FIRST_EJECTION.0 << self.ejections.min(3);
            self.ejected_until = now.plus(Millis(time.min(MAX_EJECTION.0)));
            self.ejections += 1;
        }
        is_out
    }

    /// Takes the replica out at once, as when its address does not answer.
    pub fn eject(&mut self, now: Millis) {
        self.failure_share = self.failure_share.max(EJECTION_SHARE);
        self.record_failure(now);
    }

    /// Whether the replica is out of the choice.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Share of recent requests that failed.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
