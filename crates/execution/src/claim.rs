//! Claims: platform objects that name the only sidecar which may run an idempotency key.

use crate::RunOutcome;
use derive_more::Display;
use ibissail_core::{ErrorKind, Fault, Incarnation, OrganisationId, RequestId, Revision, VmId};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::{fmt::Write as _, net::SocketAddr};

/// Longest answer that is kept in a claim, in bytes.
const MAX_KEPT_BYTES: usize = 128 << 10;

/// How a keyed run ended, kept in its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredOutcome {
    /// The upstream's answer.
    Answer {
        /// The upstream's status.
        status: u16,
        /// Type of the answer.
        content_type: String,
        /// The answer.
        body: Vec<u8>,
    },
    /// The run failed, or its answer is too large to be kept.
    Failed(Fault),
}

impl StoredOutcome {
    /// What a claim keeps of an ending and its answer.
    #[must_use]
    pub fn from_run(outcome: &RunOutcome, body: &[u8]) -> Self {
        match outcome {
            RunOutcome::Failed(fault) => Self::Failed(fault.clone()),
            RunOutcome::Complete { .. } if body.len() > MAX_KEPT_BYTES => {
                Self::Failed(ErrorKind::AnswerGone.into())
            }
            RunOutcome::Complete { status, content_type, .. } => Self::Answer {
                status: *status,
                content_type: content_type.clone(),
                body: body.to_vec(),
            },
        }
    }
}

/// Counts the claims of one key; each is made only after the one before has been barred.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The number of the claim that replaces this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Names the sidecar that may run a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The first request with the key, under which it is billed.
    pub request: RequestId,
    /// Hash of the first request's method, path and body.
    pub fingerprint: u64,
    /// VM of the sidecar.
    pub vm: VmId,
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// The sidecar's start; no other start may run the key.
    pub incarnation: Incarnation,
    /// Rises when another sidecar is named.
    #[serde(rename = "number")]
    pub fencing_token: FencingToken,
    /// The answer, once there is one.
    pub outcome: Option<StoredOutcome>,
}

/// Platform key of a claim; the caller's key is hashed, since it may have any bytes.
///
/// # Examples
///
/// ```
/// let key = ibissail_execution::claim_key(&"huts".parse()?, "a key / with bytes");
/// assert!(key.starts_with("claims/huts/") && !key.contains(' '));
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[must_use]
pub fn claim_key(organisation: &OrganisationId, key: &str) -> String {
    let mut text = format!("claims/{organisation}/");
    for byte in &Sha256::digest(key.as_bytes())[..16] {
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}

/// Hash of a request, which a repeated key must match.
///
/// # Examples
///
/// ```
/// use ibissail_execution::fingerprint;
/// assert_ne!(fingerprint(&[b"POST", b"/pay"]), fingerprint(&[b"POST/", b"pay"]));
/// ```
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(bytes)
}

/// What the platform and the named sidecar have said about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimView {
    /// The platform has no claim.
    Absent,
    /// The platform has this claim, and the sidecar has not been asked yet.
    Held(Claim, Revision),
    /// The sidecar named has proved that the run has not begun and never will.
    Fenced(Claim, Revision),
    /// The sidecar named does not answer, or has been replaced by another start.
    Lost(Claim),
    /// The platform does not answer.
    Unreadable,
}

/// What the entry does next for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create a claim for a ready sidecar, then send.
    Create,
    /// Replace the claim by one with this number, then send.
    Replace {
        /// The claim to replace, whose number the new one exceeds.
        claim: Claim,
        /// Its version.
        base: Revision,
    },
    /// Ask the sidecar named for the run.
    Attach(Claim, Revision),
    /// Answer with the outcome in the claim.
    Replay(Claim),
    /// Answer with an error.
    Refuse(Fault),
}

/// The next step for a key, from what is known of its claim.
#[must_use]
pub fn next_step(view: ClaimView, fingerprint: u64) -> ClaimStep {
    match view {
        ClaimView::Absent => ClaimStep::Create,
        ClaimView::Unreadable => ClaimStep::Refuse(ErrorKind::PlatformDown.into()),
        ClaimView::Held(claim, _) | ClaimView::Fenced(claim, _) | ClaimView::Lost(claim)
            if claim.fingerprint != fingerprint =>
        {
            ClaimStep::Refuse(ErrorKind::KeyReused.into())
        }
        ClaimView::Held(claim, _) if claim.outcome.is_some() => ClaimStep::Replay(claim),
        ClaimView::Held(claim, revision) => ClaimStep::Attach(claim, revision),
        ClaimView::Fenced(claim, base) => ClaimStep::Replace { claim, base },
        ClaimView::Lost(claim) => {
            let detail = format!("it was given to `{}`, which has gone", claim.vm);
            ClaimStep::Refuse(Fault::new(ErrorKind::OutcomeUnknown, detail))
        }
    }
}
