//! Bounds how old the configuration may be by which a key is accepted.

use ibissail_core::Millis;

/// Part of the allowed age that is kept in hand for the way to the replica.
const MARGIN: Millis = Millis(600);

/// When the configuration was last known to be the newest.
///
/// Times are of a clock that goes on while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    confirmed_at: Option<Millis>,
    limit: Option<Millis>,
}

impl Freshness {
    /// Nothing is known yet. Without a `limit`, keys are accepted at any age.
    #[must_use]
    pub fn new(limit: Option<Millis>) -> Self {
        Self { confirmed_at: None, limit }
    }

    /// Takes note of an exact read that was sent at `sent_at` and has succeeded.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// From when the configuration was last known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Time since the configuration was known to be the newest.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Whether a request may run because of its key.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// let mut freshness = ibissail_direct::Freshness::new(Some(Millis(5_000)));
    /// assert!(!freshness.allows_keys(Millis(0)));
    /// freshness.confirm(Millis(1_000));
    /// assert!(freshness.allows_keys(Millis(5_000)));
    /// assert!(!freshness.allows_keys(Millis(5_600)));
    /// ```
    #[must_use]
    pub fn allows_keys(&self, now: Millis) -> bool {
        match (self.limit, self.age(now)) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(limit), Some(age)) => age.plus(MARGIN) < limit,
        }
    }
}
