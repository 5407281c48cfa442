//! Estimates how many entries are alive, although each entry knows few of them.
//!
//! Each entry has a hash, and the entries pass on the smallest hashes that they have heard of, each
//! with the time since its entry was alive. Evenly spread hashes are the closer together the more
//! there are, so a sample of fixed size tells the number.

use crate::stable_hash;
use ibissail_core::{Millis, VmId};
use std::collections::BTreeMap;

/// Hashes in the sample; up to one less, all entries are counted, and above that the estimate is off
/// by about a sixth.
const SAMPLE_SIZE: usize = 32;
/// Time after which an entry that has not been heard of no longer counts. The sample takes about
/// three rounds to reach hundreds of entries.
const ENTRY_TTL: Millis = Millis(8_000);

/// Time for which an entry that has heard of no other does not take itself for the only one.
const DISCOVERY_TIME: Millis = Millis(3_000);
/// Number of entries that it assumes until then.
const ASSUMED_ENTRIES: usize = 64;
/// Time for which an entry at least remembers the largest number of entries. Entries that are cut off
/// from their peers still send requests, so that their absence is no reason to send more.
const PEAK_TIME: Millis = Millis(300_000);
/// Factor by which a number that the sample only estimates may be too small: 2.5 standard deviations
/// of a sixth, rounded up.
const ESTIMATE_MARGIN: f64 = 1.5;

/// The sample of one entry.
#[derive(Debug, Clone)]
pub struct FleetSize {
    own: u32,
    started: Millis,
    /// When the entry with each hash was last alive, on this entry's clock.
    alive_at: BTreeMap<u32, Millis>,
    /// Largest upper estimate of this span of `PEAK_TIME`, and of the one before.
    peaks: [usize; 2],
    /// When this span began.
    peak_from: Millis,
}

impl FleetSize {
    /// Creates the sample of the entry on this VM, which starts now and knows no other.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::FleetSize;
    /// let mut first = FleetSize::new(&"front-1".parse().unwrap(), Millis(0));
    /// let mut second = FleetSize::new(&"front-2".parse().unwrap(), Millis(0));
    /// second.merge(&first.sample(Millis(0)), Millis(0));
    /// assert_eq!(second.estimate(Millis(0)), 2);
    /// assert_eq!(second.estimate(Millis(60_000)), 1, "the other has not been heard of since");
    /// ```
    #[must_use]
    pub fn new(vm: &VmId, now: Millis) -> Self {
        let own = (stable_hash(&[vm.as_str()]) & u64::from(u32::MAX)) as u32;
        Self { own, started: now, alive_at: BTreeMap::new(), peaks: [1; 2], peak_from: now }
    }

    /// The sample for a peer: each hash, and the time in milliseconds since its entry was alive.
    pub fn sample(&mut self, now: Millis) -> Vec<(u32, u64)> {
        self.refresh(now);
        self.alive_at.iter().map(|(hash, alive_at)| (*hash, now.since(*alive_at).0)).collect()
    }

    /// Adds the sample of a peer.
    pub fn merge(&mut self, told: &[(u32, u64)], now: Millis) {
        for (hash, age) in told.iter().take(SAMPLE_SIZE) {
            let told_at = now.since(Millis(*age));
            let known = self.alive_at.entry(*hash).or_insert(told_at);
            *known = told_at.max(*known);
        }
        self.refresh(now);
    }

    /// Estimated number of live entries, including this one.
    pub fn estimate(&mut self, now: Millis) -> usize {
        self.refresh(now);
        match self.alive_at.last_key_value() {
            Some((largest, _)) if self.alive_at.len() == SAMPLE_SIZE => {
                let density = (SAMPLE_SIZE - 1) as f64 / f64::from((*largest).max(1));
                (density * f64::from(u32::MAX)) as usize
            }
            _ => self.alive_at.len(),
        }
    }

    /// The same, except that an entry that has just started and heard of no other assumes many.
    pub fn cautious_estimate(&mut self, now: Millis) -> usize {
        let estimate = self.estimate(now);
        let is_new = now.since(self.started) < DISCOVERY_TIME;
        if estimate == 1 && is_new { ASSUMED_ENTRIES } else { estimate }
    }

    /// Largest number of entries that there may have been within the last minutes, including those
    /// that are cut off from this one now. `has_seeds` says whether there may be others that an entry
    /// that knows none has not reached yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::FleetSize;
    /// let mut first = FleetSize::new(&"front-1".parse().unwrap(), Millis(0));
    /// let mut second = FleetSize::new(&"front-2".parse().unwrap(), Millis(0));
    /// second.merge(&first.sample(Millis(0)), Millis(0));
    /// assert_eq!(second.upper_estimate(true, Millis(0)), 2);
    /// assert_eq!(second.upper_estimate(true, Millis(60_000)), 2, "the other may be cut off");
    /// ```
    pub fn upper_estimate(&mut self, has_seeds: bool, now: Millis) -> usize {
        let estimate = self.estimate(now);
        let is_counted = self.alive_at.len() < SAMPLE_SIZE;
        let margin = if is_counted { 1.0 } else { ESTIMATE_MARGIN };
        if now.since(self.peak_from) >= PEAK_TIME {
            self.peaks = [1, self.peaks[0]];
            self.peak_from = now;
        }
        self.peaks[0] = self.peaks[0].max((estimate as f64 * margin) as usize);
        let peak = self.peaks[0].max(self.peaks[1]);
        if peak == 1 && has_seeds { ASSUMED_ENTRIES } else { peak }
    }

    /// Removes entries that have not been heard of, and all but the smallest hashes.
    fn refresh(&mut self, now: Millis) {
        self.alive_at.insert(self.own, now);
        self.alive_at.retain(|_, alive_at| now.since(*alive_at) < ENTRY_TTL);
        while self.alive_at.len() > SAMPLE_SIZE {
            self.alive_at.pop_last();
        }
    }
}
