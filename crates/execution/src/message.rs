//! Messages between entries and sidecars about runs.

use crate::{Claim, FencingToken, RunKey, RunOutcome};
use ibissail_catalogue::{Document, DocumentRevision};
use ibissail_core::{
    Fault, Incarnation, Millis, OrganisationId, RequestId, Revision, Target, VmId,
};
use serde::{Deserialize, Serialize};

/// Paths of the protocol between processes.
pub mod paths {
    /// Starts a run; answered by frames.
    pub const RUN: &str = "/v0/run";
    /// Reads a run from an offset; answered by frames.
    pub const ATTACH: &str = "/v0/attach";
    /// Stops a run that nobody waits for.
    pub const CANCEL: &str = "/v0/cancel";
    /// Tells that the entry has a whole answer and bills it.
    pub const CONFIRM: &str = "/v0/confirm";
    /// Tells that records are durable.
    pub const SETTLE: &str = "/v0/settle";
    /// Asks for state and load.
    pub const PROBE: &str = "/v0/probe";
    /// Asks for the list of VMs as the receiver last read it.
    pub const VMS: &str = "/v0/vms";
    /// Compares and sends settings documents.
    pub const EXCHANGE: &str = "/v0/exchange";
}

/// Asks a sidecar to run something.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identity of the run.
    pub key: RunKey,
    /// The sidecar's start that is meant.
    pub incarnation: Incarnation,
    /// The sidecar's own clock at the probe that this request rests on.
    pub ticket: Millis,
    /// Who asks.
    pub organisation: OrganisationId,
    /// What to run.
    pub target: Target,
    /// Whether the request belongs to a session.
    pub session: bool,
    /// Time left until the deadline.
    pub time_left: Millis,
    /// Hash of method, path and body, which a repeated key must match.
    pub fingerprint: u64,
    /// HTTP method for a plain service.
    pub method: String,
    /// Path at the upstream.
    pub path: String,
    /// Type of the body.
    pub content_type: String,
    /// The body for the upstream.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Versions of the settings that the sender has decided by.
    #[serde(rename = "stamps")]
    pub revisions: Vec<DocumentRevision>,
    /// Settings that the sidecar asked for.
    pub documents: Vec<Document>,
    /// The claim under which a keyed run takes place.
    pub claim: Option<VersionedClaim>,
}

/// A claim with its version in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedClaim {
    /// The claim.
    pub claim: Claim,
    /// Its version.
    pub revision: Revision,
}

/// Why a sidecar did not start a run: the run has not taken place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub fault: Fault,
    /// Settings that the sidecar lacks.
    pub wanted: Vec<String>,
    /// Settings that are newer than the sender's.
    pub newer: Vec<Document>,
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        Self { fault, wanted: Vec::new(), newer: Vec::new() }
    }
}

/// Asks for a run's answer from an offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttachRequest {
    /// The run.
    pub key: RunKey,
    /// The sidecar's start that is meant.
    pub incarnation: Incarnation,
    /// First byte wanted.
    #[serde(rename = "from")]
    pub offset: u64,
    /// A keyed run that has not begun may not begin any more under this claim or an earlier one.
    #[serde(rename = "bar")]
    pub fence: Option<FencingToken>,
}

impl RunRequest {
    /// Number of the claim under which a keyed run takes place.
    #[must_use]
    pub fn fencing_token(&self) -> FencingToken {
        self.claim.as_ref().map(|held| held.claim.fencing_token).unwrap_or_default()
    }
}

/// Asks for the end of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The run.
    pub key: RunKey,
}

/// Tells that the entry has whole answers and that they count for billing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// One for each answer.
    pub confirmations: Vec<Confirmation>,
}

/// Tells that the entry has the whole answer of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirmation {
    /// The run.
    pub key: RunKey,
    /// The record that the sidecar keeps until it is durable.
    pub record: ibissail_billing::UsageRecord,
}

/// Tells that records are durable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The requests whose records need no keeping.
    pub requests: Vec<RequestId>,
}

/// One frame of a run's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The run, so that a crossed answer is seen.
    pub key: RunKey,
    /// What it carries.
    pub kind: FrameKind,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// The run is there; repeated while there is nothing else to send.
    #[serde(rename = "Alive")]
    KeepAlive,
    /// Bytes of the answer.
    #[serde(rename = "Piece")]
    Chunk {
        /// Place of the first byte.
        offset: u64,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The end.
    End(RunOutcome),
}

/// Whether a sidecar takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SidecarState {
    /// It has no settings yet.
    Starting,
    /// It takes new work.
    Ready,
    /// It finishes what runs.
    Draining,
}

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in progress.
    pub in_flight: u32,
    /// Runs that it takes at the same time.
    pub concurrency: u32,
}

/// Asks a sidecar for its state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {}

/// State of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Its VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// What its upstream offers.
    pub offers: Target,
    /// Whether it takes new work.
    pub state: SidecarState,
    /// How busy it is.
    pub load: Load,
    /// Its own clock, which a run request brings back.
    pub ticket: Millis,
    /// Digest of its settings.
    pub digest: u64,
}
