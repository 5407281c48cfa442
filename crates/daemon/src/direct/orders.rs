//! Carries out orders to move a service to another version.

use super::{Direct, State, peers::OrderReport};
use crate::clock::{since_boot, unix_millis};
use async_std::task;
use ibissail_core::{Count, InstanceId, Millis, ServiceId, VersionId};
use ibissail_direct::{
    Evidence, ExtraTrials, Incarnation, Order, OrderState, Phase, RolloutView, Sample, Schedule,
    SharedEvidence, Slowdown, Trial, Verdict, is_suspect, judge, slowdown,
};
use ibissail_platform::{Store, StoreError};
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

/// An order and what this entry has seen of it.
#[derive(Debug, Clone)]
pub(crate) struct OrderProgress {
    pub(crate) order: Order,
    /// When any entry first saw the order, by this entry's clock.
    pub(crate) first_seen: Millis,
    /// Answers that the entries have seen.
    pub(crate) evidence: SharedEvidence,
    /// What was decided; it is not taken back.
    pub(crate) verdict: Verdict,
    /// Requests of this entry that run on the old version.
    pub(crate) old_running: u32,
    /// How well all entries together have tried the new version.
    pub(crate) trial: Trial,
    /// Share of requests that a bad version may get.
    exposure: f64,
    /// Requests to the new version beyond the trial's share.
    extra_trials: ExtraTrials,
    /// How much longer the new version's answers take.
    slowdown: Slowdown,
    wanted: Option<(OrderState, Millis)>,
}

impl OrderProgress {
    fn new(order: Order, exposure: f64, now: Millis) -> Self {
        let running_for = order
            .started_unix_ms
            .map(|started| Millis(unix_millis()).since(Millis(started)))
            .unwrap_or_default();
        Self {
            order,
            first_seen: now.since(running_for),
            evidence: SharedEvidence::new(now),
            verdict: Verdict::Open,
            old_running: 0,
            trial: Trial::default(),
            exposure,
            extra_trials: ExtraTrials::default(),
            slowdown: Slowdown::default(),
            wanted: None,
        }
    }

    pub(crate) fn schedule(&self, now: Millis) -> Schedule {
        Schedule {
            elapsed: now.since(self.first_seen),
            duration: self.order.duration,
            exposure: self.exposure,
        }
    }

    /// The evidence for peers; of an order that is over, nobody needs it.
    pub(crate) fn reported_evidence(&self) -> Evidence {
        if self.order.state.is_final() { Evidence::default() } else { self.evidence.own().clone() }
    }

    /// Whether the next request is one of those that the trial gets beyond its share.
    pub(crate) fn takes_extra(&mut self, allowance: Count, entries: usize, now: Millis) -> bool {
        let watched = self.evidence.own_watched(now);
        self.extra_trials.take(allowance, entries, watched, self.order.duration)
    }

    pub(crate) fn view(&self, now: Millis) -> RolloutView {
        let schedule = self.schedule(now);
        RolloutView::new(&self.order, &schedule, self.verdict.is_bad(), self.trial)
    }
}

impl State {
    /// Takes over an order, or the newer status of one.
    pub(super) fn learn_order(&mut self, order: Order, now: Millis) {
        let service = order.service.clone();
        if order.state == OrderState::Succeeded {
            self.baselines.insert(service.clone(), order.target.clone());
        }
        match self.orders.get_mut(&service) {
            Some(known)
                if known.order.target == order.target
                    && (order.state.is_final() || !known.order.state.is_final()) =>
            {
                if order.state.is_final() {
                    known.evidence.close();
                }
                known.order = order;
            }
            _ => {
                self.orders.insert(service, OrderProgress::new(order, self.exposure, now));
            }
        }
    }

    /// The evidence on a service's order in progress, and whether a version is its new one.
    fn open_evidence(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
    ) -> Option<(&mut SharedEvidence, bool)> {
        let progress = self.orders.get_mut(service)?;
        let is_new = *version == progress.order.target;
        (!progress.order.state.is_final()).then_some((&mut progress.evidence, is_new))
    }

    /// Counts an answer as evidence, if the service has an order in progress.
    pub(super) fn note_answer(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        sample: &Sample,
    ) {
        if let Some((evidence, is_new)) = self.open_evidence(service, version) {
            evidence.note(is_new, sample);
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
            evidence.note_time(is_new, kind, time.0);
        }
    }

    /// Counts the start or the end of a request on the old version.
    pub(super) fn count_old(&mut self, service: &ServiceId, instance: &InstanceId, is_start: bool) {
        let version = self.replicas.get(instance).map(|replica| replica.version.clone());
        let Some(progress) = self.orders.get_mut(service) else { return };
        if version.is_some_and(|version| version != progress.order.target) {
            progress.old_running = if is_start {
                progress.old_running + 1
            } else {
                progress.old_running.saturating_sub(1)
            };
        }
    }

    /// The status that an order should get now, if another than it has.
    fn next_status(&mut self, service: &ServiceId, now: Millis) -> Option<(OrderState, Verdict)> {
        let peers = self.peers.order_reports(service, now);
        let progress = self.orders.get_mut(service)?;
        if progress.order.state.is_final() {
            return None;
        }
        let mut old_running = progress.old_running;
        let is_current =
            |(_, report): &(Incarnation, OrderReport)| report.target == progress.order.target;
        for (peer, report) in peers.into_iter().filter(is_current) {
            old_running += report.old_running;
            progress.evidence.hear(peer, report.evidence, report.watched);
            progress.first_seen = progress.first_seen.min(now.since(report.elapsed));
            if report.state.is_final() {
                // A peer has read what this entry may be unable to read.
                progress.order.state = report.state;
                return None;
            }
            if report.is_bad && !progress.verdict.is_bad() {
                progress.verdict = Verdict::Failing;
            }
        }
        let evidence = progress.evidence.total();
        if !progress.verdict.is_bad() {
            progress.verdict = judge(&evidence);
        }
        progress.slowdown = slowdown(&evidence);
        progress.trial = Trial {
            answers: evidence.new.answers(),
            watched: progress.evidence.watched(now),
            is_suspect: is_suspect(&evidence),
        };
        let is_tried = progress.trial.suffices(progress.order.duration);
        let phase = progress.schedule(now).phase();
        let wanted = match (progress.verdict.is_bad(), progress.order.state, phase) {
            (false, _, Phase::Due) if is_tried => OrderState::Succeeded,
            // Without evidence the old version is the safe one.
            (true, ..) | (false, _, Phase::Due) => OrderState::RolledBack,
            (false, _, Phase::Full) if old_running == 0 && is_tried => OrderState::Succeeded,
            (false, OrderState::Pending, _) => OrderState::Running,
            _ => {
                progress.wanted = None;
                return None;
            }
        };
        Some((wanted, progress.verdict))
    }
}

impl Direct {
    /// The write that this entry should make now for an order.
    fn due_write(&self, service: &ServiceId, now: Millis) -> Option<Order> {
        let mut state = self.state();
        let (wanted, verdict) = state.next_status(service, now)?;
        let rank = state.peers.rank(now);
        let progress = state.orders.get_mut(service)?;
        let since = match progress.wanted {
            Some((known, since)) if known == wanted => since,
            _ => {
                info!(self.log, "order: decided"; "service" => %service,
                    "target" => %progress.order.target, "state" => %wanted,
                    "verdict" => %verdict, "phase" => %progress.schedule(now).phase(),
                    "elapsed_ms" => now.since(progress.first_seen).0,
                    "is_suspect" => progress.trial.is_suspect,
                    "slowdown" => format!("{:?}", progress.slowdown),
                    "evidence" => format!("{:?}", progress.evidence.own()));
                progress.wanted = Some((wanted, now));
                now
            }
        };
        if now.since(since) < Millis(RANK_DELAY.0 * rank) {
            return None;
        }
        let mut order = progress.order.clone();
        order.state = wanted;
        let running_for = now.since(progress.first_seen);
        order.started_unix_ms = Some(Millis(unix_millis()).since(running_for).0);
        Some(order)
    }
}

/// Judges the orders in progress and writes their status.
pub(super) async fn work_on_orders(direct: Arc<Direct>) {
    let mut store = Store::new(direct.settings.store);
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
async fn write_status(direct: &Direct, store: &mut Store, order: Order) -> bool {
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
            if matches!(error, StoreError::Conflict | StoreError::MaybeDone(_)) {
                read_orders(direct, store).await;
            }
            false
        }
    }
}

/// Reads what stands, after another writer was first or an answer was lost.
async fn read_orders(direct: &Direct, store: &mut Store) {
    direct.metrics.store_calls.inc();
    match store.orders().await {
        Ok(listing) => {
            direct.learn_orders(listing.items.into_iter().map(|(order, _)| order).collect());
        }
        Err(error) => warn!(direct.log, "order: not read"; "error" => %error),
    }
}
