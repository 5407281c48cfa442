//! Replicas that have left the platform's list, which a restored store may bring back.

use crate::{Replica, ReplicaState};
use ibissail_core::{InstanceId, Millis, StoreRevision};
use std::collections::BTreeMap;

/// Time for which a departure is remembered. A store is restored from a copy that is seconds old.
const DEPARTURE_TTL: Millis = Millis(60_000);
/// Most departures remembered; the earliest are forgotten first.
const MAX_DEPARTURES: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Start time of the run that has left; `None` if not reported.
    started_unix_ms: Option<u64>,
    /// Position in the store at which it was known to have left.
    revision: StoreRevision,
    at: Millis,
}

/// The replicas that have left recently.
#[derive(Debug, Clone, Default)]
pub(crate) struct Departures {
    departures: BTreeMap<InstanceId, Departure>,
}

impl Departures {
    /// Records that a replica has left.
    pub(crate) fn record(
        &mut self,
        id: InstanceId,
        started_unix_ms: Option<u64>,
        revision: StoreRevision,
        now: Millis,
    ) {
        self.departures.insert(id, Departure { started_unix_ms, revision, at: now });
        while self.departures.len() > MAX_DEPARTURES {
            let earliest = self.departures.iter().min_by_key(|(_, departure)| departure.at);
            let Some(id) = earliest.map(|(id, _)| id.clone()) else { return };
            self.departures.remove(&id);
        }
    }

    /// The record of a run that has left, or of an earlier one, as that of the run that has left:
    /// draining. `None` if the record is of a later run, or the replica has not left.
    pub(crate) fn departed(&self, record: &Replica) -> Option<Replica> {
        let departure = self.departures.get(&record.id)?;
        let times = record.started_unix_ms.zip(departure.started_unix_ms);
        let has_left = times.is_none_or(|(listed, departed)| listed <= departed);
        has_left.then(|| Replica {
            state: ReplicaState::Draining,
            started_unix_ms: departure.started_unix_ms.or(record.started_unix_ms),
            ..record.clone()
        })
    }

    /// Whether a replica has left after a revision, so that a change of that revision is outdated.
    pub(crate) fn is_after(&self, id: &InstanceId, revision: StoreRevision) -> bool {
        self.departures.get(id).is_some_and(|departure| departure.revision >= revision)
    }

    /// Whether a replica has left after a listing of the same epoch was made.
    pub(crate) fn is_after_listing(&self, id: &InstanceId, at: StoreRevision) -> bool {
        self.departures.get(id).is_some_and(|departure| {
            departure.revision.epoch == at.epoch && departure.revision > at
        })
    }

    /// Forgets a replica that is known to be back.
    pub(crate) fn forget(&mut self, id: &InstanceId) {
        self.departures.remove(id);
    }

    /// Forgets departures older than `DEPARTURE_TTL`.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.departures.retain(|_, departure| now.since(departure.at) < DEPARTURE_TTL);
    }
}
