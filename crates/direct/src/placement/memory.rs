//! KV cache memory that requests hold at a replica.
//!
//! About 45 planning requests of 12,000 tokens fill a replica of 128 slots; beyond that, running
//! requests are preempted.

use super::load::ReportedLoad;
use ibissail_core::{Millis, Tokens};
use std::collections::BTreeMap;

/// Most replicas in a notice, so that it fits in one datagram; those with the most tokens come
/// first.
pub const MAX_TOLD_HELD: usize = 48;
/// Age from which the tokens that a peer has told are ignored.
const HELD_TTL: Millis = Millis(1_500);
/// Most tokens that a peer can tell for one replica.
const MAX_HELD: u64 = 10_000_000;
/// Most peers whose tokens are kept; some 80 tell theirs within `HELD_TTL` in large fleets.
const MAX_PEERS: usize = 512;

/// Tokens held at replicas by the requests of peers. Replicas are given by a short hash, peers by a
/// number.
#[derive(Debug, Clone, Default)]
pub struct PeerHeldTokens {
    told: BTreeMap<u64, (Millis, Vec<(u32, u64)>)>,
    /// Sums over all peers.
    by_replica: BTreeMap<u32, u64>,
}

impl PeerHeldTokens {
    /// Stores what a peer tells; it replaces what the peer told before.
    pub fn store(&mut self, peer: u64, told: &[(u32, u64)], now: Millis) {
        self.expire(now);
        self.remove(peer);
        if self.told.len() >= MAX_PEERS {
            return;
        }
        let bounded = told.iter().take(MAX_TOLD_HELD);
        let bounded = bounded.map(|(replica, tokens)| (*replica, (*tokens).min(MAX_HELD)));
        let bounded: Vec<(u32, u64)> = bounded.collect();
        for (replica, tokens) in &bounded {
            *self.by_replica.entry(*replica).or_default() += tokens;
        }
        self.told.insert(peer, (now, bounded));
    }

    /// Removes what was told more than 1.5 s ago.
    pub fn expire(&mut self, now: Millis) {
        let expired = self.told.iter().filter(|(_, (at, _))| now.since(*at) >= HELD_TTL);
        let expired: Vec<u64> = expired.map(|(peer, _)| *peer).collect();
        for peer in expired {
            self.remove(peer);
        }
    }

    fn remove(&mut self, peer: u64) {
        let Some((_, told)) = self.told.remove(&peer) else { return };
        for (replica, tokens) in told {
            if let Some(sum) = self.by_replica.get_mut(&replica) {
                *sum = sum.saturating_sub(tokens);
                if *sum == 0 {
                    self.by_replica.remove(&replica);
                }
            }
        }
    }

    /// Tokens that the peers which have told theirs hold at a replica.
    #[must_use]
    pub fn held_at(&self, replica: u32) -> Tokens {
        Tokens(self.by_replica.get(&replica).copied().unwrap_or_default())
    }

    /// Number of peers that have told theirs.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.told.len()
    }
}

/// The pairs that a notice tells: the largest first, at most [`MAX_TOLD_HELD`].
#[must_use]
pub fn told_held(mut held: Vec<(u32, u64)>) -> Vec<(u32, u64)> {
    held.retain(|(_, tokens)| *tokens > 0);
    held.sort_by_key(|(replica, tokens)| (std::cmp::Reverse(*tokens), *replica));
    held.truncate(MAX_TOLD_HELD);
    held
}

/// What an entry knows of the requests of all entries at the replicas of a service.
///
/// Entries that have told nothing are assumed to have as much at each replica as the others have on
/// average: the few requests of one entry at a replica say little about those of the others there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetView {
    /// Estimated number of entries, this one included.
    pub entries: usize,
    /// Number of entries whose requests are known, this one included.
    pub entries_with_requests: usize,
    /// Number of entries whose tokens are known, this one included.
    pub entries_with_tokens: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Known requests at all replicas.
    pub requests: u64,
    /// Known tokens at all replicas.
    pub tokens: Tokens,
}

impl FleetView {
    /// Requests of all entries at a replica where this many are known.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::FleetView;
    /// let view = FleetView {
    ///     entries: 5,
    ///     entries_with_requests: 2,
    ///     replicas: 10,
    ///     requests: 40,
    ///     ..FleetView::default()
    /// };
    /// assert_eq!(view.requests_at(7), 13, "three entries have two each");
    /// ```
    #[must_use]
    pub fn requests_at(&self, known: u32) -> u32 {
        let each = self.requests as f64 / self.replicas.max(1) as f64;
        let silent = self.silent_share(self.entries_with_requests);
        (f64::from(known) + each * silent).round() as u32
    }

    /// Tokens of all entries at a replica, where `known` are known, held by `requests` requests;
    /// `report` is the recent report of the replica, which includes the requests of silent entries.
    #[must_use]
    pub fn tokens_at(&self, known: Tokens, requests: u32, report: Option<ReportedLoad>) -> Tokens {
        let unknown = if let Some(report) = report {
            let each = self.tokens.0 as f64 / self.requests.max(1) as f64;
            each * f64::from(report.running.saturating_sub(requests))
        } else {
            let each = self.tokens.0 as f64 / self.replicas.max(1) as f64;
            each * self.silent_share(self.entries_with_tokens)
        };
        Tokens(known.0.saturating_add(unknown as u64))
    }

    /// Number of silent entries for each that has told what it has.
    fn silent_share(&self, telling: usize) -> f64 {
        self.entries.saturating_sub(telling) as f64 / telling.max(1) as f64
    }
}
