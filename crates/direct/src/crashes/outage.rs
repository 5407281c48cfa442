//! What is in more of the crashes than its share of the requests explains.
//!
//! While replicas crash one after another, hardly anything is answered, and then neither the answers
//! on a part nor their absence tell anything about it. What remains is where it was: whatever crashes
//! replicas is in progress at each of them when it ends, but at other moments only now and then.

use crate::{
    CrashQuarantine, RequestHash, RunHash, Suspect,
    crashes::{coverage::ExpectedCrashes, quarantine::SETTLING_TIME},
};
use ibissail_core::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which crashes are compared with each other.
const COMPARED_TIME: Millis = Millis(20_000);
/// Time before the first crash with a suspect from which its share of the requests is taken.
const SHARE_LEAD: Millis = Millis(1_000);
/// Time of the answers that show whether requests are answered at all.
pub(crate) const ANSWERS_TIME: Millis = Millis(5_000);
/// Crashes from which those that nothing explains are reported.
const MIN_REPORTED_CRASHES: usize = 3;
/// Most suspects in a report.
const MAX_REPORTED_SUSPECTS: usize = 4;

/// One crash, with what may have caused it.
#[derive(Debug, Clone)]
pub(crate) struct CrashEvent {
    pub(crate) at: Millis,
    /// The requests at the replica that may have caused it.
    pub(crate) requests: BTreeSet<RequestHash>,
    /// Each suspect, with the requests that have it.
    pub(crate) suspects: BTreeMap<Suspect, BTreeSet<RequestHash>>,
}

/// How often a suspect has met a crash, compared with other crashes of the same time.
#[derive(Debug, Clone, PartialEq)]
pub struct Coverage {
    /// What may crash replicas.
    pub suspect: Suspect,
    /// Crashes at whose replicas it was in progress.
    pub crashes: usize,
    /// Crashes since the first of them.
    pub of: usize,
    /// Distinct requests with it; repeats count once.
    pub requests: usize,
    /// Its share of what replicas have in progress, from 0 to 1.
    pub share: f64,
    /// Bound of the probability of a chance that it was in so many of the crashes, from 0 to 1.
    pub chance: f64,
}

/// Crashes that nothing quarantined explains, for the operators.
#[derive(Debug, Clone, PartialEq)]
pub struct UnexplainedCrashes {
    /// Their number.
    pub crashes: usize,
    /// Share of the latest answers on prompts that no crash has cut off, from 0 to 1.
    pub answered_share: f64,
    /// What most of them have in common, the least likely chance first.
    pub suspects: Vec<Coverage>,
}

impl CrashQuarantine {
    /// The settled crashes of the last time that nothing quarantined explains.
    pub(crate) fn unexplained_crashes(&self, now: Millis) -> BTreeMap<RunHash, CrashEvent> {
        let explained = self.explained_runs(now);
        let is_counted = |run: RunHash, at: Millis| {
            (SETTLING_TIME..COMPARED_TIME).contains(&now.since(at)) && !explained.contains(&run)
        };
        let mut events: BTreeMap<RunHash, CrashEvent> = BTreeMap::new();
        let crashes = self.crashes.iter().filter(|(run, crash)| is_counted(*run, crash.at));
        for (run, crash) in crashes {
            let requests: BTreeSet<RequestHash> = crash.requests.keys().copied().collect();
            let event = CrashEvent { at: crash.at, requests, suspects: BTreeMap::new() };
            let event = events.entry(run).or_insert(event);
            for (request, part) in self.suspects(crash) {
                let request = self.first_repeat(run, request);
                event.suspects.entry(Suspect::Part(part)).or_default().insert(request);
            }
        }
        for lost in self.lost_runs.iter().filter(|lost| is_counted(lost.run, lost.ended_at)) {
            let (at, requests) = (lost.ended_at, BTreeSet::new());
            let event = CrashEvent { at, requests, suspects: BTreeMap::new() };
            let event = events.entry(lost.run).or_insert(event);
            event.at = event.at.min(at);
            event.requests.insert(lost.request);
            let suspect = Suspect::Request(lost.content);
            if self.is_suspect(suspect, at) {
                event.suspects.entry(suspect).or_default().insert(lost.request);
            }
        }
        events
    }

    /// Compares the crashes with each suspect to all crashes since the first of them.
    pub(crate) fn coverages(
        &self,
        events: &BTreeMap<RunHash, CrashEvent>,
        min_crashes: usize,
        now: Millis,
    ) -> Vec<Coverage> {
        let mut counts: BTreeMap<Suspect, (usize, Millis)> = BTreeMap::new();
        for event in events.values() {
            for suspect in event.suspects.keys() {
                let (count, first) = counts.entry(*suspect).or_insert((0, event.at));
                *count += 1;
                *first = event.at.min(*first);
            }
        }
        let frequent = counts.into_iter().filter(|(_, (count, _))| *count >= min_crashes);
        let coverage = |(suspect, (crashes, first)): (Suspect, (usize, Millis))| {
            let share = self.attempts.share_of(suspect, first.since(SHARE_LEAD), now);
            let (mut expected, mut requests) = (ExpectedCrashes::default(), BTreeSet::new());
            for event in events.values().filter(|event| event.at >= first) {
                expected.add(event.requests.len(), share);
                requests.extend(event.suspects.get(&suspect).into_iter().flatten().copied());
            }
            let (of, chance) = (expected.count(), expected.chance_of(crashes));
            Coverage { suspect, crashes, of, requests: requests.len(), share, chance }
        };
        let mut coverages: Vec<Coverage> = frequent.map(coverage).collect();
        coverages.sort_by(|one, other| {
            one.chance.total_cmp(&other.chance).then(one.share.total_cmp(&other.share))
        });
        coverages
    }

    /// The crashes that nothing quarantined explains; `None` if there are hardly any.
    #[must_use]
    pub fn report_unexplained(&self, now: Millis) -> Option<UnexplainedCrashes> {
        let events = self.unexplained_crashes(now);
        if events.len() < MIN_REPORTED_CRASHES {
            return None;
        }
        let mut suspects = self.coverages(&events, MIN_REPORTED_CRASHES, now);
        suspects.truncate(MAX_REPORTED_SUSPECTS);
        let answered_share = self.outcomes.proven_share(now.since(ANSWERS_TIME), now);
        Some(UnexplainedCrashes { crashes: events.len(), answered_share, suspects })
    }
}
