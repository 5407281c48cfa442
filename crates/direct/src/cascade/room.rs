//! How much capacity is left for quality.
//!
//! The load on the engines decides: a higher bound on the confidence sends more requests to the
//! largest model, which must not itself make capacity short.

use ibissail_core::Millis;

/// Increase per second while responses are early: the bound on the confidence reaches its highest
/// value after 20 s, so that its own effect on the load is seen on the way.
const INCREASE_PER_SECOND: f64 = 0.05;
/// Longest time without a response that counts as time with room.
const MAX_OBSERVED_GAP: Millis = Millis(1_000);
/// Decrease for each response that uses more than half of its objective.
const DECREASE: f64 = 0.1;

/// Worth of a sufficient response, in runs of the largest model.
#[derive(Debug, Clone, Copy)]
struct Worth {
    /// While capacity is short.
    short: f64,
    /// Usually.
    usual: f64,
    /// While there is plenty of capacity.
    ample: f64,
}

/// Ranks 0, 1, and all others. The usual values give about the confidence bounds of the fixed
/// cascade; while capacity is short, only the most urgent routes still pay for a larger model.
const WORTH_BY_RANK: [Worth; 3] = [
    Worth { short: 1.25, usual: 2.4, ample: 5.0 },
    Worth { short: 1.0, usual: 1.9, ample: 3.5 },
    Worth { short: 1.0, usual: 1.9, ample: 2.5 },
];

/// Capacity left at a service's engines, from the times of their responses.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CapacityRoom {
    /// From 0, the usual load, to 1, plenty of capacity.
    level: f64,
    updated: Option<Millis>,
}

impl CapacityRoom {
    /// Records the time to a first event.
    pub(super) fn record(&mut self, took: Millis, objective: Millis, now: Millis) {
        let gap = self.updated.map_or(Millis(0), |at| now.since(at)).min(MAX_OBSERVED_GAP);
        self.updated = Some(now);
        let change = if took.0 > objective.0 / 2 {
            -DECREASE
        } else {
            INCREASE_PER_SECOND * gap.0 as f64 / 1_000.0
        };
        self.level = (self.level + change).clamp(0.0, 1.0);
    }

    /// Records that capacity is short.
    pub(super) fn record_shortage(&mut self) {
        self.level = 0.0;
    }

    /// Worth of a sufficient response on time at this rank.
    pub(super) fn worth(self, urgency: u32, is_capacity_short: bool) -> f64 {
        let rank = usize::try_from(urgency).unwrap_or(usize::MAX).min(WORTH_BY_RANK.len() - 1);
        let Worth { short, usual, ample } = WORTH_BY_RANK[rank];
        if is_capacity_short { short } else { usual + (ample - usual) * self.level }
    }
}
