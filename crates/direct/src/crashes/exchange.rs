//! How entries tell each other about requests and parts of prompts that crash replicas.

use crate::{
    CrashEvidence, CrashQuarantine, PartHash, QUARANTINE_TIME, RequestHash, Suspect,
    crashes::{
        quarantine::{MIN_BLAMED_CRASHES, Quarantine, TELL_COUNT},
        tentative::TENTATIVE_TIME,
    },
};
use ibissail_core::Millis;
use std::{cmp::Reverse, collections::BTreeMap};

/// Difference below which two times of the same event at two entries are taken as equal, so that a
/// time does not grow with each entry that passes it on.
const CLOCK_SLACK: Millis = Millis(250);
/// The same for the start of a quarantine, which entries may also decide separately.
const QUARANTINE_SLACK: Millis = Millis(5_000);

impl CrashQuarantine {
    /// Evidence for the peers, with the crashes that were told least often; `None` if there is
    /// nothing to tell.
    pub fn evidence(&mut self, now: Millis) -> Option<CrashEvidence> {
        let mut evidence = CrashEvidence::default();
        self.tell_quarantines(&mut evidence, now);
        self.tell_sound(&mut evidence, now);
        self.tell_lost_runs(&mut evidence, now);
        self.tell_crashes(&mut evidence, now);
        (!evidence.is_empty()).then_some(evidence)
    }

    /// Tells the quarantines that began last.
    fn tell_quarantines(&self, evidence: &mut CrashEvidence, now: Millis) {
        let in_effect =
            self.quarantines.iter().filter(|(suspect, _)| self.rest(**suspect, now).is_some());
        let in_effect = in_effect.map(|(suspect, known)| (now.since(known.since), suspect, known));
        let mut in_effect: Vec<_> = in_effect.collect();
        in_effect.sort_by_key(|(age, suspect, _)| (*age, **suspect));
        for (age, suspect, known) in in_effect {
            if !evidence.has_room_for_quarantine() {
                return;
            }
            match suspect {
                Suspect::Request(content) => {
                    evidence.quarantined_requests.push((*content, age, known.time));
                }
                Suspect::Part(part) => match known.tentative {
                    Some(tentative) => {
                        let probed = Some(now.since(tentative.probed_at));
                        let probed = probed.filter(|_| tentative.probed_at > Millis(0));
                        evidence.tentative.push((*part, age, probed));
                    }
                    None => evidence.quarantined.push((*part, age)),
                },
            }
        }
    }

    fn tell_sound(&mut self, evidence: &mut CrashEvidence, now: Millis) {
        let mut due: Vec<(Suspect, u32)> =
            self.to_tell.iter().map(|(suspect, left)| (*suspect, *left)).collect();
        // Peers that know nothing yet blame first what has met most crashes.
        due.sort_by_key(|(suspect, left)| Reverse((*left, self.crash_count(*suspect))));
        for (suspect, left) in due {
            if !evidence.has_room_for_sound() {
                return;
            }
            let age = self.proven_at(suspect).map(|proven| now.since(proven));
            match (suspect, age) {
                (Suspect::Request(content), Some(age)) => {
                    evidence.sound_requests.push((content, age));
                }
                (Suspect::Part(part), Some(age)) => evidence.sound.push((part, age)),
                (_, None) => {}
            }
            if left > 1 {
                self.to_tell.insert(suspect, left - 1);
            } else {
                self.to_tell.remove(&suspect);
            }
        }
    }

    /// Tells the lost runs of requests that may have caused them.
    fn tell_lost_runs(&mut self, evidence: &mut CrashEvidence, now: Millis) {
        let due = self.lost_runs.due(TELL_COUNT).into_iter();
        let due = due.filter(|lost| self.is_suspect(Suspect::Request(lost.content), lost.ended_at));
        let due: Vec<_> = due.take(evidence.room_for_lost_runs()).collect();
        for lost in due {
            evidence.lost_runs.push(lost.told(now));
            self.lost_runs.record_told(&lost);
        }
    }

    fn tell_crashes(&mut self, evidence: &mut CrashEvidence, now: Millis) {
        let due = self.crashes.iter().filter(|(_, crash)| crash.told < TELL_COUNT);
        let mut due: Vec<_> = due.map(|(run, crash)| (crash.told, crash.at, run)).collect();
        due.sort_unstable();
        for (_, _, run) in due {
            let Some((_, crash)) = self.crashes.iter().find(|(known, _)| *known == run) else {
                continue;
            };
            let mut requests: BTreeMap<RequestHash, Vec<PartHash>> = BTreeMap::new();
            for (request, part) in self.suspects(crash) {
                requests.entry(request).or_default().push(part);
            }
            if requests.is_empty() {
                continue;
            }
            if !evidence.push_crash((run, now.since(crash.at), requests.into_iter().collect())) {
                return;
            }
            self.crashes.record_told(run);
        }
    }

    /// Adds what a peer has told.
    pub fn merge(&mut self, evidence: &CrashEvidence, now: Millis) {
        let at = |age: Millis| now.since(age);
        let parts = evidence.sound.iter().map(|(part, age)| (Suspect::Part(*part), *age));
        let requests = evidence.sound_requests.iter();
        let requests = requests.map(|(content, age)| (Suspect::Request(*content), *age));
        for (suspect, age) in parts.chain(requests) {
            self.merge_proof(suspect, at(age));
        }
        for told in &evidence.lost_runs {
            let lost = told.at(now);
            self.lost_runs.add(lost, false, now);
            self.tell_if_sound(Suspect::Request(lost.content));
        }
        for (run, age, requests) in &evidence.crashes {
            for (request, parts) in requests {
                self.crashes.add(*run, at(*age), *request, parts.iter().copied(), now);
                for part in parts {
                    self.tell_if_sound(Suspect::Part(*part));
                }
            }
        }
        for (part, age) in &evidence.quarantined {
            self.merge_quarantine(Suspect::Part(*part), *age, QUARANTINE_TIME, now);
        }
        for (part, age, probed) in &evidence.tentative {
            self.merge_tentative(*part, *age, now);
            if let Some(age) = probed {
                self.merge_probe(*part, *age, now);
            }
        }
        for (content, age, time) in &evidence.quarantined_requests {
            self.merge_quarantine(Suspect::Request(*content), *age, *time, now);
        }
    }

    fn merge_proof(&mut self, suspect: Suspect, proven: Millis) {
        let known = self.proven_at(suspect);
        if known.is_some_and(|known| proven <= known.saturating_add(CLOCK_SLACK)) {
            return;
        }
        let was_blamed = self.is_blamed(suspect);
        self.add_proof(suspect, proven);
        if was_blamed || known.is_none() {
            self.to_tell.insert(suspect, TELL_COUNT);
        }
    }

    fn merge_quarantine(&mut self, suspect: Suspect, age: Millis, time: Millis, now: Millis) {
        self.tell_if_sound(suspect);
        let since = now.since(age);
        let known = self.quarantines.get(&suspect);
        let is_new = known.is_none_or(|known| {
            known.tentative.is_some() || since > known.since.saturating_add(QUARANTINE_SLACK)
        });
        let time = time.min(QUARANTINE_TIME);
        if is_new && age < time {
            self.insert(suspect, Quarantine::new(since, time));
        }
    }

    /// Adds a tentative quarantine, unless this entry knows of a longer one or has released it since.
    fn merge_tentative(&mut self, part: PartHash, age: Millis, now: Millis) {
        let suspect = Suspect::Part(part);
        self.tell_if_sound(suspect);
        let since = now.since(age);
        let known = self.quarantines.get(&suspect);
        let is_new = known.is_none_or(|known| {
            since > known.since.saturating_add(QUARANTINE_SLACK) && since > known.released_at
        });
        if is_new && self.rest(suspect, now).is_none() && age < TENTATIVE_TIME {
            let (crashes, _) = self.crashes.count_with(part).unwrap_or_default();
            self.insert(suspect, self.tentative(suspect, since, crashes));
        }
    }

    /// Has the peers told that what they blame is known to be sound.
    fn tell_if_sound(&mut self, suspect: Suspect) {
        let crashes = self.crash_count(suspect);
        let is_blamed = crashes >= MIN_BLAMED_CRASHES || self.quarantines.contains_key(&suspect);
        if is_blamed && self.proven_at(suspect).is_some() {
            self.to_tell.insert(suspect, TELL_COUNT);
        }
    }

    /// Number of recorded crashes that this may have caused.
    fn crash_count(&self, suspect: Suspect) -> usize {
        match suspect {
            Suspect::Request(content) => self.lost_runs.with(content).count(),
            Suspect::Part(part) => self.crashes.count_with(part).map_or(0, |(count, _)| count),
        }
    }
}
