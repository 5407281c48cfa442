//! Selects the replica for a request.
//!
//! The load is prompts of very different lengths with shared prefixes, sent by several entries that
//! each know only their own requests and their peers' reports.

mod by_load;
mod load;
mod memory;
mod speed;
mod work;

pub use by_load::{expected_first_event, is_full};
pub use load::{
    CandidateLoad, CountedRequests, MAX_REPORTED_COUNT, MAX_REPORTED_SPEED, ReplicaLoads,
    ReportedLoad,
};
pub use memory::{FleetView, MAX_TOLD_HELD, PeerHeldTokens, told_held};
pub use speed::ReplicaSpeed;
pub use work::{EventsSample, FirstEventSample, LearnedWork, WorkRates};

use crate::{Prompt, stable_hash};
use ibissail_core::{ByteSize, InstanceId, Millis, ModelId, Tokens};

/// Prefill rate of the largest model in tokens per millisecond; the operators' engines reach 18 to
/// 37.
const PREFILL_TOKENS_PER_MS: f64 = 25.0;
/// Price of prefilling a token, as a delay in milliseconds: operators pay as much for prefilling
/// 5,000 tokens again as for sending 16 kB between availability zones.
const PREFILL_PRICE_MS_PER_TOKEN: f64 = 0.03;
/// Cost of each request that a candidate is running, in milliseconds; each request without a free
/// slot, the new one included, adds 20 times as much.
const RUNNING_COST_MS: f64 = 6.0;
/// Cost of a call to a service that runs no models, in milliseconds; multiplied by the square of
/// the slots' utilisation plus twice the number of requests without a free slot, the new one
/// included.
const CALL_COST_MS: f64 = 60.0;
/// Cost of a round trip to another availability zone, in milliseconds.
const ZONE_COST_MS: f64 = 3.0;
/// Price of a byte sent to another availability zone, as a delay in milliseconds: operators pay as
/// much for 16 kB as for prefilling about 5,000 tokens again.
const ZONE_COST_MS_PER_BYTE: f64 = 0.011;
/// Response bytes per generated token.
const RESPONSE_BYTES_PER_TOKEN: u64 = 10;
/// Cost of a failure in milliseconds, multiplied by the share of requests that fail.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Share of a prompt's shared parts that its preferred replica probably has cached.
const PREFERRED_CACHED_SHARE: f64 = 0.8;

/// A replica that may receive the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the replica.
    pub id: InstanceId,
    /// Whether it is in the entry's availability zone.
    pub is_same_zone: bool,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Requests of all entries that it is running, as far as known.
    pub running: u32,
    /// Prompt tokens that it has yet to prefill, as far as known, in tokens of the largest model.
    pub pending_prefill: Tokens,
    /// Tokens of this prompt's prefix that it probably has cached.
    pub cached_tokens: Tokens,
    /// Share of its recent requests that failed.
    pub failure_share: f64,
    /// Load and speed; `None` for a service whose replicas report no speed.
    pub load: Option<CandidateLoad>,
    /// Rates at which it performs the work of the request.
    pub rates: WorkRates,
    /// Tokens that the requests of all entries hold there, as far as known.
    pub held: Tokens,
    /// Capacity of its KV cache; 0 if unknown.
    pub kv_capacity: Tokens,
}

impl Candidate {
    /// A replica in the entry's availability zone of which nothing but the slots is known.
    #[must_use]
    pub fn idle(id: InstanceId, slots: u32) -> Self {
        Self {
            id,
            is_same_zone: true,
            slots,
            running: 0,
            pending_prefill: Tokens(0),
            cached_tokens: Tokens(0),
            failure_share: 0.0,
            load: None,
            rates: WorkRates::default(),
            held: Tokens(0),
            kv_capacity: Tokens(0),
        }
    }
}

/// A prompt for a model.
#[derive(Debug, Clone, Copy)]
pub struct PromptDemand<'r> {
    /// Model that is asked.
    pub model: &'r ModelId,
    /// Parts and length of the prompt.
    pub prompt: &'r Prompt,
    /// Size of the request body that carries the prompt.
    pub body: ByteSize,
    /// Time per token of the model, relative to the largest model.
    pub token_time_ratio: f64,
    /// Expected number of tokens to generate.
    pub expected_output: Tokens,
}

/// Work that a request requires of a replica.
#[derive(Debug, Clone, Copy)]
pub enum Demand<'r> {
    /// A model's response to a prompt.
    Prompt(PromptDemand<'r>),
    /// A call to a service that runs no models.
    Call,
}

impl Demand<'_> {
    /// Cost of serving the request from another availability zone, in milliseconds.
    fn zone_cost(self) -> f64 {
        match self {
            Self::Call => ZONE_COST_MS,
            Self::Prompt(request) => {
                let bytes = request.body.0 + request.prompt.output.0 * RESPONSE_BYTES_PER_TOKEN;
                ZONE_COST_MS + bytes as f64 * ZONE_COST_MS_PER_BYTE
            }
        }
    }
}

/// Cost of sending a request to a candidate, in milliseconds: the expected delay of this and other
/// requests, and the prices of prefill and of traffic between zones and the risk of a failure, each
/// expressed as a delay.
///
/// `is_preferred` marks the replica that all entries prefer for the prompt's shared parts.
#[must_use]
pub fn placement_cost(candidate: &Candidate, demand: Demand<'_>, is_preferred: bool) -> f64 {
    let zone = if candidate.is_same_zone { 0.0 } else { demand.zone_cost() };
    let failures = candidate.failure_share * FAILURE_COST_MS;
    let running = f64::from(candidate.running);
    let slots = f64::from(candidate.slots.max(1));
    let excess = if running >= slots { running - slots + 1.0 } else { 0.0 };
    match demand {
        Demand::Call => {
            let utilisation = running / slots;
            zone + failures + CALL_COST_MS * (utilisation * utilisation + 2.0 * excess)
        }
        Demand::Prompt(request) => {
            let shared = request.prompt.shared_tokens().0 as f64;
            let assumed = if is_preferred { shared * PREFERRED_CACHED_SHARE } else { 0.0 };
            let cached = (candidate.cached_tokens.0 as f64).max(assumed);
            let prefill = (request.prompt.input.0 as f64 - cached).max(0.0);
            let queued = prefill * request.token_time_ratio + candidate.pending_prefill.0 as f64;
            let prefill_ms = queued / PREFILL_TOKENS_PER_MS + prefill * PREFILL_PRICE_MS_PER_TOKEN;
            zone + failures
                + prefill_ms
                + running * RUNNING_COST_MS
                + excess * 20.0 * RUNNING_COST_MS
        }
    }
}

/// Expected time until a candidate has prefilled a prompt, after those already waiting there.
#[must_use]
pub fn expected_wait(candidate: &Candidate, request: &PromptDemand<'_>) -> Millis {
    let own = request.prompt.input.0.saturating_sub(candidate.cached_tokens.0) as f64
        * request.token_time_ratio;
    Millis(((candidate.pending_prefill.0 as f64 + own) / PREFILL_TOKENS_PER_MS) as u64)
}

/// Returns the index of the candidate with the lowest cost, or `None` if there are no candidates.
/// For a service whose replicas report their speed, the cost is the expected time.
///
/// All entries prefer the same replica for the same shared parts. `random` selects among candidates
/// of about the same cost.
///
/// # Examples
///
/// ```
/// use ibissail_direct::{Candidate, Demand, select_candidate};
/// let candidate =
///     |id: &str, running| Candidate { running, ..Candidate::idle(id.parse().unwrap(), 4) };
/// let candidates = [candidate("a", 3), candidate("b", 0)];
/// assert_eq!(select_candidate(&candidates, Demand::Call, 0), Some(1));
/// ```
#[must_use]
pub fn select_candidate(
    candidates: &[Candidate],
    demand: Demand<'_>,
    random: u64,
) -> Option<usize> {
    let preferred = preferred_candidate(candidates, demand);
    if candidates.iter().any(|candidate| candidate.load.is_some()) {
        return by_load::select_by_load(candidates, demand, preferred, random);
    }
    let costs: Vec<f64> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| placement_cost(candidate, demand, Some(index) == preferred))
        .collect();
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    // Selects at random among candidates within 0.5 ms of the lowest cost, so that entries do not
    // all use the first.
    let equal: Vec<usize> = (0..costs.len()).filter(|index| costs[*index] - least < 0.5).collect();
    let chosen = usize::try_from(random % equal.len() as u64).unwrap_or_default();
    equal.get(chosen).copied()
}

/// Candidate with the highest hash for the prompt's shared parts (rendezvous hashing).
fn preferred_candidate(candidates: &[Candidate], demand: Demand<'_>) -> Option<usize> {
    let Demand::Prompt(request) = demand else { return None };
    let last_shared = request.prompt.shared_parts().last()?;
    let weight = |candidate: &Candidate| {
        stable_hash(&[candidate.id.as_str(), request.model.as_str(), &last_shared.id])
    };
    (0..candidates.len()).max_by_key(|index| weight(&candidates[*index]))
}
