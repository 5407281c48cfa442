//! Cold replicas: what records, responses and peers say of them, and what peers are told.

use super::{
    Shared,
    attempt::Attempt,
    limits::service_hash,
    messages::Message,
    peers::{Notice, ToldCold, replica_hash},
    state::State,
};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{InstanceId, Millis, ServiceId, StoreRevision};
use ibissail_direct::{ColdChange, ColdTime, FleetShare, ReplicaRecord, RoutingTable, StatedCold};
use rand::Rng;
use slog::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
};

/// Most cold replicas in a notice, so that it fits in one datagram; with more, they take turns.
const MAX_NOTICE_REPLICAS: usize = 32;
/// Most services in a notice about cold replicas.
const MAX_NOTICE_SERVICES: usize = 24;
/// Time for which the demand that this entry has told counts. A peer may use what it has heard for as
/// long.
const TOLD_DEMAND_TIME: Millis = Millis(3_500);
/// Time for which the demand must have been told to be known to all peers.
const SETTLING_TIME: Millis = Millis(2_500);
/// Time after the last byte of a replica up to which another silent response of it, while it is cold,
/// is taken as slow.
const SLOW_TIME: Millis = Millis(2_000);
/// Shortest time between two notices that are sent at once because a replica is unreachable.
const URGENT_INTERVAL: Millis = Millis(200);

impl State {
    /// This entry's share of what the cold replicas of a service may get.
    pub(super) fn cold_share(&mut self, service: &ServiceId, now: Millis) -> FleetShare {
        let entries = self.peers.upper_entry_count(now);
        let hash = service_hash(service);
        let heard = self.peers.highest_demands(hash, now);
        let own = self.settled_demand(service, now);
        FleetShare::by_settled_demand(&self.peers.vm, entries, own, &heard)
    }

    /// The least demand for a service that this entry has told in the time that peers may go by.
    fn settled_demand(&mut self, service: &ServiceId, now: Millis) -> u32 {
        let current = self.recent_demand(service, now);
        let Some(told) = self.told_demands.get(&service_hash(service)) else { return 0 };
        let is_settled = told.front().is_some_and(|(at, _)| now.since(*at) >= SETTLING_TIME);
        if !is_settled {
            return 0;
        }
        told.iter().map(|(_, demand)| *demand).fold(current, u32::min)
    }

    /// Recent requests of this entry for each service with cold replicas, as they are told now.
    fn tell_cold_demands(&mut self, now: Millis) -> Vec<(u32, u32)> {
        let services: BTreeSet<ServiceId> = self.cold.cold_services(now).cloned().collect();
        let mut demands = Vec::new();
        for service in services.iter().take(MAX_NOTICE_SERVICES) {
            let (hash, demand) = (service_hash(service), self.recent_demand(service, now));
            self.told_demands.entry(hash).or_default().push_back((now, demand));
            demands.push((hash, demand));
        }
        self.told_demands.retain(|_, told| {
            told.retain(|(at, _)| now.since(*at) < TOLD_DEMAND_TIME);
            !told.is_empty()
        });
        demands
    }

    /// What peers are told of cold replicas.
    fn told_cold(&self, now: Millis) -> Vec<ToldCold> {
        let told = self.cold.told(now).map(|(id, told)| {
            let StatedCold { started_unix_ms, cold, observed_at, is_provisional } = told;
            (replica_hash(id), started_unix_ms, cold, now.since(observed_at), is_provisional)
        });
        let mut told: Vec<ToldCold> = told.collect();
        if told.len() > MAX_NOTICE_REPLICAS {
            let from = rand::rng().random_range(0..told.len());
            told.rotate_left(from);
            told.truncate(MAX_NOTICE_REPLICAS);
        }
        told
    }

    /// Applies the list of replicas to what is known of cold ones.
    fn apply_listed_cold(&mut self, now: Millis) {
        let Self { cold, replicas, table, .. } = self;
        let table: Option<&RoutingTable> = table.as_deref();
        let listed = replicas.iter().filter_map(|replica| {
            let upstream = table?.upstream(&replica.service)?;
            Some((replica, upstream.cold_start?))
        });
        cold.apply_listed(listed, now);
    }
}

impl Shared {
    /// Applies the records that a listing or a watch has just delivered, after the list.
    pub(super) fn apply_cold_records(
        &self,
        state: &mut State,
        records: &[(ReplicaRecord, StoreRevision)],
        now: Millis,
    ) {
        if !state.cold.is_enabled() {
            return;
        }
        state.apply_listed_cold(now);
        state.cold.apply_records(records.iter().map(|(record, at)| (record, *at)), now);
        self.log_cold_changes(state, now);
    }

    /// Reviews which replicas are cold.
    pub(super) fn review_cold(&self, now: Millis) {
        self.apply_cold_records(&mut self.state(), &[], now);
    }

    fn log_cold_changes(&self, state: &mut State, now: Millis) {
        for ColdChange { id, cold } in state.cold.take_changes(now) {
            match cold {
                Some((source, time)) => info!(self.log, "replica: cold"; "replica" => %id,
                    "source" => %source, "for_ms" => time.0),
                None => info!(self.log, "replica: warm"; "replica" => %id),
            }
        }
        let count = i64::try_from(state.cold.count(now)).unwrap_or(i64::MAX);
        self.metrics.cold_replicas.set(count);
    }

    /// Notice about cold replicas; `None` if there is nothing to tell. It is apart from the others,
    /// so that each fits in one datagram.
    pub(super) fn build_cold(&self, now: Millis) -> Option<Notice> {
        let mut state = self.state();
        if !state.cold.is_enabled() {
            return None;
        }
        let (cold, demands) = (state.told_cold(now), state.tell_cold_demands(now));
        if cold.is_empty() && demands.is_empty() {
            return None;
        }
        Some(Notice { demands, cold, ..state.empty_notice() })
    }

    /// Applies what a peer has told of cold replicas.
    pub(super) fn apply_told_cold(&self, notice: &Notice, now: Millis) {
        let mut state = self.state();
        if notice.cold.is_empty() || !state.cold.is_enabled() {
            return;
        }
        let told = notice.cold.iter().map(|told| {
            let (hash, started_unix_ms, cold, age, is_provisional) = *told;
            let observed_at = now.since(age);
            (hash, StatedCold { started_unix_ms, cold, observed_at, is_provisional })
        });
        let told: BTreeMap<u32, StatedCold> = told.collect();
        let State { cold, replicas, .. } = &mut *state;
        for replica in replicas.iter() {
            if let Some(told) = told.get(&replica_hash(&replica.id)) {
                cold.apply_told(&replica.id, *told, now);
            }
        }
        self.log_cold_changes(&mut state, now);
    }

    /// Sends a notice to some peers at once if a watch has delivered records of cold replicas.
    pub(super) async fn spread_cold_records(&self, records: &[(ReplicaRecord, StoreRevision)]) {
        let is_cold = |(record, _): &(ReplicaRecord, StoreRevision)| {
            record.cold.is_some_and(|cold| cold > ColdTime::default())
        };
        if records.iter().any(is_cold) {
            self.spread_cold().await;
        }
    }

    async fn spread_cold(&self) {
        let now = since_boot();
        let Some(notice) = self.build_cold(now) else { return };
        let receivers = self.state().peers.sample_addresses(now);
        let message = Message::Notice(Box::new(notice));
        for receiver in receivers {
            self.send(&message, receiver).await;
        }
    }

    /// Whether a replica is cold now.
    pub(super) fn is_cold(&self, id: &InstanceId) -> bool {
        self.state().cold.is_cold(id, since_boot())
    }

    /// Records a response of a replica, and what it says about its cold time.
    pub(super) fn record_cold_response(
        &self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        cold: Option<ColdTime>,
    ) {
        let now = since_boot();
        let mut state = self.state();
        if !state.cold.is_enabled() {
            return;
        }
        let was_cold = state.cold.is_cold(id, now);
        state.cold.record_response(id, started_unix_ms, cold, now);
        if state.cold.is_cold(id, now) != was_cold {
            self.log_cold_changes(&mut state, now);
        }
    }

    /// Records that a replica is unreachable, so that it is cold when it returns, and asks for peers
    /// to be told at once.
    pub(super) fn record_unreachable(&self, id: &InstanceId) {
        let now = since_boot();
        let mut state = self.state();
        if state.cold.record_unreachable(id, now) {
            self.log_cold_changes(&mut state, now);
            self.is_cold_news_due.store(true, Ordering::Relaxed);
            self.cold_news.notify(1);
        }
    }
}

/// Tells some peers at once when a replica has become unreachable.
pub(super) async fn spread_cold_news(shared: Arc<Shared>) {
    loop {
        let listener = shared.cold_news.listen();
        if shared.is_cold_news_due.swap(false, Ordering::Relaxed) {
            shared.spread_cold().await;
            task::sleep(URGENT_INTERVAL.as_duration()).await;
            continue;
        }
        listener.await;
    }
}

impl Attempt<'_> {
    /// Whether the replica was cold when it was selected, or is cold now.
    pub(super) fn is_cold(&self) -> bool {
        self.target.was_cold || self.shared.is_cold(&self.replica().id)
    }

    /// Whether a silence of the replica shows only that it is cold: it has said something lately, to
    /// this or another request.
    pub(super) fn is_slow_because_cold(&self) -> bool {
        let id = &self.replica().id;
        let now = since_boot();
        let state = self.shared.state();
        let last_byte_at = state.loads.get(id).map_or(Millis(0), |load| load.last_byte_at);
        state.cold.is_cold(id, now)
            && !state.cold.is_unreachable(id, now)
            && now.since(last_byte_at) < SLOW_TIME
    }
}
