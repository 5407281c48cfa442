//! The replicas that may receive requests, from the platform's list and its changes.

use crate::{departures::Departures, stable_hash};
use ibissail_core::{
    Count, InstanceId, Millis, ModelId, ServiceId, StoreRevision, VersionId, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time after the last sign of a platform outage within which replicas that expired from the list
/// during the outage are listed again.
const RETURN_WINDOW: Millis = Millis(2_000);

/// State that a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It accepts requests.
    Ready,
    /// It only finishes the requests that it has.
    Draining,
}

/// A replica in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Name, which a request may specify.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Version of its software or weights.
    pub version: VersionId,
    /// Maximum number of requests that it runs concurrently.
    pub slots: Count,
    /// Whether it accepts requests.
    pub state: ReplicaState,
    /// Unix time of its start, in milliseconds; `None` if not reported.
    pub started_unix_ms: Option<u64>,
    /// Models that it has loaded; empty if not reported.
    pub models: Vec<ModelId>,
}

/// A change of the list, as delivered by a watch or by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// The replica was written, at this position in the store.
    Written(Replica, StoreRevision),
    /// The replica was removed, or its record cannot be read.
    Removed(InstanceId),
}

#[derive(Debug, Clone)]
struct KnownReplica {
    replica: Replica,
    revision: StoreRevision,
    /// When it was first missing from the list; `None` while it is listed.
    missing_since: Option<Millis>,
    /// Revision of a record that a restored store brought back and that is older than what is
    /// known. The record is ignored until the replica has written a later one.
    outdated_record: Option<StoreRevision>,
}

impl KnownReplica {
    fn listed(replica: Replica, revision: StoreRevision) -> Self {
        Self { replica, revision, missing_since: None, outdated_record: None }
    }
}

/// The listed replicas, and missing ones that may be listed again after an outage.
///
/// The store may be restored from an older copy, which begins an epoch. Replicas that the copy lacks
/// stay in use while they may be listed again. A record of the copy that contradicts what is known
/// does not count until its replica has written it again.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSet {
    known: BTreeMap<InstanceId, KnownReplica>,
    /// Position up to which the set is complete; `None` before the first listing.
    applied: Option<StoreRevision>,
    /// When the platform last did not respond; `None` if it always has.
    last_outage: Option<Millis>,
    /// When it last responded.
    last_response: Option<Millis>,
    /// Replicas that have restarted since the last call of [`ReplicaSet::take_restarted`].
    restarted: Vec<InstanceId>,
    departures: Departures,
}

impl ReplicaSet {
    /// Replaces the set with a listing of revision `at`; a listing older than what has been applied
    /// is ignored. Missing replicas stay in the set while they may be listed again after an outage
    /// or a restore of the store.
    ///
    /// Returns whether a replica is new, has changed or is newly missing.
    pub fn apply_listing(
        &mut self,
        listing: Vec<(Replica, StoreRevision)>,
        at: StoreRevision,
        now: Millis,
    ) -> bool {
        if !self.is_newest(at) {
            return false;
        }
        let is_restored = self.applied.is_some_and(|applied| at.epoch > applied.epoch);
        if is_restored {
            self.record_outage(now);
        }
        self.applied = Some(at);
        let mut previous = std::mem::take(&mut self.known);
        let mut is_changed = false;
        // A peer may have sent on a change that is newer than the listing.
        let is_newer = |revision: StoreRevision| revision.epoch == at.epoch && revision > at;
        for (replica, revision) in listing {
            let id = replica.id.clone();
            let old = previous.remove(&id);
            if old.is_none() && self.departures.is_after_listing(&id, at) {
                continue;
            }
            let listed = match &old {
                Some(old) if is_newer(old.revision) => old.clone(),
                Some(old) if old.outdated_record == Some(revision) => old.clone(),
                _ if is_restored => self.merge_restored(old.as_ref(), replica, revision, now),
                _ => KnownReplica::listed(replica, revision),
            };
            is_changed |= old.as_ref().is_none_or(|old| old.replica != listed.replica);
            self.insert(old.as_ref(), listed);
        }
        for (id, mut known) in previous {
            if is_newer(known.revision) {
                self.known.insert(id, known);
                continue;
            }
            is_changed |= known.missing_since.is_none();
            known.missing_since = known.missing_since.or(Some(now));
            known.revision = at;
            self.keep_or_remove(id, known, now);
        }
        self.departures.expire(now);
        is_changed
    }

    /// Combines a record of a restored store with what is known of its replica.
    fn merge_restored(
        &self,
        old: Option<&KnownReplica>,
        replica: Replica,
        revision: StoreRevision,
        now: Millis,
    ) -> KnownReplica {
        let outdated = |replica: Replica, missing_since| KnownReplica {
            replica,
            revision,
            missing_since,
            outdated_record: Some(revision),
        };
        let Some(old) = old else {
            return match self.departures.departed(&replica) {
                Some(departed) => outdated(departed, None),
                None => KnownReplica::listed(replica, revision),
            };
        };
        let is_other_run = has_restarted(&old.replica, &replica);
        if is_other_run && replica.started_unix_ms < old.replica.started_unix_ms {
            return outdated(old.replica.clone(), old.missing_since.or(Some(now)));
        }
        if !is_other_run && old.missing_since.is_some() {
            return outdated(old.replica.clone(), old.missing_since);
        }
        let was_draining = old.replica.state == ReplicaState::Draining;
        if !is_other_run && was_draining && replica.state == ReplicaState::Ready {
            return outdated(Replica { state: ReplicaState::Draining, ..replica }, None);
        }
        KnownReplica::listed(replica, revision)
    }

    fn insert(&mut self, old: Option<&KnownReplica>, new: KnownReplica) {
        let id = new.replica.id.clone();
        if old.is_some_and(|old| has_restarted(&old.replica, &new.replica)) {
            self.restarted.push(id.clone());
        }
        if new.outdated_record.is_none() {
            self.departures.forget(&id);
        }
        self.known.insert(id, new);
    }

    /// Whether nothing newer than revision `at` has been applied.
    #[must_use]
    pub fn is_newest(&self, at: StoreRevision) -> bool {
        self.applied.is_none_or(|applied| at >= applied)
    }

    /// Whether a change up to revision `at` continues what has been applied: it is of the same
    /// epoch, and a listing has not included it already.
    fn continues(&self, at: StoreRevision) -> bool {
        self.applied.is_none_or(|applied| at.epoch == applied.epoch && at > applied)
    }

    /// Applies a change received from a watch. It is ignored if it is older than what is known or
    /// belongs to another epoch, whose replicas have to be listed first.
    pub fn apply_change(&mut self, replica: Replica, revision: StoreRevision) {
        let old = self.known.get(&replica.id).cloned();
        let is_newer = match &old {
            Some(old) => old.revision <= revision && old.outdated_record != Some(revision),
            None => self.continues(revision) && !self.departures.is_after(&replica.id, revision),
        };
        let is_same_epoch = self.applied.is_none_or(|applied| applied.epoch == revision.epoch);
        if is_newer && is_same_epoch {
            self.insert(old.as_ref(), KnownReplica::listed(replica, revision));
        }
    }

    /// Applies a removal that a watch has reported among the changes up to revision `at`; the
    /// replica stays in the set while it may be listed again after an outage.
    pub fn apply_removal(&mut self, id: &InstanceId, at: StoreRevision, now: Millis) {
        let is_current = self.known.get(id).is_some_and(|known| known.revision <= at);
        if !is_current || !self.continues(at) {
            return;
        }
        if let Some(mut known) = self.known.remove(id) {
            known.missing_since = known.missing_since.or(Some(now));
            known.revision = at;
            self.keep_or_remove(id.clone(), known, now);
        }
    }

    fn keep_or_remove(&mut self, id: InstanceId, known: KnownReplica, now: Millis) {
        if self.may_return(&known, now) {
            self.known.insert(id, known);
        } else {
            self.departures.record(id, known.replica.started_unix_ms, known.revision, now);
        }
    }

    /// Returns the replicas that have restarted under the same name since the last call.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.restarted)
    }

    /// Records that a watch has delivered all changes up to a revision.
    pub fn advance_to(&mut self, at: StoreRevision) {
        if self.continues(at) {
            self.applied = Some(at);
        }
    }

    /// Records that the platform does not respond.
    pub fn record_outage(&mut self, now: Millis) {
        self.last_outage = Some(now);
    }

    /// Records that the platform has responded.
    pub fn record_response(&mut self, now: Millis) {
        self.last_response = Some(now);
    }

    /// Records that a call that began at `began_at` got no response. If another call got one since,
    /// only its connection is dead.
    pub fn record_silence(&mut self, began_at: Millis, now: Millis) {
        if self.last_response.is_none_or(|responded| responded <= began_at) {
            self.record_outage(now);
        }
    }

    /// Replicas of a service that accept requests.
    pub fn ready<'s>(
        &'s self,
        service: &ServiceId,
        now: Millis,
    ) -> impl Iterator<Item = &'s Replica> {
        let service = service.clone();
        let usable = move |known: &&KnownReplica| {
            known.replica.service == service
                && known.replica.state == ReplicaState::Ready
                && (known.missing_since.is_none() || self.may_return(known, now))
        };
        self.known.values().filter(usable).map(|known| &known.replica)
    }

    /// Looks up a replica by name.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Replica> {
        self.known.get(id).map(|known| &known.replica)
    }

    /// All replicas in the set.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.known.values().map(|known| &known.replica)
    }

    /// Digest of the names, services, addresses, versions and states of the listed replicas, the
    /// same at all entries that know the same list.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let listed = self.known.values().filter(|known| known.missing_since.is_none());
        listed.fold(0, |digest, known| {
            let Replica { id, service, address, version, state, .. } = &known.replica;
            let text = format!("{digest} {id} {service} {address} {version} {state:?}");
            stable_hash(&[&text])
        })
    }

    /// Whether some service has replicas of several versions.
    #[must_use]
    pub fn has_mixed_versions(&self) -> bool {
        let mut versions: BTreeMap<&ServiceId, &VersionId> = BTreeMap::new();
        self.known.values().any(|known| {
            let Replica { service, version, .. } = &known.replica;
            *versions.entry(service).or_insert(version) != version
        })
    }

    /// Number of replicas in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no replica is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a missing replica may have expired from the list during an outage and may soon be
    /// listed again.
    fn may_return(&self, known: &KnownReplica, now: Millis) -> bool {
        let Some(outage) = self.last_outage else { return false };
        known.replica.state == ReplicaState::Ready && now.since(outage) < RETURN_WINDOW
    }
}

/// Whether both runs report a start time and the times differ.
fn has_restarted(old: &Replica, new: &Replica) -> bool {
    old.started_unix_ms.zip(new.started_unix_ms).is_some_and(|(old, new)| old != new)
}
