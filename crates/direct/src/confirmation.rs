//! Confirmations of what an entry believes, given by another entry's exact reads.
//!
//! Answers the load of many entries on one store: one of them reads, and tells the others that its
//! read agrees with them. A confirmation answers a question and counts from the time at which the
//! question was asked, by the asking entry's own clock; the read was sent after that.

use ibissail_core::{Incarnation, Millis, Revision};
use serde::{Deserialize, Serialize};

/// What an exact read has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Confirmed {
    /// The newest configuration has this revision.
    Configuration(Revision),
    /// The list of replicas has this digest.
    Replicas(u64),
}

/// The answer to an entry's question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Who asked.
    pub to: Incarnation,
    /// When it asked, by its own clock.
    pub asked: Millis,
    /// What a read that was sent later has shown.
    pub confirmed: Confirmed,
}

/// How often something is read exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Time between the reads of an entry that reads for others.
    pub reader_interval: Millis,
    /// Age from which another entry reads for itself, when no confirmation has come.
    pub fallback_age: Millis,
}

impl ReadSchedule {
    /// Time until the next read.
    ///
    /// `read_at` is when this entry last sent a read, `confirmed_at` the time from which what it
    /// believes was last known to be right.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::ReadSchedule;
    /// let schedule = ReadSchedule { reader_interval: Millis(900), fallback_age: Millis(1_600) };
    /// let (read_at, confirmed_at) = (Some(Millis(0)), Some(Millis(800)));
    /// assert_eq!(schedule.due_in(true, read_at, confirmed_at, Millis(1_000)), Millis(0));
    /// assert_eq!(schedule.due_in(false, read_at, confirmed_at, Millis(1_000)), Millis(1_400));
    /// ```
    #[must_use]
    pub fn due_in(
        &self,
        is_reader: bool,
        read_at: Option<Millis>,
        confirmed_at: Option<Millis>,
        now: Millis,
    ) -> Millis {
        let (since, interval) = if is_reader {
            (read_at, self.reader_interval)
        } else {
            (confirmed_at, self.fallback_age)
        };
        since.map_or(Millis(0), |since| interval.since(now.since(since)))
    }
}
