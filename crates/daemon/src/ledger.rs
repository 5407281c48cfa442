//! Writes usage records to ledgers in the platform, counting each exactly once.

use crate::node::Node;
use ibissail_billing::{Ledger, LedgerKey, UsageRecord, apply_records};
use ibissail_object_store::{Object, PlatformError};
use slog::{debug, error};

/// Consecutive conflicts with other writers after which a write is left to the next flush.
const MAX_CONFLICTS: u32 = 8;

/// Adds records to their ledger; returns `true` once they are durable.
///
/// Each try reads the ledger first, so a write whose response was lost is not repeated.
pub(crate) async fn write(node: &Node, key: LedgerKey, records: &[UsageRecord]) -> bool {
    let path = key.to_string();
    for _ in 0..MAX_CONFLICTS {
        match try_write(node, &path, records).await {
            Ok(()) => return true,
            Err(PlatformError::Conflict(..)) => {}
            Err(reason) => {
                debug!(node.log, "ledger: write failed"; "ledger" => &path, "error" => %reason);
                return false;
            }
        }
    }
    false
}

async fn try_write(node: &Node, path: &str, records: &[UsageRecord]) -> Result<(), PlatformError> {
    let current = node.platform.get(path).await?;
    let ledger = match &current {
        Some(object) => parse(node, object)?,
        None => Ledger::default(),
    };
    let Some(next) = apply_records(&ledger, records) else {
        return Ok(());
    };
    let value = serde_json::to_string(&next)
        .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    match current {
        Some(object) => node.platform.update(path, object.revision, &value).await?,
        None => node.platform.create(path, &value).await?,
    };
    Ok(())
}

fn parse(node: &Node, object: &Object) -> Result<Ledger, PlatformError> {
    serde_json::from_str(&object.value).map_err(|reason| {
        error!(node.log, "ledger: invalid content"; "ledger" => &object.key, "error" => %reason);
        PlatformError::NotApplied(reason.to_string())
    })
}
