//! Admission of the requests of one service at one entry.

use super::{
    capacity::{Capacity, CapacityGuard},
    load_window::{LoadWindow, RANKS, RankLoads, rank_index},
    queue::{Position, Ticket, WaitQueue, WaitingRequest},
    shedding::{ServedParts, entry_slots, served_parts},
};
use ibissail_core::Millis;
use std::collections::BTreeMap;

/// Part of the usable slots up to which requests pass without a share: entries that learn of each
/// other's requests only every 400 ms would fill the rest several times.
const UNSHARED_PART: f64 = 0.95;
/// Part of the usable slots up to which requests are sent while there are more urgent ones.
const LESS_URGENT_PART: f64 = 0.97;
/// Weight of an observation in the averages of durations.
const DURATION_WEIGHT: f64 = 0.1;
/// Duration of a request of which none has been observed.
const INITIAL_HOLD: f64 = 0.5;
/// Longest part of the objective that the time to first event is expected to take.
const MAX_FIRST_PART: f64 = 0.7;
/// A request waits at most its remaining time divided by this: what is left must do for a retry.
const TIME_LEFT_DIVISOR: u64 = 3;
/// Part of the wait that its objective allows for which a request waits in a lasting shortage, in
/// which waiting makes all requests late and serves no more of them.
const LASTING_PATIENCE: f64 = 0.5;
/// Time from which a shortage is lasting.
const LASTING_SHORTAGE: Millis = Millis(1_000);
/// Excess of the expected wait over the allowed one at which a request that waits is rejected; a
/// new request is rejected without an excess, so that estimates near the limit reject no waiting one.
const EXCESS_PART: f64 = 1.3;
/// Time after the last wait or rejection for which capacity still counts as short.
const SHORTAGE_END: Millis = Millis(1_000);
/// Time for which a rejected request is recognised when its caller sends it again.
const RETURN_TIME: Millis = Millis(10_000);
const MAX_RETURNS: usize = 512;
/// Most credit of a rank, in requests: more would let a burst pass after a quiet time.
const MAX_CREDIT: f64 = 3.0;
/// Least drain rate that waits are computed with, in slots.
const MIN_DRAIN: f64 = 1e-3;

/// What an entry knows of the fleet when it decides.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CapacityView {
    /// Capacity of the service for all entries together.
    pub capacity: Capacity,
    /// Estimated number of entries, this one included.
    pub entries: usize,
    /// Sum of what the peers heard of offer, by rank.
    pub heard: RankLoads,
    /// Number of these peers; without any, all entries are assumed to offer what this one does.
    pub heard_count: usize,
    /// Average time in seconds for which a request holds its slots at these peers, by rank; 0 if
    /// not known.
    pub holds: RankLoads,
}

/// A request that asks for capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NewRequest {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Hash of the organisation, key or session that it counts for.
    pub owner: u64,
    /// Hash of what it asks for, by which it is recognised if it is sent again.
    pub content: u64,
    /// Slots that it takes up, 1 or more.
    pub slots: f64,
    /// Bytes of memory that it holds while it waits.
    pub bytes: u64,
    /// Time until its objective.
    pub objective_left: Millis,
    /// Time until its deadline.
    pub time_left: Millis,
}

/// What happens to a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is sent now.
    Admitted,
    /// It is in the queue; [`ServiceAdmission::decide`] says what happens to it, possibly at once.
    Queued(Ticket),
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The expected wait exceeds the time for which it may wait.
    WaitTooLong,
    /// It has waited for as long as it may.
    TimeUp,
    /// The queue has no room.
    QueueFull,
}

impl RejectReason {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::WaitTooLong => "wait_too_long",
            Self::TimeUp => "time_up",
            Self::QueueFull => "queue_full",
        }
    }
}

/// A rejection, with the figures that determined it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why it is rejected.
    pub reason: RejectReason,
    /// Expected time until it would have been sent.
    pub expected_wait: Millis,
    /// Time for which it might still have waited.
    pub allowed_wait: Millis,
    /// Part of its rank's work that the entries serve now.
    pub served_part: f64,
}

/// What happens to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is sent now.
    Send,
    /// It is rejected; it has not run.
    Reject(Rejection),
}

/// Admission of the requests of one service at one entry.
#[derive(Debug, Clone)]
pub struct ServiceAdmission {
    queue: WaitQueue,
    guard: CapacityGuard,
    offered: LoadWindow,
    unserved: LoadWindow,
    /// Average time in seconds for which a request holds its slots, by rank.
    holds: [Option<f64>; RANKS],
    /// The same, as peers have told it.
    heard_holds: [Option<f64>; RANKS],
    /// Average time in ms from the admission of a request to its first event, by rank.
    firsts: [Option<f64>; RANKS],
    /// Slots held by requests of this entry.
    running: f64,
    /// Work of each rank that may be sent although few slots are free: the served part of what has
    /// arrived.
    credits: RankLoads,
    /// When a request last waited or was rejected.
    short_at: Option<Millis>,
    short_since: Millis,
    /// Rejected requests, by content: when each was last rejected, and its objective.
    rejected: BTreeMap<u64, (Millis, Millis)>,
    next_ticket: u64,
    max_waiting: usize,
}

/// Figures that one round of decisions is based on.
#[derive(Debug, Clone, Copy)]
struct Shares {
    own: RankLoads,
    /// What all entries offer, by rank.
    total: RankLoads,
    served: ServedParts,
    /// Slots that all entries may use.
    usable: f64,
    /// Slots that this entry may use.
    own_slots: f64,
    /// Slots in use by all entries.
    running: f64,
}

impl Shares {
    /// Slots up to which requests of a rank are sent: some are left to more urgent ones, if there
    /// are any.
    fn limit(&self, rank: usize) -> f64 {
        let has_urgent = self.total[..rank].iter().any(|offered| *offered > 0.0);
        self.usable * if has_urgent { LESS_URGENT_PART } else { 1.0 }
    }
}

impl ServiceAdmission {
    /// Starts without requests; at most `max_waiting` wait at the same time.
    #[must_use]
    pub fn new(max_waiting: usize, now: Millis) -> Self {
        Self {
            queue: WaitQueue::default(),
            guard: CapacityGuard::new(now),
            offered: LoadWindow::new(now),
            unserved: LoadWindow::new(now),
            holds: [None; RANKS],
            heard_holds: [None; RANKS],
            firsts: [None; RANKS],
            running: 0.0,
            credits: [0.0; RANKS],
            short_at: None,
            short_since: now,
            rejected: BTreeMap::new(),
            next_ticket: 0,
            max_waiting,
        }
    }

    /// Offers a new request. While there is capacity, it passes without waiting or allocation.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{Capacity, CapacityView, NewRequest, Offer, ServiceAdmission};
    /// let mut admission = ServiceAdmission::new(100, Millis(0));
    /// let capacity = Capacity { slots: 10.0, running: 3.0 };
    /// let view = CapacityView { capacity, entries: 1, ..CapacityView::default() };
    /// let request = NewRequest {
    ///     rank: 0,
    ///     owner: 1,
    ///     content: 1,
    ///     slots: 1.0,
    ///     bytes: 100,
    ///     objective_left: Millis(500),
    ///     time_left: Millis(2_000),
    /// };
    /// assert_eq!(admission.offer(&request, &view, Millis(0)), Offer::Admitted);
    /// ```
    pub fn offer(&mut self, request: &NewRequest, view: &CapacityView, now: Millis) -> Offer {
        let slots = if request.slots.is_finite() { request.slots.max(1.0) } else { 1.0 };
        let rank = rank_index(request.rank);
        if view.holds[rank] > 0.0 {
            self.heard_holds[rank] = Some(view.holds[rank]);
        }
        let work = slots * self.hold(rank);
        let objective_at = self.take_return(request.content, now);
        let has_returned = objective_at.is_some();
        // Its caller has waited since it was sent first.
        let objective_left = objective_at.map_or(request.objective_left, |at| at.since(now));
        let request = &NewRequest { objective_left, ..*request };
        // A caller that comes back is one request, not more demand.
        if !has_returned {
            self.offered.add(request.rank, work, now);
        }
        // Without any replica that takes requests, the attempt finds out when one will.
        if view.capacity.slots <= 0.0 || self.queue.is_empty() && self.has_unshared_room(view, now)
        {
            self.admit(slots);
            return Offer::Admitted;
        }
        let part = self.shares(view, now).served.parts[rank];
        if !has_returned {
            let most = work * MAX_CREDIT;
            self.credits[rank] = (self.credits[rank] + part * work).min(most);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let patience = self.patience(request, part >= 1.0, now);
        let waiting = WaitingRequest {
            rank: request.rank,
            owner: request.owner,
            slots,
            work,
            bytes: request.bytes,
            since: now,
            until: now.saturating_add(patience),
            deadline: now.saturating_add(request.time_left),
        };
        self.queue.push(ticket, waiting);
        Offer::Queued(ticket)
    }

    /// Decides about the waiting requests; those without a decision wait on.
    pub fn decide(&mut self, view: &CapacityView, now: Millis) -> Vec<(Ticket, Decision)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        let mut shares = self.shares(view, now);
        self.send_waiting(&mut shares, &mut decisions);
        self.reject_waiting(&shares, &mut decisions, now);
        if !self.queue.is_empty() || decisions.iter().any(|(_, decision)| is_rejection(decision)) {
            self.record_shortage(now);
        }
        decisions
    }

    /// Removes a request whose caller no longer waits; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket).is_some()
    }

    /// Records the time from the admission of a request to its first event.
    pub fn record_first_event(&mut self, rank: u32, took: Millis, objective: Millis) {
        let took = took.0 as f64;
        self.guard.observe(took / objective.0.max(1) as f64);
        update_average(&mut self.firsts[rank_index(rank)], took);
    }

    /// Records that an admitted request has ended, `held` after its admission. One that was
    /// answered is taken as an example of its rank.
    pub fn finish(&mut self, rank: u32, slots: f64, held: Millis, is_answered: bool) {
        self.running = (self.running - slots.max(1.0)).max(0.0);
        if is_answered {
            update_average(&mut self.holds[rank_index(rank)], held.0 as f64 / 1_000.0);
        }
    }

    /// Whether requests wait or were rejected within the last moments.
    #[must_use]
    pub fn is_short(&self, now: Millis) -> bool {
        !self.queue.is_empty() || self.short_at.is_some_and(|at| now.since(at) < SHORTAGE_END)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Memory of the waiting requests, in bytes.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        self.queue.bytes()
    }

    /// What this entry offers, in slots, by rank.
    pub fn offered(&mut self, now: Millis) -> RankLoads {
        self.offered.per_second(now)
    }

    /// Average time in seconds for which a request holds its slots, by rank; 0 if none has ended.
    #[must_use]
    pub fn holds(&self) -> RankLoads {
        self.holds.map(Option::unwrap_or_default)
    }

    /// What of it waits or has been rejected, in slots, by rank.
    pub fn unserved(&mut self, now: Millis) -> RankLoads {
        let mut unserved = self.unserved.per_second(now);
        for (sum, work) in unserved.iter_mut().zip(self.queue.work()) {
            *sum += work;
        }
        unserved
    }

    fn hold(&self, rank: usize) -> f64 {
        self.holds[rank].or(self.heard_holds[rank]).unwrap_or(INITIAL_HOLD)
    }

    /// The objective of a request that has been rejected before, if it has.
    fn take_return(&mut self, content: u64, now: Millis) -> Option<Millis> {
        if self.rejected.is_empty() {
            return None;
        }
        let (rejected_at, objective_at) = self.rejected.remove(&content)?;
        (now.since(rejected_at) < RETURN_TIME).then_some(objective_at)
    }

    fn admit(&mut self, slots: f64) {
        self.running += slots;
    }

    /// Time for which a request may wait. A lasting shortage shortens it unless the rank is served
    /// wholly.
    fn patience(&self, request: &NewRequest, is_whole: bool, now: Millis) -> Millis {
        let objective = request.objective_left.0 as f64;
        let first = self.firsts[rank_index(request.rank)].unwrap_or(0.0);
        let wait = objective - first.min(objective * MAX_FIRST_PART);
        let is_lasting = self.is_short(now) && now.since(self.short_since) > LASTING_SHORTAGE;
        let is_shortened = is_lasting && !is_whole;
        let part = if is_shortened { LASTING_PATIENCE } else { 1.0 };
        Millis(((wait * part) as u64).min(request.time_left.0 / TIME_LEFT_DIVISOR))
    }

    fn record_shortage(&mut self, now: Millis) {
        if self.short_at.is_none_or(|at| now.since(at) >= SHORTAGE_END) {
            self.short_since = now;
        }
        self.short_at = Some(now);
    }

    /// Whether so many slots are free that this entry need not keep to its share.
    fn has_unshared_room(&mut self, view: &CapacityView, now: Millis) -> bool {
        let usable = view.capacity.slots * self.guard.usable_part(view.capacity, now);
        view.capacity.running + 1.0 <= usable * UNSHARED_PART
    }

    fn shares(&mut self, view: &CapacityView, now: Millis) -> Shares {
        let own = self.offered.per_second(now);
        let usable = view.capacity.slots * self.guard.usable_part(view.capacity, now);
        let others = view.entries.saturating_sub(1).max(view.heard_count) as f64;
        let mut total = own;
        for (rank, total) in total.iter_mut().enumerate() {
            *total += if view.heard_count == 0 {
                own[rank] * others
            } else {
                view.heard[rank] * others / view.heard_count as f64
            };
        }
        let served = served_parts(&total, usable);
        let own_slots = entry_slots(&own, &total, &served, view.entries, usable);
        let running = view.capacity.running.max(self.running);
        Shares { own, total, served, usable, own_slots, running }
    }

    /// Whether a request may be sent: while many slots are free, or while some are and its rank has
    /// credit. One free slot is enough: otherwise small requests would always be sent before large
    /// ones.
    fn has_room(&self, rank: usize, request: &WaitingRequest, shares: &Shares) -> bool {
        let needed = shares.running + 1.0;
        let is_whole = shares.served.parts[rank] >= 1.0;
        needed <= shares.usable * UNSHARED_PART
            || needed <= shares.limit(rank) && (is_whole || self.credits[rank] >= request.work)
    }

    fn send_waiting(&mut self, shares: &mut Shares, decisions: &mut Vec<(Ticket, Decision)>) {
        for rank in 0..RANKS {
            while let Some((position, request)) = self.queue.first(rank) {
                if !self.has_room(rank, &request, shares) {
                    break;
                }
                self.queue.serve(position);
                self.admit(request.slots);
                self.credits[rank] = (self.credits[rank] - request.work).max(0.0);
                shares.running += request.slots;
                decisions.push((position.2, Decision::Send));
            }
        }
    }

    fn reject_waiting(
        &mut self,
        shares: &Shares,
        decisions: &mut Vec<(Ticket, Decision)>,
        now: Millis,
    ) {
        let mut rejected: Vec<(Position, WaitingRequest, Rejection)> = Vec::new();
        let mut ahead: RankLoads = [0.0; RANKS];
        for (position, request) in self.queue.iter() {
            let rank = position.0;
            let expected_wait = self.expected_wait(rank, &request, &ahead, shares);
            let allowed_wait = request.until.since(now);
            let is_new = request.since == now;
            let limit = allowed_wait.0 as f64 * if is_new { 1.0 } else { EXCESS_PART };
            let reason = if allowed_wait.0 == 0 && !is_new {
                Some(RejectReason::TimeUp)
            } else if expected_wait.0 as f64 > limit {
                Some(RejectReason::WaitTooLong)
            } else {
                None
            };
            match reason {
                Some(reason) => {
                    let served_part = shares.served.parts[rank];
                    let rejection = Rejection { reason, expected_wait, allowed_wait, served_part };
                    rejected.push((position, request, rejection));
                }
                None => ahead[rank] += request.work,
            }
        }
        let excess = (self.queue.len() - rejected.len()).saturating_sub(self.max_waiting);
        for (position, request, rejection) in rejected {
            self.reject(position, &request, rejection, decisions, now);
        }
        for _ in 0..excess {
            let Some((position, request)) = self.queue.last() else { return };
            let rejection = Rejection {
                reason: RejectReason::QueueFull,
                expected_wait: self.expected_wait(position.0, &request, &ahead, shares),
                allowed_wait: request.until.since(now),
                served_part: shares.served.parts[position.0],
            };
            self.reject(position, &request, rejection, decisions, now);
        }
    }

    fn reject(
        &mut self,
        position: Position,
        request: &WaitingRequest,
        rejection: Rejection,
        decisions: &mut Vec<(Ticket, Decision)>,
        now: Millis,
    ) {
        self.queue.remove(position);
        self.unserved.add(request.rank, request.work, now);
        decisions.push((position.2, Decision::Reject(rejection)));
    }

    /// Remembers a rejected request, so that it is recognised when its caller sends it again;
    /// `objective_at` is when it should have been answered.
    pub fn remember_rejected(&mut self, content: u64, objective_at: Millis, now: Millis) {
        if self.rejected.len() >= MAX_RETURNS {
            self.rejected.retain(|_, (at, _)| now.since(*at) < RETURN_TIME);
        }
        if self.rejected.len() < MAX_RETURNS {
            self.rejected.insert(content, (now, objective_at));
        }
    }

    /// Expected time until a request with this work of its rank ahead of it is sent.
    fn expected_wait(
        &self,
        rank: usize,
        request: &WaitingRequest,
        ahead: &RankLoads,
        shares: &Shares,
    ) -> Millis {
        let accrual = (shares.own[rank] * shares.served.parts[rank]).max(MIN_DRAIN);
        let is_whole = shares.served.parts[rank] >= 1.0;
        let owed = if is_whole { 0.0 } else { ahead[rank] + request.work - self.credits[rank] };
        let credit = (owed / accrual).max(0.0);
        let urgent: f64 = ahead[..=rank].iter().sum();
        let excess = (shares.running + 1.0 - shares.limit(rank)).max(0.0);
        let freed = excess * self.hold(rank) / shares.usable.max(1.0);
        let seconds = credit.max(freed + urgent / shares.own_slots.max(MIN_DRAIN));
        Millis((seconds * 1_000.0).min(1e9) as u64)
    }
}

fn is_rejection(decision: &Decision) -> bool {
    match decision {
        Decision::Send => false,
        Decision::Reject(_) => true,
    }
}

fn update_average(average: &mut Option<f64>, value: f64) {
    *average = Some(match *average {
        Some(average) => average + (value - average) * DURATION_WEIGHT,
        None => value,
    });
}
