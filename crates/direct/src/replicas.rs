//! The replicas that may receive requests, from the platform's list and its changes.

use crate::stable_hash;
use ibissail_core::{Count, InstanceId, Millis, ModelId, Revision, ServiceId, VersionId, ZoneId};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time after the last sign of a platform outage within which replicas that expired from the list
/// during the outage are listed again.
const RETURN_WINDOW: Millis = Millis(2_000);

/// State that a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// It accepts requests.
    Ready,
    /// It only finishes the requests that it has.
    Draining,
}

/// A replica in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
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

#[derive(Debug, Clone)]
struct KnownReplica {
    replica: Replica,
    revision: Revision,
    /// When it was first missing from the list; `None` while it is listed.
    missing_since: Option<Millis>,
}

/// The listed replicas, and missing ones that may be listed again after an outage.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSet {
    known: BTreeMap<InstanceId, KnownReplica>,
    applied_revision: Revision,
    /// When the platform last did not respond; `None` if it always has.
    last_outage: Option<Millis>,
    /// Replicas that have restarted since the last call of [`ReplicaSet::take_restarted`].
    restarted: Vec<InstanceId>,
}

impl ReplicaSet {
    /// Replaces the set with a listing of revision `at`; a listing older than what has been applied
    /// is ignored. Missing replicas stay in the set while they may be listed again after an outage.
    ///
    /// Returns whether a replica is new, has changed or is newly missing.
    pub fn apply_listing(
        &mut self,
        listing: Vec<(Replica, Revision)>,
        at: Revision,
        now: Millis,
    ) -> bool {
        if !self.is_newest(at) {
            return false;
        }
        self.applied_revision = at;
        let mut previous = std::mem::take(&mut self.known);
        let mut is_changed = false;
        for (replica, revision) in listing {
            let old = previous.remove(&replica.id);
            is_changed |= old.as_ref().is_none_or(|old| old.replica != replica);
            if old.is_some_and(|old| has_restarted(&old.replica, &replica)) {
                self.restarted.push(replica.id.clone());
            }
            self.known.insert(
                replica.id.clone(),
                KnownReplica { replica, revision, missing_since: None },
            );
        }
        for (id, mut known) in previous {
            is_changed |= known.missing_since.is_none();
            known.missing_since = known.missing_since.or(Some(now));
            if self.may_return(&known, now) {
                self.known.insert(id, known);
            }
        }
        is_changed
    }

    /// Whether nothing newer than revision `at` has been applied.
    #[must_use]
    pub fn is_newest(&self, at: Revision) -> bool {
        at >= self.applied_revision
    }

    /// Applies a change received from a watch; a change older than the known one is ignored.
    pub fn apply_change(&mut self, replica: Replica, revision: Revision) {
        let known = self.known.get(&replica.id);
        if known.is_none_or(|known| known.revision <= revision) {
            if known.is_some_and(|known| has_restarted(&known.replica, &replica)) {
                self.restarted.push(replica.id.clone());
            }
            self.known.insert(
                replica.id.clone(),
                KnownReplica { replica, revision, missing_since: None },
            );
        }
    }

    /// Applies a removal received from a watch; the replica stays in the set while it may be listed
    /// again after an outage.
    pub fn apply_removal(&mut self, id: &InstanceId, now: Millis) {
        if let Some(known) = self.known.get_mut(id) {
            known.missing_since = known.missing_since.or(Some(now));
            let known = known.clone();
            if !self.may_return(&known, now) {
                self.known.remove(id);
            }
        }
    }

    /// Returns the replicas that have restarted under the same name since the last call.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.restarted)
    }

    /// Records that a watch has delivered all changes up to a revision.
    pub fn advance_to(&mut self, at: Revision) {
        self.applied_revision = self.applied_revision.max(at);
    }

    /// Records that the platform does not respond.
    pub fn record_outage(&mut self, now: Millis) {
        self.last_outage = Some(now);
    }

    /// Marks a replica as draining, as the replica itself has reported.
    pub fn mark_draining(&mut self, id: &InstanceId) {
        if let Some(known) = self.known.get_mut(id) {
            known.replica.state = ReplicaState::Draining;
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
