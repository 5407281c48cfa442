//! Exponential backoff for calls to a store that does not respond.

use ibissail_core::Millis;

/// Delay after the first failure.
const FIRST_DELAY: Millis = Millis(150);
/// Maximum delay; operators expect a change to take effect within two seconds of the store's
/// return.
const MAX_DELAY: Millis = Millis(700);

/// Delays that double with each consecutive failure.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// let mut backoff = ibissail_direct::Backoff::default();
/// assert_eq!(backoff.next_delay(), Millis(150));
/// assert_eq!(backoff.next_delay(), Millis(300));
/// backoff.reset();
/// assert_eq!(backoff.next_delay(), Millis(150));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay after a failure.
    pub fn next_delay(&mut self) -> Millis {
        let delay = FIRST_DELAY.0 << self.failures.min(8);
        self.failures += 1;
        Millis(delay).min(MAX_DELAY)
    }

    /// Starts over from the first delay, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
