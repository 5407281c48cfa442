//! Compares a rollout read from the store with the one known, also after the store was restored
//! from an older copy of itself.

use crate::{Rollout, RolloutState};
use ibissail_core::{Revision, VersionId};
use std::collections::VecDeque;

/// Most records of earlier rollouts of a service that are remembered.
const MAX_EARLIER_RECORDS: usize = 64;

/// What a rollout read from the store means for an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutChange {
    /// The record is known already, or an earlier one that a restore has brought back.
    Outdated,
    /// A newer status of the known rollout.
    Status,
    /// The known rollout, whose status the store has lost in part or altogether.
    Restored,
    /// Another rollout.
    Other,
}

/// The records of a service's rollout objects that an entry has read.
///
/// A restored store returns earlier records unchanged, with their revisions, so that a record that
/// was read before and has been superseded since is recognised.
#[derive(Debug, Clone, Default)]
pub struct RolloutRecords {
    earlier: VecDeque<(VersionId, Revision)>,
}

impl RolloutRecords {
    /// Remembers a record that has been read.
    pub fn remember(&mut self, rollout: &Rollout) {
        if self.earlier.len() >= MAX_EARLIER_RECORDS {
            self.earlier.pop_front();
        }
        self.earlier.push_back((rollout.target.clone(), rollout.revision.revision));
    }

    /// Compares a record with the known rollout.
    #[must_use]
    pub fn compare(&self, known: &Rollout, read: &Rollout) -> RolloutChange {
        if read.revision <= known.revision {
            return RolloutChange::Outdated;
        }
        let is_same = read.target == known.target;
        if read.revision.epoch > known.revision.epoch {
            return match is_same {
                true => RolloutChange::Restored,
                false if self.was_read(read) => RolloutChange::Outdated,
                false => RolloutChange::Other,
            };
        }
        if is_same && (read.state.is_final() || !known.state.is_final()) {
            RolloutChange::Status
        } else {
            RolloutChange::Other
        }
    }

    fn was_read(&self, read: &Rollout) -> bool {
        let record = (read.target.clone(), read.revision.revision);
        self.earlier.contains(&record)
    }
}

/// The state of a rollout that is known in one state and read in another after a restore: the more
/// advanced one. A final state is never taken back.
#[must_use]
pub fn restored_state(known: RolloutState, read: RolloutState) -> RolloutState {
    if known.is_final() { known } else { known.max(read) }
}
