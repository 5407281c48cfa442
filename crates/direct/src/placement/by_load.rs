//! Placement by expected time, for services whose replicas report their load and speed.
//!
//! The load is prompts of 600 to 55,000 tokens on 3 to 300 replicas, some of them slow for a time or
//! always, and several entries that see the same free replica at the same time.

use super::{
    Candidate, Demand, FAILURE_COST_MS, PREFERRED_CACHED_SHARE, PREFILL_PRICE_MS_PER_TOKEN,
    PromptDemand, load::CandidateLoad,
};
use ibissail_core::Millis;

/// Share of its KV cache memory above which a replica counts as full.
const FULL_MEMORY_SHARE: f64 = 0.85;
/// Weight of the time by which the events of streams become slower, the request's own and those
/// beside it, in relation to the time to the first event. A late event costs callers less.
const EVENT_DELAY_WEIGHT: f64 = 0.2;
/// Candidates whose cost is at most this much above the lowest may be selected, in milliseconds and
/// as a share of the lowest; several entries would select the same one otherwise.
const MARGIN_MS: f64 = 8.0;
const MARGIN_SHARE: f64 = 0.15;
/// Largest part of a call's work that the margin is, so that calls leave slow replicas.
const CALL_MARGIN_SHARE: f64 = 0.4;

/// What a replica is doing, from its reports if it sends any, and as counted otherwise.
fn load(candidate: &Candidate) -> CandidateLoad {
    candidate.load.unwrap_or(CandidateLoad {
        requests: f64::from(candidate.running),
        slots: candidate.slots.max(1),
        speed: 1.0,
    })
}

/// Tokens held beyond the share of the memory from which a replica is full; 0 if it has room, or if
/// its memory is unknown.
fn excess_tokens(candidate: &Candidate, added: f64) -> f64 {
    let capacity = candidate.kv_capacity.0 as f64;
    if capacity <= 0.0 {
        return 0.0;
    }
    (candidate.held.0 as f64 + added - FULL_MEMORY_SHARE * capacity).max(0.0)
}

/// Whether a candidate runs as many requests as it has slots, or holds more than 0.85 of its memory.
///
/// # Examples
///
/// ```
/// use ibissail_core::Tokens;
/// use ibissail_direct::{Candidate, is_full};
/// let mut candidate = Candidate::idle("a".parse().unwrap(), 64);
/// candidate.kv_capacity = Tokens(500_000);
/// assert!(!is_full(&candidate));
/// candidate.held = Tokens(430_000);
/// assert!(is_full(&candidate));
/// ```
#[must_use]
pub fn is_full(candidate: &Candidate) -> bool {
    let load = load(candidate);
    load.requests >= f64::from(load.slots) || excess_tokens(candidate, 0.0) > 0.0
}

/// Prompt tokens that a candidate has to prefill.
fn prefill_tokens(candidate: &Candidate, request: &PromptDemand<'_>, is_preferred: bool) -> f64 {
    let shared = request.prompt.shared_tokens().0 as f64;
    let assumed = if is_preferred { shared * PREFERRED_CACHED_SHARE } else { 0.0 };
    let cached = (candidate.cached_tokens.0 as f64).max(assumed);
    (request.prompt.input.0 as f64 - cached).max(0.0)
}

/// Expected wait before a replica begins a request, in milliseconds of its machine's normal speed:
/// requests that have to end first, for want of a slot or of memory. `work_ms` is the time that a
/// request takes, and `tokens` those that this one holds.
fn queue_ms(candidate: &Candidate, load: CandidateLoad, work_ms: f64, tokens: f64) -> f64 {
    let slots = f64::from(load.slots);
    let for_slot = if load.requests >= slots { load.requests - slots + 1.0 } else { 0.0 };
    let excess = excess_tokens(candidate, tokens);
    let running = load.requests.clamp(1.0, slots);
    let held_each = (candidate.held.0 as f64 / running).max(1.0);
    let for_memory = (excess / held_each).min(running);
    for_slot.max(for_memory) * work_ms / running
}

/// Expected time to the first event, in milliseconds.
fn first_event_ms(candidate: &Candidate, demand: Demand<'_>, is_preferred: bool) -> f64 {
    let (load, rates) = (load(candidate), candidate.rates);
    match demand {
        Demand::Call => {
            let queue = queue_ms(candidate, load, rates.call_ms, 0.0);
            (queue + rates.call_ms) * load.speed
        }
        Demand::Prompt(request) => {
            let prefill = rates.prefill_ms(prefill_tokens(candidate, &request, is_preferred));
            let pending = candidate.pending_prefill.0 as f64 / rates.pending_rate;
            let running = load.requests.min(f64::from(load.slots));
            let output = request.expected_output.0 as f64;
            let work = prefill + output * rates.event_ms(running);
            let tokens = request.prompt.input.0 as f64 + output;
            let queue = queue_ms(candidate, load, work, tokens);
            let engine = queue + pending + prefill + rates.event_ms(running);
            rates.overhead_ms + engine * load.speed
        }
    }
}

/// Expected time from sending a request to a candidate until its first event, or until the response
/// to a call. Without reported load it is computed from the requests counted.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::{Candidate, Demand, expected_first_event};
/// let mut candidate = Candidate::idle("a".parse().unwrap(), 4);
/// assert_eq!(expected_first_event(&candidate, Demand::Call), Millis(20));
/// candidate.running = 7;
/// assert_eq!(expected_first_event(&candidate, Demand::Call), Millis(40), "four end first");
/// ```
#[must_use]
pub fn expected_first_event(candidate: &Candidate, demand: Demand<'_>) -> Millis {
    Millis(first_event_ms(candidate, demand, false) as u64)
}

/// Cost of sending a request to a candidate, in milliseconds. `usual_failures` is the median share
/// of failures: a kind of request that fails everywhere says nothing about a replica.
fn cost(candidate: &Candidate, demand: Demand<'_>, is_preferred: bool, usual_failures: f64) -> f64 {
    let load = load(candidate);
    let zone = if candidate.is_same_zone { 0.0 } else { demand.zone_cost() };
    // An average over a few requests varies by about its mean.
    let failures = (candidate.failure_share - 2.0 * usual_failures).max(0.0) * FAILURE_COST_MS;
    let beside = match demand {
        Demand::Call => {
            let utilisation = load.requests / f64::from(load.slots);
            candidate.rates.call_ms * load.speed * utilisation * utilisation
        }
        Demand::Prompt(request) => {
            let output = request.expected_output.0 as f64;
            let prefill = prefill_tokens(candidate, &request, is_preferred);
            // The request makes the events of the others slower by as much as these do its own. Not
            // multiplied by the speed: replicas of all speeds run about as many requests, so that
            // each gets requests in proportion to its speed.
            let slowdown = 2.0 * candidate.rates.added_event_ms() * output * load.requests;
            EVENT_DELAY_WEIGHT * slowdown + prefill * PREFILL_PRICE_MS_PER_TOKEN
        }
    };
    zone + failures + first_event_ms(candidate, demand, is_preferred) + beside
}

/// Returns the index of a candidate, selected at random among those whose cost is about the lowest,
/// with the more weight the lower the cost is.
pub(super) fn select_by_load(
    candidates: &[Candidate],
    demand: Demand<'_>,
    preferred: Option<usize>,
    random: u64,
) -> Option<usize> {
    let usual_failures = median_failure_share(candidates);
    let cost = |(index, candidate): (usize, &Candidate)| {
        cost(candidate, demand, Some(index) == preferred, usual_failures)
    };
    let costs: Vec<f64> = candidates.iter().enumerate().map(cost).collect();
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let margin = margin(candidates, demand, least);
    let weight = |cost: f64| (1.0 - (cost - least) / margin).max(0.0);
    let sum: f64 = costs.iter().map(|cost| weight(*cost)).sum();
    // The upper bits of the number, as a share of the range.
    let mut left = (random >> 11) as f64 / (1_u64 << 53) as f64 * sum;
    let mut chosen = None;
    for (index, cost) in costs.iter().enumerate() {
        let weight = weight(*cost);
        if weight > 0.0 {
            chosen = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    chosen
}

fn margin(candidates: &[Candidate], demand: Demand<'_>, least: f64) -> f64 {
    match demand {
        Demand::Prompt(_) => MARGIN_MS + MARGIN_SHARE * least,
        Demand::Call => {
            let call_ms = candidates.first().map_or(1.0, |candidate| candidate.rates.call_ms);
            CALL_MARGIN_SHARE * call_ms + MARGIN_SHARE * (least - call_ms).max(0.0)
        }
    }
}

fn median_failure_share(candidates: &[Candidate]) -> f64 {
    let mut shares: Vec<f64> = candidates.iter().map(|candidate| candidate.failure_share).collect();
    let middle = shares.len() / 2;
    if shares.is_empty() {
        return 0.0;
    }
    *shares.select_nth_unstable_by(middle, f64::total_cmp).1
}
