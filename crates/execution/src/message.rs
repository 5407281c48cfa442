//! Messages of the protocol between entries and sidecars.

use crate::{Claim, FencingToken, RunKey, RunOutcome};
use derive_more::Display;
use ibissail_catalogue::{Document, DocumentRevision};
use ibissail_core::{
    Fault, Incarnation, Millis, OrganisationId, RequestId, Revision, Target, VmId,
};
use serde::{Deserialize, Serialize};

/// HTTP paths of the protocol between processes.
pub mod paths {
    /// Starts a run; the response is a stream of frames.
    pub const RUN: &str = "/v0/run";
    /// Reads a run from an offset; the response is a stream of frames.
    pub const ATTACH: &str = "/v0/attach";
    /// Cancels an attempt that the entry no longer reads. Keyed runs are not cancelled.
    pub const CANCEL: &str = "/v0/cancel";
    /// Confirms that the entry has received complete responses, with their usage records.
    pub const CONFIRM: &str = "/v0/confirm";
    /// Reports usage records that are durable in a ledger.
    pub const SETTLE: &str = "/v0/settle";
    /// Reads the state and load of a sidecar.
    pub const PROBE: &str = "/v0/probe";
    /// Reads the newest list of VMs that the receiver has from the platform or another process.
    pub const VMS: &str = "/v0/vms";
    /// Tells another entry what crashes upstreams. Earlier builds refuse it.
    pub const CRASHES: &str = "/v0/crashes";
    /// Exchanges settings documents (anti-entropy).
    pub const EXCHANGE: &str = "/v0/exchange";
}

/// Asks a sidecar to run a request on its upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identity of the run.
    pub key: RunKey,
    /// Incarnation of the sidecar that the request is addressed to.
    pub incarnation: Incarnation,
    /// The sidecar's clock at the probe that this request is based on; the sidecar rejects requests
    /// whose ticket is too old.
    pub ticket: Millis,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Model version or service to run.
    pub target: Target,
    /// Whether the request belongs to a session.
    pub session: bool,
    /// Time left until the deadline.
    pub time_left: Millis,
    /// Hash of method, path and body, which a retry with the same idempotency key must match; 0 for
    /// chat completions.
    pub fingerprint: u64,
    /// HTTP method of the request to the upstream.
    pub method: String,
    /// Request path at the upstream.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Revisions of the settings documents that the sender's decision is based on.
    #[serde(rename = "stamps")]
    pub revisions: Vec<DocumentRevision>,
    /// Settings documents that the sidecar requested in a refusal.
    pub documents: Vec<Document>,
    /// The claim that permits a keyed run; `None` for an attempt.
    pub claim: Option<VersionedClaim>,
}

/// A claim with its revision in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedClaim {
    /// The claim.
    pub claim: Claim,
    /// Revision of the claim object.
    pub revision: Revision,
}

/// Error reply to a message. A refused run request has not started a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub fault: Fault,
    /// Keys of settings documents that are stale or missing at the sidecar.
    pub wanted: Vec<String>,
    /// Settings documents that are newer than the sender's.
    pub newer: Vec<Document>,
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        Self { fault, wanted: Vec::new(), newer: Vec::new() }
    }
}

/// Asks for the response of a run, from an offset on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttachRequest {
    /// The run.
    pub key: RunKey,
    /// Incarnation of the sidecar that the request is addressed to.
    pub incarnation: Incarnation,
    /// Offset of the first byte to send.
    #[serde(rename = "from")]
    pub offset: u64,
    /// Fences a keyed run that has not started: it must not start under this token or a lower one.
    #[serde(rename = "bar")]
    pub fence: Option<FencingToken>,
}

impl RunRequest {
    /// Fencing token of the claim; 0 without a claim.
    #[must_use]
    pub fn fencing_token(&self) -> FencingToken {
        self.claim.as_ref().map(|versioned| versioned.claim.fencing_token).unwrap_or_default()
    }
}

/// Asks a sidecar to cancel an attempt. Has no effect on a keyed run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The run.
    pub key: RunKey,
}

/// Confirms that the entry has received complete responses, which are billed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// One for each response.
    pub confirmations: Vec<Confirmation>,
}

/// Confirms that the entry has received the complete response of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirmation {
    /// The run.
    pub key: RunKey,
    /// Usage record that the sidecar keeps until it is durable.
    pub record: ibissail_billing::UsageRecord,
}

/// Reports usage records that are durable in a ledger.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Requests whose records no longer need to be kept.
    pub requests: Vec<RequestId>,
}

/// One frame of a run's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The run, by which the reader detects a response that belongs to another run.
    pub key: RunKey,
    /// Payload.
    pub kind: FrameKind,
}

/// Payload of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// The run is in progress; sent periodically while there are no bytes to send.
    #[serde(rename = "Alive")]
    KeepAlive,
    /// Bytes of the response.
    #[serde(rename = "Piece")]
    Chunk {
        /// Offset of the first byte in the response.
        offset: u64,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The run has ended; the last frame that earlier builds read.
    End(RunOutcome),
    /// The upstream has ended under the run, whose end was told before.
    UpstreamEnded(UpstreamRun),
}

/// Number of a run of the upstream's process, counted by one incarnation of its sidecar.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UpstreamRun(pub u64);

/// Tells another entry what crashes upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The evidence, encoded by itself with the names of its fields, so that builds may add some.
    #[serde(with = "serde_bytes")]
    pub evidence: Vec<u8>,
}

/// Whether a sidecar accepts new runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SidecarState {
    /// It has not received its settings yet.
    Starting,
    /// It accepts new runs.
    Ready,
    /// It finishes the runs in progress and accepts no new ones.
    Draining,
}

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in progress.
    pub in_flight: u32,
    /// Maximum number of concurrent runs.
    pub concurrency: u32,
}

/// Asks a sidecar for its state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {}

/// State and load of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// VM of the sidecar.
    pub vm: VmId,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Model version or service that its upstream serves.
    pub offers: Target,
    /// Whether it accepts new runs.
    pub state: SidecarState,
    /// Load of its upstream.
    pub load: Load,
    /// The sidecar's clock, which run requests return as their ticket.
    pub ticket: Millis,
    /// Digest of its settings documents.
    pub digest: u64,
}
