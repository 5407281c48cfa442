//! Execution of runs on a sidecar: at-most-once idempotency keys, reassembly of responses, and
//! re-attachment to a run after a broken connection.

mod claim;
mod give_up;
mod message;
mod reassembly;
mod run;
mod table;

pub use claim::{
    Claim, ClaimStep, ClaimView, FencingToken, StoredOutcome, claim_key, fingerprint, next_step,
};
pub use give_up::{Holder, HolderState, choose_given_up};
pub use message::{
    AttachRequest, CancelRequest, ConfirmRequest, Confirmation, CrashNotice, Frame, FrameKind,
    Load, Probe, ProbeReply, Refusal, RunRequest, SettleRequest, SidecarState, UpstreamRun,
    VersionedClaim, paths,
};
pub use reassembly::{Digest, Reassembler, ReassemblyError};
pub use run::{RunKey, RunOutcome, TokenCounts};
pub use table::{Admission, RunSnapshot, RunTable, RunTableLimits};
