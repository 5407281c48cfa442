//! Usage ledgers in which every request counts once.
//!
//! A ledger object holds the set of the requests it has counted, so that adding a record twice
//! changes nothing and any process that has the record may write it.

mod ids;
mod ledger;
mod outbox;

pub use ids::IdSet;
pub use ledger::{CHUNK_REQUESTS, Ledger, LedgerKey, Usage, UsageRecord};
pub use outbox::{Outbox, apply_records};
