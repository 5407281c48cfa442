//! Records that wait until a ledger in the platform has counted them.

use crate::{Ledger, LedgerKey, UsageRecord};
use ibissail_core::{Millis, RequestId};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
struct PendingRecord {
    record: UsageRecord,
    due: Millis,
}

/// Records held by one process, each until it is known to be durable.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: BTreeMap<RequestId, PendingRecord>,
}

impl Outbox {
    /// Holds a record, to be written from `due` onwards.
    pub fn insert(&mut self, record: UsageRecord, due: Millis) {
        self.waiting.entry(record.request).or_insert(PendingRecord { record, due });
    }

    /// Forgets records that are durable.
    pub fn settle<I>(&mut self, requests: I)
    where
        I: IntoIterator<Item = RequestId>,
    {
        for request in requests {
            self.waiting.remove(&request);
        }
    }

    /// Records that are due, grouped by ledger.
    #[must_use]
    pub fn due(&self, now: Millis) -> BTreeMap<LedgerKey, Vec<UsageRecord>> {
        let mut groups: BTreeMap<LedgerKey, Vec<UsageRecord>> = BTreeMap::new();
        for waiting in self.waiting.values().filter(|waiting| waiting.due <= now) {
            let key = LedgerKey::for_request(waiting.record.request);
            groups.entry(key).or_default().push(waiting.record.clone());
        }
        groups
    }

    /// How many records wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no record waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The ledger with the records counted, or `None` when all had been.
#[must_use]
pub fn apply_records(ledger: &Ledger, records: &[UsageRecord]) -> Option<Ledger> {
    let mut next = ledger.clone();
    let mut changed = false;
    for record in records {
        changed |= next.count(record);
    }
    changed.then_some(next)
}
