//! Whether the configuration in the store is the newest, from what peers know of it.
//!
//! A store that has been restored from an older copy shows a configuration that a newer one had
//! replaced, until the operators have written that again. An entry that has lived through the restore
//! remembers the newer one; one that has started since, or was suspended, knows it from peers only.

use ibissail_core::{Incarnation, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Time from the start in which an entry that has seeds waits for a peer that knows more than the
/// store. Peers send reports to an address that has been silent every 1.6 s.
const PEER_TIME: Millis = Millis(2_000);
/// The same without seeds: only peers that know the entry from before its start can reach it. They
/// report every 400 ms, and one report may be lost.
const UNSEEDED_TIME: Millis = Millis(1_000);
/// The same where every peer that the entry can reach waits as well, as when all have restarted: one
/// that knows more reports every 400 ms, to entries that it has heard until lately.
const FLEET_TIME: Millis = Millis(500);
/// Time within which the store must show a version, from the first read on that does not. A peer may be
/// wrong, and its version may never be written again.
const MENTION_LIMIT: Millis = Millis(30_000);
/// Time without another mention after which a version is forgotten.
const MENTION_TTL: Millis = Millis(30_000);
/// Most versions that are kept; the newest are.
const MAX_MENTIONS: usize = 16;

/// A peer's word on the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldConfiguration {
    /// Run of the peer.
    pub peer: Incarnation,
    /// Version that the peer has; 0 if it has none.
    pub version: u64,
    /// Whether the peer itself still waits for one that knows more.
    pub is_provisional: bool,
}

/// A version that a peer has, and the store has not shown to this entry.
#[derive(Debug, Clone, Copy)]
struct Mention {
    first_told: Millis,
    last_told: Millis,
    /// Whether it counts before a read has missed it: the entry had not heard of its peers for long
    /// enough to rely on what it has read before.
    counts_at_once: bool,
    /// When the first read was sent that has returned an older version.
    missed_at: Option<Millis>,
}

impl Mention {
    /// Whether the store may still show the version. While the store cannot be read, it may.
    fn is_credible(&self, now: Millis) -> bool {
        self.missed_at.is_none_or(|at| now.since(at) < MENTION_LIMIT)
    }
}

/// What peers have told of the configuration.
#[derive(Debug, Clone)]
pub struct ToldConfigurations {
    /// Since when, and until when, an entry waits for a peer that does not wait itself.
    waits_since: Millis,
    waits_until: Millis,
    has_heard_peer: bool,
    /// Peers that wait as well.
    waiting_peers: BTreeSet<Incarnation>,
    /// Whether `take_end_of_wait` has yet to report the end of the wait.
    is_waiting: bool,
    mentions: BTreeMap<u64, Mention>,
}

/// Time for which an entry that starts waits for what its peers know.
pub(crate) fn peer_wait(has_seeds: bool) -> Millis {
    if has_seeds { PEER_TIME } else { UNSEEDED_TIME }
}

impl ToldConfigurations {
    /// What an entry that starts now knows: nothing. Without seeds there may be peers that know it from
    /// before its start.
    #[must_use]
    pub fn new(has_seeds: bool, now: Millis) -> Self {
        Self {
            waits_since: now,
            waits_until: now.saturating_add(peer_wait(has_seeds)),
            has_heard_peer: false,
            waiting_peers: BTreeSet::new(),
            is_waiting: true,
            mentions: BTreeMap::new(),
        }
    }

    /// Waits for peers from now on. What this entry knew may be outdated, and the store too: the entry
    /// was cut off or suspended while the store was restored.
    pub fn wait_for_peers(&mut self, now: Millis) {
        self.waits_since = now;
        self.waits_until = now.saturating_add(PEER_TIME);
        self.has_heard_peer = false;
        self.waiting_peers.clear();
        self.is_waiting = true;
    }

    /// Records what a peer has told, to an entry that has this version. Returns whether it is a newer
    /// one that no peer has told lately.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{ToldConfiguration, ToldConfigurations};
    /// let mut told = ToldConfigurations::new(true, Millis(0));
    /// assert!(!told.is_informed(Millis(10)));
    /// let peer = ibissail_core::Incarnation(5);
    /// let newer = ToldConfiguration { peer, version: 6, is_provisional: false };
    /// assert!(told.record(newer, 3, Millis(20)));
    /// assert!(told.is_informed(Millis(20)));
    /// assert_eq!(told.missing(3, Millis(20)), Some(6));
    /// assert_eq!(told.missing(6, Millis(20)), None);
    /// ```
    pub fn record(&mut self, told: ToldConfiguration, known: u64, now: Millis) -> bool {
        let ToldConfiguration { peer, version, is_provisional } = told;
        if is_provisional && !self.is_informed(now) {
            self.waiting_peers.insert(peer);
        }
        if version == 0 {
            return false;
        }
        // All that this entry has read so far may come from a restored store.
        let is_beginner = !self.has_heard_peer || now < self.waits_until;
        self.has_heard_peer |= !is_provisional;
        self.mentions.retain(|_, mention| now.since(mention.last_told) < MENTION_TTL);
        if version <= known {
            return false;
        }
        let is_new = !self.mentions.contains_key(&version);
        let mention = self.mentions.entry(version).or_insert(Mention {
            first_told: now,
            last_told: now,
            counts_at_once: false,
            missed_at: None,
        });
        mention.last_told = now;
        mention.counts_at_once |= is_beginner;
        while self.mentions.len() > MAX_MENTIONS {
            self.mentions.pop_first();
        }
        is_new
    }

    /// Records a read of the store, sent at this time, that has returned this version.
    pub fn record_read(&mut self, version: u64, sent_at: Millis) {
        self.mentions.retain(|mentioned, _| *mentioned > version);
        for mention in self.mentions.values_mut() {
            if mention.first_told <= sent_at {
                mention.missed_at.get_or_insert(sent_at);
            }
        }
    }

    /// Ends the wait early if all these peers wait as well, which are all that there may be; returns
    /// whether it does.
    pub fn review_peers<I>(&mut self, peers: I, now: Millis) -> bool
    where
        I: IntoIterator<Item = Incarnation>,
    {
        let mut peers = peers.into_iter().peekable();
        let are_all_waiting =
            peers.peek().is_some() && peers.all(|peer| self.waiting_peers.contains(&peer));
        let ends = are_all_waiting && now.since(self.waits_since) >= FLEET_TIME;
        if ends {
            self.waits_until = self.waits_until.min(now);
        }
        ends
    }

    /// Whether this entry has heard a peer that knows more than the store, or has waited for one.
    #[must_use]
    pub fn is_informed(&self, now: Millis) -> bool {
        self.has_heard_peer || now >= self.waits_until
    }

    /// Whether a peer was heard, once the wait for peers has ended; `None` before and afterwards.
    pub fn take_end_of_wait(&mut self, now: Millis) -> Option<bool> {
        if !self.is_waiting || !self.is_informed(now) {
            return None;
        }
        self.is_waiting = false;
        Some(self.has_heard_peer)
    }

    /// Time for which an entry still waits for peers.
    #[must_use]
    pub fn rest_of_wait(&self, now: Millis) -> Millis {
        if self.has_heard_peer { Millis(0) } else { self.waits_until.since(now) }
    }

    /// Whether the wait has begun so lately that peers which wait as well may still discover each other.
    #[must_use]
    pub fn is_seeking_peers(&self, now: Millis) -> bool {
        !self.is_informed(now) && now.since(self.waits_since) < FLEET_TIME
    }

    /// Newest version that a peer has told lately; 0 if none has told one that the store lacks.
    #[must_use]
    pub fn newest(&self, now: Millis) -> u64 {
        let newest = self.mentions.iter().rev().find(|(_, mention)| mention.is_credible(now));
        newest.map(|(version, _)| *version).unwrap_or_default()
    }

    /// Newest version above `known` that the store should have shown; `None` if there is none, so that
    /// what this entry has read is the newest.
    #[must_use]
    pub fn missing(&self, known: u64, now: Millis) -> Option<u64> {
        let is_missing = |mention: &Mention| {
            (mention.counts_at_once || mention.missed_at.is_some()) && mention.is_credible(now)
        };
        let above = self.mentions.range(known.saturating_add(1)..);
        above.rev().find(|(_, mention)| is_missing(mention)).map(|(version, _)| *version)
    }
}
