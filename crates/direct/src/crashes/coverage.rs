//! Whether a suspect is in more crashes than its share of the requests explains.

/// Number of crashes, and in how many of them a part is expected by chance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ExpectedCrashes {
    count: usize,
    expected: f64,
}

impl ExpectedCrashes {
    /// Adds a crash with this many attempts, of which each has the part with this probability.
    pub(crate) fn add(&mut self, attempts: usize, share: f64) {
        let attempts = i32::try_from(attempts).unwrap_or(i32::MAX);
        self.count += 1;
        self.expected += 1.0 - (1.0 - share).powi(attempts);
    }

    /// Number of the crashes.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Bound of the probability that at least this many of the crashes have the part by chance, by
    /// Chernoff's inequality.
    pub(crate) fn chance_of(&self, observed: usize) -> f64 {
        let count = self.count as f64;
        let (observed, expected) = (observed as f64 / count, self.expected / count);
        if self.count == 0 || observed <= expected {
            return 1.0;
        }
        let term = |share: f64, of: f64| if share > 0.0 { share * (share / of).ln() } else { 0.0 };
        let divergence = term(observed, expected) + term(1.0 - observed, 1.0 - expected);
        (-count * divergence).exp()
    }
}
