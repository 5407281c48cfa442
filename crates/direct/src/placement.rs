//! Chooses the replica for a request.
//!
//! Answers the load of prompts of very unequal length with shared beginnings, sent by several
//! entries that each see only their own requests and their peers' reports.

use crate::{Prompt, stable_hash};
use ibissail_core::{ByteSize, InstanceId, Millis, ModelId, Tokens};

/// Tokens that an engine's largest model reads in a millisecond: the users' engines read 18 to 37.
const READ_TOKENS_PER_MS: f64 = 25.0;
/// Price of reading a token, in milliseconds: the users pay for 5,000 tokens that are read again
/// what they pay for 16 kB between availability zones.
const READ_PRICE_MS_PER_TOKEN: f64 = 0.03;
/// Delay that each running request adds, in milliseconds.
const RUNNING_COST_MS: f64 = 6.0;
/// Delay that a request adds at a plain service whose places are all taken, in milliseconds.
const PLAIN_COST_MS: f64 = 60.0;
/// Cost of the way to another availability zone and back, in milliseconds.
const ZONE_COST_MS: f64 = 3.0;
/// Price of a byte to another availability zone, in milliseconds: the users pay for 16 kB what
/// they pay for reading about 5,000 tokens again.
const ZONE_COST_MS_PER_BYTE: f64 = 0.011;
/// Bytes of a generated token in an answer.
const ANSWER_BYTES_PER_TOKEN: u64 = 10;
/// Cost of a failure, in milliseconds, times the share of requests that fail.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Share of the shared parts that the home replica of a prompt probably keeps.
const HOME_CACHED: f64 = 0.8;

/// A replica that may take the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub id: InstanceId,
    /// Whether it is in the entry's availability zone.
    pub is_same_zone: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of all entries that it has, as far as known.
    pub running: u32,
    /// Prompt tokens that it has yet to read, as far as known, in tokens of the largest model.
    pub pending_prefill: Tokens,
    /// Tokens of this prompt's beginning that it probably keeps.
    pub cached_tokens: Tokens,
    /// Share of its recent requests that failed.
    pub failure_share: f64,
}

/// A prompt for a model.
#[derive(Debug, Clone, Copy)]
pub struct PromptDemand<'r> {
    /// The model.
    pub model: &'r ModelId,
    /// The prompt.
    pub prompt: &'r Prompt,
    /// Size of the body that carries the prompt.
    pub body: ByteSize,
    /// Time that the model takes for a token, as a share of the largest model's.
    pub token_time_ratio: f64,
}

/// What the request asks of a replica.
#[derive(Debug, Clone, Copy)]
pub enum Demand<'r> {
    /// An answer of a model to a prompt.
    Prompt(PromptDemand<'r>),
    /// A call of a plain service.
    Call,
}

impl Demand<'_> {
    /// Cost of serving the request from another availability zone, in milliseconds.
    fn zone_cost(self) -> f64 {
        match self {
            Self::Call => ZONE_COST_MS,
            Self::Prompt(asked) => {
                let bytes = asked.body.0 + asked.prompt.output.0 * ANSWER_BYTES_PER_TOKEN;
                ZONE_COST_MS + bytes as f64 * ZONE_COST_MS_PER_BYTE
            }
        }
    }
}

/// Expected delay at a candidate, with the delay it causes others, in milliseconds.
#[must_use]
pub fn placement_cost(candidate: &Candidate, demand: Demand<'_>, is_preferred: bool) -> f64 {
    let zone = if candidate.is_same_zone { 0.0 } else { demand.zone_cost() };
    let failing = candidate.failure_share * FAILURE_COST_MS;
    let running = f64::from(candidate.running);
    let slots = f64::from(candidate.slots.max(1));
    let full = if running >= slots { running - slots + 1.0 } else { 0.0 };
    match demand {
        Demand::Call => {
            let busy = running / slots;
            zone + failing + PLAIN_COST_MS * (busy * busy + 2.0 * full)
        }
        Demand::Prompt(asked) => {
            let shared = asked.prompt.shared_tokens().0 as f64;
            let assumed = if is_preferred { shared * HOME_CACHED } else { 0.0 };
            let cached = (candidate.cached_tokens.0 as f64).max(assumed);
            let unread = (asked.prompt.input.0 as f64 - cached).max(0.0);
            let waiting = unread * asked.token_time_ratio + candidate.pending_prefill.0 as f64;
            let read = waiting / READ_TOKENS_PER_MS + unread * READ_PRICE_MS_PER_TOKEN;
            zone + failing + read + running * RUNNING_COST_MS + full * 20.0 * RUNNING_COST_MS
        }
    }
}

/// Expected time until a candidate has read a prompt, behind those that it has yet to read.
#[must_use]
pub fn expected_wait(candidate: &Candidate, asked: &PromptDemand<'_>) -> Millis {
    let own = asked.prompt.input.0.saturating_sub(candidate.cached_tokens.0) as f64
        * asked.token_time_ratio;
    Millis(((candidate.pending_prefill.0 as f64 + own) / READ_TOKENS_PER_MS) as u64)
}

/// The cheapest candidate; all entries prefer the same home for the same shared parts.
///
/// # Examples
///
/// ```
/// use ibissail_core::Tokens;
/// use ibissail_direct::{Candidate, Demand, select_candidate};
/// let candidate = |id: &str, running| Candidate {
///     id: id.parse().unwrap(),
///     is_same_zone: true,
///     slots: 4,
///     running,
///     pending_prefill: Tokens(0),
///     cached_tokens: Tokens(0),
///     failure_share: 0.0,
/// };
/// let candidates = [candidate("a", 3), candidate("b", 0)];
/// assert_eq!(select_candidate(&candidates, Demand::Call, 0), Some(1));
/// ```
#[must_use]
pub fn select_candidate(candidates: &[Candidate], demand: Demand<'_>, draw: u64) -> Option<usize> {
    let home = home(candidates, demand);
    let costs: Vec<f64> = candidates
        .iter()
        .enumerate()
        .map(|(place, candidate)| placement_cost(candidate, demand, Some(place) == home))
        .collect();
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    // Equal candidates are drawn from, so that entries do not all take the first.
    let equal: Vec<usize> = (0..costs.len()).filter(|place| costs[*place] - least < 0.5).collect();
    let drawn = usize::try_from(draw % equal.len() as u64).unwrap_or_default();
    equal.get(drawn).copied()
}

/// The candidate with the highest hash for the prompt's shared parts.
fn home(candidates: &[Candidate], demand: Demand<'_>) -> Option<usize> {
    let Demand::Prompt(asked) = demand else { return None };
    let deepest = asked.prompt.shared_parts().last()?;
    let weight = |candidate: &Candidate| {
        stable_hash(&[candidate.id.as_str(), asked.model.as_str(), &deepest.id])
    };
    (0..candidates.len()).max_by_key(|place| weight(&candidates[*place]))
}
