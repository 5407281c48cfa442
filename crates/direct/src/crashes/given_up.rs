//! Attempts that were given up before it was known whether they crash their replicas.

use crate::{LostRun, PartHash, RunHash};
use ibissail_core::{InstanceId, Millis};
use std::collections::VecDeque;

/// Time from the end of an attempt after which a crash of its replica is not held against it.
pub const GIVEN_UP_TTL: Millis = Millis(1_000);
/// Time for which attempts without a response are kept, as peers may tell of a crash later.
const RETENTION_TIME: Millis = Millis(3_000);
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

/// A complete response that ended too soon to prove the parts of its prompt sound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortResponse {
    /// The replica.
    pub replica: InstanceId,
    /// The parts of the prompt.
    pub parts: Vec<PartHash>,
    /// When the replica began to answer.
    pub began_at: Millis,
    /// When the response was complete.
    pub ended_at: Millis,
}

#[derive(Debug, Clone)]
struct EndedAttempt {
    attempt: SuspectAttempt,
    response: Option<ShortResponse>,
}

/// The attempts that have ended lately without a broken connection, and that their replicas may end
/// under nevertheless: those without a complete response, as when another replica has taken the
/// request over or the caller has left, and those with a short one.
#[derive(Debug, Clone, Default)]
pub struct GivenUpAttempts {
    /// In the order of their ends.
    attempts: VecDeque<EndedAttempt>,
    /// Short responses whose replicas have gone on for long enough.
    outlived: Vec<ShortResponse>,
}

impl GivenUpAttempts {
    /// Adds an attempt that has just ended without a complete response.
    pub fn add(&mut self, attempt: SuspectAttempt) {
        self.push(EndedAttempt { attempt, response: None });
    }

    /// Adds an attempt that has just ended with a short response.
    pub fn add_short(&mut self, attempt: SuspectAttempt, response: ShortResponse) {
        self.push(EndedAttempt { attempt, response: Some(response) });
    }

    fn push(&mut self, ended: EndedAttempt) {
        self.expire(ended.attempt.lost.ended_at);
        if self.attempts.len() >= MAX_GIVEN_UP {
            let earliest = self.attempts.pop_front();
            self.outlived.extend(earliest.and_then(|earliest| earliest.response));
        }
        self.attempts.push_back(ended);
    }

    /// Whether an attempt at this run of a replica has ended lately.
    #[must_use]
    pub fn has_any(&self, run: RunHash, now: Millis) -> bool {
        let mut attempts = self.attempts.iter().map(|ended| &ended.attempt);
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
        let is_taken = |ended: &EndedAttempt| {
            ended.attempt.lost.run == run && is_recent(&ended.attempt, ended_at)
        };
        let taken = self.attempts.iter().filter(|ended| is_taken(ended));
        let taken = taken.map(|ended| ended.attempt.clone()).collect();
        self.attempts.retain(|ended| !is_taken(ended));
        taken
    }

    /// Takes the short responses whose replicas have not ended for a while, so that they prove their
    /// parts sound.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{
    ///     ContentHash, GIVEN_UP_TTL, GivenUpAttempts, LostRun, PartHash, RequestHash, RunHash,
    ///     ShortResponse, SuspectAttempt,
    /// };
    /// let lost = LostRun {
    ///     run: RunHash(1),
    ///     request: RequestHash(2),
    ///     content: ContentHash(3),
    ///     began_at: Millis(500),
    ///     ended_at: Millis(900),
    /// };
    /// let part = PartHash(4);
    /// let attempt =
    ///     SuspectAttempt { lost, is_request_suspect: false, parts: vec![(part, "4".to_owned())] };
    /// let response = ShortResponse {
    ///     replica: "writers-1".parse().expect("a name"),
    ///     parts: vec![part],
    ///     began_at: Millis(600),
    ///     ended_at: Millis(900),
    /// };
    /// let mut given_up = GivenUpAttempts::default();
    /// given_up.add_short(attempt, response.clone());
    /// assert_eq!(given_up.take_outlived(Millis(1_000)), []);
    /// assert_eq!(given_up.take_outlived(Millis(900 + GIVEN_UP_TTL.0)), [response]);
    /// ```
    pub fn take_outlived(&mut self, now: Millis) -> Vec<ShortResponse> {
        self.expire(now);
        std::mem::take(&mut self.outlived)
    }

    fn expire(&mut self, now: Millis) {
        let (expired, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.attempts).into_iter().partition(|ended: &EndedAttempt| {
                let age = now.since(ended.attempt.lost.ended_at);
                age >= if ended.response.is_some() { GIVEN_UP_TTL } else { RETENTION_TIME }
            });
        self.attempts = kept;
        self.outlived.extend(expired.into_iter().filter_map(|ended| ended.response));
    }
}

fn is_recent(attempt: &SuspectAttempt, now: Millis) -> bool {
    now.since(attempt.lost.ended_at) < GIVEN_UP_TTL
}
