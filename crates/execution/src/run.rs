//! Identity and outcome of runs.

use crate::Digest;
use ibissail_core::{Fault, OrganisationId, RequestId, Tokens};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identity of a run at a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunKey {
    /// One attempt of a request without an idempotency key.
    Attempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// The only run of an idempotency key.
    Keyed {
        /// Organisation that uses the key.
        organisation: OrganisationId,
        /// Idempotency key chosen by the caller.
        key: String,
    },
}

impl RunKey {
    /// Whether the run has an idempotency key, and so must be executed at most once.
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

/// Tokens used by one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Input tokens (prompt).
    pub input: Tokens,
    /// Output tokens (response).
    pub output: Tokens,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The upstream's complete response was received.
    #[serde(rename = "Whole")]
    Complete {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Length of the response body, in bytes.
        length: u64,
        /// Digest of the response body.
        digest: Digest,
        /// Tokens used.
        tokens: TokenCounts,
    },
    /// The run failed.
    Failed(Fault),
}
