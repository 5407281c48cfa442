//! Runs on a sidecar: at most once, whole answers, re-attachment.

mod assembly;
mod claim;
mod message;
mod run;
mod table;

pub use assembly::{Assembly, AssemblyError, Digest};
pub use claim::{
    Claim, ClaimNumber, ClaimStep, ClaimView, Outcome, claim_key, fingerprint, next_step,
};
pub use message::{
    AttachRequest, CancelRequest, ConfirmRequest, Confirmation, Frame, FrameKind, HeldClaim, Load,
    Probe, ProbeReply, Refusal, RunRequest, SettleRequest, SidecarState, paths,
};
pub use run::{Ending, RunKey, TokenCounts};
pub use table::{Admission, Bounds, RunTable, View};
