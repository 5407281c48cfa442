//! Names and endings of runs.

use crate::Digest;
use ibissail_core::{Fault, OrganisationId, RequestId, Tokens};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identity of a run at a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunKey {
    /// One attempt at a request.
    Attempt {
        /// The request.
        request: RequestId,
        /// Counts the attempts from 0.
        attempt: u32,
    },
    /// The only run of an idempotency key.
    Keyed {
        /// Whose key it is.
        organisation: OrganisationId,
        /// The caller's key.
        key: String,
    },
}

impl RunKey {
    /// Whether the run must happen at most once.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        matches!(self, Self::Keyed { .. })
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Attempt { request, attempt } => write!(f, "{request}.{attempt}"),
            Self::Keyed { organisation, key } => write!(f, "{organisation}/{key}"),
        }
    }
}

/// Tokens of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The upstream's whole answer was received.
    #[serde(rename = "Whole")]
    Complete {
        /// The upstream's status.
        status: u16,
        /// Type of the answer.
        content_type: String,
        /// Length of the answer, in bytes.
        length: u64,
        /// Digest of the answer.
        digest: Digest,
        /// What it used.
        tokens: TokenCounts,
    },
    /// The run failed.
    Failed(Fault),
}
