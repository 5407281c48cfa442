//! When an entry knows enough about evacuations to serve requests, and how often it asks.

use super::EvacuationSet;
use crate::{ReadSchedule, told_configurations::peer_wait};
use ibissail_core::Millis;

/// Longest interval between the listings of the entry that lists for its peers.
const MAX_READER_INTERVAL: Millis = Millis(1_200);
/// Longest age of a confirmation from which any other entry lists for itself.
const MAX_FALLBACK_AGE: Millis = Millis(1_750);
/// Shortest interval and age, which bound the calls to the store if the delay is set to almost 0.
const MIN_INTERVAL: Millis = Millis(250);
/// Part of the evacuation delay that is reserved for the time until a request reaches a replica.
const MARGIN: Millis = Millis(600);
/// The age limit is not below this: two listings and the longest response time of the store.
const MIN_AGE_LIMIT: Millis = Millis(2_500);

/// Schedule of the listings of evacuations. Each interval is at most about a third of the time in
/// which an evacuation must take effect.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::evacuation_polls;
/// assert_eq!(evacuation_polls(Millis(5_000)).fallback_age, Millis(1_750));
/// assert_eq!(evacuation_polls(Millis(2_000)).reader_interval, Millis(480));
/// assert_eq!(evacuation_polls(Millis(0)).reader_interval, Millis(250));
/// ```
#[must_use]
pub fn evacuation_polls(delay: Millis) -> ReadSchedule {
    let share = |parts: u64| Millis(delay.0.saturating_mul(parts) / 100);
    ReadSchedule {
        reader_interval: share(24).clamp(MIN_INTERVAL, MAX_READER_INTERVAL),
        fallback_age: share(35).clamp(MIN_INTERVAL, MAX_FALLBACK_AGE),
    }
}

/// Decides whether an entry may send requests to replicas.
///
/// A listing that was sent at some time and shows no evacuation of a zone leaves the whole delay
/// from then on: an evacuation that it does not show was acknowledged later. So does a call that the
/// store has not answered, as the store of an outage acknowledges nothing. An entry whose VM was
/// suspended has neither, and asks first.
#[derive(Debug, Clone, Copy)]
pub struct ServingGate {
    age_limit: Millis,
    /// Until then, an entry that no peer has told its evacuations does not serve: only peers know
    /// an evacuation that a restored store has lost.
    waits_for_peers_until: Millis,
    /// When the last call that failed was sent.
    failed_at: Option<Millis>,
}

impl ServingGate {
    /// Creates the gate of an entry that starts now. `delay` is the time in which an evacuation must
    /// take effect, `has_seeds` whether the entry knows addresses where peers may be.
    #[must_use]
    pub fn new(delay: Millis, has_seeds: bool, now: Millis) -> Self {
        Self {
            age_limit: delay.since(MARGIN).max(MIN_AGE_LIMIT),
            waits_for_peers_until: now.saturating_add(peer_wait(has_seeds)),
            failed_at: None,
        }
    }

    /// Ends the wait for what peers know: all of them wait as well.
    pub fn end_wait(&mut self, now: Millis) {
        self.waits_for_peers_until = self.waits_for_peers_until.min(now);
    }

    /// Records that a call to the store, sent at this time, has failed.
    pub fn record_failure(&mut self, sent_at: Millis) {
        self.failed_at = self.failed_at.max(Some(sent_at));
    }

    /// Whether the entry has known the evacuations at some time, so that it may admit requests.
    #[must_use]
    pub fn is_informed(&self, set: &EvacuationSet, now: Millis) -> bool {
        set.confirmed_at().is_some() && (set.has_heard_peer() || now >= self.waits_for_peers_until)
    }

    /// Whether the entry may send requests to the replicas of zones that are not evacuated.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Millis, StoreRevision};
    /// use ibissail_direct::{EvacuationSet, ServingGate};
    /// let mut gate = ServingGate::new(Millis(5_000), false, Millis(0));
    /// let mut set = EvacuationSet::default();
    /// assert!(!gate.allows(&set, Millis(10)), "nothing is known");
    /// set.apply_listing(Vec::new(), StoreRevision::new(1, 7), Millis(10), Millis(20));
    /// assert!(gate.allows(&set, Millis(1_000)));
    /// assert!(!gate.allows(&set, Millis(30_000)), "the VM was suspended");
    /// gate.record_failure(Millis(29_000));
    /// assert!(gate.allows(&set, Millis(30_000)), "the store is down");
    /// ```
    #[must_use]
    pub fn allows(&self, set: &EvacuationSet, now: Millis) -> bool {
        let is_recent = |at: Millis| now.since(at) < self.age_limit;
        self.is_informed(set, now)
            && (set.confirmed_at().is_some_and(is_recent) || self.failed_at.is_some_and(is_recent))
    }
}
