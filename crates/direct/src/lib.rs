//! Routing decisions of an entry that calls upstreams directly, without a sidecar.
//!
//! An entry is a process that receives callers' requests and forwards each to a replica of a
//! service. Several entries run side by side as peers and exchange reports. The operators set the
//! configuration, and the platform lists the replicas.
//!
//! Every decision depends only on its state, input and the time passed in; nothing here opens
//! sockets or reads clocks.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts, tokens and milliseconds stay far below 2^52, and shares are not negative"
)]

mod admission;
mod backoff;
mod caller_buffers;
mod canary;
mod cascade;
mod configuration;
mod confirmation;
mod controller;
mod crashes;
mod departures;
mod evidence;
mod fleet_size;
mod freshness;
mod hash;
mod health;
mod limits;
mod memory;
mod placement;
mod prefix_cache;
mod replicas;
mod request;
mod restored_rollout;
mod retry_after;
mod retry_budget;
mod rollout;
mod rollout_list;
mod settings;
mod settled_versions;
mod shared_evidence;
mod shutdown;
mod signals;
mod spreading;
mod stream_pace;
mod table;
mod told_configurations;
mod unsent;
mod verdict;
mod versions;
mod zones;

pub use admission::{
    Capacity, CapacityGuard, CapacityView, Decision, Holds, LoadWindow, NewRequest, Offer, RANKS,
    RankLoads, RejectReason, Rejection, ServedParts, ServiceAdmission, Ticket, WaitQueue,
    WaitingRequest, entry_slots, rank_index, retry_time, served_parts, slots_held,
};
pub use backoff::Backoff;
pub use caller_buffers::{CallerBuffers, SlowestCaller};
pub use canary::{ExtraCanaryRequests, canary_replica_count};
pub use cascade::{
    Calibration, CascadeStep, ConfidenceHistogram, ModelChoice, ModelPlan, ModelQuery,
    ModelSelector, PlanReason, min_confidence,
};
pub use configuration::{
    Configuration, Engine, Limits, Organisation, OrganisationKey, RequestKind, Route, Upstream,
};
pub use confirmation::{Confirmation, Confirmed, EpochConfirmation, EpochConfirmed, ReadSchedule};
pub use controller::{RolloutController, RolloutReport};
pub use crashes::{
    AttemptNumber, BLAME_TIME, ContentHash, Coverage, CrashEvidence, CrashQuarantine,
    FIRST_REQUEST_QUARANTINE_TIME, GIVEN_UP_TTL, GivenUpAttempts, LostRun, MAX_TRACKED_PARTS,
    PROOF_EVENTS, PROOF_TIME, PartHash, QUARANTINE_TIME, QuarantineChange, QuarantineSource,
    RequestHash, RunHash, ShortResponse, Suspect, SuspectAttempt, SuspectRequest, ToldCrash,
    ToldRun, UnexplainedCrashes,
};
pub use evidence::{Evidence, RouteCounts, Sample, TimeCounts, VersionCounts, latency_class};
pub use fleet_size::FleetSize;
pub use freshness::Freshness;
pub use hash::stable_hash;
pub use health::Health;
pub use limits::{
    ColdChange, ColdReplicas, ColdSource, ColdStart, ColdTime, FleetShare, RateLimit,
    ReplicaRecord, StatedCold, is_rate_limit, urgency_reserve,
};
pub use memory::{MessageBudget, MessageId, SMALL_MESSAGE};
pub use placement::{
    Candidate, CandidateLoad, CountedRequests, Demand, EventsSample, FirstEventSample, FleetView,
    LearnedWork, MAX_REPORTED_COUNT, MAX_REPORTED_SPEED, MAX_TOLD_HELD, PeerHeldTokens,
    PromptDemand, ReplicaLoads, ReplicaSpeed, ReportedLoad, WorkRates, expected_first_event,
    expected_wait, is_full, placement_cost, select_candidate, told_held,
};
pub use prefix_cache::PrefixCacheIndex;
pub use replicas::{Replica, ReplicaChange, ReplicaSet, ReplicaState};
pub use request::{Prompt, PromptPart};
pub use restored_rollout::{RolloutChange, RolloutRecords, restored_state};
pub use retry_after::{retry_after, retry_after_pause, retry_elsewhere};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use rollout::{CanaryProgress, Phase, Rollout, RolloutState, Schedule, TrafficSplit};
pub use rollout_list::RolloutList;
pub use settings::{ColdLimits, DirectSettings, Shedding};
pub use settled_versions::{SeenVersions, VersionContext};
pub use shared_evidence::SharedEvidence;
pub use shutdown::{admits_during_shutdown, shutdown_deadline};
pub use signals::{MAX_PAUSE, NamedLimit, ReplicaSignals, Unavailability};
pub use spreading::watches_replicas;
pub use stream_pace::{StreamPace, is_pace_class, pace_class};
pub use table::RoutingTable;
pub use told_configurations::{ToldConfiguration, ToldConfigurations};
pub use unsent::UnsentBudget;
pub use verdict::{Slowdown, Verdict, compare_versions, is_suspect, pace_slowdown, slowdown};
pub use versions::VersionFilter;
pub use zones::{
    AllowedRegions, EvacuationSet, ServingGate, ToldEvacuations, ZoneChange, ZoneRegions,
    evacuation_polls,
};
