//! Decides which requests an entry accepts while it shuts down.

use ibissail_core::Millis;

/// Part of the grace period reserved for the exit of the process.
const EXIT_MARGIN: Millis = Millis(500);
/// Time after the request to stop in which callers may still connect: the load balancer probes once
/// a second and removes an entry after two failed probes.
const DRAIN_DETECTION_TIME: Millis = Millis(2_800);

/// Time by which the requests of an entry that was asked to stop at `since` must have finished; the
/// rest of the grace period is for the exit of the process.
#[must_use]
pub fn shutdown_deadline(grace: Millis, since: Millis) -> Millis {
    since.saturating_add(Millis(grace.0.saturating_sub(EXIT_MARGIN.0)))
}

/// Whether an entry that was asked to stop at `since` accepts a request that may last until
/// `until`.
///
/// While callers may still connect, it accepts all requests; after that, only those that end before
/// the shutdown deadline.
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
    now.since(since) < DRAIN_DETECTION_TIME || until <= shutdown_deadline(grace, since)
}
