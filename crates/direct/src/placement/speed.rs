//! Speed of a replica's machine: the latest figure that it reported, and its lasting average.
//!
//! The speed of some machines changes every 0.6 s, that of others stays at half.

use ibissail_core::Millis;

/// Time over which the lasting duration of work is averaged.
const AVERAGING_TIME: Millis = Millis(5_000);
/// Age from which the latest figure is not used.
const LATEST_TTL: Millis = Millis(400);
/// Weight of the first figure in the lasting average; the rest is the normal duration, because a
/// single figure may be from a short slow phase.
const FIRST_WEIGHT: f64 = 0.5;
/// Largest factor by which a reported speed changes a placement, either way.
const MAX_FACTOR: f64 = 4.0;

/// Duration of work on a replica's machine, relative to the normal duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSpeed {
    latest: f64,
    observed_at: Millis,
    lasting: f64,
}

impl ReplicaSpeed {
    /// Starts with the first figure of a run, the duration of work in hundredths of the normal one.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::ReplicaSpeed;
    /// let mut speed = ReplicaSpeed::new(200, Millis(0));
    /// assert_eq!(speed.factor(Millis(0)), 2.0);
    /// assert_eq!(speed.factor(Millis(400)), 1.5, "the average still includes the normal duration");
    /// ```
    #[must_use]
    pub fn new(percent: u32, now: Millis) -> Self {
        let latest = bounded_factor(percent);
        Self { latest, observed_at: now, lasting: 1.0 + FIRST_WEIGHT * (latest - 1.0) }
    }

    /// Records a further figure, in hundredths of the normal duration.
    pub fn record(&mut self, percent: u32, now: Millis) {
        let latest = bounded_factor(percent);
        let elapsed = now.since(self.observed_at).0 as f64 / AVERAGING_TIME.0 as f64;
        let weight = 1.0 - (-elapsed.min(1.0)).exp();
        self.lasting += weight * (latest - self.lasting);
        (self.latest, self.observed_at) = (latest, now);
    }

    /// Expected duration of work, relative to the normal one: from the latest figure while it is
    /// recent, and from the average as it ages.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let age = now.since(self.observed_at).0 as f64 / LATEST_TTL.0 as f64;
        let weight = (1.0 - age).max(0.0);
        self.lasting + weight * (self.latest - self.lasting)
    }
}

fn bounded_factor(percent: u32) -> f64 {
    (f64::from(percent) / 100.0).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
}
