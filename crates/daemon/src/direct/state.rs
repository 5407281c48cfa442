//! The mutable state of a direct entry: data from the store and from peers, and its own load on
//! each replica.

use super::{
    admission::{Gate, HeardLoads},
    crash_checks::PendingChecks,
    event_ids::EventIds,
    message_memory::CountedResponses,
    outbox::BufferedCallers,
    peers::PeerTable,
    rollouts::RolloutProgress,
    zones::{Evacuations, Zones},
};
use crate::clock::since_boot;
use ibissail_core::{Count, Epoch, InstanceId, Millis, ServiceId, Tokens, VersionId};
use ibissail_direct::{
    CallerBuffers, ColdReplicas, CrashQuarantine, DirectSettings, Freshness, GivenUpAttempts,
    Health, LearnedWork, MessageBudget, ModelSelector, PartHash, PeerHeldTokens, PrefixCacheIndex,
    ReplicaLoads, ReplicaSet, ReplicaSignals, RetryBudget, RetryBudgetLimits, RolloutList,
    RoutingTable, RunHash, SeenVersions, Shedding, ToldConfigurations, UnsentBudget,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// Load of this entry on one replica.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LocalLoad {
    /// Requests in progress.
    pub(crate) running: u32,
    /// Prompt tokens of requests that have no first event yet, in tokens of the largest model.
    pub(crate) pending_prefill: Tokens,
    /// Tokens of KV cache that the requests in progress are expected to hold.
    pub(crate) held: Tokens,
    /// When the replica last sent any byte.
    pub(crate) last_byte_at: Millis,
    /// The latest request, by the time when it was sent, that it has begun to answer, and its run.
    pub(super) answered: Option<(RunHash, Millis)>,
}

/// The version that a session is pinned to, until the session has been idle for too long.
#[derive(Debug, Clone)]
pub(crate) struct SessionVersion {
    pub(crate) version: VersionId,
    pub(crate) last_used: Millis,
}

/// The mutable state of a direct entry.
#[derive(Debug)]
pub(crate) struct State {
    /// The configuration in use; `None` until the first has been received.
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) freshness: Freshness,
    /// Newest epoch of the store that this entry knows; `None` if the store reports none.
    pub(super) epoch: Option<Epoch>,
    /// When this entry last learned of a restore of the store.
    pub(super) restored_at: Option<Millis>,
    pub(crate) replicas: ReplicaSet,
    /// The zones that requests may be sent to.
    pub(super) zones: Zones,
    /// What replicas have said about themselves in responses.
    pub(super) signals: ReplicaSignals,
    pub(super) cold: ColdReplicas,
    /// What this entry has lately told of its demand for each service, by the service's short hash.
    pub(super) told_demands: BTreeMap<u32, VecDeque<(Millis, u32)>>,
    /// Requests and parts of prompts that crash replicas.
    pub(super) quarantine: CrashQuarantine,
    /// Ids of parts that were suspects at this entry, for the log.
    pub(super) part_names: BTreeMap<PartHash, String>,
    /// Replicas that may have crashed and are being checked.
    pub(super) pending_checks: PendingChecks,
    /// Attempts that have lately been given up.
    pub(super) given_up: GivenUpAttempts,
    /// Time as of which the list of replicas was last known to be current.
    pub(crate) replicas_confirmed_at: Option<Millis>,
    /// What peers have told of the configuration.
    pub(super) told_configurations: ToldConfigurations,
    /// When the last poll of the configuration that failed was sent.
    pub(super) store_failed_at: Option<Millis>,
    /// Whether a peer has read a newer configuration than this entry has.
    pub(super) is_configuration_outdated: bool,
    pub(crate) health: BTreeMap<InstanceId, Health>,
    pub(super) event_ids: EventIds,
    pub(crate) loads: BTreeMap<InstanceId, LocalLoad>,
    /// Loads that replicas have reported.
    pub(super) reported_loads: ReplicaLoads,
    /// Rates at which replicas perform work, learned from this entry's requests.
    pub(super) work: LearnedWork,
    /// Tokens that the requests of peers hold at replicas.
    pub(super) peer_held: PeerHeldTokens,
    pub(crate) prefixes: PrefixCacheIndex,
    pub(crate) peers: PeerTable,
    pub(crate) rollouts: BTreeMap<ServiceId, RolloutProgress>,
    /// The version that each service last ran alone, or that its last rollout moved it to.
    pub(crate) baselines: BTreeMap<ServiceId, VersionId>,
    /// Versions that earlier rollouts of a service have rejected, and whose replicas are still listed.
    pub(crate) rejected: BTreeMap<ServiceId, BTreeSet<VersionId>>,
    /// The rollouts that the store lists, and as of when that is known.
    pub(super) rollout_list: RolloutList,
    /// Since when the rollouts decide where requests go; `None` if they do not.
    pub(super) rollouts_matter_since: Option<Millis>,
    /// When the versions of each service were first seen.
    pub(super) seen_versions: BTreeMap<ServiceId, SeenVersions>,
    pub(crate) sessions: BTreeMap<String, SessionVersion>,
    /// When the caller refused last for each service, because its replicas are limited, may return.
    pub(super) returns: BTreeMap<ServiceId, Millis>,
    /// Admission of the requests of each service, where it is controlled.
    pub(super) gates: BTreeMap<ServiceId, Gate>,
    /// What peers are offered.
    pub(super) heard_loads: HeardLoads,
    /// Share of requests that a bad version may receive.
    pub(super) exposure: f64,
    /// Requests that a bad version may receive beyond that share.
    pub(super) exposure_allowance: Count,
    /// Selects the models for requests from what was observed of them.
    pub(super) models: ModelSelector,
    /// What is buffered for callers that read slowly, and their connections.
    pub(super) caller_buffers: CallerBuffers,
    pub(super) buffered_callers: BufferedCallers,
    /// Memory of requests that are still being sent after their responses.
    pub(super) unsent: UnsentBudget,
    /// Memory of messages, and the connections of the responses that count.
    pub(super) messages: MessageBudget,
    pub(super) counted_responses: CountedResponses,
    /// Whether callers are expected to compete for too little capacity.
    expects_overload: bool,
    /// Whether the option forces the control of load.
    pub(super) shedding: Shedding,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    budget_limits: RetryBudgetLimits,
}

impl State {
    pub(crate) fn new(settings: &DirectSettings) -> Self {
        let peers = PeerTable::new(settings);
        let evacuations = settings
            .evacuation_delay
            .map(|delay| Evacuations::new(delay, peers.has_seeds(), since_boot()));
        Self {
            table: None,
            freshness: Freshness::new(settings.key_age_limit),
            epoch: None,
            restored_at: None,
            replicas: ReplicaSet::default(),
            zones: Zones { evacuations, regions: settings.zone_regions.clone() },
            signals: ReplicaSignals::default(),
            cold: ColdReplicas::new(settings.cold_limits),
            told_demands: BTreeMap::new(),
            quarantine: CrashQuarantine::default(),
            part_names: BTreeMap::new(),
            pending_checks: PendingChecks::new(),
            given_up: GivenUpAttempts::default(),
            replicas_confirmed_at: None,
            told_configurations: ToldConfigurations::new(peers.has_seeds(), since_boot()),
            store_failed_at: None,
            is_configuration_outdated: false,
            health: BTreeMap::new(),
            event_ids: EventIds::default(),
            loads: BTreeMap::new(),
            reported_loads: ReplicaLoads::default(),
            work: LearnedWork::default(),
            peer_held: PeerHeldTokens::default(),
            prefixes: PrefixCacheIndex::default(),
            peers,
            rollouts: BTreeMap::new(),
            baselines: BTreeMap::new(),
            rejected: BTreeMap::new(),
            rollout_list: RolloutList::default(),
            rollouts_matter_since: None,
            seen_versions: BTreeMap::new(),
            sessions: BTreeMap::new(),
            returns: BTreeMap::new(),
            gates: BTreeMap::new(),
            heard_loads: BTreeMap::new(),
            models: ModelSelector::default(),
            caller_buffers: CallerBuffers::new(settings.memory),
            buffered_callers: BufferedCallers::new(),
            unsent: UnsentBudget::new(settings.memory),
            messages: MessageBudget::new(settings.memory),
            counted_responses: CountedResponses::new(),
            expects_overload: settings.expects_overload,
            shedding: settings.shedding,
            budgets: BTreeMap::new(),
            exposure: settings.exposure,
            exposure_allowance: settings.exposure_allowance,
            budget_limits: settings.budget,
        }
    }

    /// Whether models are selected, and responses to slow callers buffered, by the load.
    pub(super) fn is_adaptive(&self, service: &ServiceId) -> bool {
        self.expects_overload || self.reported_loads.is_enabled(service)
    }

    /// This entry's share of the retry budget of a service.
    pub(crate) fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let limits = self.budget_limits;
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits))
    }

    /// Removes the cache and health records of replicas that have restarted; returns their names.
    pub(crate) fn reset_restarted_replicas(&mut self) -> Vec<InstanceId> {
        let restarted = self.replicas.take_restarted();
        for id in &restarted {
            self.prefixes.remove_replica(id);
            self.health.remove(id);
        }
        restarted
    }

    /// Forgets the signals of replicas and runs that are not listed.
    pub(super) fn expire_signals(&mut self, now: Millis) {
        let Self { signals, replicas, .. } = self;
        signals.expire(|id| replicas.get(id), now);
    }

    /// Removes the health records of unlisted replicas, and the loads of those without requests in
    /// progress.
    pub(crate) fn remove_unlisted_replicas(&mut self) {
        let replicas = &self.replicas;
        self.health.retain(|id, _| replicas.get(id).is_some());
        self.reported_loads.expire(|id| replicas.get(id).is_some());
        self.loads.retain(|id, load| load.running > 0 || replicas.get(id).is_some());
        let listed: BTreeSet<(&ServiceId, &VersionId)> =
            replicas.iter().map(|replica| (&replica.service, &replica.version)).collect();
        self.event_ids.retain(|service| listed.iter().any(|(listed, _)| *listed == service));
        for (service, versions) in &mut self.rejected {
            versions.retain(|version| listed.contains(&(service, version)));
        }
    }
}
