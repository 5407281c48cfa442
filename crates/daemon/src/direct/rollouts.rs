//! Carries out rollouts, which move a service to another version.

use super::{Shared, State, peers::ToldCanaryResult};
use crate::clock::{since_boot, unix_millis};
use async_std::task;
use ibissail_core::{Count, InstanceId, Millis, ServiceId, VersionId};
use ibissail_direct::{
    ExtraCanaryRequests, Replica, Rollout, RolloutChange, RolloutController, RolloutRecords,
    RolloutState, Sample, SharedEvidence,
};
use ibissail_platform::{StoreClient, StoreError};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};

/// Time between two evaluations of the rollouts; a bad version must be rolled back within seconds.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed write, which also relieves an overloaded store.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Pause after a write that the store has rejected without effect. Rejections pass quickly, and a state
/// that is decided shortly before the deadline of a rollout must be written before it.
const REJECTED_WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most writes in a row that are repeated after that shorter pause.
const MAX_QUICK_WRITES: u32 = 4;
/// Time in which a new entry receives the evidence of its peers.
const STARTUP_DELAY: Duration = Duration::from_secs(2);
/// Delay before a status write, times the entry's rank in the order of names, so that usually only
/// one entry writes the status. The store may reject the first entry for longer than the 0.6 s
/// between the decision and the deadline of a rollout, so the next must write in that time.
const RANK_DELAY: Millis = Millis(250);

/// A rollout and its progress, as known to this entry.
#[derive(Debug, Clone)]
pub(crate) struct RolloutProgress {
    pub(crate) controller: RolloutController,
    /// Requests to the target version beyond the share of the canary.
    extra_canary_requests: ExtraCanaryRequests,
    /// The state to write, and when this entry decided on it.
    desired_state: Option<(RolloutState, Millis)>,
    /// The records of the service's rollouts that this entry has read.
    records: RolloutRecords,
    /// Whether a restored store has lost the state, so that it must be written again.
    is_state_lost: bool,
}

impl RolloutProgress {
    fn new(rollout: Rollout, exposure: f64, now: Millis) -> Self {
        let running_for = rollout
            .started_unix_ms
            .map(|started| Millis(unix_millis()).since(Millis(started)))
            .unwrap_or_default();
        let controller = RolloutController::new(rollout, exposure, running_for, now);
        Self {
            controller,
            extra_canary_requests: ExtraCanaryRequests::default(),
            desired_state: None,
            records: RolloutRecords::default(),
            is_state_lost: false,
        }
    }
}

impl State {
    /// Compares a rollout read from the store with the known one of its service.
    pub(super) fn compare_rollout(&self, rollout: &Rollout) -> RolloutChange {
        let known = self.rollouts.get(&rollout.service);
        known.map_or(RolloutChange::Other, |known| {
            known.records.compare(&known.controller.rollout, rollout)
        })
    }

    /// Adds a rollout, or applies a newer status of a known one.
    pub(super) fn apply_rollout(&mut self, rollout: Rollout, change: RolloutChange, now: Millis) {
        let service = rollout.service.clone();
        let records = self.rollouts.get(&service).map(|known| known.records.clone());
        let mut records = records.unwrap_or_default();
        records.remember(&rollout);
        self.rollout_list.remember_target(&rollout);
        match (change, self.rollouts.get_mut(&service)) {
            (RolloutChange::Outdated, _) => return,
            (RolloutChange::Status, Some(known)) => {
                known.is_state_lost = false;
                known.controller.update(rollout);
                known.records = records;
            }
            (RolloutChange::Restored, Some(known)) => {
                known.is_state_lost = known.controller.restore(rollout);
                known.desired_state = None;
                known.records = records;
            }
            (RolloutChange::Status | RolloutChange::Restored | RolloutChange::Other, known) => {
                let before = known.map(|known| known.controller.rollout.clone());
                self.remember_rejection(before, &rollout.target);
                let mut progress = RolloutProgress::new(rollout, self.exposure, now);
                let rollout = &progress.controller.rollout;
                progress.controller.old_running = self.running_on_others(&service, &rollout.target);
                self.rollouts.insert(service.clone(), RolloutProgress { records, ..progress });
            }
        }
        self.apply_success(&service);
    }

    /// Makes the target of a service's rollout its baseline if the rollout has succeeded.
    fn apply_success(&mut self, service: &ServiceId) {
        let Some(known) = self.rollouts.get(service) else { return };
        let Rollout { target, state, .. } = &known.controller.rollout;
        if *state == RolloutState::Succeeded {
            self.baselines.insert(service.clone(), target.clone());
        }
    }

    /// Remembers that the rollout before has rejected its version, whose replicas leave some seconds
    /// later. A new rollout to a version gives it another chance.
    fn remember_rejection(&mut self, before: Option<Rollout>, target: &VersionId) {
        let Some(before) = before else { return };
        let versions = self.rejected.entry(before.service).or_default();
        if before.state == RolloutState::RolledBack {
            versions.insert(before.target);
        }
        versions.remove(target);
    }

    /// Whether an earlier rollout has rejected the version that a replica runs.
    pub(super) fn is_rejected(&self, replica: &Replica) -> bool {
        let versions = self.rejected.get(&replica.service);
        versions.is_some_and(|versions| versions.contains(&replica.version))
    }

    /// Requests in progress on replicas of other versions of a service.
    fn running_on_others(&self, service: &ServiceId, target: &VersionId) -> u32 {
        let replicas = self.replicas.iter();
        let others =
            replicas.filter(|replica| replica.service == *service && replica.version != *target);
        others.filter_map(|replica| self.loads.get(&replica.id)).map(|load| load.running).sum()
    }

    /// Applies a status that this entry has written. The watch may have delivered it already, with
    /// its new revision.
    fn apply_written_rollout(&mut self, rollout: Rollout, now: Millis) {
        let known = self.rollouts.get(&rollout.service).map(|known| &known.controller.rollout);
        if known.is_none_or(|known| known.revision <= rollout.revision) {
            self.apply_rollout(rollout, RolloutChange::Status, now);
        }
    }

    /// Takes one of the requests that a canary gets beyond its share; returns whether one was due.
    pub(super) fn try_take_extra_canary_request(
        &mut self,
        service: &ServiceId,
        now: Millis,
    ) -> bool {
        let entries = self.peers.entry_count(now);
        let Some(progress) = self.rollouts.get_mut(service) else { return false };
        let observed_for = progress.controller.evidence.own_observed_for(now);
        let duration = progress.controller.rollout.duration;
        progress.extra_canary_requests.try_take(
            self.exposure_allowance,
            entries,
            observed_for,
            duration,
        )
    }

    /// The evidence on the active rollout of a service, and whether `version` is its target.
    fn active_evidence(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
    ) -> Option<(&mut SharedEvidence, bool)> {
        let controller = &mut self.rollouts.get_mut(service)?.controller;
        let is_new = *version == controller.rollout.target;
        (!controller.rollout.state.is_final()).then_some((&mut controller.evidence, is_new))
    }

    /// Records a response as evidence, if the service has an active rollout.
    pub(super) fn record_response(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        sample: &Sample,
    ) {
        if let Some((evidence, is_new)) = self.active_evidence(service, version) {
            evidence.record(is_new, sample);
        }
    }

    /// Records the time until a stream started, or its pace after that, if the service has an active
    /// rollout.
    pub(super) fn record_stream_time(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        class: u32,
        time: Millis,
    ) {
        if let Some((evidence, is_new)) = self.active_evidence(service, version) {
            evidence.record_latency(is_new, class, time.0);
        }
    }

    /// Results of the canary phases of active rollouts.
    pub(super) fn canary_results(&self) -> Vec<ToldCanaryResult> {
        let told = self.rollouts.values().filter_map(|progress| {
            let Rollout { service, target, .. } = &progress.controller.rollout;
            let result = progress.controller.canary_result()?;
            Some(ToldCanaryResult { service: service.clone(), target: target.clone(), result })
        });
        told.collect()
    }

    /// Applies a peer's result of a canary phase; returns whether it replaces the known one.
    pub(super) fn merge_canary_result(&mut self, told: &ToldCanaryResult, now: Millis) -> bool {
        let progress = self.rollouts.get_mut(&told.service);
        progress.is_some_and(|progress| {
            progress.controller.merge_canary_result(&told.target, told.result, now)
        })
    }

    /// Counts the start or the end of a request on an old version.
    pub(super) fn count_old_version(
        &mut self,
        service: &ServiceId,
        instance: &InstanceId,
        is_start: bool,
    ) {
        let version = self.replicas.get(instance).map(|replica| replica.version.clone());
        let Some(progress) = self.rollouts.get_mut(service) else { return };
        let controller = &mut progress.controller;
        if version.is_some_and(|version| version != controller.rollout.target) {
            let running = controller.old_running;
            controller.old_running = if is_start { running + 1 } else { running.saturating_sub(1) };
        }
    }
}

impl Shared {
    /// The rollout with the status that this entry should write now; `None` if no write is due.
    fn due_status_write(&self, service: &ServiceId, now: Millis) -> Option<Rollout> {
        let mut state = self.state();
        let known = state.rollouts.get(service)?;
        let is_final = known.controller.rollout.state.is_final();
        if is_final && !known.is_state_lost {
            return None;
        }
        if state.epoch.unwrap_or_default() != known.controller.rollout.revision.epoch {
            // The revision is of an earlier epoch, so a write conditional on it would be void.
            return None;
        }
        let rank = state.peers.rank(now);
        let peers = state.peers.rollout_reports(service, now);
        let target = known.controller.rollout.target.clone();
        let replicas = state.replicas.ready(service, now);
        let replicas = replicas.filter(|replica| replica.version == target).count();
        let replicas = Count(u32::try_from(replicas).unwrap_or(u32::MAX));
        let progress = state.rollouts.get_mut(service)?;
        let controller = &mut progress.controller;
        let decided = controller.decide(peers, replicas, now);
        let adopted = controller.rollout.state;
        if adopted.is_final() && !is_final {
            info!(self.log, "rollout: adopted from a peer"; "service" => %service,
                "target" => %target, "state" => %adopted);
            state.apply_success(service);
        }
        let progress = state.rollouts.get_mut(service)?;
        let controller = &progress.controller;
        let lost = progress.is_state_lost.then_some(controller.rollout.state);
        let Some(desired_state) = decided.or(lost) else {
            progress.desired_state = None;
            return None;
        };
        let since = match progress.desired_state {
            Some((known, since)) if known == desired_state => since,
            _ => {
                info!(self.log, "rollout: decided"; "service" => %service,
                    "target" => %controller.rollout.target, "state" => %desired_state,
                    "verdict" => %controller.verdict(),
                    "phase" => %controller.schedule(now).phase(),
                    "elapsed_ms" => controller.elapsed(now).0,
                    "is_suspect" => controller.canary().is_suspect,
                    "slowdown" => format!("{:?}", controller.slowdown()),
                    "pace_slowdown" => format!("{:?}", controller.pace_slowdown()),
                    "evidence" => format!("{:?}", controller.evidence.own()));
                progress.desired_state = Some((desired_state, now));
                now
            }
        };
        if now.since(since) < Millis(RANK_DELAY.0 * rank) {
            return None;
        }
        let running_for = progress.controller.elapsed(now);
        let mut rollout = progress.controller.rollout.clone();
        rollout.state = desired_state;
        rollout.started_unix_ms = Some(Millis(unix_millis()).since(running_for).0);
        Some(rollout)
    }
}

/// Evaluates the active rollouts and writes their status.
pub(super) async fn run_rollouts(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    // An entry that has just started makes no decisions before its peers have sent reports.
    task::sleep(STARTUP_DELAY).await;
    let mut quick_writes = 0;
    loop {
        task::sleep(EVALUATION_INTERVAL).await;
        let services: Vec<ServiceId> = shared.state().rollouts.keys().cloned().collect();
        for service in services {
            let Some(rollout) = shared.due_status_write(&service, since_boot()) else { continue };
            let mut written = write_status(&shared, &mut store, &rollout).await;
            while matches!(written, Err(StoreError::NotApplied(_)))
                && quick_writes < MAX_QUICK_WRITES
            {
                quick_writes += 1;
                task::sleep(REJECTED_WRITE_RETRY_DELAY).await;
                let Some(rollout) = shared.due_status_write(&service, since_boot()) else { break };
                written = write_status(&shared, &mut store, &rollout).await;
            }
            match written {
                Ok(()) => quick_writes = 0,
                Err(_logged) => task::sleep(WRITE_RETRY_DELAY).await,
            }
        }
    }
}

/// Writes the status of a rollout; fails if the store may not have accepted it.
async fn write_status(
    shared: &Shared,
    store: &mut StoreClient,
    rollout: &Rollout,
) -> Result<(), StoreError> {
    shared.metrics.store_calls.inc();
    let written = store.write_status(rollout).await;
    let observed = shared.observe_epoch("write status", store.epoch(), since_boot());
    match observed.and(written) {
        Ok(()) => {
            info!(shared.log, "rollout: status written"; "service" => %rollout.service,
                "target" => %rollout.target, "state" => %rollout.state,
                "revision" => %rollout.revision);
            shared.state().apply_written_rollout(rollout.clone(), since_boot());
            Ok(())
        }
        Err(error) => {
            warn!(shared.log, "rollout: status not written"; "service" => %rollout.service,
                "state" => %rollout.state, "revision" => %rollout.revision, "error" => %error);
            if matches!(
                error,
                StoreError::Conflict
                    | StoreError::OutcomeUnknown(_)
                    | StoreError::Silent(_)
                    | StoreError::Restored
            ) {
                reread_rollouts(shared, store).await;
            }
            Err(error)
        }
    }
}

/// Reads the rollouts again after a write conflict or a lost response.
async fn reread_rollouts(shared: &Shared, store: &mut StoreClient) {
    shared.metrics.store_calls.inc();
    let sent_at = since_boot();
    let listing = store.list_rollouts().await;
    let observed = shared.observe_epoch("list orders", store.epoch(), since_boot());
    match observed.and(listing) {
        Ok(listing) => {
            let _digest = shared.apply_rollout_listing(listing, sent_at, "conflict");
        }
        Err(error) => warn!(shared.log, "rollout: not read"; "error" => %error),
    }
}
