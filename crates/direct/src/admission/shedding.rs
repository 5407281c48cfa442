//! Which part of each rank's requests is served when capacity is short.
//!
//! All entries compute the same parts from the same figures: what the entries together offer by
//! rank, and the slots of the service.

use super::load_window::{RANKS, RankLoads};
use ibissail_core::Millis;

/// Part of the overall service level that each rank gets, however urgent the others are. No
/// organisation may get less than half of the overall level; the rest is for errors in the figures.
const BASE_PART: f64 = 0.55;
/// Part of the slots that is divided evenly, so that an entry without requests can begin to send.
const EVEN_PART: f64 = 0.1;
/// Callers honour retry times up to their remaining time divided by this.
const TIME_LEFT_DIVISOR: f64 = 3.0;
const MIN_RETRY_TIME: Millis = Millis(50);

/// Part of each rank's offered work that is served, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServedParts {
    /// The part that each rank gets in any case.
    pub base: f64,
    /// The part that each rank gets in all.
    pub parts: RankLoads,
}

/// Divides `slots` among the ranks, which offer work for this many slots: each rank gets a base
/// part, and what is left goes to the most urgent first.
///
/// # Examples
///
/// ```
/// use ibissail_direct::{RANKS, served_parts};
/// let mut offered = [0.0; RANKS];
/// (offered[0], offered[2]) = (60.0, 140.0);
/// let served = served_parts(&offered, 100.0);
/// assert_eq!(served.parts[0], 1.0);
/// assert!((served.parts[2] - 40.0 / 140.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn served_parts(offered: &RankLoads, slots: f64) -> ServedParts {
    let total: f64 = offered.iter().sum();
    if total <= slots || total <= 0.0 {
        return ServedParts { base: 1.0, parts: [1.0; RANKS] };
    }
    let level = slots.max(0.0) / total;
    let base = level * BASE_PART;
    let mut left = slots.max(0.0) - base * total;
    let parts = offered.map(|offered| {
        if offered <= 0.0 {
            return if left > 0.0 { 1.0 } else { base };
        }
        let extra = left.min(offered * (1.0 - base));
        left -= extra;
        (base + extra / offered).min(1.0)
    });
    ServedParts { base, parts }
}

/// Slots that this entry may use: its part of the work that is served.
///
/// `own` and `total` are what this entry and all of them offer by rank; `total` includes an estimate
/// for entries that were not heard of.
#[must_use]
pub fn entry_slots(
    own: &RankLoads,
    total: &RankLoads,
    served: &ServedParts,
    entries: usize,
    slots: f64,
) -> f64 {
    let served_of = |offered: &RankLoads| -> f64 {
        offered.iter().zip(&served.parts).map(|(offered, part)| offered * part).sum()
    };
    let (own, total) = (served_of(own), served_of(total));
    let even = 1.0 / entries.max(1) as f64;
    let part = if total > 0.0 { (own / total).min(1.0) } else { even };
    slots * (EVEN_PART * even + (1.0 - EVEN_PART) * part)
}

/// Time after which a rejected caller should retry: between the time at which capacity is expected
/// and the latest that callers honour, so that they do not return together.
///
/// `random` selects the time, from 0 to 1.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::retry_time;
/// let time = retry_time(Millis(1_000), Millis(15_000), 0.5);
/// assert!(time >= Millis(1_000) && time <= Millis(5_000));
/// ```
#[must_use]
pub fn retry_time(expected_wait: Millis, time_left: Millis, random: f64) -> Millis {
    let latest = time_left.0 as f64 / TIME_LEFT_DIVISOR;
    let earliest = (expected_wait.0 as f64).clamp(MIN_RETRY_TIME.0 as f64, latest.max(100.0) / 2.0);
    let time = earliest + (latest - earliest).max(0.0) * random.clamp(0.0, 1.0);
    Millis(time.min(latest) as u64)
}
