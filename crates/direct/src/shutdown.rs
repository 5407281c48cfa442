//! Which requests a stopping entry still takes.

use ibissail_core::Millis;

/// Part of the grace time that is kept for the end of the process itself.
const EXIT_MARGIN: Millis = Millis(500);
/// Time after the request to stop in which callers may not know of it yet: the balancer asks once
/// a second and takes an entry out after two misses.
const UNNOTICED_TIME: Millis = Millis(2_800);

/// When a process that was asked to stop at `since` ends at the latest.
#[must_use]
pub fn shutdown_deadline(grace: Millis, since: Millis) -> Millis {
    since.plus(Millis(grace.0.saturating_sub(EXIT_MARGIN.0)))
}

/// Whether a stopping entry takes a request that may last until `until`.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::admits_during_shutdown;
/// let grace = Millis(8_000);
/// assert!(admits_during_shutdown(grace, Millis(0), Millis(1_000), Millis(21_000)));
/// assert!(!admits_during_shutdown(grace, Millis(0), Millis(3_500), Millis(23_500)));
/// assert!(admits_during_shutdown(grace, Millis(0), Millis(3_500), Millis(5_000)));
/// ```
#[must_use]
pub fn admits_during_shutdown(grace: Millis, since: Millis, now: Millis, until: Millis) -> bool {
    now.since(since) < UNNOTICED_TIME || until <= shutdown_deadline(grace, since)
}
