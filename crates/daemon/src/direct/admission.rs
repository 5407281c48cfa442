//! Lets requests wait for capacity, or rejects them, before their first attempt.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "loads and counts stay far below 2^52 and are not negative"
)]

use super::{
    Shared,
    peers::{DEMAND_TTL, Notice, replica_hash, truncate_hash},
    progress::{Progress, RequestOutcome},
    request::AdmittedRequest,
    response::ErrorReply,
    selection::MIN_CANDIDATES_DIVISOR,
    state::State,
};
use crate::clock::since_boot;
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::{FutureExt, future};
use ibissail_core::{ByteSize, ErrorKind, Incarnation, Millis, OrganisationId, ServiceId, Tokens};
use ibissail_direct::{
    Candidate, Capacity, CapacityView, Decision, Holds, NewRequest, Offer, RANKS, RankLoads,
    RejectReason, Rejection, Replica, ServiceAdmission, Shedding, Ticket, retry_time, slots_held,
    stable_hash,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Interval at which a waiting request checks whether it may be sent or has waited too long.
const WAIT_TICK: Duration = Duration::from_millis(20);
/// Age from which the capacity of a service is computed again.
const VIEW_TTL: Millis = Millis(50);
/// Waiting requests may hold this part of the memory of the process.
const MEMORY_DIVISOR: u64 = 8;
/// Memory for waiting requests of a process whose limit is not known.
const DEFAULT_WAITING_MEMORY: ByteSize = ByteSize(8 << 20);
/// Memory that a waiting request holds besides its body: task, connection and buffers.
const REQUEST_OVERHEAD: u64 = 16 << 10;
/// Most waiting requests of a service: at some dozens a second, no more are served in time.
const MAX_WAITING: usize = 256;
/// Most services in a notice, so that it fits in one datagram: 6 services with 10 ranks each are
/// 1,200 bytes at most.
const MAX_NOTICE_SERVICES: usize = 6;
/// Part of the slots in use from which an entry tells its peers what it is offered.
const REPORTED_PART: f64 = 0.5;
/// Highest offered load that a peer can have told, in slots.
const MAX_TOLD_LOAD: f64 = 100_000.0;
/// Highest factor by which the loads that peers have told are scaled for those that have not.
const MAX_SCALE: f64 = 16.0;
/// Weight of a request in the average number of slots that a request takes up.
const SLOTS_WEIGHT: f64 = 0.05;

/// Load of one rank, as told to peers: the rank, what is offered, what of it waits or was rejected,
/// both in thousandths of a slot, and the average time in ms for which a request holds its slots.
pub(super) type ToldRank = (u8, u32, u32, u32);
/// Load of one service, as told to peers: the short hash of its name, the age of the figures, and
/// the ranks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ToldPressure(u32, Millis, Vec<ToldRank>);

/// Admission of the requests of one service.
#[derive(Debug)]
pub(super) struct Gate {
    admission: ServiceAdmission,
    view: CapacityView,
    viewed_at: Option<Millis>,
    /// Objective of the requests of the service.
    objective: Millis,
    /// Average number of slots that a request takes up.
    slots_per_request: f64,
    waiting: BTreeMap<Ticket, Sender<Decision>>,
}

impl Gate {
    fn new(now: Millis) -> Self {
        Self {
            admission: ServiceAdmission::new(MAX_WAITING, now),
            view: CapacityView::default(),
            viewed_at: None,
            objective: Millis(0),
            slots_per_request: 1.0,
            waiting: BTreeMap::new(),
        }
    }

    /// Tells waiting requests what has been decided; a request that is sent counts as running from
    /// now on.
    fn decide(&mut self, now: Millis) {
        for (ticket, decision) in self.admission.decide(&self.view, now) {
            if decision == Decision::Send {
                self.view.capacity.running += self.slots_per_request;
            }
            // A request that has gone is cancelled by its guard.
            if let Some(told) = self.waiting.remove(&ticket) {
                let _gone = told.try_send(decision);
            }
        }
    }
}

/// Loads and holding times in seconds that peers have told, by service and peer, and as of when.
pub(super) type HeardLoads = BTreeMap<(u32, Incarnation), (RankLoads, RankLoads, Millis)>;

impl State {
    /// Whether capacity for a service is short: its requests wait, or were rejected within the last
    /// second.
    pub(super) fn is_capacity_short(&self, service: &ServiceId, now: Millis) -> bool {
        self.gates.get(service).is_some_and(|gate| gate.admission.is_short(now))
    }

    /// Whether admission of requests to a service is controlled, by `settings`: the option, and whether
    /// overload is expected.
    ///
    /// By default only services that run models are. A call of some milliseconds has ended before
    /// peers hear of it, so the capacity of a plain service is known too late: bookings were rejected
    /// that the short queues of the replicas would have served.
    fn controls_admission(&self, service: &ServiceId, settings: (Shedding, bool)) -> bool {
        let runs_models = || self.kv_cache_tokens(service).is_some();
        match settings {
            (Shedding::Off, _) => false,
            (Shedding::On, _) => true,
            (Shedding::Auto, true) => runs_models(),
            (Shedding::Auto, false) => self.reported_loads.is_enabled(service) && runs_models(),
        }
    }

    fn kv_cache_tokens(&self, service: &ServiceId) -> Option<Tokens> {
        let upstream = self.table.as_ref()?.upstream(service)?;
        upstream.engine.as_ref().map(|engine| Tokens(engine.kv_cache_tokens))
    }

    /// Slots that a request takes up.
    fn slots_of(&self, request: &AdmittedRequest, now: Millis) -> f64 {
        let memory = self.kv_cache_tokens(&request.service);
        if memory.is_none() {
            return 1.0;
        }
        let slots = self.replicas.ready(&request.service, now).next();
        let prompt = &request.params.prompt;
        // Callers state the most that they accept; half of it is the usual output.
        let tokens = Tokens(prompt.input.0.saturating_add(prompt.output.0 / 2));
        slots.map_or(1.0, |replica| slots_held(tokens, replica.slots.0, memory))
    }

    /// The replicas that share the load of a service. Those of a canary take only their part.
    fn load_candidates(&mut self, service: &ServiceId, now: Millis) -> Vec<Candidate> {
        let entries = self.peers.entry_count(now);
        let reporters = self.peers.load_reporter_count(now);
        let scale =
            (entries.saturating_sub(1) as f64 / reporters.max(1) as f64).clamp(1.0, MAX_SCALE);
        let peers = self.peers.loads(now);
        let canary = self.rollouts.get(service).and_then(|rollout| {
            let split = rollout.controller.current_split(now);
            split.is_canary.then_some(split.target)
        });
        let takes_load = |replica: &&Replica| {
            self.signals.unavailability(replica, now).is_none()
                && !self.is_rejected(replica)
                && !self.is_evacuated(&replica.zone)
                && !self.cold.is_cold(&replica.id, now)
                && canary.as_ref() != Some(&replica.version)
        };
        let is_ejected = |replica: &Replica| {
            self.health.get(&replica.id).is_some_and(|health| health.is_ejected(now))
        };
        let all: Vec<&Replica> = self.replicas.ready(service, now).filter(takes_load).collect();
        let healthy = all.iter().filter(|replica| !is_ejected(replica)).count();
        // As in the selection of a replica: ejected ones are used if too few are left without them.
        let uses_ejected = healthy < all.len().div_ceil(MIN_CANDIDATES_DIVISOR);
        let replicas = all.into_iter().filter(|replica| uses_ejected || !is_ejected(replica));
        let candidate = |replica: &Replica| {
            let own = self.loads.get(&replica.id).copied().unwrap_or_default();
            let (running, pending) =
                peers.get(&replica_hash(&replica.id)).copied().unwrap_or_default();
            let scaled = |load: f64| (load * scale) as u64;
            let running = scaled(f64::from(running)).saturating_add(u64::from(own.running));
            let pending = scaled(pending.0 as f64).saturating_add(own.pending_prefill.0);
            Candidate {
                running: u32::try_from(running).unwrap_or(u32::MAX),
                pending_prefill: Tokens(pending),
                ..Candidate::idle(replica.id.clone(), replica.slots.0)
            }
        };
        replicas.map(candidate).collect()
    }

    /// Computes the capacity of a service again if it is old.
    fn refresh_gate(&mut self, service: &ServiceId, now: Millis) {
        let known = self.gates.get(service);
        let is_current = known
            .and_then(|gate| gate.viewed_at)
            .is_some_and(|viewed| now.since(viewed) < VIEW_TTL);
        if is_current {
            return;
        }
        let candidates = self.load_candidates(service, now);
        let entries = self.peers.cautious_entry_count(now);
        let (heard, heard_count, holds) = self.heard_load(service, now);
        if let Some(gate) = self.gates.get_mut(service) {
            let capacity = Capacity::of(&candidates, gate.slots_per_request, gate.objective);
            gate.view = CapacityView { capacity, entries, heard, heard_count, holds };
            gate.viewed_at = Some(now);
        }
    }

    /// Sum of what peers are offered for a service, the number of these peers, and for how long a
    /// request holds its slots there.
    fn heard_load(&self, service: &ServiceId, now: Millis) -> (RankLoads, usize, RankLoads) {
        let hash = service_hash(service);
        let range = (hash, Incarnation(0))..=(hash, Incarnation(u64::MAX));
        let mut sum = [0.0; RANKS];
        let mut count = 0;
        let mut average = Holds::default();
        for (_, (loads, holds, told_at)) in self.heard_loads.range(range) {
            if now.since(*told_at) < DEMAND_TTL {
                count += 1;
                average.add(holds);
                for (sum, load) in sum.iter_mut().zip(loads) {
                    *sum += load;
                }
            }
        }
        (sum, count, average.averages())
    }

    /// Decides about the waiting requests of a service.
    fn decide(&mut self, service: &ServiceId, now: Millis) {
        self.refresh_gate(service, now);
        if let Some(gate) = self.gates.get_mut(service) {
            gate.decide(now);
        }
    }
}

fn service_hash(service: &ServiceId) -> u32 {
    truncate_hash(stable_hash(&[service.as_str()]))
}

/// What an admitted request holds until it ends.
#[derive(Debug)]
pub(super) struct Permit {
    shared: Arc<Shared>,
    service: ServiceId,
    rank: u32,
    slots: f64,
    admitted_at: Millis,
    is_answered: bool,
}

impl Permit {
    /// Records how the request ended.
    pub(super) fn record_outcome(&mut self, outcome: &RequestOutcome) {
        self.is_answered = matches!(outcome, RequestOutcome::Answered(status) if *status < 300);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = since_boot();
        let mut state = self.shared.state();
        let held = now.since(self.admitted_at);
        if let Some(gate) = state.gates.get_mut(&self.service) {
            gate.admission.finish(self.rank, self.slots, held, self.is_answered);
            let running = &mut gate.view.capacity.running;
            *running = (*running - self.slots).max(0.0);
            if !gate.waiting.is_empty() {
                state.decide(&self.service, now);
            }
        }
    }
}

/// A request that waits; it leaves the queue when this is dropped.
struct Wait<'a> {
    shared: &'a Arc<Shared>,
    request: &'a AdmittedRequest,
    ticket: Ticket,
    slots: f64,
    decided: Receiver<Decision>,
    is_decided: bool,
    /// Whether the entry stops, which is why the request is rejected.
    is_stopping: bool,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let mut state = self.shared.state();
        let Some(gate) = state.gates.get_mut(&self.request.service) else { return };
        gate.waiting.remove(&self.ticket);
        let was_waiting = gate.admission.cancel(self.ticket);
        if !was_waiting && self.decided.try_recv() == Ok(Decision::Send) {
            gate.admission.finish(self.request.urgency, self.slots, Millis(0), false);
        }
        let (event, reason) =
            if self.is_stopping { ("rejected", "stopping") } else { ("abandoned", "caller_gone") };
        self.shared.metrics.count_admission(event, self.request.urgency, reason);
    }
}

/// Waits until a request may be sent; the error is its outcome if it is not to be sent. `None` if
/// admission is not controlled.
pub(super) async fn wait_for_capacity<F>(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    progress: &mut Progress,
    disconnected: F,
) -> Result<Option<Permit>, RequestOutcome>
where
    F: Future<Output = ()>,
{
    let Some((offer, slots, decided)) = shared.offer(request) else { return Ok(None) };
    if let (Offer::Queued(ticket), Some(decided)) = (offer, decided) {
        let mut wait =
            Wait { shared, request, ticket, slots, decided, is_decided: false, is_stopping: false };
        let gone = async {
            disconnected.await;
            None
        };
        let waiting = async { Some(wait_for_decision(&mut wait).await) };
        match waiting.or(gone).await {
            None => return Err(RequestOutcome::CallerGone),
            Some(Ok(())) => {}
            Some(Err(reply)) => return Err(RequestOutcome::Failed(reply)),
        }
    }
    let admitted_at = since_boot();
    progress.admitted_at = Some(admitted_at);
    Ok(Some(Permit {
        shared: Arc::clone(shared),
        service: request.service.clone(),
        rank: request.urgency,
        slots,
        admitted_at,
        is_answered: false,
    }))
}

async fn wait_for_decision(wait: &mut Wait<'_>) -> Result<(), ErrorReply> {
    let (shared, request) = (wait.shared, wait.request);
    let mut has_waited = false;
    loop {
        let decided = match wait.decided.try_recv() {
            Ok(decision) => Some(decision),
            Err(_empty) => {
                has_waited = true;
                let decided = async { wait.decided.recv().await.ok() };
                let tick = async {
                    task::sleep(WAIT_TICK).await;
                    None
                };
                decided.or(tick).await
            }
        };
        match decided {
            Some(Decision::Send) => {
                wait.is_decided = true;
                if has_waited {
                    shared.metrics.count_admission("waited", request.urgency, "sent");
                }
                return Ok(());
            }
            Some(Decision::Reject(rejection)) => {
                wait.is_decided = true;
                return Err(shared.reject(request, &rejection));
            }
            None if shared.is_stopping() => {
                wait.is_stopping = true;
                let detail = "the entry stops, and the request waits for capacity";
                return Err(request.error_reply(ErrorKind::Draining, detail));
            }
            None => shared.state().decide(&request.service, since_boot()),
        }
        // Lets the requests that have been sent run first.
        future::yield_now().await;
    }
}

impl Shared {
    /// Offers a request to the admission of its service; `None` if admission is not controlled.
    /// Returns the slots that it takes up and, if it waits, where the decision arrives.
    fn offer(&self, request: &AdmittedRequest) -> Option<(Offer, f64, Option<Receiver<Decision>>)> {
        let settings = (self.settings.shedding, self.settings.expects_overload);
        let now = since_boot();
        let mut state = self.state();
        if !state.controls_admission(&request.service, settings) {
            return None;
        }
        let slots = state.slots_of(request, now);
        if !state.gates.contains_key(&request.service) {
            state.gates.insert(request.service.clone(), Gate::new(now));
        }
        if let Some(gate) = state.gates.get_mut(&request.service) {
            gate.objective = request.route.objective;
            gate.slots_per_request += (slots - gate.slots_per_request) * SLOTS_WEIGHT;
        }
        state.refresh_gate(&request.service, now);
        let waiting_bytes: u64 =
            state.gates.values().map(|gate| gate.admission.waiting_bytes()).sum();
        let gate = state.gates.get_mut(&request.service)?;
        let new = new_request(request, slots, now);
        let offer = gate.admission.offer(&new, &gate.view, now);
        let Offer::Queued(ticket) = offer else {
            gate.view.capacity.running += slots;
            return Some((offer, slots, None));
        };
        let (told, decided) = async_channel::bounded(1);
        let memory = self.settings.memory.map(|memory| memory.0 / MEMORY_DIVISOR);
        if waiting_bytes.saturating_add(new.bytes) > memory.unwrap_or(DEFAULT_WAITING_MEMORY.0) {
            gate.admission.cancel(ticket);
            let rejection = Rejection {
                reason: RejectReason::QueueFull,
                expected_wait: new.objective_left,
                allowed_wait: Millis(0),
                served_part: 0.0,
            };
            let _new = told.try_send(Decision::Reject(rejection));
            return Some((offer, slots, Some(decided)));
        }
        gate.waiting.insert(ticket, told);
        gate.decide(now);
        Some((offer, slots, Some(decided)))
    }

    /// The response to a request that is rejected, which has not run; logs and counts it.
    fn reject(&self, request: &AdmittedRequest, rejection: &Rejection) -> ErrorReply {
        let now = since_boot();
        let Rejection { reason, expected_wait, allowed_wait, served_part } = *rejection;
        let waiting = {
            let mut state = self.state();
            state.gates.get_mut(&request.service).map_or(0, |gate| {
                let objective_at = request.arrived_at.saturating_add(request.route.objective);
                gate.admission.remember_rejected(request.content.0, objective_at, now);
                gate.admission.waiting()
            })
        };
        let retry_after = retry_time(expected_wait, request.time_left(now), rand::rng().random());
        self.metrics.count_admission("rejected", request.urgency, reason.name());
        warn!(self.log, "admission: rejected"; "id" => &request.params.id,
            "service" => %request.service, "rank" => request.urgency, "reason" => reason.name(),
            "expected_wait_ms" => expected_wait.0, "allowed_wait_ms" => allowed_wait.0,
            "waited_ms" => now.since(request.arrived_at).0, "served_part" => served_part,
            "waiting" => waiting, "retry_after_ms" => retry_after.0);
        let detail = format!("a request of rank {} would wait {expected_wait}", request.urgency);
        let kind = ErrorKind::CapacityShort;
        ErrorReply { kind, detail, retry_after: Some(retry_after) }
    }

    /// Records that the first event of a response is sent to its caller.
    pub(super) fn record_first_event(&self, request: &AdmittedRequest, progress: &Progress) {
        let Some(admitted_at) = progress.admitted_at else { return };
        // The time of a further attempt says nothing about the capacity.
        if progress.attempts_sent != 1 {
            return;
        }
        let took = since_boot().since(admitted_at);
        if let Some(gate) = self.state().gates.get_mut(&request.service) {
            let objective = request.route.objective;
            gate.admission.record_first_event(request.urgency, took, objective);
        }
    }

    /// Notice about what this entry is offered and does not serve; `None` while no capacity is
    /// nearly used.
    pub(super) fn build_pressure(&self, now: Millis) -> Option<Notice> {
        let mut state = self.state();
        let mut pressure: Vec<ToldPressure> = Vec::new();
        for (service, gate) in &mut state.gates {
            let Capacity { slots, running } = gate.view.capacity;
            let is_used = slots > 0.0 && running >= slots * REPORTED_PART;
            if is_used || gate.admission.is_short(now) {
                pressure.push(told_pressure(service, &mut gate.admission, now));
            }
        }
        if pressure.is_empty() {
            return None;
        }
        if pressure.len() > MAX_NOTICE_SERVICES {
            let from = rand::rng().random_range(0..pressure.len());
            pressure.rotate_left(from);
            pressure.truncate(MAX_NOTICE_SERVICES);
        }
        Some(Notice { pressure, ..state.empty_notice() })
    }

    /// Applies the loads that a peer has told.
    pub(super) fn apply_pressure(&self, notice: &Notice, now: Millis) {
        if notice.pressure.is_empty() {
            return;
        }
        let mut state = self.state();
        state.heard_loads.retain(|_, (_, _, told_at)| now.since(*told_at) < DEMAND_TTL);
        for ToldPressure(service, age, ranks) in notice.pressure.iter().take(MAX_NOTICE_SERVICES) {
            let mut loads = [0.0; RANKS];
            let mut holds = [0.0; RANKS];
            for (rank, offered, _unserved, hold) in ranks {
                let rank = usize::from(*rank);
                if rank < RANKS {
                    loads[rank] = (f64::from(*offered) / 1_000.0).min(MAX_TOLD_LOAD);
                    holds[rank] = f64::from(*hold) / 1_000.0;
                }
            }
            state
                .heard_loads
                .insert((*service, notice.incarnation), (loads, holds, now.since(*age)));
        }
    }

    /// Logs the beginning of a shutdown for the requests that wait.
    pub(super) fn log_waiting(&self) {
        let waiting: usize = {
            let state = self.state();
            state.gates.values().map(|gate| gate.admission.waiting()).sum()
        };
        if waiting > 0 {
            info!(self.log, "admission: waiting requests rejected"; "waiting" => waiting);
        }
    }
}

fn new_request(request: &AdmittedRequest, slots: f64, now: Millis) -> NewRequest {
    let organisation = request.organisation.as_ref().map(OrganisationId::as_str);
    let key = request.params.key.as_ref().map(|key| key.0.as_str());
    let session = request.params.session.as_deref();
    let owner = organisation.or(key).or(session).unwrap_or_default();
    let body = u64::try_from(request.body.len()).unwrap_or(u64::MAX);
    NewRequest {
        rank: request.urgency,
        owner: stable_hash(&[owner]),
        content: request.content.0,
        slots,
        bytes: body.saturating_add(REQUEST_OVERHEAD),
        objective_left: request.arrived_at.saturating_add(request.route.objective).since(now),
        time_left: request.time_left(now),
    }
}

fn told_pressure(
    service: &ServiceId,
    admission: &mut ServiceAdmission,
    now: Millis,
) -> ToldPressure {
    let (offered, unserved) = (admission.offered(now), admission.unserved(now));
    let holds = admission.holds();
    let thousandths = |load: f64| (load * 1_000.0).min(f64::from(u32::MAX)) as u32;
    let ranks = (0_u8..).zip(offered.iter().zip(&unserved)).zip(&holds);
    let used = ranks.filter(|((_, (offered, unserved)), _)| **offered > 0.0 || **unserved > 0.0);
    let told = used.map(|((rank, (offered, unserved)), hold)| {
        (rank, thousandths(*offered), thousandths(*unserved), thousandths(*hold))
    });
    ToldPressure(service_hash(service), Millis(0), told.collect())
}
