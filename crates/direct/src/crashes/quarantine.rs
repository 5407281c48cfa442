//! Keeps requests, and parts of prompts, that crash replicas from them.
//!
//! A replica may crash as soon as it begins to answer a request with a certain part, or to run a
//! certain request, and takes all its other requests with it. A part is blamed by the crashes of
//! replicas that had been sent it and had not yet proven it sound, a request by the crashes that it
//! has met, until an answer goes on for a while or ends. Entries tell each other the crashes, and what
//! is sound or quarantined; merging them is idempotent and does not depend on their order.

use crate::{
    ContentHash, LostRun, PartHash, RequestHash, RunHash, Suspect,
    crashes::{
        answer_outcomes::AnswerOutcomes,
        attempts::{AttemptNumber, RecentAttempts},
        blame::{Blame, History, most_blamed},
        coverage::ExpectedCrashes,
        lost_runs::LostRuns,
        outage::Coverage,
        records::{Crash, CrashRecords},
        redundancy::redundant_part,
        suspects::SoundRecords,
        tentative::{FleetView, Tentative},
    },
};
use ibissail_core::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time from the head of an answer, and events of it, from which it proves its parts sound. Replicas
/// crash as they begin to answer, which takes a slow one longer.
pub const PROOF_TIME: Millis = Millis(400);
/// The events; see [`PROOF_TIME`].
pub const PROOF_EVENTS: u64 = 3;
/// Time before a crash in which an answer must have begun to prove its request or its parts sound in
/// spite of it.
pub const BLAME_TIME: Millis = Millis(1_000);
/// Longest quarantine. Each trial after it costs replicas.
pub const QUARANTINE_TIME: Millis = Millis(600_000);
/// First quarantine of a request, whose few crashes may have had another cause.
pub const FIRST_REQUEST_QUARANTINE_TIME: Millis = Millis(60_000);
/// Time from a crash until it counts, in which the other entries tell what they know.
pub(crate) const SETTLING_TIME: Millis = Millis(1_000);
/// The same for what was proven sound before, which may soon be proven again.
pub(crate) const PROVEN_SETTLING_TIME: Millis = Millis(2_000);
/// Share of proven answers that is assumed at least for parts that stand out as unknown.
const MIN_KNOWN_SHARE: f64 = 0.6;
/// Most requests and parts in quarantine or on probation; the earliest are released first.
const MAX_QUARANTINES: usize = 64;
/// Crashes from which it is worth telling that a request or part is sound.
pub(crate) const MIN_BLAMED_CRASHES: usize = 2;
/// How often each entry tells its peers a crash, and that a blamed part is sound.
pub(crate) const TELL_COUNT: u32 = 6;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Quarantine {
    pub(crate) since: Millis,
    /// How long it lasts.
    pub(crate) time: Millis,
    /// Whether it has ended early.
    pub(crate) is_released: bool,
    /// When it was found to explain no crashes; zero if it was not. Crashes until then no longer
    /// count against it.
    pub(crate) released_at: Millis,
    /// Whether it was last reported as in effect.
    pub(crate) is_reported: bool,
    /// `None` if it needs no probe.
    pub(crate) tentative: Option<Tentative>,
}

impl Quarantine {
    /// A quarantine that has not been reported.
    pub(crate) fn new(since: Millis, time: Millis) -> Self {
        Self {
            since,
            time,
            is_released: false,
            released_at: Millis(0),
            is_reported: false,
            tentative: None,
        }
    }
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

/// A change of the quarantines, for the operators.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineChange {
    /// The request, or all requests with the part, are refused from now on.
    Quarantined(Suspect, QuarantineSource),
    /// The same, until a probe shows whether they crash replicas.
    Tentative(Coverage),
    /// A request was let through as a probe.
    Probed(Suspect),
    /// A probe has crashed a replica.
    Confirmed(Suspect),
    /// They are no longer refused.
    Released(Suspect),
}

/// What an entry knows about requests and parts of prompts that crash replicas.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    pub(crate) crashes: CrashRecords,
    pub(crate) lost_runs: LostRuns,
    sound_parts: SoundRecords<PartHash>,
    sound_requests: SoundRecords<ContentHash>,
    /// Answers of this entry on prompts.
    pub(crate) outcomes: AnswerOutcomes,
    pub(crate) attempts: RecentAttempts,
    /// All answers of this entry.
    pub(crate) request_outcomes: AnswerOutcomes,
    pub(crate) quarantines: BTreeMap<Suspect, Quarantine>,
    /// What is sound and blamed by peers, and how often it is still to be told.
    pub(crate) to_tell: BTreeMap<Suspect, u32>,
    pub(crate) fleet: FleetView,
    /// Tentative quarantines that were confirmed since the last review.
    pub(crate) confirmed: Vec<Suspect>,
    /// What requests were let through for since the last review.
    pub(crate) probed: Vec<Suspect>,
}

impl CrashQuarantine {
    /// Records that a request is sent to a replica of the service with this hash.
    pub fn begin_attempt(
        &mut self,
        service: u64,
        content: ContentHash,
        parts: &[PartHash],
        now: Millis,
    ) -> AttemptNumber {
        let parts = parts.iter().copied().map(Suspect::Part);
        let suspects = parts.chain([Suspect::Request(content)]).collect();
        self.attempts.begin(service, suspects, now)
    }

    /// Records when an attempt was first known to crash its replica or not to.
    pub fn settle_attempt(&mut self, attempt: AttemptNumber, at: Millis) {
        self.attempts.settle(attempt, at);
    }

    /// Records that a replica has crashed before its answer to a request had proven these parts
    /// sound; returns whether this is new.
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
            self.confirm(request, parts, now);
        }
        is_new
    }

    /// Records that a replica has ended while it had a request; returns whether this is new.
    pub fn record_lost_run(&mut self, lost: LostRun, now: Millis) -> bool {
        let is_new = self.lost_runs.add(lost, true, now);
        if is_new {
            self.request_outcomes.record(false, false, now);
        }
        is_new
    }

    /// Records an answer that proves the parts of its prompt sound, and when it began.
    pub fn record_sound(&mut self, parts: &[PartHash], began_at: Millis, now: Millis) {
        self.outcomes.record(true, self.is_any_known(parts), now);
        for part in parts {
            self.record_proof(Suspect::Part(*part), began_at);
        }
    }

    /// Records an answer that proves its request sound, and when the request was sent.
    pub fn record_sound_request(&mut self, content: ContentHash, began_at: Millis, now: Millis) {
        self.request_outcomes.record(true, false, now);
        self.record_proof(Suspect::Request(content), began_at);
    }

    fn record_proof(&mut self, suspect: Suspect, began_at: Millis) {
        let was_blamed = self.is_blamed(suspect);
        self.add_proof(suspect, began_at);
        if was_blamed && !self.is_blamed(suspect) {
            self.to_tell.insert(suspect, TELL_COUNT);
        }
    }

    pub(crate) fn add_proof(&mut self, suspect: Suspect, began_at: Millis) {
        match suspect {
            Suspect::Request(content) => self.sound_requests.record(content, began_at),
            Suspect::Part(part) => self.sound_parts.record(part, began_at),
        }
    }

    /// Start of the latest answer that proves this sound.
    pub(crate) fn proven_at(&self, suspect: Suspect) -> Option<Millis> {
        match suspect {
            Suspect::Request(content) => self.sound_requests.proven_at(content),
            Suspect::Part(part) => self.sound_parts.proven_at(part),
        }
    }

    /// Whether this is a suspect in several crashes or is quarantined.
    pub(crate) fn is_blamed(&self, suspect: Suspect) -> bool {
        let is_suspect_of_several = match suspect {
            Suspect::Request(content) => {
                let lost = self.lost_runs.with(content);
                let lost = lost.filter(|lost| self.is_suspect(suspect, lost.ended_at));
                lost.count() >= MIN_BLAMED_CRASHES
            }
            Suspect::Part(part) => self.crashes.count_with(part).is_some_and(|(count, latest)| {
                count >= MIN_BLAMED_CRASHES && self.is_suspect(suspect, latest)
            }),
        };
        let quarantine = self.quarantines.get(&suspect);
        is_suspect_of_several
            || quarantine.is_some_and(|known| self.is_suspect(suspect, known.since))
    }

    /// Whether no answer that began since shortly before this time proves this sound.
    pub(crate) fn is_suspect(&self, suspect: Suspect, at: Millis) -> bool {
        self.proven_at(suspect).is_none_or(|proven| proven.saturating_add(BLAME_TIME) < at)
    }

    /// Time left of the longest quarantine of these, with its position; `None` if none is
    /// quarantined.
    #[must_use]
    pub fn quarantined<S>(&self, suspects: &[S], now: Millis) -> Option<(usize, Millis)>
    where
        S: Copy + Into<Suspect>,
    {
        let rests = suspects.iter().enumerate().filter_map(|(position, suspect)| {
            let rest = self.rest((*suspect).into(), now)?;
            Some((position, rest))
        });
        rests.max_by_key(|(_, rest)| *rest)
    }

    /// Number of quarantined requests and parts.
    #[must_use]
    pub fn quarantined_count(&self, now: Millis) -> usize {
        self.quarantines.keys().filter(|suspect| self.rest(**suspect, now).is_some()).count()
    }

    /// Number of quarantined requests.
    #[must_use]
    pub fn quarantined_request_count(&self, now: Millis) -> usize {
        let is_request = |suspect: &Suspect| matches!(suspect, Suspect::Request(_));
        let requests = self.quarantines.keys().filter(|suspect| is_request(suspect));
        requests.filter(|suspect| self.rest(**suspect, now).is_some()).count()
    }

    pub(crate) fn rest(&self, suspect: Suspect, now: Millis) -> Option<Millis> {
        let known = self.quarantines.get(&suspect)?;
        let rest = known.since.saturating_add(known.time).since(now);
        let is_in_effect =
            rest > Millis(0) && !known.is_released && self.is_suspect(suspect, known.since);
        is_in_effect.then_some(rest)
    }

    /// Decides what is quarantined, and returns what has changed since the last review.
    pub fn review(&mut self, now: Millis) -> Vec<QuarantineChange> {
        self.crashes.expire(now);
        self.lost_runs.expire(now);
        let probed = std::mem::take(&mut self.probed).into_iter().map(QuarantineChange::Probed);
        let confirmed = std::mem::take(&mut self.confirmed).into_iter();
        let mut changes: Vec<_> =
            probed.chain(confirmed.map(QuarantineChange::Confirmed)).collect();
        self.release_redundant(now);
        while let Some((part, blame)) =
            most_blamed(&self.blames(now)).or_else(|| self.most_blamed_tentative(now))
        {
            changes.push(self.quarantine(Suspect::Part(part), &blame, QUARANTINE_TIME, now));
        }
        while let Some((content, history, blame)) = self.most_blamed_request(now) {
            let time = match history {
                History::Probation => QUARANTINE_TIME,
                History::Unknown | History::Unproven | History::Proven => {
                    FIRST_REQUEST_QUARANTINE_TIME
                }
            };
            changes.push(self.quarantine(Suspect::Request(content), &blame, time, now));
        }
        while let Some(coverage) = self.most_covered(now) {
            changes.push(self.quarantine_tentatively(coverage, now));
        }
        self.release_disproved(now);
        self.release_redundant(now);
        self.report_changes(&mut changes, now);
        let kept = Millis(QUARANTINE_TIME.0 * 2);
        self.quarantines.retain(|_, known| now.since(known.since) < kept);
        changes
    }

    fn quarantine(
        &mut self,
        suspect: Suspect,
        blame: &Blame,
        time: Millis,
        now: Millis,
    ) -> QuarantineChange {
        let source =
            QuarantineSource::Own { crashes: blame.crashes.len(), requests: blame.requests.len() };
        self.insert(suspect, Quarantine { is_reported: true, ..Quarantine::new(now, time) });
        QuarantineChange::Quarantined(suspect, source)
    }

    /// Quarantines what most crashes have in common; a request, whose repeats are rare, without
    /// probes.
    fn quarantine_tentatively(&mut self, coverage: Coverage, now: Millis) -> QuarantineChange {
        let suspect = coverage.suspect;
        let quarantine = match suspect {
            Suspect::Request(_) => Quarantine::new(now, FIRST_REQUEST_QUARANTINE_TIME),
            Suspect::Part(_) => self.tentative(suspect, now, coverage.crashes),
        };
        self.insert(suspect, Quarantine { is_reported: true, ..quarantine });
        QuarantineChange::Tentative(coverage)
    }

    /// Adds what has begun at a peer's word, or has ended, since the last review.
    fn report_changes(&mut self, changes: &mut Vec<QuarantineChange>, now: Millis) {
        let suspects: Vec<Suspect> = self.quarantines.keys().copied().collect();
        for suspect in suspects {
            let is_in_effect = self.rest(suspect, now).is_some();
            let Some(known) = self.quarantines.get_mut(&suspect) else { continue };
            match (known.is_reported, is_in_effect) {
                (false, true) => {
                    changes.push(QuarantineChange::Quarantined(suspect, QuarantineSource::Peer));
                }
                (true, false) => changes.push(QuarantineChange::Released(suspect)),
                _ => {}
            }
            known.is_reported = is_in_effect;
            // What has proven it sound may be forgotten before the quarantine ends.
            known.is_released |= !is_in_effect && now.since(known.since) < known.time;
        }
    }

    pub(crate) fn insert(&mut self, suspect: Suspect, quarantine: Quarantine) {
        self.quarantines.insert(suspect, quarantine);
        while self.quarantines.len() > MAX_QUARANTINES {
            let earliest =
                self.quarantines.iter().min_by_key(|(suspect, known)| (known.since, **suspect));
            let Some(earliest) = earliest.map(|(suspect, _)| *suspect) else { return };
            self.quarantines.remove(&earliest);
        }
    }

    /// Blames of all parts for the settled crashes that nothing quarantined explains.
    pub(crate) fn blames(&self, now: Millis) -> BTreeMap<PartHash, (History, Blame)> {
        self.blames_until(now, &self.explained_runs(now), now)
    }

    /// The tentatively quarantined part that is to blame by what was known when its quarantine began:
    /// what is refused is not proven sound, which says nothing about it.
    fn most_blamed_tentative(&self, now: Millis) -> Option<(PartHash, Blame)> {
        let parts: Vec<PartHash> = self.quarantined_parts(now).collect();
        let (tentative, confirmed): (Vec<PartHash>, Vec<PartHash>) =
            parts.into_iter().partition(|part| self.is_tentative(*part, now));
        let explained = self.runs_explained_by(&confirmed.into_iter().collect(), now);
        tentative.into_iter().find_map(|part| {
            let since = self.quarantines.get(&Suspect::Part(part))?.since;
            let blamed = most_blamed(&self.blames_until(since, &explained, now));
            blamed.filter(|(blamed, _)| *blamed == part)
        })
    }

    /// Blames of all parts for the settled crashes up to a time that are not explained, by the answers
    /// up to that time.
    fn blames_until(
        &self,
        until: Millis,
        explained: &BTreeSet<RunHash>,
        now: Millis,
    ) -> BTreeMap<PartHash, (History, Blame)> {
        let mut blames: BTreeMap<PartHash, (History, Blame)> = BTreeMap::new();
        for (run, crash) in self.crashes.iter() {
            let age = now.since(crash.at);
            if age < SETTLING_TIME || explained.contains(&run) || crash.at > until {
                continue;
            }
            for (request, part) in self.suspects(crash) {
                let history = self.history(Suspect::Part(part));
                if history == History::Proven && age < PROVEN_SETTLING_TIME {
                    continue;
                }
                let (_, blame) = blames.entry(part).or_insert_with(|| {
                    let (crashes, requests) = (BTreeSet::new(), BTreeSet::new());
                    let (earliest, latest) = (crash.at, crash.at);
                    let blame = Blame {
                        crashes,
                        requests,
                        attempts: 0,
                        earliest,
                        latest,
                        proven_share: 0.0,
                        coverage_chance: 1.0,
                    };
                    (history, blame)
                });
                blame.crashes.insert(run);
                blame.requests.insert(self.first_repeat(run, request));
                blame.attempts += 1;
                blame.earliest = blame.earliest.min(crash.at);
                blame.latest = blame.latest.max(crash.at);
            }
        }
        for (part, (history, blame)) in &mut blames {
            if *history == History::Proven {
                blame.coverage_chance = self.coverage_chance(*part, blame, explained);
            }
            let from = blame.earliest;
            let to = blame.latest.saturating_add(BLAME_TIME).min(until);
            blame.proven_share = self.outcomes.proven_share(from, to);
            if *history == History::Unproven && self.outcomes.are_mostly_known(from, to) {
                *history = History::Unknown;
                blame.proven_share = blame.proven_share.max(MIN_KNOWN_SHARE);
            }
        }
        blames
    }

    /// Probability of a chance that a part is in as many of the crashes from its first to its last.
    fn coverage_chance(&self, part: PartHash, blame: &Blame, explained: &BTreeSet<RunHash>) -> f64 {
        let share = self.attempts.count_share_of(Suspect::Part(part));
        let mut crashes = ExpectedCrashes::default();
        let is_counted = |(run, crash): &(RunHash, &Crash)| {
            (blame.earliest..=blame.latest).contains(&crash.at) && !explained.contains(run)
        };
        for (_, crash) in self.crashes.iter().filter(is_counted) {
            crashes.add(crash.requests.len(), share);
        }
        crashes.chance_of(blame.crashes.len())
    }

    fn is_any_known(&self, parts: &[PartHash]) -> bool {
        parts.iter().any(|part| self.sound_parts.proven_at(*part).is_some())
    }

    pub(crate) fn suspects(&self, crash: &Crash) -> Vec<(RequestHash, PartHash)> {
        let pairs = crash
            .requests
            .iter()
            .flat_map(|(request, parts)| parts.iter().map(move |part| (*request, *part)));
        pairs.filter(|(_, part)| self.is_suspect(Suspect::Part(*part), crash.at)).collect()
    }

    /// The request, of those that ask for the same, that stands for all of them.
    pub(crate) fn first_repeat(&self, run: RunHash, request: RequestHash) -> RequestHash {
        let content = self.lost_runs.content_of(run, request);
        let repeats = content.map(|content| self.lost_runs.with(content));
        repeats.into_iter().flatten().map(|lost| lost.request).min().unwrap_or(request)
    }

    fn is_tentative(&self, part: PartHash, now: Millis) -> bool {
        let suspect = Suspect::Part(part);
        let known = self.quarantines.get(&suspect);
        known.is_some_and(|known| known.tentative.is_some()) && self.rest(suspect, now).is_some()
    }

    /// The runs of replicas whose end something quarantined explains.
    pub(crate) fn explained_runs(&self, now: Millis) -> BTreeSet<RunHash> {
        self.runs_explained_by(&self.quarantined_parts(now).collect(), now)
    }

    /// The runs whose end one of these parts, or a quarantined request, explains.
    fn runs_explained_by(&self, parts: &BTreeSet<PartHash>, now: Millis) -> BTreeSet<RunHash> {
        let by_part = self.crashes.iter().filter(|(_, crash)| crash.has_any_part(parts));
        let by_part = by_part.map(|(run, _)| run);
        let requests = self.lost_runs.contents();
        let requests =
            requests.filter(|content| self.rest(Suspect::Request(*content), now).is_some());
        let by_request = requests.flat_map(|content| self.lost_runs.with(content));
        by_part.chain(by_request.map(|lost| lost.run)).collect()
    }

    fn quarantined_parts(&self, now: Millis) -> impl Iterator<Item = PartHash> {
        self.quarantines.keys().filter_map(move |suspect| match suspect {
            Suspect::Part(part) => self.rest(*suspect, now).map(|_rest| *part),
            Suspect::Request(_) => None,
        })
    }

    pub(crate) fn history(&self, suspect: Suspect) -> History {
        let proven_at = self.proven_at(suspect);
        let was_quarantined =
            self.quarantines.get(&suspect).is_some_and(|known| !known.is_released);
        match proven_at {
            None if was_quarantined => History::Probation,
            Some(_) => History::Proven,
            None => History::Unproven,
        }
    }

    /// Releases quarantined parts whose crashes another quarantined part explains.
    fn release_redundant(&mut self, now: Millis) {
        loop {
            let quarantined: BTreeSet<PartHash> = self.quarantined_parts(now).collect();
            let Some(part) = redundant_part(&self.crashes, &quarantined) else { return };
            if let Some(known) = self.quarantines.get_mut(&Suspect::Part(part)) {
                known.is_released = true;
            }
        }
    }

    /// Whether nothing needs a review.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.lost_runs.is_empty() && self.quarantines.is_empty()
    }
}
