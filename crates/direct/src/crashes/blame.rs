//! Which part of a prompt explains crashes of replicas best.

use crate::{PartHash, RequestHash, RunHash};
use ibissail_core::Millis;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Crashes and requests from which a part that was never proven sound is blamed.
const UNPROVEN_THRESHOLD: Threshold = Threshold { crashes: 3, requests: 3 };
/// The same with fewer requests, as when each is repeated at several replicas.
const REPEATED_THRESHOLD: Threshold = Threshold { crashes: 5, requests: 2 };
/// The same for a part that was proven sound, but not since these crashes.
const PROVEN_THRESHOLD: Threshold = Threshold { crashes: 5, requests: 3 };
/// The same for a part whose quarantine has ended.
const PROBATION_THRESHOLD: Threshold = Threshold { crashes: 1, requests: 1 };
/// Crashes, independent of each other, from which a request that was never proven sound is blamed.
const REQUEST_THRESHOLD: Threshold = Threshold { crashes: 3, requests: 1 };
/// The same for a request that was proven sound, but not since these crashes.
const PROVEN_REQUEST_THRESHOLD: Threshold = Threshold { crashes: 5, requests: 3 };
/// Crashes from which a part is blamed although others of the same requests explain about as many.
const RIVALRY_CRASHES: usize = 5;

/// Largest probability of a chance at which a part is blamed: that all its attempts met crashes that
/// it did not cause.
const MAX_CHANCE: f64 = 0.001;
/// The same for a part that is unknown, unlike the others, and for a request.
const MAX_UNKNOWN_CHANCE: f64 = 0.01;

#[derive(Debug, Clone, Copy)]
struct Threshold {
    crashes: usize,
    requests: usize,
}

/// What is known of a part besides its crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum History {
    /// It has been quarantined before.
    Probation,
    /// No answer on it is known, unlike on other parts of nearly all other requests.
    Unknown,
    /// No answer on it is known.
    Unproven,
    /// It was proven sound before these crashes.
    Proven,
}

/// The unexplained crashes that a part or a request may have caused.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Blame {
    pub(crate) crashes: BTreeSet<RunHash>,
    pub(crate) requests: BTreeSet<RequestHash>,
    /// Attempts of these requests that the crashes have met; of a blamed request, those that are
    /// independent of each other.
    pub(crate) attempts: usize,
    /// Times of the first and the last of the crashes.
    pub(crate) earliest: Millis,
    pub(crate) latest: Millis,
    /// Share of all answers between them that no crash has cut off.
    pub(crate) proven_share: f64,
    /// Probability of a chance that so many of the crashes between them are among these.
    pub(crate) coverage_chance: f64,
}

impl Blame {
    fn reaches(&self, threshold: Threshold) -> bool {
        self.crashes.len() >= threshold.crashes && self.requests.len() >= threshold.requests
    }

    /// Probability that crashes with other causes have met this many independent trials.
    fn chance(&self, trials: usize) -> f64 {
        (1.0 - self.proven_share).powi(i32::try_from(trials).unwrap_or(i32::MAX))
    }

    fn suffices(&self, history: History) -> bool {
        match history {
            History::Probation => self.reaches(PROBATION_THRESHOLD),
            History::Unknown => {
                self.reaches_unproven() && self.chance(self.attempts) <= MAX_UNKNOWN_CHANCE
            }
            History::Unproven => {
                self.reaches_unproven() && self.chance(self.requests.len()) <= MAX_CHANCE
            }
            History::Proven => {
                // A crowd of crashes leaves few answers, but does not put one part into each of them.
                let chance = self.chance(self.requests.len()) * self.coverage_chance;
                self.reaches(PROVEN_THRESHOLD) && chance <= MAX_CHANCE
            }
        }
    }

    fn reaches_unproven(&self) -> bool {
        self.reaches(UNPROVEN_THRESHOLD) || self.reaches(REPEATED_THRESHOLD)
    }

    /// Whether this suffices to blame a request.
    pub(crate) fn suffices_for_request(&self, history: History) -> bool {
        let reaches = |threshold: Threshold| {
            self.attempts >= threshold.crashes && self.requests.len() >= threshold.requests
        };
        let chance = self.chance(self.attempts);
        match history {
            History::Probation => reaches(PROBATION_THRESHOLD),
            History::Unknown | History::Unproven => {
                reaches(REQUEST_THRESHOLD) && chance <= MAX_UNKNOWN_CHANCE
            }
            History::Proven => reaches(PROVEN_REQUEST_THRESHOLD) && chance <= MAX_CHANCE,
        }
    }

    /// Whether another explains all that this request is blamed for. Parts that only its own repeats
    /// have do not count.
    pub(crate) fn is_rivalled_by<'a, I>(&self, others: I, own: &BTreeSet<RequestHash>) -> bool
    where
        I: IntoIterator<Item = &'a Self>,
    {
        let mut others = others.into_iter().filter(|other| !other.requests.is_subset(own));
        others.any(|other| self.crashes.is_subset(&other.crashes))
    }

    /// Whether this part explains at least three quarters of another part's crashes.
    fn explains_most_of(&self, other: &Self) -> bool {
        let common = self.crashes.intersection(&other.crashes).count();
        common * 4 >= other.crashes.len() * 3
    }

    /// Whether less than half of another part's requests have this part too.
    fn is_independent_of(&self, other: &Self) -> bool {
        self.requests.intersection(&other.requests).count() * 2 < other.requests.len()
    }
}

/// The part to blame, if one can be told from the others.
///
/// A part that all requests of a route share is in every crash that one of them causes. So parts
/// that were never proven sound come first, and among parts that explain about as many crashes the
/// one with the fewest requests is blamed, unless the common parts are known to be sound. Where
/// parts of different requests explain the same crashes, as when nothing is answered for a while,
/// none is blamed.
pub(crate) fn most_blamed(
    blames: &BTreeMap<PartHash, (History, Blame)>,
) -> Option<(PartHash, Blame)> {
    let suffices =
        |(_, (history, blame)): &(&PartHash, &(History, Blame))| blame.suffices(*history);
    let class = blames.iter().filter(suffices).map(|(_, (history, _))| *history).min()?;
    let in_class = || blames.iter().filter(|(_, (history, _))| *history == class);
    let is_rivalled = |part: &PartHash, blame: &Blame| {
        let rivals = in_class().filter(|(other, _)| *other != part);
        let mut rivals = rivals.filter(|(_, (_, rival))| rival.explains_most_of(blame));
        let is_early = blame.crashes.len() < RIVALRY_CRASHES;
        rivals.any(|(_, (_, rival))| is_early || rival.is_independent_of(blame))
    };
    let is_clear = |(part, (history, blame)): &(&PartHash, &(History, Blame))| {
        *history == History::Probation || !is_rivalled(part, blame)
    };
    let candidates: Vec<_> = in_class().filter(suffices).filter(is_clear).collect();
    let most = candidates.iter().map(|(_, (_, blame))| blame.crashes.len()).max()?;
    let rank = |blame: &Blame| (blame.crashes.len(), blame.requests.len());
    let best = if class == History::Unknown {
        candidates.into_iter().max_by_key(|(_, (_, blame))| rank(blame))
    } else {
        let near = candidates.into_iter();
        let near = near.filter(|(_, (_, blame))| blame.crashes.len() * 8 >= most * 7);
        near.min_by_key(|(_, (_, blame))| (blame.requests.len(), Reverse(blame.crashes.len())))
    };
    best.map(|(part, (_, blame))| (*part, blame.clone()))
}
