//! Carries out orders to move a service to another version.

use super::{Direct, State};
use crate::clock::{since_boot, unix_millis};
use async_std::task;
use ibissail_core::{InstanceId, Millis, ServiceId, VersionId};
use ibissail_direct::{
    ExtraCanaryRequests, Rollout, RolloutController, RolloutState, Sample, SharedEvidence,
};
use ibissail_platform::{StoreClient, StoreError};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};

/// Time between two looks at the orders; a bad version must be left within seconds.
const WORK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a write that failed, which also spares a store that is overloaded.
const WRITE_PAUSE: Duration = Duration::from_millis(700);
/// Time in which a new entry hears of its peers' evidence.
const LISTENING_TIME: Duration = Duration::from_secs(2);
/// Time by which each entry waits longer than the one before it in the order of names, so that
/// mostly one writes the status.
const RANK_DELAY: Millis = Millis(500);

/// An order in progress at this entry.
#[derive(Debug, Clone)]
pub(crate) struct OrderProgress {
    pub(crate) controller: RolloutController,
    /// Requests to the new version beyond the trial's share.
    extra_trials: ExtraCanaryRequests,
    /// The status that is wanted, and since when.
    wanted: Option<(RolloutState, Millis)>,
}

impl OrderProgress {
    fn new(order: Rollout, exposure: f64, now: Millis) -> Self {
        let running_for = order
            .started_unix_ms
            .map(|started| Millis(unix_millis()).since(Millis(started)))
            .unwrap_or_default();
        let controller = RolloutController::new(order, exposure, running_for, now);
        Self { controller, extra_trials: ExtraCanaryRequests::default(), wanted: None }
    }
}

impl State {
    /// Takes over an order, or the newer status of one.
    pub(super) fn learn_order(&mut self, order: Rollout, now: Millis) {
        let service = order.service.clone();
        if order.state == RolloutState::Succeeded {
            self.baselines.insert(service.clone(), order.target.clone());
        }
        match self.orders.get_mut(&service).map(|progress| &mut progress.controller) {
            Some(known)
                if known.rollout.target == order.target
                    && (order.state.is_final() || !known.rollout.state.is_final()) =>
            {
                known.update(order);
            }
            _ => {
                self.orders.insert(service, OrderProgress::new(order, self.exposure, now));
            }
        }
    }

    /// Whether the next request is one of those that a trial gets beyond its share.
    pub(super) fn takes_extra(&mut self, service: &ServiceId, now: Millis) -> bool {
        let entries = self.peers.entries(now);
        let Some(progress) = self.orders.get_mut(service) else { return false };
        let watched = progress.controller.evidence.own_observed_for(now);
        let duration = progress.controller.rollout.duration;
        progress.extra_trials.try_take(self.exposure_allowance, entries, watched, duration)
    }

    /// The evidence on a service's order in progress, and whether a version is its new one.
    fn open_evidence(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
    ) -> Option<(&mut SharedEvidence, bool)> {
        let controller = &mut self.orders.get_mut(service)?.controller;
        let is_new = *version == controller.rollout.target;
        (!controller.rollout.state.is_final()).then_some((&mut controller.evidence, is_new))
    }

    /// Counts an answer as evidence, if the service has an order in progress.
    pub(super) fn note_answer(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        sample: &Sample,
    ) {
        if let Some((evidence, is_new)) = self.open_evidence(service, version) {
            evidence.record(is_new, sample);
        }
    }

    /// Counts the time of a stream's beginning, if the service has an order in progress.
    pub(super) fn note_time(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        kind: u32,
        time: Millis,
    ) {
        if let Some((evidence, is_new)) = self.open_evidence(service, version) {
            evidence.record_latency(is_new, kind, time.0);
        }
    }

    /// Counts the start or the end of a request on the old version.
    pub(super) fn count_old(&mut self, service: &ServiceId, instance: &InstanceId, is_start: bool) {
        let version = self.replicas.get(instance).map(|replica| replica.version.clone());
        let Some(progress) = self.orders.get_mut(service) else { return };
        let controller = &mut progress.controller;
        if version.is_some_and(|version| version != controller.rollout.target) {
            let running = controller.old_running;
            controller.old_running = if is_start { running + 1 } else { running.saturating_sub(1) };
        }
    }
}

impl Direct {
    /// The write that this entry should make now for an order.
    fn due_write(&self, service: &ServiceId, now: Millis) -> Option<Rollout> {
        let mut state = self.state();
        if state.orders.get(service)?.controller.rollout.state.is_final() {
            return None;
        }
        let rank = state.peers.rank(now);
        let peers = state.peers.order_reports(service, now);
        let progress = state.orders.get_mut(service)?;
        let controller = &mut progress.controller;
        let Some(wanted) = controller.decide(peers, now) else {
            progress.wanted = None;
            return None;
        };
        let since = match progress.wanted {
            Some((known, since)) if known == wanted => since,
            _ => {
                info!(self.log, "order: decided"; "service" => %service,
                    "target" => %controller.rollout.target, "state" => %wanted,
                    "verdict" => %controller.verdict(),
                    "phase" => %controller.schedule(now).phase(),
                    "elapsed_ms" => controller.elapsed(now).0,
                    "is_suspect" => controller.canary().is_suspect,
                    "slowdown" => format!("{:?}", controller.slowdown()),
                    "evidence" => format!("{:?}", controller.evidence.own()));
                progress.wanted = Some((wanted, now));
                now
            }
        };
        if now.since(since) < Millis(RANK_DELAY.0 * rank) {
            return None;
        }
        let running_for = progress.controller.elapsed(now);
        let mut order = progress.controller.rollout.clone();
        order.state = wanted;
        order.started_unix_ms = Some(Millis(unix_millis()).since(running_for).0);
        Some(order)
    }
}

/// Judges the orders in progress and writes their status.
pub(super) async fn work_on_orders(direct: Arc<Direct>) {
    let mut store = StoreClient::new(direct.settings.store);
    // An entry that has just started decides nothing before its peers have reported.
    task::sleep(LISTENING_TIME).await;
    loop {
        task::sleep(WORK_INTERVAL).await;
        let services: Vec<ServiceId> = direct.state().orders.keys().cloned().collect();
        for service in services {
            let Some(order) = direct.due_write(&service, since_boot()) else { continue };
            if !write_status(&direct, &mut store, order).await {
                task::sleep(WRITE_PAUSE).await;
            }
        }
    }
}

/// Writes an order's status; returns whether the store took it.
async fn write_status(direct: &Direct, store: &mut StoreClient, order: Rollout) -> bool {
    direct.metrics.store_calls.inc();
    let written = store.write_status(&order).await;
    match written {
        Ok(()) => {
            info!(direct.log, "order: status written"; "service" => %order.service,
                "target" => %order.target, "state" => %order.state,
                "revision" => order.revision.0);
            direct.state().learn_order(order, since_boot());
            true
        }
        Err(error) => {
            warn!(direct.log, "order: status not written"; "service" => %order.service,
                "state" => %order.state, "revision" => order.revision.0, "error" => %error);
            if matches!(error, StoreError::Conflict | StoreError::OutcomeUnknown(_)) {
                read_orders(direct, store).await;
            }
            false
        }
    }
}

/// Reads what stands, after another writer was first or an answer was lost.
async fn read_orders(direct: &Direct, store: &mut StoreClient) {
    direct.metrics.store_calls.inc();
    match store.list_rollouts().await {
        Ok(listing) => {
            direct.learn_orders(listing.items.into_iter().map(|(order, _)| order).collect());
        }
        Err(error) => warn!(direct.log, "order: not read"; "error" => %error),
    }
}
