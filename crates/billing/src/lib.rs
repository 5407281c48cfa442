//! Usage ledgers that count every request exactly once.
//!
//! A ledger object stores the set of requests it has counted. Adding a record is therefore
//! idempotent, and any process that holds the record may write it.

mod ids;
mod ledger;
mod outbox;

pub use ids::IdSet;
pub use ledger::{CHUNK_REQUESTS, Ledger, LedgerKey, Usage, UsageRecord};
pub use outbox::{Outbox, apply_records};
