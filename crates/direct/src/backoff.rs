//! Pauses between calls to a store that does not answer.

use ibissail_core::Millis;

/// First pause.
const FIRST: Millis = Millis(150);
/// Longest pause; the users expect a change in force two seconds after the store is back.
const LONGEST: Millis = Millis(700);

/// Pauses that double with each failure in a row.
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
    /// The pause after a failure.
    pub fn next_delay(&mut self) -> Millis {
        let pause = FIRST.0 << self.failures.min(8);
        self.failures += 1;
        Millis(pause).min(LONGEST)
    }

    /// Begins again after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
