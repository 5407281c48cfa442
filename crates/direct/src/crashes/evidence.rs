//! What entries tell each other about requests and parts of prompts that crash replicas.

use crate::{ContentHash, PartHash, RequestHash, RunHash, ToldRun};
use ibissail_core::Millis;
use serde::{Deserialize, Serialize};

/// Largest encoded evidence, in bytes, by the estimates below; a datagram carries 1,400.
const MAX_EVIDENCE_BYTES: usize = 1_150;
/// Most bytes of a crash without its requests, of a request without its parts, and of a part.
const CRASH_BYTES: usize = 24;
const REQUEST_BYTES: usize = 9;
const PART_BYTES: usize = 9;
/// Most bytes of a part or a request with a time, of one with two times, and of a lost run.
const DATED_BYTES: usize = 19;
const TWICE_DATED_BYTES: usize = 28;
const LOST_RUN_BYTES: usize = 42;
/// Most sound and most quarantined parts and requests in one message, which leave room for a crash.
const MAX_TOLD_SOUND: usize = 24;
const MAX_TOLD_QUARANTINES: usize = 16;

/// A request that may have caused a crash, with its parts.
pub type SuspectRequest = (RequestHash, Vec<PartHash>);
/// A crash, as told to peers: the run, the time since then and the requests that may have caused it.
pub type ToldCrash = (RunHash, Millis, Vec<SuspectRequest>);

/// What one entry tells its peers about what crashes replicas; all times are ages.
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
    /// Parts that are quarantined until a probe, with the time since their quarantine began, and that
    /// since a request was last let through.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tentative: Vec<(PartHash, Millis, Option<Millis>)>,
    /// Recent attempts whose replicas have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost_runs: Vec<ToldRun>,
    /// Requests that others blame, with the time since the latest answer that proves them sound.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sound_requests: Vec<(ContentHash, Millis)>,
    /// Quarantined requests, with the time since their quarantine began and its length.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined_requests: Vec<(ContentHash, Millis, Millis)>,
}

impl CrashEvidence {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.lost_runs.is_empty()
            && self.sound_count() == 0
            && self.quarantined_count() == 0
    }

    fn sound_count(&self) -> usize {
        self.sound.len() + self.sound_requests.len()
    }

    fn quarantined_count(&self) -> usize {
        self.quarantined.len() + self.tentative.len() + self.quarantined_requests.len()
    }

    fn bytes(&self) -> usize {
        let crashes: usize = self.crashes.iter().map(crash_bytes).sum();
        let dated = self.sound_count() + self.quarantined.len();
        crashes
            + dated * DATED_BYTES
            + self.tentative.len() * TWICE_DATED_BYTES
            + self.quarantined_requests.len() * TWICE_DATED_BYTES
            + self.lost_runs.len() * LOST_RUN_BYTES
    }

    pub(crate) fn has_room_for_sound(&self) -> bool {
        self.sound_count() < MAX_TOLD_SOUND
    }

    pub(crate) fn has_room_for_quarantine(&self) -> bool {
        self.quarantined_count() < MAX_TOLD_QUARANTINES
    }

    /// Number of lost runs that fit, so that half of the room is left for crashes.
    pub(crate) fn room_for_lost_runs(&self) -> usize {
        MAX_EVIDENCE_BYTES.saturating_sub(self.bytes()) / 2 / LOST_RUN_BYTES
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
