//! The outbox of usage records that are not yet known to be durable in a ledger.

use crate::{Ledger, LedgerKey, UsageRecord};
use ibissail_core::{Millis, RequestId};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
struct PendingRecord {
    record: UsageRecord,
    due: Millis,
}

/// Usage records held by one process, each until it is known to be durable in a ledger.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<RequestId, PendingRecord>,
}

impl Outbox {
    /// Adds a record to be written at or after `due`, unless it is already held.
    pub fn insert(&mut self, record: UsageRecord, due: Millis) {
        self.pending.entry(record.request).or_insert(PendingRecord { record, due });
    }

    /// Removes the records of these requests, which are durable in a ledger.
    pub fn settle<I>(&mut self, requests: I)
    where
        I: IntoIterator<Item = RequestId>,
    {
        for request in requests {
            self.pending.remove(&request);
        }
    }

    /// Records that are due at `now`, grouped by ledger.
    #[must_use]
    pub fn due(&self, now: Millis) -> BTreeMap<LedgerKey, Vec<UsageRecord>> {
        let mut groups: BTreeMap<LedgerKey, Vec<UsageRecord>> = BTreeMap::new();
        for pending in self.pending.values().filter(|pending| pending.due <= now) {
            let key = LedgerKey::for_request(pending.record.request);
            groups.entry(key).or_default().push(pending.record.clone());
        }
        groups
    }

    /// Number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Returns the ledger with the records counted, or `None` when it had counted them all before.
#[must_use]
pub fn apply_records(ledger: &Ledger, records: &[UsageRecord]) -> Option<Ledger> {
    let mut next = ledger.clone();
    let mut changed = false;
    for record in records {
        changed |= next.count(record);
    }
    changed.then_some(next)
}
