//! Evidence of all entries on one rollout, including entries that have restarted since.
//!
//! An entry loses its counts in a restart, but its peers keep the last report they received.

use crate::{Evidence, Sample, VersionCounts};
use ibissail_core::{Incarnation, Millis};
use std::collections::BTreeMap;

/// Last report of one run of a peer.
#[derive(Debug, Clone, PartialEq)]
struct PeerEvidence {
    evidence: Evidence,
    observed_for: Millis,
}

/// Evidence known to one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedEvidence {
    own: Evidence,
    observed_since: Millis,
    peers: BTreeMap<Incarnation, PeerEvidence>,
}

impl SharedEvidence {
    /// Starts without evidence; the entry observes the rollout from `now` on.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { own: Evidence::default(), observed_since: now, peers: BTreeMap::new() }
    }

    /// Counts a response that this entry received.
    pub fn record(&mut self, is_new: bool, sample: &Sample) {
        self.counts(is_new).record(sample);
    }

    /// Records the latency at the beginning of a stream that this entry received, or its pace.
    pub fn record_latency(&mut self, is_new: bool, latency_class: u32, latency_ms: u64) {
        self.counts(is_new).record_latency(latency_class, latency_ms);
    }

    fn counts(&mut self, is_new: bool) -> &mut VersionCounts {
        if is_new { &mut self.own.new } else { &mut self.own.old }
    }

    /// Replaces a peer's evidence unless the report is older than the known one; counts only grow,
    /// so the latest report includes all earlier ones.
    pub fn update_peer(&mut self, peer: Incarnation, evidence: Evidence, observed_for: Millis) {
        let known = self.peers.get(&peer);
        if known.is_none_or(|known| known.observed_for <= observed_for) {
            self.peers.insert(peer, PeerEvidence { evidence, observed_for });
        }
    }

    /// Responses that this entry has counted itself.
    #[must_use]
    pub fn own(&self) -> &Evidence {
        &self.own
    }

    /// Evidence of all entries.
    #[must_use]
    pub fn total(&self) -> Evidence {
        let mut total = self.own.clone();
        for peer in self.peers.values() {
            total.merge(&peer.evidence);
        }
        total
    }

    /// Time for which this entry has observed the rollout.
    #[must_use]
    pub fn own_observed_for(&self, now: Millis) -> Millis {
        now.since(self.observed_since)
    }

    /// Longest time for which one run of an entry has observed the rollout.
    #[must_use]
    pub fn observed_for(&self, now: Millis) -> Millis {
        let durations = self.peers.values().map(|peer| peer.observed_for);
        durations.max().unwrap_or_default().max(self.own_observed_for(now))
    }

    /// Removes the peers' evidence, once the rollout is over.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }
}
