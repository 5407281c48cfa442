//! The latest attempts of an entry: which parts and requests replicas had not yet proven sound, and
//! for how long.

use crate::Suspect;
use derive_more::Display;
use ibissail_core::Millis;
use std::collections::{BTreeSet, VecDeque};

/// Most attempts that are remembered.
const MAX_ATTEMPTS: usize = 512;
/// Time for which each attempt counts at least, as it may have just begun.
const MIN_TIME: Millis = Millis(20);
/// Attempts, half of them with a suspect, that are assumed beside those that are known.
const ASSUMED_ATTEMPTS: f64 = 2.0;

/// Identifies an attempt of this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct AttemptNumber(pub u64);

#[derive(Debug, Clone)]
struct Attempt {
    /// Hash of the service. Only requests to the same service share its replicas.
    service: u64,
    suspects: Vec<Suspect>,
    began: Millis,
    /// When it was known whether they crash replicas; `None` as long as it is not.
    settled: Option<Millis>,
}

impl Attempt {
    /// Time of the attempt in which it was not known whether it crashes its replica.
    fn time(&self, now: Millis) -> f64 {
        let end = self.settled.map_or(now, |settled| settled.min(now));
        end.since(self.began).max(MIN_TIME).0 as f64
    }
}

/// The latest attempts of this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentAttempts {
    attempts: VecDeque<Attempt>,
    /// Number of the first of these attempts.
    first: u64,
}

impl RecentAttempts {
    pub(crate) fn begin(
        &mut self,
        service: u64,
        suspects: Vec<Suspect>,
        now: Millis,
    ) -> AttemptNumber {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
            self.first += 1;
        }
        self.attempts.push_back(Attempt { service, suspects, began: now, settled: None });
        AttemptNumber(self.first + self.attempts.len() as u64 - 1)
    }

    pub(crate) fn settle(&mut self, number: AttemptNumber, at: Millis) {
        let position = number.0.checked_sub(self.first);
        let position = position.and_then(|position| usize::try_from(position).ok());
        if let Some(attempt) = position.and_then(|position| self.attempts.get_mut(position)) {
            attempt.settled.get_or_insert(at);
        }
    }

    /// Share of a suspect, from 0 to 1, in what replicas of its service have had in progress since
    /// `from`, by a standard error more than was observed; a half if no attempts are known.
    ///
    /// This bounds the probability that one request at a replica that ends for another reason, at
    /// any moment, has the suspect.
    pub(crate) fn share_of(&self, suspect: Suspect, from: Millis, now: Millis) -> f64 {
        let is_recent = |attempt: &&Attempt| attempt.settled.is_none_or(|settled| settled >= from);
        let recent = || self.attempts.iter().filter(is_recent);
        let has_suspect = |attempt: &&Attempt| attempt.suspects.contains(&suspect);
        let services: BTreeSet<u64> =
            recent().filter(has_suspect).map(|attempt| attempt.service).collect();
        let is_counted =
            |attempt: &&Attempt| services.is_empty() || services.contains(&attempt.service);
        let counted: Vec<&Attempt> = recent().filter(is_counted).collect();
        if counted.is_empty() {
            return 0.5;
        }
        let times = || counted.iter().map(|attempt| (*attempt, attempt.time(now)));
        let all: f64 = times().map(|(_, time)| time).sum();
        let with = times().filter(|(attempt, _)| attempt.suspects.contains(&suspect));
        let with: f64 = with.map(|(_, time)| time).sum();
        let assumed = ASSUMED_ATTEMPTS * all / counted.len() as f64;
        let share = (with + assumed / 2.0) / (all + assumed);
        // A few long attempts make the share less certain than as many equal ones.
        let squares: f64 = times().map(|(_, time)| time * time).sum();
        let count = all * all / squares + ASSUMED_ATTEMPTS;
        let error = (share * (1.0 - share) / count).sqrt();
        (share + error).min(1.0)
    }

    /// Share of attempts that have a part, from 0 to 1; a half if hardly any are known.
    pub(crate) fn count_share_of(&self, suspect: Suspect) -> f64 {
        let with_parts = self.attempts.iter().filter(|attempt| {
            attempt.suspects.iter().any(|suspect| matches!(suspect, Suspect::Part(_)))
        });
        let (mut with, mut all) = (0_usize, 0_usize);
        for attempt in with_parts {
            all += 1;
            with += usize::from(attempt.suspects.contains(&suspect));
        }
        (with + 1) as f64 / (all + 2) as f64
    }
}
