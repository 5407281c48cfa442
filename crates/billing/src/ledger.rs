//! Ledger objects. Each holds the set of requests of one entry that it has counted, and their usage
//! totals.

use crate::IdSet;
use ibissail_core::{Incarnation, OrganisationId, RequestId, Target, Tokens};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt};

/// Number of consecutive requests of one entry that share a ledger object.
pub const CHUNK_REQUESTS: u64 = 1 << 16;

/// Usage of one completed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The request; it is counted once.
    pub request: RequestId,
    /// Organisation that is billed.
    pub organisation: OrganisationId,
    /// Model version or service that ran.
    pub target: Target,
    /// Input tokens (prompt).
    pub input: Tokens,
    /// Output tokens (response).
    pub output: Tokens,
}

/// Usage totals over requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests.
    pub requests: u64,
    /// Input tokens.
    pub input: Tokens,
    /// Output tokens.
    pub output: Tokens,
}

impl Usage {
    /// Adds other totals to these; a sum stays at the largest value on overflow.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.input.0 = self.input.0.saturating_add(other.input.0);
        self.output.0 = self.output.0.saturating_add(other.output.0);
    }
}

/// Identifies a ledger object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LedgerKey {
    /// Incarnation of the entry that accepted the requests.
    pub entry: Incarnation,
    /// Number of the chunk of [`CHUNK_REQUESTS`] requests in the entry's sequence.
    pub chunk: u64,
}

impl LedgerKey {
    /// Prefix of the platform keys of all ledger objects.
    pub const PREFIX: &'static str = "ledger/";

    /// Key of the ledger that counts a request.
    #[must_use]
    pub fn for_request(request: RequestId) -> Self {
        Self { entry: request.entry, chunk: request.sequence / CHUNK_REQUESTS }
    }
}

impl fmt::Display for LedgerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}/{}", Self::PREFIX, self.entry, self.chunk)
    }
}

/// A ledger object: usage totals, and the requests counted in them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    counted: IdSet,
    totals: BTreeMap<OrganisationId, BTreeMap<String, Usage>>,
}

impl Ledger {
    /// Counts a record; `false` when its request was counted before.
    ///
    /// The ledger stores only the sequence number of a request, so the request must belong to this
    /// ledger (see [`LedgerKey::for_request`]).
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_billing::{Ledger, UsageRecord};
    /// use ibissail_core::{Incarnation, RequestId, Tokens};
    /// let record = UsageRecord {
    ///     request: RequestId { entry: Incarnation(1), sequence: 0 },
    ///     organisation: "huts".parse()?,
    ///     target: "swift@1".parse()?,
    ///     input: Tokens(3),
    ///     output: Tokens(4),
    /// };
    /// let mut ledger = Ledger::default();
    /// assert!(ledger.count(&record));
    /// assert!(!ledger.count(&record));
    /// assert_eq!(ledger.sum().requests, 1);
    /// # Ok::<(), ibissail_core::ParseError>(())
    /// ```
    pub fn count(&mut self, record: &UsageRecord) -> bool {
        if !self.counted.insert(record.request.sequence) {
            return false;
        }
        let by_target = self.totals.entry(record.organisation.clone()).or_default();
        let usage = Usage { requests: 1, input: record.input, output: record.output };
        by_target.entry(record.target.to_string()).or_default().add(usage);
        true
    }

    /// Whether a request that belongs to this ledger has been counted.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.counted.contains(request.sequence)
    }

    /// Totals over all organisations and targets.
    #[must_use]
    pub fn sum(&self) -> Usage {
        let mut total = Usage::default();
        self.totals.values().flat_map(BTreeMap::values).for_each(|usage| total.add(*usage));
        total
    }

    /// Totals by organisation and target.
    #[must_use]
    pub fn totals(&self) -> &BTreeMap<OrganisationId, BTreeMap<String, Usage>> {
        &self.totals
    }
}
