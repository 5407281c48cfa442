//! Computes when a rejected caller should retry.

use ibissail_core::Millis;

/// Minimum delay before a retry, unless the limit by the caller's remaining time is lower.
const MIN_DELAY: Millis = Millis(200);
/// The delay is at most the caller's remaining time divided by this; callers ignore longer delays.
const TIME_LEFT_DIVISOR: u64 = 3;

/// Delay after which a rejected caller should retry: the minimum plus a random part of `spread`,
/// but short enough to leave time before the caller's deadline.
///
/// `random` selects the part, from 0 to 1.
///
/// Many callers may be rejected at the same moment, and a fixed delay would make them all retry
/// together.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::retry_after;
/// let delay = retry_after(Millis(1_000), Millis(1_500), 0.5);
/// assert!(delay >= Millis(200) && delay <= Millis(500));
/// ```
#[must_use]
pub fn retry_after(spread: Millis, time_left: Millis, random: f64) -> Millis {
    let max_delay = Millis(time_left.0 / TIME_LEFT_DIVISOR);
    let delay = MIN_DELAY.saturating_add(Millis((spread.0 as f64 * random.clamp(0.0, 1.0)) as u64));
    delay.min(max_delay)
}
