//! The rollouts that the store lists, and whether an entry has seen the newest ones.
//!
//! A watch that delivers nothing does not show that nothing has changed. Listings and confirmations
//! of peers tell as of when the list is current; what peers report of a rollout that the list lacks
//! is a reason to read it.

use crate::{Rollout, RolloutReport, RolloutState, stable_hash};
use ibissail_core::{Millis, Revision, ServiceId, StoreRevision, VersionId};
use std::collections::{BTreeMap, BTreeSet};

/// Time in which a watch that works delivers what a peer has read already.
const DELIVERY_TIME: Millis = Millis(250);
/// Time for which a report of a peer is remembered after it was last heard.
const REPORT_TTL: Millis = Millis(30_000);
/// Most earlier targets of a service that are remembered.
const MAX_TARGETS: usize = 64;

/// What peers report of a rollout that this entry knows differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Heard {
    state: RolloutState,
    /// When a peer first reported this state.
    since: Millis,
    last: Millis,
}

/// The rollouts that the store lists.
#[derive(Debug, Clone, Default)]
pub struct RolloutList {
    /// Revision of each object by name; `None` for one that cannot be read.
    objects: BTreeMap<String, Option<Revision>>,
    /// Position of the newest listing or watch.
    applied: Option<StoreRevision>,
    confirmed_at: Option<Millis>,
    /// Digest of a peer's listing that differs from this list, and since when.
    differing: Option<(u64, Millis)>,
    heard: BTreeMap<(ServiceId, VersionId), Heard>,
    /// Targets of the rollouts that this entry has read.
    targets: BTreeMap<ServiceId, BTreeSet<VersionId>>,
}

impl RolloutList {
    /// Applies a listing of revision `at`, sent at `sent_at`, with the revision of each object by
    /// name, `None` for unreadable ones. Returns whether nothing newer is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Millis, Revision, StoreRevision};
    /// use ibissail_direct::RolloutList;
    /// let (mut reader, mut other) = (RolloutList::default(), RolloutList::default());
    /// let objects = vec![("records".to_owned(), Some(Revision(7)))];
    /// assert!(reader.apply_listing(objects, StoreRevision::new(0, 8), Millis(100)));
    /// other.confirm(reader.digest(), Millis(150), Millis(160));
    /// assert_eq!(other.confirmed_at(), None, "it has not seen the rollout");
    /// assert!(other.needs_read(Millis(500)));
    /// ```
    pub fn apply_listing(
        &mut self,
        objects: Vec<(String, Option<Revision>)>,
        at: StoreRevision,
        sent_at: Millis,
    ) -> bool {
        if self.applied.is_some_and(|applied| at < applied) {
            return false;
        }
        self.applied = Some(at);
        self.objects = objects.into_iter().collect();
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.differing = None;
        true
    }

    /// Applies a change that a watch has delivered: the revision of an object, `None` if it cannot be
    /// read.
    pub fn apply_written(&mut self, name: &str, revision: Option<Revision>) {
        self.objects.insert(name.to_owned(), revision);
    }

    /// Applies a removal that a watch has delivered.
    pub fn apply_removed(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Records up to which position a watch has delivered the changes.
    pub fn advance_to(&mut self, position: StoreRevision) {
        self.applied = self.applied.max(Some(position));
    }

    /// Takes note that this entry has read a rollout.
    pub fn remember_target(&mut self, rollout: &Rollout) {
        let targets = self.targets.entry(rollout.service.clone()).or_default();
        if targets.len() >= MAX_TARGETS {
            targets.pop_first();
        }
        targets.insert(rollout.target.clone());
    }

    /// Digest of the list, the same at all entries that have seen the same objects.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.objects.iter().fold(0, |digest, (name, revision)| {
            let revision = revision.unwrap_or_default();
            stable_hash(&[&format!("{digest} {name} {revision}")])
        })
    }

    /// Applies the digest of a peer's listing, which was sent after `asked`.
    pub fn confirm(&mut self, digest: u64, asked: Millis, now: Millis) {
        if self.digest() == digest {
            self.confirmed_at = self.confirmed_at.max(Some(asked));
            self.differing = None;
        } else if self.differing.is_none_or(|(known, _)| known != digest) {
            self.differing = Some((digest, now));
        }
    }

    /// Time as of which the list was last known to be current.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Takes note that the store was restored: the list is no longer known to be current.
    pub fn reset_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Takes note of a peer's report; returns whether it tells something new. `known` is the rollout
    /// of the service that this entry knows.
    pub fn hear(&mut self, report: &RolloutReport, known: Option<&Rollout>, now: Millis) -> bool {
        self.heard.retain(|_, heard| now.since(heard.last) < REPORT_TTL);
        let RolloutReport { service, target, state, .. } = report;
        let is_news = match known {
            Some(known) if known.target == *target => *state > known.state,
            _ => !self.targets.get(service).is_some_and(|targets| targets.contains(target)),
        };
        let key = (service.clone(), target.clone());
        if !is_news {
            self.heard.remove(&key);
            return false;
        }
        if let Some(heard) = self.heard.get_mut(&key)
            && *state <= heard.state
        {
            heard.last = now;
            return false;
        }
        self.heard.insert(key, Heard { state: *state, since: now, last: now });
        true
    }

    /// The rollout of a service that peers report and that this entry has not been able to look up
    /// since: its target and state.
    #[must_use]
    pub fn announced(&self, service: &ServiceId) -> Option<(&VersionId, RolloutState)> {
        let mut open = self.heard.iter().filter(|(_, heard)| self.is_open(heard));
        let found = open.find(|((of, _), _)| of == service);
        found.map(|((_, target), heard)| (target, heard.state))
    }

    /// Whether the list has to be read at once: because peers have listed, or report, something that
    /// a watch should have delivered by now.
    #[must_use]
    pub fn needs_read(&self, now: Millis) -> bool {
        let is_due = |since: Millis| now.since(since) >= DELIVERY_TIME;
        self.differing.is_some_and(|(digest, since)| is_due(since) && self.digest() != digest)
            || self.heard.values().any(|heard| self.is_open(heard) && is_due(heard.since))
    }

    /// Whether peers report something that has not been looked up.
    #[must_use]
    pub fn has_announcements(&self) -> bool {
        self.heard.values().any(|heard| self.is_open(heard))
    }

    fn is_open(&self, heard: &Heard) -> bool {
        self.confirmed_at.is_none_or(|confirmed| confirmed < heard.since)
    }
}
