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

/// Shortest delay and range of delays of a caller that another entry can serve.
const RECONNECT_MIN_DELAY: Millis = Millis(5);
const RECONNECT_SPREAD: Millis = Millis(40);

/// Delay after which a caller that this entry cannot serve, but the others probably can, should
/// connect to one of them.
///
/// `random` selects the part of a short range, from 0 to 1. The reason for the rejection is this
/// entry's own, so waiting would only make the response late.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::retry_elsewhere;
/// assert!(retry_elsewhere(1.0) < Millis(50));
/// ```
#[must_use]
pub fn retry_elsewhere(random: f64) -> Millis {
    let part = RECONNECT_SPREAD.0 as f64 * random.clamp(0.0, 1.0);
    RECONNECT_MIN_DELAY.saturating_add(Millis(part as u64))
}

/// Delay after which a caller should retry when all replicas have asked for a pause: the shortest
/// rest of a pause plus a random part of `spread`.
///
/// `random` selects the part, from 0 to 1. The delay is not limited by the caller's remaining time:
/// an earlier retry would be rejected again.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::retry_after_pause;
/// assert_eq!(retry_after_pause(Millis(3_000), Millis(600), 0.5), Millis(3_300));
/// ```
#[must_use]
pub fn retry_after_pause(pause: Millis, spread: Millis, random: f64) -> Millis {
    pause.saturating_add(Millis((spread.0 as f64 * random.clamp(0.0, 1.0)) as u64))
}
