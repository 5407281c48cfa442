//! Sends the changes of the list of replicas on to the peers, which then need no watch of their own.

use super::{Shared, messages::Message, state::State};
use crate::clock::since_boot;
use ibissail_core::{Millis, StoreRevision};
use ibissail_direct::{ReplicaChange, ReplicaRecord, watches_replicas};
use ibissail_platform::Change;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

/// Most changes in one message, so that it fits in one datagram.
const MAX_CHANGES: usize = 7;

/// Changes of the list of replicas that the watch of a peer has delivered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ReplicaChanges {
    /// Position up to which the watch has delivered changes.
    up_to: StoreRevision,
    changes: Vec<ReplicaChange>,
}

impl State {
    /// Whether this entry watches the replicas itself.
    pub(super) fn watches_replicas(&self, now: Millis) -> bool {
        watches_replicas(self.peers.rank(now), self.peers.live_entry_count(now))
    }
}

impl Shared {
    /// Converts changes of a watch; the record of a replica that cannot be read removes it.
    pub(super) fn replica_changes(
        &self,
        changes: Vec<Change<ReplicaRecord>>,
    ) -> Vec<ReplicaChange> {
        let convert = |change: Change<ReplicaRecord>| match change {
            Change::Written(record, revision) => {
                Some(ReplicaChange::Written(record.replica, revision))
            }
            Change::Removed(name) => name.parse().ok().map(ReplicaChange::Removed),
            Change::Unreadable(name, error) => {
                warn!(self.log, "replicas: invalid record ignored"; "replica" => &name,
                    "error" => error);
                name.parse().ok().map(ReplicaChange::Removed)
            }
        };
        changes.into_iter().filter_map(convert).collect()
    }

    /// Sends changes to all peers if they rely on this entry.
    pub(super) async fn spread_replica_changes(
        &self,
        changes: &[ReplicaChange],
        up_to: StoreRevision,
    ) {
        let receivers = {
            let now = since_boot();
            let state = self.state();
            // The peers apply the same rule; with a rank of 1 it tells whether they watch too.
            let is_relayed = !watches_replicas(1, state.peers.live_entry_count(now));
            if is_relayed { state.peers.live_addresses(now) } else { Vec::new() }
        };
        for chunk in changes.chunks(MAX_CHANGES) {
            let changes = ReplicaChanges { up_to, changes: chunk.to_vec() };
            let message = Message::ReplicaChanges(changes);
            for receiver in &receivers {
                self.send(&message, *receiver).await;
            }
        }
    }

    /// Applies changes that a peer has sent on. They do not confirm the list: some may be lost.
    pub(super) fn apply_spread_changes(&self, message: &ReplicaChanges) {
        let ReplicaChanges { up_to, changes } = message;
        self.apply_replica_changes(changes, *up_to, "peer");
    }

    /// Applies changes of the list of replicas up to a position.
    pub(super) fn apply_replica_changes(
        &self,
        changes: &[ReplicaChange],
        up_to: StoreRevision,
        source: &'static str,
    ) {
        let now = since_boot();
        let mut state = self.state();
        for change in changes {
            match change {
                ReplicaChange::Written(replica, revision) => {
                    info!(self.log, "replicas: changed"; "replica" => %replica.id,
                        "service" => %replica.service, "version" => %replica.version,
                        "address" => %replica.address, "revision" => %revision,
                        "state" => format!("{:?}", replica.state), "source" => source);
                    state.replicas.apply_change(replica.clone(), *revision);
                }
                ReplicaChange::Removed(id) => {
                    info!(self.log, "replicas: removed"; "replica" => %id, "revision" => %up_to,
                        "source" => source);
                    state.replicas.apply_removal(id, up_to, now);
                }
            }
        }
        self.reset_restarted_replicas(&mut state);
        self.apply_cold_records(&mut state, &[], now);
    }
}
