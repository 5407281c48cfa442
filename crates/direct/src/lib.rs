//! Decisions of an entry that calls upstreams without a sidecar.
//!
//! Every decision is a function of state, input and time, without sockets or clocks.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts, tokens and milliseconds stay far below 2^52, and shares are not negative"
)]

mod backoff;
mod budget;
mod configuration;
mod confirmation;
mod controller;
mod evidence;
mod freshness;
mod hash;
mod health;
mod models;
mod placing;
mod prefix;
mod refusal;
mod replicas;
mod request;
mod rollout;
mod settings;
mod shared_evidence;
mod stop;
mod table;
mod trial;
mod verdict;

pub use backoff::Backoff;
pub use budget::{BudgetLimits, RetryBudget};
pub use configuration::{
    Configuration, Engine, Limits, Organisation, OrganisationKey, RequestKind, Route, Upstream,
};
pub use confirmation::{Confirmation, Confirmed, ReadSchedule};
pub use controller::{OrderReport, RolloutController};
pub use evidence::{Evidence, RouteCounts, Sample, TimeCounts, VersionCounts, time_kind};
pub use freshness::Freshness;
pub use hash::stable_hash;
pub use health::Health;
pub use models::{ModelChoice, Step};
pub use placing::{Candidate, Demand, PromptDemand, cost, expected_wait, place};
pub use prefix::PrefixBelief;
pub use refusal::retry_after;
pub use replicas::{Replica, ReplicaSet, ReplicaState};
pub use request::{Prompt, PromptPart};
pub use rollout::{Order, OrderState, Phase, RolloutView, Schedule, Trial};
pub use settings::DirectSettings;
pub use shared_evidence::SharedEvidence;
pub use stop::{stop_admits, stop_end};
pub use table::RoutingTable;
pub use trial::{ExtraTrials, trial_width};
pub use verdict::{Slowdown, Verdict, is_suspect, judge, slowdown};
