//! Requests, and parts of prompts, that crash replicas: evidence, its exchange, and quarantine.

mod answer_outcomes;
mod attempts;
mod blame;
mod coverage;
mod evidence;
mod exchange;
mod given_up;
mod lost_runs;
mod outage;
mod quarantine;
mod records;
mod redundancy;
mod regularity;
mod request_blame;
mod suspects;
mod tentative;

pub use attempts::AttemptNumber;
pub use evidence::{CrashEvidence, SuspectRequest, ToldCrash};
pub use given_up::{GIVEN_UP_TTL, GivenUpAttempts, ShortResponse, SuspectAttempt};
pub use lost_runs::{LostRun, ToldRun};
pub use outage::{Coverage, UnexplainedCrashes};
pub use quarantine::{
    BLAME_TIME, CrashQuarantine, FIRST_REQUEST_QUARANTINE_TIME, PROOF_EVENTS, PROOF_TIME,
    QUARANTINE_TIME, QuarantineChange, QuarantineSource,
};
pub use suspects::{ContentHash, MAX_TRACKED_PARTS, PartHash, RequestHash, RunHash, Suspect};
