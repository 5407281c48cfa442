//! Carries out rollouts, which move a service to another version.

use super::{Shared, State};
use crate::clock::{since_boot, unix_millis};
use async_std::task;
use ibissail_core::{InstanceId, Millis, ServiceId, VersionId};
use ibissail_direct::{
    ExtraCanaryRequests, Rollout, RolloutController, RolloutState, Sample, SharedEvidence,
};
use ibissail_platform::{StoreClient, StoreError};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};

/// Time between two evaluations of the rollouts; a bad version must be rolled back within seconds.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed write, which also relieves an overloaded store.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time in which a new entry receives the evidence of its peers.
const STARTUP_DELAY: Duration = Duration::from_secs(2);
/// Delay before a status write, times the entry's rank in the order of names, so that usually only
/// one entry writes the status.
const RANK_DELAY: Millis = Millis(500);

/// A rollout and its progress, as known to this entry.
#[derive(Debug, Clone)]
pub(crate) struct RolloutProgress {
    pub(crate) controller: RolloutController,
    /// Requests to the target version beyond the share of the canary.
    extra_canary_requests: ExtraCanaryRequests,
    /// The state to write, and when this entry decided on it.
    desired_state: Option<(RolloutState, Millis)>,
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
        }
    }
}

impl State {
    /// Adds a rollout, or applies a newer status of a known one.
    pub(super) fn apply_rollout(&mut self, rollout: Rollout, now: Millis) {
        let service = rollout.service.clone();
        if rollout.state == RolloutState::Succeeded {
            self.baselines.insert(service.clone(), rollout.target.clone());
        }
        match self.rollouts.get_mut(&service).map(|progress| &mut progress.controller) {
            Some(known)
                if known.rollout.target == rollout.target
                    && (rollout.state.is_final() || !known.rollout.state.is_final()) =>
            {
                known.update(rollout);
            }
            _ => {
                self.rollouts.insert(service, RolloutProgress::new(rollout, self.exposure, now));
            }
        }
    }

    /// Takes one of the requests that a canary gets beyond its share; returns whether one was due.
    pub(super) fn try_take_extra_canary_request(
        &mut self,
        service: &ServiceId,
        now: Millis,
    ) -> bool {
        let entries = self.peers.live_entry_count(now);
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

    /// Records the time until a stream started, if the service has an active rollout.
    pub(super) fn record_stream_start(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        kind: u32,
        time: Millis,
    ) {
        if let Some((evidence, is_new)) = self.active_evidence(service, version) {
            evidence.record_latency(is_new, kind, time.0);
        }
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
        if state.rollouts.get(service)?.controller.rollout.state.is_final() {
            return None;
        }
        let rank = state.peers.rank(now);
        let peers = state.peers.rollout_reports(service, now);
        let progress = state.rollouts.get_mut(service)?;
        let controller = &mut progress.controller;
        let Some(desired_state) = controller.decide(peers, now) else {
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
    loop {
        task::sleep(EVALUATION_INTERVAL).await;
        let services: Vec<ServiceId> = shared.state().rollouts.keys().cloned().collect();
        for service in services {
            let Some(rollout) = shared.due_status_write(&service, since_boot()) else { continue };
            if !write_status(&shared, &mut store, rollout).await {
                task::sleep(WRITE_RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the status of a rollout; returns whether the store accepted it.
async fn write_status(shared: &Shared, store: &mut StoreClient, rollout: Rollout) -> bool {
    shared.metrics.store_calls.inc();
    let written = store.write_status(&rollout).await;
    match written {
        Ok(()) => {
            info!(shared.log, "rollout: status written"; "service" => %rollout.service,
                "target" => %rollout.target, "state" => %rollout.state,
                "revision" => rollout.revision.0);
            shared.state().apply_rollout(rollout, since_boot());
            true
        }
        Err(error) => {
            warn!(shared.log, "rollout: status not written"; "service" => %rollout.service,
                "state" => %rollout.state, "revision" => rollout.revision.0, "error" => %error);
            if matches!(error, StoreError::Conflict | StoreError::OutcomeUnknown(_)) {
                reread_rollouts(shared, store).await;
            }
            false
        }
    }
}

/// Reads the rollouts again after a write conflict or a lost response.
async fn reread_rollouts(shared: &Shared, store: &mut StoreClient) {
    shared.metrics.store_calls.inc();
    match store.list_rollouts().await {
        Ok(listing) => {
            shared.apply_rollouts(listing.items.into_iter().map(|(rollout, _)| rollout).collect());
        }
        Err(error) => warn!(shared.log, "rollout: not read"; "error" => %error),
    }
}
