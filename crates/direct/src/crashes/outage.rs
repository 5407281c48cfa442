//! What is in more of the crashes than its share of the requests explains.
//!
//! While replicas crash one after another, hardly anything is answered, and then neither the answers
//! on a part nor their absence tell anything about it. What remains is where it was: whatever crashes
//! replicas is in progress at each of them when it ends, but at other moments only now and then.

use crate::{
    CrashQuarantine, RequestHash, RunHash, Suspect,
    crashes::{coverage::ExpectedCrashes, quarantine::SETTLING_TIME, regularity::chance_of_times},
};
use ibissail_core::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which crashes are compared with each other.
const COMPARED_TIME: Millis = Millis(20_000);
/// Time before the first crash with a suspect from which its share of the requests is taken.
const SHARE_LEAD: Millis = Millis(1_000);
/// Time of the answers that show whether requests are answered at all.
pub(crate) const ANSWERS_TIME: Millis = Millis(5_000);
/// Replicas that end because of a common loss, as of power, do so within this time of each other;
/// and how many of them there are at least.
const COMMON_END: Millis = Millis(10);
const MIN_COMMON_ENDS: usize = 3;
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
    /// Time from when each suspect was first sent to the replica until the crash, as far as known.
    times: BTreeMap<Suspect, Millis>,
    /// The same for any request.
    time: Millis,
}

impl CrashEvent {
    fn new(at: Millis) -> Self {
        Self {
            at,
            requests: BTreeSet::new(),
            suspects: BTreeMap::new(),
            times: BTreeMap::new(),
            time: Millis(0),
        }
    }

    fn add_time(&mut self, suspect: Suspect, time: Millis) {
        let longest = self.times.entry(suspect).or_insert(time);
        *longest = time.max(*longest);
        self.time = self.time.max(time);
    }
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
    /// Bound of the probability of a chance that it was in so many of the crashes, and that these
    /// followed it after times so much alike, from 0 to 1.
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
    /// The settled crashes of the last time that nothing quarantined explains, without those of
    /// replicas that ended together.
    pub(crate) fn unexplained_crashes(&self, now: Millis) -> BTreeMap<RunHash, CrashEvent> {
        let explained = self.explained_runs(now);
        let is_counted = |run: RunHash, at: Millis| {
            (SETTLING_TIME..COMPARED_TIME).contains(&now.since(at)) && !explained.contains(&run)
        };
        let mut events: BTreeMap<RunHash, CrashEvent> = BTreeMap::new();
        let crashes = self.crashes.iter().filter(|(run, crash)| is_counted(*run, crash.at));
        for (run, crash) in crashes {
            let event = events.entry(run).or_insert_with(|| CrashEvent::new(crash.at));
            event.requests.extend(crash.requests.keys());
            for (request, part) in self.suspects(crash) {
                let suspect = Suspect::Part(part);
                if let Some(lost) = self.lost_runs.get(run, request) {
                    event.add_time(suspect, lost.ended_at.since(lost.began_at));
                }
                let request = self.first_repeat(run, request);
                event.suspects.entry(suspect).or_default().insert(request);
            }
        }
        for lost in self.lost_runs.iter().filter(|lost| is_counted(lost.run, lost.ended_at)) {
            let at = lost.ended_at;
            let event = events.entry(lost.run).or_insert_with(|| CrashEvent::new(at));
            event.at = event.at.min(at);
            event.requests.insert(lost.request);
            let suspect = Suspect::Request(lost.content);
            if self.is_suspect(suspect, at) {
                event.suspects.entry(suspect).or_default().insert(lost.request);
                event.add_time(suspect, at.since(lost.began_at));
            }
        }
        let ends: Vec<Millis> = events.values().map(|event| event.at).collect();
        events.retain(|_, event| {
            let is_common =
                |end: &&Millis| end.since(event.at).max(event.at.since(**end)) <= COMMON_END;
            ends.iter().filter(is_common).count() < MIN_COMMON_ENDS
        });
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
                if self.quarantines.get(suspect).is_some_and(|known| event.at <= known.released_at)
                {
                    continue;
                }
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
            let times = events.values().filter(|event| event.at >= first);
            let times = times.filter_map(|event| Some((*event.times.get(&suspect)?, event.time)));
            let times: Vec<(Millis, Millis)> = times.collect();
            let of = expected.count();
            let chance = expected.chance_of(crashes) * chance_of_times(&times);
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
