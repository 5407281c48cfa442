//! Attempts that were given up before it was known whether they crash their replicas.

use crate::{LostRun, PartHash, RunHash};
use ibissail_core::Millis;
use std::collections::VecDeque;

/// Time from the end of an attempt after which a crash of its replica is not held against it.
pub const GIVEN_UP_TTL: Millis = Millis(1_000);
/// Most attempts remembered; the earliest are forgotten first.
const MAX_GIVEN_UP: usize = 256;

/// An attempt that may crash its replica, or has done so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectAttempt {
    /// The attempt, with the time at which it ended.
    pub lost: LostRun,
    /// Whether the request as a whole may be the cause; a response to it may have ended.
    pub is_request_suspect: bool,
    /// The parts of its prompt that may be the cause, with their names for the log.
    pub parts: Vec<(PartHash, String)>,
}

/// The attempts that have ended lately without a complete response and without a broken connection,
/// as when another replica has taken the request over or the caller has left.
#[derive(Debug, Clone, Default)]
pub struct GivenUpAttempts {
    /// In the order of their ends.
    attempts: VecDeque<SuspectAttempt>,
}

impl GivenUpAttempts {
    /// Adds an attempt that has just ended.
    pub fn add(&mut self, attempt: SuspectAttempt) {
        self.expire(attempt.lost.ended_at);
        if self.attempts.len() >= MAX_GIVEN_UP {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }

    /// Whether an attempt at this run of a replica has ended lately.
    #[must_use]
    pub fn has_any(&self, run: RunHash, now: Millis) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.lost.run == run && is_recent(attempt, now))
    }

    /// Takes the attempts that may have crashed a run of a replica that has ended at `ended_at`.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{
    ///     ContentHash, GivenUpAttempts, LostRun, RequestHash, RunHash, SuspectAttempt,
    /// };
    /// let lost = LostRun {
    ///     run: RunHash(1),
    ///     request: RequestHash(2),
    ///     content: ContentHash(3),
    ///     began_at: Millis(500),
    ///     ended_at: Millis(900),
    /// };
    /// let mut given_up = GivenUpAttempts::default();
    /// given_up.add(SuspectAttempt { lost, is_request_suspect: true, parts: Vec::new() });
    /// assert_eq!(given_up.take(RunHash(1), Millis(1_000)).len(), 1);
    /// assert_eq!(given_up.take(RunHash(1), Millis(1_000)).len(), 0);
    /// ```
    pub fn take(&mut self, run: RunHash, ended_at: Millis) -> Vec<SuspectAttempt> {
        let is_taken =
            |attempt: &SuspectAttempt| attempt.lost.run == run && is_recent(attempt, ended_at);
        let taken = self.attempts.iter().filter(|attempt| is_taken(attempt)).cloned().collect();
        self.attempts.retain(|attempt| !is_taken(attempt));
        taken
    }

    fn expire(&mut self, now: Millis) {
        while self.attempts.front().is_some_and(|attempt| !is_recent(attempt, now)) {
            self.attempts.pop_front();
        }
    }
}

fn is_recent(attempt: &SuspectAttempt, now: Millis) -> bool {
    now.since(attempt.lost.ended_at) < GIVEN_UP_TTL
}
