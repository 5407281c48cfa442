//! How entries tell each other about parts of prompts that crash replicas.

use crate::{
    CrashEvidence, CrashQuarantine, PartHash, QUARANTINE_TIME, RequestHash,
    crash_quarantine::{MIN_BLAMED_CRASHES, Quarantine, TELL_COUNT},
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
        let mut quarantined: Vec<(PartHash, Millis)> = self
            .quarantines
            .iter()
            .filter(|(part, _)| self.rest(**part, now).is_some())
            .map(|(part, known)| (*part, now.since(known.since)))
            .collect();
        quarantined.sort_by_key(|(_, age)| *age);
        for part in quarantined {
            if evidence.has_room_for_quarantine() {
                evidence.quarantined.push(part);
            }
        }
        self.tell_sound(&mut evidence, now);
        self.tell_crashes(&mut evidence, now);
        (!evidence.is_empty()).then_some(evidence)
    }

    fn tell_sound(&mut self, evidence: &mut CrashEvidence, now: Millis) {
        let mut due: Vec<(PartHash, u32)> =
            self.to_tell.iter().map(|(part, left)| (*part, *left)).collect();
        due.sort_by_key(|(_, left)| Reverse(*left));
        for (part, left) in due {
            if !evidence.has_room_for_part() {
                return;
            }
            if let Some(proven) = self.sound.proven_at(part) {
                evidence.sound.push((part, now.since(proven)));
            }
            if left > 1 {
                self.to_tell.insert(part, left - 1);
            } else {
                self.to_tell.remove(&part);
            }
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
        for (part, age) in &evidence.sound {
            let known = self.sound.proven_at(*part);
            let is_later = known.is_none_or(|known| at(*age) > known.saturating_add(CLOCK_SLACK));
            if is_later {
                let was_blamed = self.is_blamed(*part);
                self.sound.record(*part, at(*age));
                if was_blamed || known.is_none() {
                    self.to_tell.insert(*part, TELL_COUNT);
                }
            }
        }
        for (run, age, requests) in &evidence.crashes {
            for (request, parts) in requests {
                self.crashes.add(*run, at(*age), *request, parts.iter().copied(), now);
                for part in parts {
                    self.tell_if_sound(*part);
                }
            }
        }
        for (part, age) in &evidence.quarantined {
            self.tell_if_sound(*part);
            let is_new = self
                .quarantines
                .get(part)
                .is_none_or(|known| at(*age) > known.since.saturating_add(QUARANTINE_SLACK));
            if is_new && *age < QUARANTINE_TIME {
                let since = at(*age);
                self.insert(*part, Quarantine { since, is_released: false, is_reported: false });
            }
        }
    }

    /// Has the peers told that a part they blame is known to be sound.
    fn tell_if_sound(&mut self, part: PartHash) {
        let crashes = self.crashes.count_with(part).map_or(0, |(count, _)| count);
        let is_blamed = crashes >= MIN_BLAMED_CRASHES || self.quarantines.contains_key(&part);
        if is_blamed && self.sound.proven_at(part).is_some() {
            self.to_tell.insert(part, TELL_COUNT);
        }
    }
}
