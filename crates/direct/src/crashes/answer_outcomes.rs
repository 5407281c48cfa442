//! How many answers have lately gone on for a while, and how many replicas have cut off by crashing.

use ibissail_core::Millis;
use std::collections::BTreeMap;

/// Length of the intervals in which answers are counted.
const INTERVAL: Millis = Millis(200);
/// Most intervals that are kept.
const MAX_INTERVALS: usize = 600;

/// Answers that an assumed share weighs as much as.
const ASSUMED_ANSWERS: f64 = 5.0;

/// Numbers of answers.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    proven: u32,
    crashed: u32,
    /// Answers of both kinds on a part that was known to be sound.
    known: u32,
}

/// Counts of answers, by the interval in which they had gone on for a while or crashed.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerOutcomes {
    counts: BTreeMap<u64, Counts>,
}

impl AnswerOutcomes {
    pub(crate) fn record(&mut self, is_proven: bool, is_known: bool, now: Millis) {
        let counts = self.counts.entry(now.0 / INTERVAL.0).or_default();
        if is_proven {
            counts.proven += 1;
        } else {
            counts.crashed += 1;
        }
        counts.known += u32::from(is_known);
        while self.counts.len() > MAX_INTERVALS {
            self.counts.pop_first();
        }
    }

    fn between(&self, from: Millis, to: Millis) -> Counts {
        let counts = self.counts.range(from.0 / INTERVAL.0..=to.0.max(from.0) / INTERVAL.0);
        counts.fold(Counts::default(), |sum, (_, count)| Counts {
            proven: sum.proven + count.proven,
            crashed: sum.crashed + count.crashed,
            known: sum.known + count.known,
        })
    }

    /// Share of proven answers in a time, from 0 to 1; a half if hardly any are known.
    pub(crate) fn proven_share(&self, from: Millis, to: Millis) -> f64 {
        let counts = self.between(from, to);
        f64::from(counts.proven + 1) / f64::from(counts.proven + counts.crashed + 2)
    }

    /// The same, close to `assumed` if hardly any answers are known.
    pub(crate) fn assumed_proven_share(&self, assumed: f64, from: Millis, to: Millis) -> f64 {
        let counts = self.between(from, to);
        let known = f64::from(counts.proven + counts.crashed);
        (f64::from(counts.proven) + assumed * ASSUMED_ANSWERS) / (known + ASSUMED_ANSWERS)
    }

    /// Whether nearly all answers in a time were on a part that was known to be sound, so that a
    /// part that was not stands out.
    pub(crate) fn are_mostly_known(&self, from: Millis, to: Millis) -> bool {
        let counts = self.between(from, to);
        counts.known * 20 >= (counts.proven + counts.crashed) * 19
    }
}
