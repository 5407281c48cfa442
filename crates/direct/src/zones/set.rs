//! The evacuated zones, from listings of the store and from peers.

use super::ToldEvacuations;
use crate::stable_hash;
use ibissail_core::{Millis, StoreRevision, ZoneId};
use std::collections::BTreeMap;

/// Time for which an evacuation that a restored store lacks stays in force, so that the operators
/// can write it again. They do so within some seconds.
const RESTORE_HOLD: Millis = Millis(4_000);
/// Time for which an entry repeats to peers that an evacuation has begun or ended.
const REPEAT_TIME: Millis = Millis(60_000);
/// Allowance for the delivery of a peer's message, whose age names only the time at the sender.
const DELIVERY_TIME: Millis = Millis(500);
/// Most bytes of zones in a message, so that it fits in one datagram.
const MAX_TOLD_BYTES: usize = 1_000;
/// Encoded bytes of a zone in a message beside its name, at most.
const TOLD_ZONE_BYTES: usize = 40;
/// Most ended evacuations that are remembered.
const MAX_ENDED: usize = 64;

/// A change of the set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// Nothing may be sent to the replicas of the zone any more.
    Evacuated(ZoneId),
    /// The zone is used again.
    Ended(ZoneId),
}

/// The evacuated zones that an entry knows.
///
/// A removed object takes effect only with a listing that is newer than what has shown it, so that a
/// late answer never undoes a newer one. The store may be restored from an older copy, which begins
/// an epoch: an evacuation that the copy lacks stays in force until a listing that was sent after the
/// operators had time to write it again.
#[derive(Debug, Clone, Default)]
pub struct EvacuationSet {
    /// Each evacuated zone with the newest position at which it was shown.
    zones: BTreeMap<ZoneId, StoreRevision>,
    /// Position of the newest listing; `None` before the first.
    applied: Option<StoreRevision>,
    confirmed_at: Option<Millis>,
    /// Until then, evacuations of earlier epochs stay.
    hold_until: Millis,
    /// Positions up to which evacuations are known to have ended.
    ended: BTreeMap<ZoneId, StoreRevision>,
    changed_at: Option<Millis>,
    has_heard_peer: bool,
}

impl EvacuationSet {
    /// Applies a listing of revision `at`, sent at `sent_at`: the evacuated zones, each with the
    /// revision of its object. A listing older than a known one is ignored.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Millis, StoreRevision, ZoneId};
    /// use ibissail_direct::{EvacuationSet, ZoneChange};
    /// let zone: ZoneId = "az-1".parse().unwrap();
    /// let mut set = EvacuationSet::default();
    /// let at = StoreRevision::new(1, 8);
    /// let changes = set.apply_listing(vec![(zone.clone(), at)], at, Millis(0), Millis(5));
    /// assert_eq!(changes, [ZoneChange::Evacuated(zone.clone())]);
    /// set.apply_listing(Vec::new(), StoreRevision::new(1, 7), Millis(0), Millis(9));
    /// assert!(set.is_evacuated(&zone), "the answer is older");
    /// ```
    pub fn apply_listing(
        &mut self,
        listing: Vec<(ZoneId, StoreRevision)>,
        at: StoreRevision,
        sent_at: Millis,
        now: Millis,
    ) -> Vec<ZoneChange> {
        if !self.is_newest(at) {
            return Vec::new();
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.apply_all(listing, at, Some(sent_at), now)
    }

    /// Applies what a peer has told. A complete list counts like a listing, except that it confirms
    /// nothing to an entry that has listed, and ends no evacuation that a restored store lacks.
    pub fn apply_told(&mut self, told: &ToldEvacuations, now: Millis) -> Vec<ZoneChange> {
        let ToldEvacuations { at, age, zones, hold, is_complete } = told;
        let listed = zones.iter().filter(|(_, shown_at)| shown_at.epoch >= at.epoch).cloned();
        let is_newer = self.applied.is_none_or(|applied| *at > applied);
        let mut changes = if is_newer && *is_complete {
            let asked = now.since(age.saturating_add(DELIVERY_TIME));
            self.confirmed_at = self.confirmed_at.or(Some(asked));
            self.apply_all(listed.collect(), *at, None, now)
        } else {
            // A zone that a newer listing has not shown is not evacuated any more.
            let applied = self.applied;
            let is_unknown = |shown_at| applied.is_none_or(|applied| shown_at > applied);
            let newer = listed.filter(|(_, shown_at)| is_unknown(*shown_at));
            self.show_all(newer.collect(), now)
        };
        // A peer that has not listed since a restore does not know yet what the store has lost.
        let is_current = self.applied.is_none_or(|applied| at.epoch >= applied.epoch);
        self.has_heard_peer |= *is_complete && is_current;
        if self.applied.is_some_and(|applied| applied.epoch == at.epoch) {
            let missing = zones.iter().filter(|(_, shown_at)| shown_at.epoch < at.epoch);
            let missing = missing.filter(|(zone, _)| !self.zones.contains_key(zone)).cloned();
            let adopted = self.show_all(missing.collect(), now);
            if !adopted.is_empty() {
                let until = now.saturating_add((*hold).min(RESTORE_HOLD));
                self.hold_until = self.hold_until.max(until);
            }
            changes.extend(adopted);
        }
        changes
    }

    /// Records that a listing, sent after `asked`, has the same digest as this set.
    pub fn confirm(&mut self, asked: Millis, now: Millis) -> Vec<ZoneChange> {
        self.confirmed_at = self.confirmed_at.max(Some(asked));
        match self.applied {
            Some(at) => self.end_missing(at, Some(asked), now),
            None => Vec::new(),
        }
    }

    /// Whether nothing newer than revision `at` has been applied.
    #[must_use]
    pub fn is_newest(&self, at: StoreRevision) -> bool {
        self.applied.is_none_or(|applied| at >= applied)
    }

    fn apply_all(
        &mut self,
        listing: Vec<(ZoneId, StoreRevision)>,
        at: StoreRevision,
        sent_at: Option<Millis>,
        now: Millis,
    ) -> Vec<ZoneChange> {
        if self.applied.is_some_and(|applied| at.epoch > applied.epoch) {
            self.hold_until = now.saturating_add(RESTORE_HOLD);
        }
        self.applied = Some(at);
        // An object may have been written after the position of the listing's first page.
        let shown = listing.into_iter().map(|(zone, revision)| (zone, revision.max(at)));
        let mut changes = self.show_all(shown.collect(), now);
        changes.extend(self.end_missing(at, sent_at, now));
        changes
    }

    fn show_all(&mut self, shown: Vec<(ZoneId, StoreRevision)>, now: Millis) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        for (zone, shown_at) in shown {
            if self.ended.get(&zone).is_some_and(|ended_at| shown_at <= *ended_at) {
                continue;
            }
            self.ended.remove(&zone);
            if let Some(known) = self.zones.get_mut(&zone) {
                *known = shown_at.max(*known);
                continue;
            }
            self.zones.insert(zone.clone(), shown_at);
            self.changed_at = Some(now);
            changes.push(ZoneChange::Evacuated(zone));
        }
        changes
    }

    /// Ends the evacuations that a listing of revision `at` has not shown. Those of earlier epochs
    /// stay unless the listing was sent after the hold time; it was not if `sent_at` is `None`.
    fn end_missing(
        &mut self,
        at: StoreRevision,
        sent_at: Option<Millis>,
        now: Millis,
    ) -> Vec<ZoneChange> {
        let releases_held = sent_at.is_some_and(|sent_at| sent_at >= self.hold_until);
        let has_ended = |shown_at: StoreRevision| {
            shown_at < at && (shown_at.epoch == at.epoch || releases_held)
        };
        let ended: Vec<ZoneId> = self
            .zones
            .iter()
            .filter(|(_, shown_at)| has_ended(**shown_at))
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in &ended {
            self.zones.remove(zone);
            self.ended.insert(zone.clone(), at);
            self.changed_at = Some(now);
        }
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_first();
        }
        ended.into_iter().map(ZoneChange::Ended).collect()
    }

    /// Whether nothing may be sent to the replicas of a zone.
    #[must_use]
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.zones.contains_key(zone)
    }

    /// The evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// Number of evacuated zones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Time as of which the set was last known to be current; `None` if it never was.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Whether a peer has told all its evacuations.
    #[must_use]
    pub fn has_heard_peer(&self) -> bool {
        self.has_heard_peer
    }

    /// Position of the newest listing; `None` before the first.
    #[must_use]
    pub fn position(&self) -> Option<StoreRevision> {
        self.applied
    }

    /// Digest of the listed evacuations, the same at all entries that know the same list. Those that
    /// a restored store lacks are left out.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let epoch = self.applied.unwrap_or_default().epoch;
        let listed = self.zones.iter().filter(|(_, shown_at)| shown_at.epoch >= epoch);
        let names: Vec<&str> = listed.map(|(zone, _)| zone.as_str()).collect();
        stable_hash(&names)
    }

    /// What peers are told; `None` before the set is known.
    #[must_use]
    pub fn told(&self, now: Millis) -> Option<ToldEvacuations> {
        let (at, confirmed_at) = self.applied.zip(self.confirmed_at)?;
        let mut bytes = 0;
        let fits = |(zone, _): &(&ZoneId, &StoreRevision)| {
            bytes += zone.as_str().len() + TOLD_ZONE_BYTES;
            bytes <= MAX_TOLD_BYTES
        };
        let zones: Vec<(ZoneId, StoreRevision)> = self
            .zones
            .iter()
            .take_while(fits)
            .map(|(zone, shown_at)| (zone.clone(), *shown_at))
            .collect();
        let is_complete = zones.len() == self.zones.len();
        let hold = self.hold_until.since(now);
        Some(ToldEvacuations { at, age: now.since(confirmed_at), zones, hold, is_complete })
    }

    /// Whether there is something to repeat to peers: a zone is evacuated, or was until lately.
    #[must_use]
    pub fn is_worth_telling(&self, now: Millis) -> bool {
        !self.is_empty() || self.changed_at.is_some_and(|changed| now.since(changed) < REPEAT_TIME)
    }
}
