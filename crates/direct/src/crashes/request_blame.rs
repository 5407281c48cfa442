//! Which request explains crashes of replicas best.

use crate::{
    ContentHash, CrashQuarantine, LostRun, RequestHash, RunHash, Suspect,
    crashes::{
        blame::{Blame, History},
        lost_runs::independent_runs,
        quarantine::{BLAME_TIME, PROVEN_SETTLING_TIME, SETTLING_TIME},
    },
};
use ibissail_core::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time before the first crash whose answers show how often requests that were never proven sound
/// meet crashes.
const OUTCOMES_BEFORE: Millis = Millis(10_000);
/// Share of answers that no crash cuts off, assumed until answers are known.
const ASSUMED_PROVEN_SHARE: f64 = 0.8;
/// Crashes from which a request is not sent once more after the next one.
const MIN_CRASHES_WITHOUT_RETRY: usize = 3;

impl CrashQuarantine {
    /// The request to blame, if one can be told from the others.
    pub(crate) fn most_blamed_request(&self, now: Millis) -> Option<(ContentHash, History, Blame)> {
        let explained = self.explained_runs(now);
        let contents = self.lost_runs.contents();
        let requests = contents
            .filter_map(|content| Some((content, self.request_blame(content, &explained, now)?)));
        let requests: BTreeMap<ContentHash, (History, Blame)> = requests.collect();
        if !requests.values().any(|(history, blame)| blame.suffices_for_request(*history)) {
            return None;
        }
        let parts = self.blames(now);
        let is_clear = |content: &ContentHash, history: History, blame: &Blame| {
            let is_rival = |other: History| other <= history.max(History::Unproven);
            let others = requests.iter().filter(|(other, _)| *other != content);
            let others = others.map(|(_, other)| other).chain(parts.values());
            let others = others.filter(|(other, _)| is_rival(*other)).map(|(_, blame)| blame);
            let own = self.repeats(*content);
            history == History::Probation || !blame.is_rivalled_by(others, &own)
        };
        let suffices = requests.iter().filter(|(content, (history, blame))| {
            // Only its own answers tell an entry how often its requests meet other crashes.
            self.lost_runs.has_own(**content)
                && blame.suffices_for_request(*history)
                && is_clear(content, *history, blame)
        });
        let most = suffices.max_by_key(|(content, (_, blame))| (blame.attempts, **content));
        most.map(|(content, (history, blame))| (*content, *history, blame.clone()))
    }

    /// Whether another attempt at this request may be made after one whose replica has ended.
    #[must_use]
    pub fn may_retry(&self, content: ContentHash) -> bool {
        let suspect = Suspect::Request(content);
        let is_probation = self.history(suspect) == History::Probation;
        let lost = self.lost_runs.with(content);
        let unproven = lost.filter(|lost| self.is_suspect(suspect, lost.ended_at));
        let crashes: BTreeSet<RunHash> = unproven.map(|lost| lost.run).collect();
        !is_probation && crashes.len() < MIN_CRASHES_WITHOUT_RETRY
    }

    fn repeats(&self, content: ContentHash) -> BTreeSet<RequestHash> {
        self.lost_runs.with(content).map(|lost| lost.request).collect()
    }

    /// Blame of a request for the settled crashes that nothing else explains; `None` if there are
    /// none.
    fn request_blame(
        &self,
        content: ContentHash,
        explained: &BTreeSet<RunHash>,
        now: Millis,
    ) -> Option<(History, Blame)> {
        let suspect = Suspect::Request(content);
        let history = self.history(suspect);
        let settling_time = match history {
            History::Probation => Millis(0),
            History::Unknown | History::Unproven => SETTLING_TIME,
            History::Proven => PROVEN_SETTLING_TIME,
        };
        let quarantine = self.quarantines.get(&suspect);
        let earlier = quarantine.map(|known| known.since.saturating_add(known.time));
        let counts = |lost: &&LostRun| {
            earlier.is_none_or(|end| lost.ended_at >= end)
                && self.is_suspect(suspect, lost.ended_at)
                && !explained.contains(&lost.run)
        };
        let lost: Vec<&LostRun> = self.lost_runs.with(content).filter(counts).collect();
        let earliest = lost.iter().map(|lost| lost.ended_at).min()?;
        if now.since(earliest) < settling_time {
            return None;
        }
        let latest = lost.iter().map(|lost| lost.ended_at).max()?;
        let from = match history {
            History::Proven => earliest,
            History::Probation | History::Unknown | History::Unproven => {
                earliest.since(OUTCOMES_BEFORE)
            }
        };
        let to = latest.saturating_add(BLAME_TIME);
        let blame = Blame {
            crashes: lost.iter().map(|lost| lost.run).collect(),
            requests: lost.iter().map(|lost| lost.request).collect(),
            attempts: independent_runs(lost),
            earliest,
            latest,
            proven_share: self.request_outcomes.assumed_proven_share(
                ASSUMED_PROVEN_SHARE,
                from,
                to,
            ),
            coverage_chance: 1.0,
        };
        Some((history, blame))
    }
}
