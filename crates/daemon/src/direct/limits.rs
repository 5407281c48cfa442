//! Rates that replicas accept from all entries together: what peers are told of them, and when
//! callers may come back if all replicas are limited.

use super::{
    Shared,
    peers::{Notice, ToldLimit, replica_hash, truncate_hash},
    request::AdmittedRequest,
    state::State,
};
use crate::clock::since_boot;
use ibissail_core::{InstanceId, Millis, RequestRate, ServiceId};
use ibissail_direct::{
    FleetShare, NamedLimit, Replica, Unavailability, stable_hash, urgency_reserve,
};
use rand::Rng;
use slog::info;
use std::collections::BTreeSet;

/// Most limits in a notice, so that it fits in one datagram; with more, they take turns.
const MAX_NOTICE_LIMITS: usize = 40;
/// Time whose requests are an entry's demand.
const DEMAND_SPAN: Millis = Millis(2_000);
/// Longest time after which a caller is asked to come back.
const MAX_RETURN_TIME: Millis = Millis(8_000);

/// The short hash that identifies a service in notices.
pub(super) fn service_hash(service: &ServiceId) -> u32 {
    truncate_hash(stable_hash(&[service.as_str()]))
}

/// The parts that this entry takes of the limits of a service's replicas.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetShares {
    /// Part of the rates that replicas name.
    pub(super) named: FleetShare,
    /// Part of what cold replicas may get.
    pub(super) cold: FleetShare,
}

impl State {
    /// This entry's share of the rates that the replicas of a service accept, by its demand.
    pub(super) fn fleet_shares(&mut self, service: &ServiceId, now: Millis) -> FleetShares {
        let entries = self.peers.cautious_entry_count(now);
        let heard = self.peers.demands(service_hash(service), now);
        let own = self.recent_demand(service, now);
        let named = FleetShare::by_demand(&self.peers.vm, entries, own, &heard);
        let may_be_cold = self.cold.may_be_any_cold(now);
        let cold = if may_be_cold { self.cold_share(service, now) } else { named };
        FleetShares { named, cold }
    }

    /// Recent requests of this entry for a service.
    pub(super) fn recent_demand(&mut self, service: &ServiceId, now: Millis) -> u32 {
        self.budget(service).recent_requests(DEMAND_SPAN, now)
    }

    /// Recent requests of this entry for each service with limited replicas.
    fn demands(&mut self, now: Millis) -> Vec<(u32, u32)> {
        let named = self.signals.named_limits(now);
        let limited = named.filter_map(|(id, _)| Some(self.replicas.get(id)?.service.clone()));
        let services: BTreeSet<ServiceId> = limited.collect();
        let demand =
            |service: &ServiceId| (service_hash(service), self.recent_demand(service, now));
        services.iter().map(demand).collect()
    }

    /// Time until the limits of a replica, the named one and that of a cold replica, allow a request
    /// that leaves `reserve`; `None` if it has neither.
    pub(super) fn limit_wait(
        &self,
        replica: &Replica,
        shares: FleetShares,
        reserve: f64,
        now: Millis,
    ) -> Option<Millis> {
        let named = self.signals.limit(replica);
        let named = named.map(|limit| limit.wait(shares.named, reserve, now));
        let cold = self.cold.limit(&replica.id, now);
        named.max(cold.map(|limit| limit.wait(shares.cold, reserve, now)))
    }

    /// Whether a replica names a rate or is cold.
    pub(super) fn has_limit(&self, replica: &Replica, now: Millis) -> bool {
        self.signals.limit(replica).is_some() || self.cold.is_cold(&replica.id, now)
    }

    /// Whether the limits of a replica allow a request now that leaves `reserve`.
    pub(super) fn has_share(
        &self,
        replica: &Replica,
        shares: FleetShares,
        reserve: f64,
        now: Millis,
    ) -> bool {
        let named = self.signals.limit(replica);
        let cold = self.cold.limit(&replica.id, now);
        named.is_none_or(|limit| limit.can_take(shares.named, reserve, now))
            && cold.is_none_or(|limit| limit.can_take(shares.cold, reserve, now))
    }

    fn told_limits(&self, now: Millis) -> Vec<ToldLimit> {
        let mut told: Vec<ToldLimit> = self
            .signals
            .told_limits(|id| self.replicas.get(id), now)
            .map(|(id, named)| {
                let NamedLimit { started_unix_ms, rate, observed_at } = named;
                (replica_hash(id), started_unix_ms, rate, now.since(observed_at))
            })
            .collect();
        if told.len() > MAX_NOTICE_LIMITS {
            let from = rand::rng().random_range(0..told.len());
            told.rotate_left(from);
            told.truncate(MAX_NOTICE_LIMITS);
        }
        told
    }

    /// Time until a replica of the service accepts a request again, if none does now because all are
    /// leaving, have asked for a pause or are limited, and at least one is not leaving.
    pub(super) fn time_until_accepted(
        &self,
        request: &AdmittedRequest,
        shares: FleetShares,
        now: Millis,
    ) -> Option<Millis> {
        let mut shortest: Option<Millis> = None;
        let ready = self.replicas.ready(&request.service, now);
        for replica in ready.filter(|replica| self.is_servable(replica, request)) {
            let wait = match self.signals.unavailability(replica, now) {
                Some(Unavailability::Leaving) => continue,
                Some(Unavailability::PausedUntil(until)) => until.since(now),
                None => self.limit_wait(replica, shares, urgency_reserve(request.urgency), now)?,
            };
            shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
        }
        shortest
    }

    /// Average time between two requests that this entry may send to the limited replicas of a
    /// service; `None` if none is limited.
    fn limited_interval(
        &self,
        service: &ServiceId,
        shares: FleetShares,
        now: Millis,
    ) -> Option<Millis> {
        let ready = self.replicas.ready(service, now);
        let used = ready.filter(|replica| !self.is_evacuated(&replica.zone));
        let intervals = used.filter_map(|replica| {
            let named = self.signals.limit(replica).map(|limit| limit.interval(shares.named));
            let cold = self.cold.limit(&replica.id, now);
            named.max(cold.map(|limit| limit.interval(shares.cold)))
        });
        let (count, longest) = intervals
            .fold((0, Millis(0)), |(count, longest), interval| (count + 1, longest.max(interval)));
        (count > 0).then(|| Millis(longest.0 / count))
    }

    /// Books a time for a refused caller: after the callers refused before, at the rate at which
    /// the limited replicas accept requests, so that not all return at once.
    pub(super) fn book_return(
        &mut self,
        service: &ServiceId,
        wait: Millis,
        shares: FleetShares,
        now: Millis,
    ) -> Option<Millis> {
        let interval = self.limited_interval(service, shares, now)?;
        let earliest = now.saturating_add(wait);
        let booked = self.returns.get(service).copied().unwrap_or_default();
        let latest = earliest.max(now.saturating_add(MAX_RETURN_TIME));
        let at = earliest.max(booked.saturating_add(interval)).min(latest);
        self.returns.insert(service.clone(), at);
        Some(at.since(now))
    }
}

impl Shared {
    /// Notice about the rates that replicas accept; `None` if there is nothing to tell. It is apart
    /// from the others, so that each fits in one datagram.
    pub(super) fn build_limits(&self, now: Millis) -> Option<Notice> {
        let mut state = self.state();
        let limits = state.told_limits(now);
        if limits.is_empty() {
            return None;
        }
        let demands = state.demands(now);
        Some(Notice { limits, demands, ..state.empty_notice() })
    }

    /// Applies the limits that a peer has told.
    pub(super) fn apply_limits(&self, notice: &Notice, now: Millis) {
        if notice.limits.is_empty() && notice.demands.is_empty() {
            return;
        }
        let mut state = self.state();
        state.peers.store_demands(notice.incarnation, &notice.demands, now);
        if notice.limits.is_empty() {
            return;
        }
        let replicas = state.replicas_by_hash();
        for (hash, started_unix_ms, rate, age) in &notice.limits {
            let Some(replica) = replicas.get(hash) else { continue };
            let (started_unix_ms, rate) = (*started_unix_ms, *rate);
            let named = NamedLimit { started_unix_ms, rate, observed_at: now.since(*age) };
            if state.signals.record_limit(&replica.id, named, Some(replica), now) {
                self.log_limit(&replica.id, rate, "peer");
            }
        }
    }

    /// Takes a request from this entry's share of the limits of a replica; returns whether it may be
    /// sent.
    pub(super) fn try_take_limit(&self, service: &ServiceId, id: &InstanceId) -> bool {
        let now = since_boot();
        let mut state = self.state();
        let shares = state.fleet_shares(service, now);
        let Some(replica) = state.replicas.get(id) else { return true };
        if !state.has_share(replica, shares, 0.0, now) {
            return false;
        }
        let State { signals, replicas, cold, .. } = &mut *state;
        replicas.get(id).is_none_or(|replica| {
            signals.try_take(replica, shares.named, now) && cold.try_take(id, shares.cold, now)
        })
    }

    /// Records the rate that a replica names in a response; `None` if it names none.
    pub(super) fn record_limit(
        &self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        rate: Option<RequestRate>,
    ) {
        let now = since_boot();
        let mut state = self.state();
        let State { signals, replicas, .. } = &mut *state;
        let named = NamedLimit { started_unix_ms, rate, observed_at: now };
        if signals.record_limit(id, named, replicas.get(id), now) {
            self.log_limit(id, rate, "response");
        }
    }

    fn log_limit(&self, id: &InstanceId, rate: Option<RequestRate>, source: &'static str) {
        match rate {
            Some(rate) => info!(self.log, "replica: limit named"; "replica" => %id,
                "rate" => %rate, "source" => source),
            None => info!(self.log, "replica: limit ended"; "replica" => %id, "source" => source),
        }
    }
}
