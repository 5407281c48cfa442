//! Limits the age of the configuration that API keys are checked against.

use ibissail_core::Millis;

/// Part of the age limit reserved for the time until the request reaches a replica.
const MARGIN: Millis = Millis(600);

/// When the configuration was last known to be current.
///
/// Times are from a clock that keeps running while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    confirmed_at: Option<Millis>,
    limit: Option<Millis>,
}

impl Freshness {
    /// Starts without a confirmation. With a `limit` of `None`, keys are accepted at any age.
    #[must_use]
    pub fn new(limit: Option<Millis>) -> Self {
        Self { confirmed_at: None, limit }
    }

    /// Records that a read of the configuration from the store, sent at `sent_at`, has succeeded.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Time at which the configuration was last known to be current; `None` if never.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Time since the configuration was last known to be current; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Whether API keys are accepted only for a time after a confirmation.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether API keys may be accepted: the configuration is recent enough, or no limit is set.
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
            (Some(limit), Some(age)) => age.saturating_add(MARGIN) < limit,
        }
    }
}
