//! Work offered or served by rank over the last moments.

use ibissail_core::Millis;

/// Number of ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 10;
/// Length of the window: long enough for some requests of each rank at a quiet entry, short enough
/// to follow bursts of 3 s.
const WINDOW: Millis = Millis(1_500);
const BUCKETS: usize = 10;
const BUCKET_MS: u64 = WINDOW.0 / BUCKETS as u64;

/// Amounts by rank.
pub type RankLoads = [f64; RANKS];

/// Index of a rank in [`RankLoads`].
///
/// # Examples
///
/// ```
/// use ibissail_direct::rank_index;
/// assert_eq!((rank_index(0), rank_index(200)), (0, 9));
/// ```
#[must_use]
pub fn rank_index(rank: u32) -> usize {
    usize::try_from(rank).unwrap_or(RANKS).min(RANKS - 1)
}

/// Sums by rank over a sliding window, in fixed memory.
#[derive(Debug, Clone)]
pub struct LoadWindow {
    buckets: [RankLoads; BUCKETS],
    /// Number of the newest bucket, since the start of the clock.
    newest: u64,
}

impl LoadWindow {
    /// Starts an empty window.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { buckets: [[0.0; RANKS]; BUCKETS], newest: now.0 / BUCKET_MS }
    }

    /// Adds an amount of a rank; amounts that are not positive numbers are ignored.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::LoadWindow;
    /// let mut window = LoadWindow::new(Millis(0));
    /// window.add(1, 3.0, Millis(100));
    /// assert_eq!(window.per_second(Millis(1_400))[1], 2.0);
    /// assert_eq!(window.per_second(Millis(4_000))[1], 0.0);
    /// ```
    pub fn add(&mut self, rank: u32, amount: f64, now: Millis) {
        if amount.is_finite() && amount > 0.0 {
            self.advance(now);
            self.buckets[Self::slot(self.newest)][rank_index(rank)] += amount;
        }
    }

    /// Average amount a second, by rank; too low until the window has passed once, so that a few
    /// first requests do not look like an overload.
    pub fn per_second(&mut self, now: Millis) -> RankLoads {
        self.advance(now);
        let mut sums = [0.0; RANKS];
        for bucket in &self.buckets {
            for (sum, amount) in sums.iter_mut().zip(bucket) {
                *sum += amount;
            }
        }
        sums.map(|sum| sum * 1_000.0 / WINDOW.0 as f64)
    }

    fn slot(bucket: u64) -> usize {
        usize::try_from(bucket % BUCKETS as u64).unwrap_or_default()
    }

    fn advance(&mut self, now: Millis) {
        let current = now.0 / BUCKET_MS;
        if current.saturating_sub(self.newest) >= BUCKETS as u64 {
            self.buckets = [[0.0; RANKS]; BUCKETS];
            self.newest = current;
        }
        while self.newest < current {
            self.newest += 1;
            self.buckets[Self::slot(self.newest)] = [0.0; RANKS];
        }
    }
}

/// Averages of the times that peers tell, by rank; ranks of which a peer knows none do not count.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Holds {
    sums: RankLoads,
    counts: RankLoads,
}

impl Holds {
    /// Adds what a peer tells, in seconds; values that are not positive numbers are ignored.
    pub fn add(&mut self, told: &RankLoads) {
        for (rank, hold) in told.iter().enumerate() {
            if hold.is_finite() && *hold > 0.0 {
                self.sums[rank] += hold;
                self.counts[rank] += 1.0;
            }
        }
    }

    /// The averages in seconds; 0 where no peer knows one.
    #[must_use]
    pub fn averages(&self) -> RankLoads {
        let mut averages = self.sums;
        for (average, count) in averages.iter_mut().zip(&self.counts) {
            *average /= count.max(1.0);
        }
        averages
    }
}
