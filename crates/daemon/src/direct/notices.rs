//! Notices between entries: restores of the store, what replicas say about themselves, results of
//! canary phases, and samples of the entries.

use super::{
    Shared,
    messages::Message,
    peers::{LeavingReplica, Notice, PausedReplica, replica_hash},
    state::State,
};
use crate::clock::since_boot;
use ibissail_core::{InstanceId, Millis};
use ibissail_direct::{Replica, ReplicaSignals};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr};

/// Time after a restore of the store for which an entry tells its peers of it. By then the
/// operators and the replicas have written again what was lost.
const RESTORE_NOTICE_TIME: Millis = Millis(60_000);
/// Most replicas of each kind in a notice, so that it fits in one datagram.
const MAX_NOTICE_REPLICAS: usize = 48;

impl State {
    /// A notice that tells nothing but the epoch and the configuration.
    pub(super) fn empty_notice(&self) -> Notice {
        Notice {
            incarnation: self.peers.incarnation,
            epoch: self.epoch,
            configuration: self.table.as_ref().map_or(0, |table| table.version),
            is_provisional: !self.told_configurations.is_informed(since_boot()),
            leaving: Vec::new(),
            paused: Vec::new(),
            crashes: None,
            canary_results: Vec::new(),
            fleet: Vec::new(),
            limits: Vec::new(),
            demands: Vec::new(),
            cold: Vec::new(),
            evacuations: None,
            held: None,
            pressure: Vec::new(),
        }
    }

    pub(super) fn replicas_by_hash(&self) -> BTreeMap<u32, Replica> {
        self.replicas.iter().map(|replica| (replica_hash(&replica.id), replica.clone())).collect()
    }

    fn leaving_replicas(&self) -> Vec<LeavingReplica> {
        let told = self.signals.told_leaving(|id| self.replicas.get(id));
        let hashed = told.map(|(id, started)| (replica_hash(id), started));
        hashed.take(MAX_NOTICE_REPLICAS).collect()
    }

    fn paused_replicas(&self, now: Millis) -> Vec<PausedReplica> {
        let hashed = self.signals.pauses(now).map(|(id, rest)| (replica_hash(id), rest.0));
        hashed.take(MAX_NOTICE_REPLICAS).collect()
    }
}

impl Shared {
    /// Notice for the peers; `None` if there is nothing to tell.
    pub(super) fn build_notice(&self, now: Millis) -> Option<Notice> {
        let state = self.state();
        let is_restore_recent =
            state.restored_at.is_some_and(|restored| now.since(restored) < RESTORE_NOTICE_TIME);
        let (leaving, paused) = (state.leaving_replicas(), state.paused_replicas(now));
        let canary_results = state.canary_results();
        let is_empty = leaving.is_empty() && paused.is_empty() && canary_results.is_empty();
        if !is_restore_recent && is_empty {
            return None;
        }
        Some(Notice { leaving, paused, canary_results, ..state.empty_notice() })
    }

    /// Notice with the sample of entries; `None` in rounds in which it is not sent.
    pub(super) fn build_fleet_notice(&self, now: Millis) -> Option<Notice> {
        let mut state = self.state();
        let fleet = state.peers.due_fleet_sample(now)?;
        Some(Notice { fleet, ..state.empty_notice() })
    }

    /// Tells a peer that has just been discovered what the reports do not say. An entry that waits for
    /// what peers know reports to it at once, so that the peer introduces itself.
    pub(super) async fn introduce(&self, peer: SocketAddr, now: Millis) {
        if !self.state().told_configurations.is_informed(now) {
            let report = self.build_report(now);
            self.send(&Message::Report(report), peer).await;
        }
        let notice = {
            let mut state = self.state();
            Notice { fleet: state.peers.fleet_sample(now), ..state.empty_notice() }
        };
        self.send(&Message::Notice(Box::new(notice)), peer).await;
        let notices = [self.build_limits(now), self.build_cold(now), self.build_evacuations(now)];
        for notice in notices.into_iter().flatten() {
            self.send(&Message::Notice(Box::new(notice)), peer).await;
        }
        self.send_evidence(&[peer], now).await;
    }

    /// Applies a peer's notice. That a replica is leaving counts for this entry too; that it has
    /// asked the peer for a pause is only a hint.
    pub(super) fn apply_notice(&self, notice: &Notice, now: Millis) {
        self.apply_limits(notice, now);
        self.apply_told_cold(notice, now);
        self.apply_pressure(notice, now);
        let mut state = self.state();
        if let Some(held) = &notice.held {
            state.peer_held.store(notice.incarnation.0, held, now);
        }
        self.apply_told_configuration(&mut state, notice, now);
        if notice.epoch > state.epoch && state.epoch.is_some() {
            // The next read shows the restore to this entry itself.
            state.is_configuration_outdated = true;
        }
        self.apply_told_evacuations(&mut state, notice, now);
        if let Some(crashes) = &notice.crashes {
            state.quarantine.merge(crashes, now);
            state.hold_told_crashes(crashes, now);
        }
        state.peers.merge_fleet_sample(&notice.fleet, now);
        for told in &notice.canary_results {
            if state.merge_canary_result(told, now) {
                info!(self.log, "rollout: canary result adopted"; "service" => %told.service,
                    "target" => %told.target, "responses" => told.result.responses,
                    "observed_ms" => told.result.observed_for.0,
                    "is_suspect" => told.result.is_suspect, "peer" => %notice.incarnation);
            }
        }
        if notice.leaving.is_empty() && notice.paused.is_empty() {
            return;
        }
        let replicas = state.replicas_by_hash();
        for (hash, started) in &notice.leaving {
            let Some(replica) = replicas.get(hash) else { continue };
            if state.signals.record_leaving(&replica.id, *started, Some(replica), now) {
                info!(self.log, "replica: leaving"; "replica" => %replica.id, "source" => "peer",
                    "peer" => %notice.incarnation);
            }
        }
        for (hash, rest) in &notice.paused {
            if let Some(replica) = replicas.get(hash) {
                state.signals.record_peer_pause(replica, Millis(*rest), now);
            }
        }
    }

    /// Records what a response of a replica says about the replica itself.
    pub(super) fn record_signals(
        &self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        is_leaving: bool,
        pause: Option<Millis>,
    ) {
        if !is_leaving && pause.is_none() {
            return;
        }
        let now = since_boot();
        let mut state = self.state();
        let State { signals, replicas, .. } = &mut *state;
        let known = replicas.get(id);
        if is_leaving && signals.record_leaving(id, started_unix_ms, known, now) {
            self.metrics.leaving_replicas.inc();
            info!(self.log, "replica: leaving"; "replica" => %id, "source" => "response");
        }
        if let Some(pause) = pause {
            self.record_pause(signals, id, started_unix_ms, known, pause);
        }
    }

    fn record_pause(
        &self,
        signals: &mut ReplicaSignals,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        known: Option<&Replica>,
        pause: Millis,
    ) {
        let now = since_boot();
        if let Some(until) = signals.record_pause(id, started_unix_ms, known, pause, now) {
            self.metrics.replica_pauses.inc();
            info!(self.log, "replica: paused"; "replica" => %id, "asked_ms" => pause.0,
                "for_ms" => until.since(now).0);
        }
    }
}
