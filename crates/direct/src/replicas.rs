//! The replicas that may be used, from the platform's list and its changes.

use crate::stable_hash;
use ibissail_core::{Count, InstanceId, Millis, ModelId, Revision, ServiceId, VersionId, ZoneId};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time after an outage within which entries that expired during it return.
const RETURN_TIME: Millis = Millis(2_000);

/// What a replica says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// An entry of the platform's list of replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its name, which a request may demand.
    pub id: InstanceId,
    /// The service that it is part of.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of its software or weights.
    pub version: VersionId,
    /// Requests that it runs at once.
    pub slots: Count,
    /// Whether it takes requests.
    pub state: ReplicaState,
    /// Unix time of its start, in milliseconds.
    pub started_unix_ms: Option<u64>,
    /// Models that it has loaded; empty when it does not say.
    pub models: Vec<ModelId>,
}

#[derive(Debug, Clone)]
struct Known {
    replica: Replica,
    revision: Revision,
    missing_since: Option<Millis>,
}

/// All replicas that are known.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSet {
    known: BTreeMap<InstanceId, Known>,
    applied: Revision,
    last_outage: Option<Millis>,
    restarted: Vec<InstanceId>,
}

impl ReplicaSet {
    /// Replaces all by a listing of the revision `at`; an older listing is ignored.
    ///
    /// Returns whether anything changed.
    pub fn apply_listing(
        &mut self,
        listing: Vec<(Replica, Revision)>,
        at: Revision,
        now: Millis,
    ) -> bool {
        if !self.is_newest(at) {
            return false;
        }
        self.applied = at;
        let mut before = std::mem::take(&mut self.known);
        let mut is_changed = false;
        for (replica, revision) in listing {
            let old = before.remove(&replica.id);
            is_changed |= old.as_ref().is_none_or(|old| old.replica != replica);
            if old.is_some_and(|old| is_other_run(&old.replica, &replica)) {
                self.restarted.push(replica.id.clone());
            }
            self.known.insert(replica.id.clone(), Known { replica, revision, missing_since: None });
        }
        for (id, mut known) in before {
            is_changed |= known.missing_since.is_none();
            known.missing_since = known.missing_since.or(Some(now));
            if self.may_return(&known, now) {
                self.known.insert(id, known);
            }
        }
        is_changed
    }

    /// Whether nothing newer than a listing of the revision `at` has been applied.
    #[must_use]
    pub fn is_newest(&self, at: Revision) -> bool {
        at >= self.applied
    }

    /// Applies one change that a watch has seen; older ones are ignored.
    pub fn apply_change(&mut self, replica: Replica, revision: Revision) {
        let known = self.known.get(&replica.id);
        if known.is_none_or(|known| known.revision <= revision) {
            if known.is_some_and(|known| is_other_run(&known.replica, &replica)) {
                self.restarted.push(replica.id.clone());
            }
            self.known.insert(replica.id.clone(), Known { replica, revision, missing_since: None });
        }
    }

    /// Applies a removal that a watch has seen.
    pub fn apply_removal(&mut self, id: &InstanceId, now: Millis) {
        if let Some(known) = self.known.get_mut(id) {
            known.missing_since = known.missing_since.or(Some(now));
            let known = known.clone();
            if !self.may_return(&known, now) {
                self.known.remove(id);
            }
        }
    }

    /// Replicas that have started again under the same name since the last call.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.restarted)
    }

    /// Takes note that a watch has seen everything up to a revision.
    pub fn advance_to(&mut self, at: Revision) {
        self.applied = self.applied.max(at);
    }

    /// Takes note that the platform does not answer.
    pub fn record_outage(&mut self, now: Millis) {
        self.last_outage = Some(now);
    }

    /// Takes note that a replica is leaving, by its own word.
    pub fn mark_draining(&mut self, id: &InstanceId) {
        if let Some(known) = self.known.get_mut(id) {
            known.replica.state = ReplicaState::Draining;
        }
    }

    /// The replicas of a service that take requests.
    pub fn ready<'s>(
        &'s self,
        service: &ServiceId,
        now: Millis,
    ) -> impl Iterator<Item = &'s Replica> {
        let service = service.clone();
        let usable = move |known: &&Known| {
            known.replica.service == service
                && known.replica.state == ReplicaState::Ready
                && (known.missing_since.is_none() || self.may_return(known, now))
        };
        self.known.values().filter(usable).map(|known| &known.replica)
    }

    /// A replica by its name.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Replica> {
        self.known.get(id).map(|known| &known.replica)
    }

    /// Digest of the listed replicas, the same at all entries that believe the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let listed = self.known.values().filter(|known| known.missing_since.is_none());
        listed.fold(0, |digest, known| {
            let Replica { id, service, address, version, state, .. } = &known.replica;
            let text = format!("{digest} {id} {service} {address} {version} {state:?}");
            stable_hash(&[&text])
        })
    }

    /// Number of replicas in the list.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no replica is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// An entry that is missing after an outage may have expired during it, and returns soon.
    fn may_return(&self, known: &Known, now: Millis) -> bool {
        let Some(outage) = self.last_outage else { return false };
        known.replica.state == ReplicaState::Ready && now.since(outage) < RETURN_TIME
    }
}

/// Whether both say when they started, and not the same.
fn is_other_run(old: &Replica, new: &Replica) -> bool {
    old.started_unix_ms.zip(new.started_unix_ms).is_some_and(|(old, new)| old != new)
}
