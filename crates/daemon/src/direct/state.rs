//! What a direct entry knows, and the loads it has put on replicas.

use super::{peers::PeerTable, rollouts::OrderProgress};
use ibissail_core::{Count, InstanceId, Millis, ServiceId, Tokens, VersionId};
use ibissail_direct::{
    DirectSettings, Freshness, Health, PrefixCacheIndex, ReplicaSet, RetryBudget,
    RetryBudgetLimits, RoutingTable,
};
use std::{collections::BTreeMap, sync::Arc};

/// Requests that this entry has at one replica.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OwnLoad {
    /// Requests sent and not ended.
    pub(crate) running: u32,
    /// Prompt tokens of those that have no first event yet, in tokens of the largest model.
    pub(crate) unread: Tokens,
    /// When any byte last came from the replica.
    pub(crate) last_byte: Millis,
}

/// A session's version, while its requests follow each other closely.
#[derive(Debug, Clone)]
pub(crate) struct SessionVersion {
    pub(crate) version: VersionId,
    pub(crate) last_used: Millis,
}

/// What a direct entry knows.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) freshness: Freshness,
    pub(crate) replicas: ReplicaSet,
    /// From when the list of replicas was last known to be right.
    pub(crate) replicas_confirmed: Option<Millis>,
    /// Whether a peer has read a newer configuration than this entry knows.
    pub(super) is_configuration_behind: bool,
    pub(crate) health: BTreeMap<InstanceId, Health>,
    pub(crate) loads: BTreeMap<InstanceId, OwnLoad>,
    pub(crate) prefixes: PrefixCacheIndex,
    pub(crate) peers: PeerTable,
    pub(crate) orders: BTreeMap<ServiceId, OrderProgress>,
    pub(crate) baselines: BTreeMap<ServiceId, VersionId>,
    /// Since when a service has replicas of several versions without an order.
    pub(crate) mixed_since: BTreeMap<ServiceId, Millis>,
    pub(crate) sessions: BTreeMap<String, SessionVersion>,
    /// Share of requests that a bad version may get.
    pub(super) exposure: f64,
    /// Requests that it may get beyond that share.
    pub(super) exposure_allowance: Count,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    budget_limits: RetryBudgetLimits,
}

impl State {
    pub(crate) fn new(settings: &DirectSettings) -> Self {
        Self {
            table: None,
            freshness: Freshness::new(settings.key_age_limit),
            replicas: ReplicaSet::default(),
            replicas_confirmed: None,
            is_configuration_behind: false,
            health: BTreeMap::new(),
            loads: BTreeMap::new(),
            prefixes: PrefixCacheIndex::default(),
            peers: PeerTable::new(settings),
            orders: BTreeMap::new(),
            baselines: BTreeMap::new(),
            mixed_since: BTreeMap::new(),
            sessions: BTreeMap::new(),
            budgets: BTreeMap::new(),
            exposure: settings.exposure,
            exposure_allowance: settings.exposure_allowance,
            budget_limits: settings.budget,
        }
    }

    /// The share of the retry budget towards a service.
    pub(crate) fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let limits = self.budget_limits;
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits))
    }

    /// Forgets what was believed of replicas before they started again; returns their names.
    pub(crate) fn forget_earlier_runs(&mut self) -> Vec<InstanceId> {
        let restarted = self.replicas.take_restarted();
        for id in &restarted {
            self.prefixes.remove_replica(id);
            self.health.remove(id);
        }
        restarted
    }

    /// Forgets replicas that are no longer listed and carry no request.
    pub(crate) fn forget_gone_replicas(&mut self) {
        let replicas = &self.replicas;
        self.health.retain(|id, _| replicas.get(id).is_some());
        self.loads.retain(|id, load| load.running > 0 || replicas.get(id).is_some());
    }
}
