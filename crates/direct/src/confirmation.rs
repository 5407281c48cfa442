//! Confirmations that an entry's cached state is current, based on another entry's store reads.
//!
//! Changes arrive through watches. A watch that delivers nothing does not show that nothing has
//! changed, so the current state is also read from the store at intervals.
//!
//! They keep many entries from overloading one store: one entry reads, and confirms to the others
//! that its read matches their state. A confirmation responds to a question and is valid from the
//! time the question was asked, on the asking entry's clock; the read was sent after that.

use ibissail_core::{Epoch, Incarnation, Millis, Revision};
use serde::{Deserialize, Serialize};

/// Result of a read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Confirmed {
    /// Revision of the newest configuration.
    Configuration(Revision),
    /// Digest of the list of replicas.
    Replicas(u64),
    /// Digest of the list of evacuated zones; entries of earlier builds ignore the message.
    Evacuations(u64),
    /// Digest of the list of rollouts; entries of earlier builds ignore the message.
    Rollouts(u64),
}

/// Response to an entry's question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Run of the entry that asked.
    pub to: Incarnation,
    /// Time of the question, on the asking entry's clock.
    pub asked: Millis,
    /// Result of a read that was sent after the question.
    pub confirmed: Confirmed,
}

/// Result of a read from the store, in terms that hold across restores of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EpochConfirmed {
    /// Version of the newest configuration.
    Configuration(u64),
    /// Digest of the list of replicas.
    Replicas(u64),
    /// Digest of the list of evacuated zones; entries of earlier builds ignore the message.
    Evacuations(u64),
    /// Digest of the list of rollouts; entries of earlier builds ignore the message.
    Rollouts(u64),
}

/// Response to an entry's question by an entry that knows the epoch of the store. It confirms
/// nothing to an entry that knows another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochConfirmation {
    /// Run of the entry that asked.
    pub to: Incarnation,
    /// Time of the question, on the asking entry's clock.
    pub asked: Millis,
    /// Epoch of the store at the read.
    pub epoch: Epoch,
    /// Result of a read that was sent after the question.
    pub confirmed: EpochConfirmed,
}

/// How often a value is read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Interval between the reads of an entry that reads for others.
    pub reader_interval: Millis,
    /// Age of the last confirmation from which any other entry reads for itself.
    pub fallback_age: Millis,
}

impl ReadSchedule {
    /// Time until the next read; zero if there has been none.
    ///
    /// `is_reader` says whether this entry reads for others, `read_at` is when it last sent a read,
    /// and `confirmed_at` the time at which its cached state was last known to be current.
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
