//! Evidence of all entries on one order, also of those that have restarted since.
//!
//! An entry keeps nothing over a restart, but its peers have heard what it had counted.

use crate::{Evidence, Sample, VersionCounts};
use ibissail_core::{Incarnation, Millis};
use std::collections::BTreeMap;

/// What one run of a peer has said last.
#[derive(Debug, Clone, PartialEq)]
struct Heard {
    evidence: Evidence,
    observed_for: Millis,
}

/// The evidence that one entry knows of.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedEvidence {
    own: Evidence,
    watched_since: Millis,
    heard: BTreeMap<Incarnation, Heard>,
}

impl SharedEvidence {
    /// No evidence yet; the entry watches the order from `now` on.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { own: Evidence::default(), watched_since: now, heard: BTreeMap::new() }
    }

    /// Counts an answer that this entry has seen.
    pub fn record(&mut self, is_new: bool, sample: &Sample) {
        self.counts(is_new).record(sample);
    }

    /// Counts the time of a stream's beginning that this entry has seen.
    pub fn record_time(&mut self, is_new: bool, kind: u32, time_ms: u64) {
        self.counts(is_new).record_time(kind, time_ms);
    }

    fn counts(&mut self, is_new: bool) -> &mut VersionCounts {
        if is_new { &mut self.own.new } else { &mut self.own.old }
    }

    /// Takes over what a peer says; its counts only grow, so the latest report holds them all.
    pub fn update_peer(&mut self, peer: Incarnation, evidence: Evidence, observed_for: Millis) {
        let known = self.heard.get(&peer);
        if known.is_none_or(|known| known.observed_for <= observed_for) {
            self.heard.insert(peer, Heard { evidence, observed_for });
        }
    }

    /// What this entry has counted itself.
    #[must_use]
    pub fn own(&self) -> &Evidence {
        &self.own
    }

    /// The evidence of all entries.
    #[must_use]
    pub fn total(&self) -> Evidence {
        let mut total = self.own.clone();
        for heard in self.heard.values() {
            total.merge(&heard.evidence);
        }
        total
    }

    /// Time for which this entry has watched the order.
    #[must_use]
    pub fn own_observed_for(&self, now: Millis) -> Millis {
        now.since(self.watched_since)
    }

    /// Longest time for which one run of an entry has watched the order.
    #[must_use]
    pub fn observed_for(&self, now: Millis) -> Millis {
        let heard = self.heard.values().map(|heard| heard.observed_for);
        heard.max().unwrap_or_default().max(self.own_observed_for(now))
    }

    /// Forgets what peers have said, once the order is over.
    pub fn clear_peers(&mut self) {
        self.heard.clear();
    }
}
