//! How many requests the entries together may send to a replica, at once and in the long run.

use crate::ColdLimits;
use ibissail_core::RequestRate;

/// Rate in requests a second from which a named rate is no limit: no replica comes near it.
const MAX_RATE: f64 = 1_000_000.0;
/// Lowest rate at which the entries together ask a replica, so that the end of its limit is noticed.
const MIN_RATE: f64 = 0.1;

/// Time whose requests the entries together may send at once, in seconds, with token buckets.
const BURST_SECONDS: f64 = 1.5;
/// Requests that the entries together may send at once beyond that, with token buckets.
const BURST_REQUESTS: f64 = 4.0;
/// The same two for turns, whose number in a period varies and needs more room.
const TURN_BURST_SECONDS: f64 = 1.0;
const TURN_BURST_REQUESTS: f64 = 1.5;
/// Part of the rate that token buckets use; the rest absorbs errors in the number of entries.
const USED_PART: f64 = 0.95;
/// Part of the rate that turns use.
const TURN_USED_PART: f64 = 0.6;

/// Part of the bound of one second that the bursts of token buckets use, and that their rates add. A
/// quarter is left for other entries' turns at the same time.
const COLD_BUCKET_PART: f64 = 0.375;
/// Length of a period in which a turn at a cold replica may be used, in seconds. All turns that are
/// open may be used at once, and those of the next second after them.
const COLD_PERIOD_SECONDS: f64 = 0.4;
/// Negative logarithm of the probability with which the turns in one second may exceed the bound.
const COLD_SAFETY: f64 = 9.0;
/// Least requests a second by turns, as a part of the bound. It matters for bounds below four
/// requests only, which a number that varies cannot keep.
const COLD_MIN_PART: f64 = 0.02;

/// Requests that the entries together may send to a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WindowProfile {
    /// Requests at once, with token buckets.
    pub(crate) burst: f64,
    /// Requests a second, with token buckets.
    pub(crate) rate: f64,
    /// Turns in a period.
    pub(crate) turn_burst: f64,
    /// Turns a second.
    pub(crate) turn_rate: f64,
}

impl WindowProfile {
    /// Profile of a rate that a replica names, which is counted over four seconds.
    pub(crate) fn named(rate: RequestRate) -> Self {
        let rate = rate.per_second().clamp(MIN_RATE, MAX_RATE);
        Self {
            burst: BURST_SECONDS * rate + BURST_REQUESTS,
            rate: USED_PART * rate,
            turn_burst: TURN_BURST_SECONDS * rate + TURN_BURST_REQUESTS,
            turn_rate: TURN_USED_PART * rate,
        }
    }

    /// Profile of a cold replica, whose requests are counted over one second. `rate` is what it
    /// sustains.
    pub(crate) fn cold(rate: RequestRate, limits: ColdLimits) -> Self {
        let bound = rate.per_second().min(MAX_RATE) * limits.factor + limits.allowance;
        let bound = bound.clamp(MIN_RATE, MAX_RATE);
        // The number of turns in a second varies like a sum of independent choices. By Bernstein's
        // inequality it exceeds m + sqrt(2 m s) + s / 3 with a probability below e^-s.
        let (half, free) = ((COLD_SAFETY / 2.0).sqrt(), bound - COLD_SAFETY / 3.0);
        let root = (half * half + free.max(0.0)).sqrt() - half;
        let turns = (root * root).max(COLD_MIN_PART * bound);
        let turn_rate = turns / (1.0 + COLD_PERIOD_SECONDS);
        Self {
            burst: COLD_BUCKET_PART * bound,
            rate: COLD_BUCKET_PART * bound,
            turn_burst: turn_rate * COLD_PERIOD_SECONDS,
            turn_rate,
        }
    }
}

/// Whether a named rate limits anything; an absurdly high one does not.
///
/// # Examples
///
/// ```
/// use ibissail_core::RequestRate;
/// use ibissail_direct::is_rate_limit;
/// assert!(is_rate_limit(RequestRate(500)));
/// assert!(!is_rate_limit(RequestRate(u64::MAX)));
/// ```
#[must_use]
pub fn is_rate_limit(rate: RequestRate) -> bool {
    rate.per_second() <= MAX_RATE
}
