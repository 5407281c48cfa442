//! What entries tell each other about parts of prompts that crash replicas.

use crate::{PartHash, RequestHash, RunHash};
use ibissail_core::Millis;
use serde::{Deserialize, Serialize};

/// Largest encoded evidence, in bytes, by the estimates below; a datagram carries 1,400.
const MAX_EVIDENCE_BYTES: usize = 1_150;
/// Most bytes of a crash without its requests, of a request without its parts, and of a part.
const CRASH_BYTES: usize = 24;
const REQUEST_BYTES: usize = 9;
const PART_BYTES: usize = 9;
/// Most bytes of a part with a time.
const DATED_PART_BYTES: usize = 19;
/// Most sound and most quarantined parts in one message, which leave room for a crash.
const MAX_TOLD_SOUND: usize = 24;
const MAX_TOLD_QUARANTINES: usize = 16;

/// A request that may have caused a crash, with its parts.
pub type SuspectRequest = (RequestHash, Vec<PartHash>);
/// A crash, as told to peers: the run, the time since then and the requests that may have caused it.
pub type ToldCrash = (RunHash, Millis, Vec<SuspectRequest>);

/// What one entry tells its peers about parts that crash replicas; all times are ages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Recent crashes.
    #[serde(default)]
    pub crashes: Vec<ToldCrash>,
    /// Parts that others blame, with the time since the latest answer that proves them sound.
    #[serde(default)]
    pub sound: Vec<(PartHash, Millis)>,
    /// Quarantined parts, with the time since their quarantine began.
    #[serde(default)]
    pub quarantined: Vec<(PartHash, Millis)>,
}

impl CrashEvidence {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.quarantined.is_empty()
    }

    fn bytes(&self) -> usize {
        let dated = self.sound.len() + self.quarantined.len();
        let crashes: usize = self.crashes.iter().map(crash_bytes).sum();
        crashes + dated * DATED_PART_BYTES
    }

    pub(crate) fn has_room_for_part(&self) -> bool {
        self.sound.len() < MAX_TOLD_SOUND
    }

    pub(crate) fn has_room_for_quarantine(&self) -> bool {
        self.quarantined.len() < MAX_TOLD_QUARANTINES
    }

    /// Adds a crash if it fits; requests that do not fit even alone are left out.
    pub(crate) fn push_crash(&mut self, mut crash: ToldCrash) -> bool {
        let left = MAX_EVIDENCE_BYTES.saturating_sub(self.bytes());
        while self.crashes.is_empty() && crash_bytes(&crash) > left && crash.2.len() > 1 {
            crash.2.pop();
        }
        let fits = crash_bytes(&crash) <= left;
        if fits {
            self.crashes.push(crash);
        }
        fits
    }
}

fn crash_bytes((_run, _age, requests): &ToldCrash) -> usize {
    let requests = requests.iter().map(|(_, parts)| REQUEST_BYTES + parts.len() * PART_BYTES);
    CRASH_BYTES + requests.sum::<usize>()
}
