//! Keeps parts of prompts that crash replicas from them.
//!
//! A replica may crash as soon as it begins to answer a request with a certain part, and takes all
//! its other requests with it. A part is blamed by the crashes during whose first moments it was
//! among the requests there, until an answer on it goes on for longer or ends. Entries tell each
//! other the crashes, the parts that are sound and the quarantined parts; merging them is
//! idempotent and does not depend on their order.

use crate::{
    PartHash, RequestHash, RunHash,
    answer_outcomes::AnswerOutcomes,
    blame::{Blame, History, most_blamed},
    crash_records::{Crash, CrashRecords},
    redundancy::redundant_part,
    suspects::SoundParts,
};
use ibissail_core::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time from the head of an answer after which an event of it proves its parts sound. Replicas crash
/// in the first event, within some 0.1 s.
pub const PROOF_TIME: Millis = Millis(400);
/// Time from the head of an answer after which a crash is not blamed on its request.
pub const BLAME_TIME: Millis = Millis(1_000);
/// Time for which a part is quarantined. Each trial costs replicas.
pub const QUARANTINE_TIME: Millis = Millis(600_000);
/// Time from a crash until it counts, in which the other entries tell what they know.
const SETTLING_TIME: Millis = Millis(1_000);
/// The same for a part that was proven sound before, which may soon be proven again.
const PROVEN_SETTLING_TIME: Millis = Millis(2_000);
/// Share of proven answers that is assumed at least for parts that stand out as unknown.
const MIN_KNOWN_SHARE: f64 = 0.6;
/// Most parts in quarantine or on probation; the earliest are released first.
const MAX_QUARANTINED_PARTS: usize = 64;
/// Crashes from which a part is worth telling that it is sound.
pub(crate) const MIN_BLAMED_CRASHES: usize = 2;
/// How often each entry tells its peers a crash, and that a blamed part is sound.
pub(crate) const TELL_COUNT: u32 = 6;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Quarantine {
    pub(crate) since: Millis,
    /// Whether it has ended early.
    pub(crate) is_released: bool,
    /// Whether it was last reported as in effect.
    pub(crate) is_reported: bool,
}

/// Where a quarantine was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineSource {
    /// At this entry, because of this many crashes with this many requests.
    Own {
        /// Distinct crashes.
        crashes: usize,
        /// Distinct requests.
        requests: usize,
    },
    /// At a peer.
    Peer,
}

/// A change of the quarantined parts, for the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with the part are refused from now on.
    Quarantined(PartHash, QuarantineSource),
    /// Requests with the part are no longer refused.
    Released(PartHash),
}

/// What an entry knows about parts of prompts that crash replicas.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    pub(crate) crashes: CrashRecords,
    pub(crate) sound: SoundParts,
    /// Answers of this entry.
    outcomes: AnswerOutcomes,
    pub(crate) quarantines: BTreeMap<PartHash, Quarantine>,
    /// Sound parts that peers blame, and how often they are still to be told.
    pub(crate) to_tell: BTreeMap<PartHash, u32>,
}

impl CrashQuarantine {
    /// Records that a replica has crashed `BLAME_TIME` or less after it had begun to answer a
    /// request with these parts; returns whether this is new.
    pub fn record_crash(
        &mut self,
        run: RunHash,
        request: RequestHash,
        parts: &[PartHash],
        now: Millis,
    ) -> bool {
        let is_new =
            !parts.is_empty() && self.crashes.add(run, now, request, parts.iter().copied(), now);
        if is_new {
            self.outcomes.record(false, self.is_any_known(parts), now);
        }
        is_new
    }

    /// Records an answer that proves its parts sound, and when it began.
    pub fn record_sound(&mut self, parts: &[PartHash], began_at: Millis, now: Millis) {
        self.outcomes.record(true, self.is_any_known(parts), now);
        for part in parts {
            let was_suspect = self.is_blamed(*part);
            self.sound.record(*part, began_at);
            if was_suspect && !self.is_blamed(*part) {
                self.to_tell.insert(*part, TELL_COUNT);
            }
        }
    }

    /// Whether the part is a suspect in several crashes or is quarantined.
    pub(crate) fn is_blamed(&self, part: PartHash) -> bool {
        let crashes = self.crashes.count_with(part);
        let is_suspect_of_several = crashes.is_some_and(|(count, latest)| {
            count >= MIN_BLAMED_CRASHES && self.is_suspect(part, latest)
        });
        let quarantine = self.quarantines.get(&part);
        is_suspect_of_several || quarantine.is_some_and(|known| self.is_suspect(part, known.since))
    }

    /// Whether no answer that began since shortly before this time proves the part sound.
    fn is_suspect(&self, part: PartHash, at: Millis) -> bool {
        self.sound.proven_at(part).is_none_or(|proven| proven.saturating_add(BLAME_TIME) < at)
    }

    /// Time left of the longest quarantine of these parts, with the position of its part; `None` if
    /// none is quarantined.
    #[must_use]
    pub fn quarantined(&self, parts: &[PartHash], now: Millis) -> Option<(usize, Millis)> {
        let rests = parts.iter().enumerate().filter_map(|(position, part)| {
            let rest = self.rest(*part, now)?;
            Some((position, rest))
        });
        rests.max_by_key(|(_, rest)| *rest)
    }

    /// Number of quarantined parts.
    #[must_use]
    pub fn quarantined_count(&self, now: Millis) -> usize {
        self.quarantines.keys().filter(|part| self.rest(**part, now).is_some()).count()
    }

    pub(crate) fn rest(&self, part: PartHash, now: Millis) -> Option<Millis> {
        let known = self.quarantines.get(&part)?;
        let rest = known.since.saturating_add(QUARANTINE_TIME).since(now);
        let is_in_effect =
            rest > Millis(0) && !known.is_released && self.is_suspect(part, known.since);
        is_in_effect.then_some(rest)
    }

    /// Decides which parts are quarantined, and returns what has changed since the last review.
    pub fn review(&mut self, now: Millis) -> Vec<QuarantineChange> {
        self.crashes.expire(now);
        let kept = Millis(QUARANTINE_TIME.0 * 2);
        let mut changes = Vec::new();
        self.release_redundant(now);
        while let Some((part, blame)) = most_blamed(&self.blames(now)) {
            let source = QuarantineSource::Own {
                crashes: blame.crashes.len(),
                requests: blame.requests.len(),
            };
            self.insert(part, Quarantine { since: now, is_released: false, is_reported: true });
            changes.push(QuarantineChange::Quarantined(part, source));
        }
        self.release_redundant(now);
        let parts: Vec<PartHash> = self.quarantines.keys().copied().collect();
        for part in parts {
            let is_in_effect = self.rest(part, now).is_some();
            let Some(known) = self.quarantines.get_mut(&part) else { continue };
            match (known.is_reported, is_in_effect) {
                (false, true) => {
                    changes.push(QuarantineChange::Quarantined(part, QuarantineSource::Peer));
                }
                (true, false) => changes.push(QuarantineChange::Released(part)),
                _ => {}
            }
            known.is_reported = is_in_effect;
            // What has proven the part sound may be forgotten before the quarantine ends.
            known.is_released |= !is_in_effect && now.since(known.since) < QUARANTINE_TIME;
        }
        self.quarantines.retain(|_, known| now.since(known.since) < kept);
        changes
    }

    pub(crate) fn insert(&mut self, part: PartHash, quarantine: Quarantine) {
        self.quarantines.insert(part, quarantine);
        while self.quarantines.len() > MAX_QUARANTINED_PARTS {
            let earliest =
                self.quarantines.iter().min_by_key(|(part, known)| (known.since, **part));
            let Some(earliest) = earliest.map(|(part, _)| *part) else { return };
            self.quarantines.remove(&earliest);
        }
    }

    /// Blames of all parts for the settled crashes that no quarantined part explains.
    fn blames(&self, now: Millis) -> BTreeMap<PartHash, (History, Blame)> {
        let mut blames: BTreeMap<PartHash, (History, Blame)> = BTreeMap::new();
        for (run, crash) in self.crashes.iter() {
            let age = now.since(crash.at);
            if age < SETTLING_TIME || self.is_explained(crash, now) {
                continue;
            }
            for (request, part) in self.suspects(crash) {
                let history = self.history(part);
                if history == History::Proven && age < PROVEN_SETTLING_TIME {
                    continue;
                }
                let (_, blame) = blames.entry(part).or_insert_with(|| {
                    let (crashes, requests) = (BTreeSet::new(), BTreeSet::new());
                    let (earliest, latest) = (crash.at, crash.at);
                    let (attempts, proven_share) = (0, 0.0);
                    let blame =
                        Blame { crashes, requests, attempts, earliest, latest, proven_share };
                    (history, blame)
                });
                blame.crashes.insert(run);
                blame.requests.insert(request);
                blame.attempts += 1;
                blame.earliest = blame.earliest.min(crash.at);
                blame.latest = blame.latest.max(crash.at);
            }
        }
        for (history, blame) in blames.values_mut() {
            let (from, to) = (blame.earliest, blame.latest.saturating_add(BLAME_TIME));
            blame.proven_share = self.outcomes.proven_share(from, to);
            if *history == History::Unproven && self.outcomes.are_mostly_known(from, to) {
                *history = History::Unknown;
                blame.proven_share = blame.proven_share.max(MIN_KNOWN_SHARE);
            }
        }
        blames
    }

    fn is_any_known(&self, parts: &[PartHash]) -> bool {
        parts.iter().any(|part| self.sound.proven_at(*part).is_some())
    }

    pub(crate) fn suspects(&self, crash: &Crash) -> Vec<(RequestHash, PartHash)> {
        let pairs = crash
            .requests
            .iter()
            .flat_map(|(request, parts)| parts.iter().map(move |part| (*request, *part)));
        pairs.filter(|(_, part)| self.is_suspect(*part, crash.at)).collect()
    }

    fn is_explained(&self, crash: &Crash, now: Millis) -> bool {
        let quarantined = |part: &PartHash| self.rest(*part, now).is_some();
        self.quarantines.keys().filter(|part| quarantined(part)).any(|part| crash.has_part(*part))
    }

    fn history(&self, part: PartHash) -> History {
        if self.quarantines.get(&part).is_some_and(|known| !known.is_released)
            && self.sound.proven_at(part).is_none()
        {
            return History::Probation;
        }
        match self.sound.proven_at(part) {
            Some(_) => History::Proven,
            None => History::Unproven,
        }
    }

    /// Releases quarantined parts whose crashes another quarantined part explains.
    fn release_redundant(&mut self, now: Millis) {
        loop {
            let quarantined =
                self.quarantines.keys().filter(|part| self.rest(**part, now).is_some());
            let quarantined: BTreeSet<PartHash> = quarantined.copied().collect();
            let Some(part) = redundant_part(&self.crashes, &quarantined) else { return };
            if let Some(known) = self.quarantines.get_mut(&part) {
                known.is_released = true;
            }
        }
    }

    /// Whether nothing needs a review.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.quarantines.is_empty()
    }
}
