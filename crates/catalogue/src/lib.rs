//! What each organisation may use now: settings documents, withdrawals and their spread.

mod catalogue;
mod document;
mod exchange;
mod pending;
mod spread;
mod withdrawal;

pub use catalogue::{Catalogue, Member, Purpose};
pub use document::{Document, Documents, Merged, Stamp};
pub use exchange::{Exchange, ExchangeReply, answer, learn, opening};
pub use pending::{PENDING_PREFIX, pending_document};
pub use spread::{PUSH_FANOUT, choose_peers, is_watcher};
pub use withdrawal::{Generation, Grade, Standing, Withdrawals};

/// Prefix of all settings documents in the platform.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the branches' documents.
pub const BRANCH_PREFIX: &str = "config/branches/";
/// Key of the document of withdrawals.
pub const WITHDRAWALS_KEY: &str = "config/withdrawals";

/// Key of a branch's document.
///
/// # Examples
///
/// ```
/// let key = ibissail_catalogue::branch_key(&"root/alpen".parse()?);
/// assert_eq!(key, "config/branches/root/alpen");
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[must_use]
pub fn branch_key(path: &ibissail_core::BranchPath) -> String {
    format!("{BRANCH_PREFIX}{path}")
}
