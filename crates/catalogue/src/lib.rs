//! The settings in force for each organisation: settings documents, withdrawals of model versions,
//! and their dissemination between processes.

mod catalogue;
mod document;
mod exchange;
mod gossip;
mod pending;
mod withdrawal;

pub use catalogue::{Catalogue, Purpose, ResolvedOrganisation};
pub use document::{Document, DocumentRevision, Documents, MergeOutcome};
pub use exchange::{Exchange, ExchangeReply, handle_exchange, initial_exchange, merge_documents};
pub use gossip::{PUSH_FANOUT, choose_peers, is_watcher};
pub use pending::{PENDING_PREFIX, pending_document};
pub use withdrawal::{Generation, LifecycleState, Standing, Withdrawals};

/// Prefix of the platform keys of all settings documents.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the keys of branch documents.
pub const BRANCH_PREFIX: &str = "config/branches/";
/// Key of the document with the withdrawals.
pub const WITHDRAWALS_KEY: &str = "config/withdrawals";

/// Key of the document of a branch.
///
/// # Examples
///
/// ```
/// let key = ibissail_catalogue::branch_key(&"root/alpen".parse()?);
/// assert_eq!(key, "config/branches/root/alpen");
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[must_use]
pub fn branch_key(path: &ibissail_core::BranchPath) -> String {
    format!("{BRANCH_PREFIX}{path}")
}
