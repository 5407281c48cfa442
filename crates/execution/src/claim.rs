//! Claims: platform objects that name the only sidecar that may run an idempotency key.

use crate::RunOutcome;
use derive_more::Display;
use ibissail_core::{ErrorKind, Fault, Incarnation, OrganisationId, RequestId, Revision, VmId};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::{fmt::Write as _, net::SocketAddr};

/// Longest response body that a claim stores, in bytes.
const MAX_STORED_BYTES: usize = 128 << 10;

/// How a keyed run ended, as stored in its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredOutcome {
    /// The upstream's response.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Response body.
        body: Vec<u8>,
    },
    /// The run failed, or its response is too large to be stored.
    Failed(Fault),
}

impl StoredOutcome {
    /// The outcome to store for a run that ended with this response body.
    ///
    /// A body that is too large to be stored becomes `AnswerGone`.
    #[must_use]
    pub fn from_run(outcome: &RunOutcome, body: &[u8]) -> Self {
        match outcome {
            RunOutcome::Failed(fault) => Self::Failed(fault.clone()),
            RunOutcome::Complete { .. } if body.len() > MAX_STORED_BYTES => {
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

/// Fencing token: number of a claim among the claims of one key, counted from 0.
///
/// A claim is replaced only when the run can no longer start under it (see [`ClaimView::Fenced`]).
/// A sidecar that has fenced a token rejects delayed requests with that token or a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Token of the claim that replaces this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Names the sidecar that may run an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The first request with the key; the run is billed under its id.
    pub request: RequestId,
    /// Hash of the first request's method, path and body.
    pub fingerprint: u64,
    /// VM of the sidecar.
    pub vm: VmId,
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Incarnation of the sidecar. A later incarnation must not run the key under this claim.
    pub incarnation: Incarnation,
    /// Increases by one each time the claim is given to another sidecar.
    #[serde(rename = "number")]
    pub fencing_token: FencingToken,
    /// How the run ended, once it has.
    pub outcome: Option<StoredOutcome>,
}

/// Platform key of a claim. The caller's idempotency key is hashed, since it may contain any
/// characters.
///
/// # Examples
///
/// ```
/// let key = ibissail_execution::claim_key(&"huts".parse()?, "a key / with bytes");
/// assert!(key.starts_with("claims/huts/") && !key.contains(' '));
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[must_use]
pub fn claim_key(organisation: &OrganisationId, key: &str) -> String {
    let mut object_key = format!("claims/{organisation}/");
    for byte in &Sha256::digest(key.as_bytes())[..16] {
        let _infallible = write!(object_key, "{byte:02x}");
    }
    object_key
}

/// First eight bytes of the SHA-256 over the length and bytes of each part of a request. A retry
/// with the same idempotency key must have the same fingerprint.
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

/// State of a key's claim, as far as the entry knows from the platform and from the sidecar named
/// in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimView {
    /// The platform has no claim.
    Absent,
    /// The platform has this claim. Without an outcome in it, the entry must attach to the sidecar
    /// to learn whether the run has started.
    Held(Claim, Revision),
    /// Nothing has been sent to the upstream under this claim, and nothing will be: the request did
    /// not reach the sidecar, or the sidecar has refused or fenced the run.
    Fenced(Claim, Revision),
    /// The sidecar does not answer or has restarted, and the claim has no outcome.
    Lost(Claim),
    /// The platform does not answer, or its claim cannot be parsed.
    Unreadable,
}

/// Next action of the entry for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create a claim for a ready sidecar, then send it the request.
    Create,
    /// Replace the claim by one for another sidecar with the next fencing token, then send the
    /// request.
    Replace {
        /// The claim to replace.
        claim: Claim,
        /// Its revision, on which the update is conditional.
        base: Revision,
    },
    /// Attach to the run at the sidecar named in the claim.
    Attach(Claim, Revision),
    /// Respond with the outcome stored in the claim.
    Replay(Claim),
    /// Respond with an error.
    Refuse(Fault),
}

/// Decides the next action for a key from the state of its claim.
///
/// `fingerprint` is that of the present request. If the claim was made for a request with another
/// one, the present request is refused with `KeyReused`.
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
            let detail = format!("the sidecar on `{}` does not answer or has restarted", claim.vm);
            ClaimStep::Refuse(Fault::new(ErrorKind::OutcomeUnknown, detail))
        }
    }
}
