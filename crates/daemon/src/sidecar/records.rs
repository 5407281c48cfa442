//! Writes the usage records held by the sidecar to ledgers.

use crate::{ledger, sidecar::Shared};
use ibissail_core::Millis;

/// Writes the records that are due by `now`.
pub(crate) async fn flush(shared: &Shared, now: Millis) {
    let due = shared.outbox().due(now);
    for (key, records) in due {
        if ledger::write(&shared.node, key, &records).await {
            shared.outbox().settle(records.iter().map(|record| record.request));
        }
    }
    let unsettled = i64::try_from(shared.outbox().len()).unwrap_or(i64::MAX);
    shared.node.metrics.unsettled_records.set(unsettled);
}
