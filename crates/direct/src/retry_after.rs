//! When a refused caller should come back.

use ibissail_core::Millis;

/// Shortest time to come back after.
const SHORTEST: Millis = Millis(200);
/// Part of the caller's remaining time that it may wait; callers ignore longer times.
const MAX_PART_OF_REST: u64 = 3;

/// Time after which a refused caller should come back: spread over `spread`, and never so long
/// that its deadline passes.
///
/// Answers the load of many callers refused at the same moment: a fixed time would bring them
/// all back together.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::retry_after;
/// let time = retry_after(Millis(1_000), Millis(1_500), 0.5);
/// assert!(time >= Millis(200) && time <= Millis(500));
/// ```
#[must_use]
pub fn retry_after(spread: Millis, rest: Millis, draw: f64) -> Millis {
    let longest = Millis(rest.0 / MAX_PART_OF_REST);
    let drawn = SHORTEST.plus(Millis((spread.0 as f64 * draw.clamp(0.0, 1.0)) as u64));
    drawn.min(longest)
}
