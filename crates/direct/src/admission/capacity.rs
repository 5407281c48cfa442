//! What the replicas of a service can run at once, and how much of it is in use.

use crate::Candidate;
use ibissail_core::{Millis, Tokens};

/// Part of a replica's KV memory that requests may fill: above it, running requests are preempted.
const USABLE_MEMORY_PART: f64 = 0.85;
/// Highest prefill rate of an engine, in tokens of the largest model a millisecond. The highest is
/// used, because a rate that is too low would delay requests where capacity is there.
const MAX_PREFILL_TOKENS_PER_MS: f64 = 125.0;
/// Weight of an observation of the time to the first event in its average.
const OBSERVATION_WEIGHT: f64 = 0.08;
/// Ratio of time to first event and objective at which one observation counts no more: a few
/// requests at a stuck replica are no sign of a shortage.
const MAX_RATIO: f64 = 2.0;
/// Average ratio above which requests are late because too many run at once.
const HIGH_RATIO: f64 = 0.9;
/// Average ratio below which the usable part grows quickly.
const LOW_RATIO: f64 = 0.5;
/// Observations from which the average counts.
const MIN_OBSERVATIONS: u32 = 20;
/// Part of the slots that must be in use before late responses count as a shortage of capacity.
const MIN_USED_PART: f64 = 0.5;
/// Least part of the slots that stays usable.
const MIN_USABLE_PART: f64 = 0.25;
const STEP_INTERVAL: Millis = Millis(200);
const DECREASE: f64 = 0.93;
const INCREASE: f64 = 1.03;
const QUICK_INCREASE: f64 = 1.12;

/// What a service can run at once, in slots of its replicas.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Slots of all replicas that take requests.
    pub slots: f64,
    /// Slots in use, by the requests of all entries.
    pub running: f64,
}

impl Capacity {
    /// Capacity of candidates whose requests hold `slots_per_request` slots on average.
    ///
    /// A candidate counts as full while even the fastest engine could not prefill what it has yet to
    /// read within `objective`. This is the only place where capacity is derived from candidates.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{Candidate, Capacity};
    /// let idle = Candidate::idle("a".parse().unwrap(), 4);
    /// let candidate = |running| Candidate { running, ..idle.clone() };
    /// let capacity = Capacity::of(&[candidate(1), candidate(9)], 1.0, Millis(500));
    /// assert_eq!((capacity.slots, capacity.running), (8.0, 5.0));
    /// ```
    #[must_use]
    pub fn of(candidates: &[Candidate], slots_per_request: f64, objective: Millis) -> Self {
        let max_pending = objective.0 as f64 * MAX_PREFILL_TOKENS_PER_MS;
        let mut capacity = Self::default();
        for candidate in candidates {
            let slots = f64::from(candidate.slots.max(1));
            let is_behind = candidate.pending_prefill.0 as f64 > max_pending;
            let running = f64::from(candidate.running) * slots_per_request.max(1.0);
            capacity.slots += slots;
            capacity.running += if is_behind { slots } else { running.min(slots) };
        }
        capacity
    }

    /// Slots that are not in use.
    #[must_use]
    pub fn free(&self) -> f64 {
        (self.slots - self.running).max(0.0)
    }
}

/// Slots that a request takes up: one, or more if it holds more than a slot's part of the memory
/// `kv_cache_tokens`; `None` if the engine's memory is not known.
///
/// # Examples
///
/// ```
/// use ibissail_core::Tokens;
/// use ibissail_direct::slots_held;
/// assert_eq!(slots_held(Tokens(500), 128, Some(Tokens(536_550))), 1.0);
/// assert!(slots_held(Tokens(12_380), 128, Some(Tokens(536_550))) > 3.0);
/// assert_eq!(slots_held(Tokens(12_380), 128, None), 1.0);
/// ```
#[must_use]
pub fn slots_held(tokens: Tokens, slots: u32, kv_cache_tokens: Option<Tokens>) -> f64 {
    let Some(memory) = kv_cache_tokens.filter(|memory| memory.0 > 0) else { return 1.0 };
    let slots = f64::from(slots.max(1));
    let tokens_per_slot = memory.0 as f64 * USABLE_MEMORY_PART / slots;
    (tokens.0 as f64 / tokens_per_slot).clamp(1.0, slots)
}

/// Finds the part of the slots that can be used before responses become late.
///
/// Engines slow down as their slots fill, so that objectives can be missed while slots are free.
#[derive(Debug, Clone)]
pub struct CapacityGuard {
    usable: f64,
    ratio: f64,
    observations: u32,
    stepped_at: Millis,
}

impl CapacityGuard {
    /// Starts with all slots usable.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { usable: 1.0, ratio: 0.0, observations: 0, stepped_at: now }
    }

    /// Records the time from the admission of a request to its first event, as a multiple of its
    /// objective.
    pub fn observe(&mut self, ratio: f64) {
        if ratio.is_finite() && ratio >= 0.0 {
            self.observations = self.observations.saturating_add(1);
            self.ratio += (ratio.min(MAX_RATIO) - self.ratio) * OBSERVATION_WEIGHT;
        }
    }

    /// Part of the slots that is usable now.
    pub fn usable_part(&mut self, capacity: Capacity, now: Millis) -> f64 {
        if now.since(self.stepped_at) >= STEP_INTERVAL && capacity.slots > 0.0 {
            self.stepped_at = now;
            let used = capacity.running / capacity.slots;
            let is_late = self.observations >= MIN_OBSERVATIONS && self.ratio > HIGH_RATIO;
            self.usable = if is_late && used >= MIN_USED_PART {
                (self.usable.min(used) * DECREASE).max(MIN_USABLE_PART)
            } else if self.ratio < LOW_RATIO {
                (self.usable * QUICK_INCREASE).min(1.0)
            } else {
                (self.usable * INCREASE).min(1.0)
            };
        }
        self.usable
    }
}
