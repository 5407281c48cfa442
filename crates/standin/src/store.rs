//! State of the platform stand-in: objects, their changes, and the history of the list of VMs.

use async_std::channel::Sender;
use ibissail_core::Revision;
use ibissail_object_store::{Change, Object, VmRecord};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    RevisionIs(Revision),
}

/// Objects with all their changes, and past lists of VMs.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: BTreeMap<String, Object>,
    changes: Vec<Change>,
    revision: u64,
    waiters: Vec<Sender<()>>,
    vm_history: Vec<(Instant, BTreeMap<String, VmRecord>)>,
}

impl Store {
    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    /// Objects below a prefix, and the current revision.
    pub(crate) fn list(&self, prefix: &str) -> (Vec<Object>, Revision) {
        let from_prefix = self.objects.range(prefix.to_owned()..);
        let found = from_prefix.take_while(|(key, _)| key.starts_with(prefix));
        (found.map(|(_, object)| object.clone()).collect(), Revision(self.revision))
    }

    /// Writes or deletes an object when the precondition is met, else returns the current object.
    pub(crate) fn write(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Option<String>,
    ) -> Result<Object, Option<Object>> {
        let current = self.get(key);
        let is_met = match (precondition, &current) {
            (Precondition::Absent, None) => true,
            (Precondition::RevisionIs(base), Some(object)) => object.revision == base,
            _ => false,
        };
        if !is_met {
            return Err(current);
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let object =
            Object { key: key.to_owned(), revision, value: value.clone().unwrap_or_default() };
        if value.is_some() {
            self.objects.insert(key.to_owned(), object.clone());
        } else {
            self.objects.remove(key);
        }
        self.changes.push(Change { key: key.to_owned(), revision, value });
        self.waiters.clear();
        Ok(object)
    }

    /// Changes below a prefix after the revision `from`, and the current revision.
    pub(crate) fn changes(&self, prefix: &str, from: u64) -> (Vec<Change>, Revision) {
        let later = self.changes.iter().filter(|change| change.revision.0 > from);
        let found = later.filter(|change| change.key.starts_with(prefix)).cloned().collect();
        (found, Revision(self.revision))
    }

    /// Registers a sender that is dropped, and so closes its channel, at the next write.
    pub(crate) fn add_waiter(&mut self, waiter: Sender<()>) {
        self.waiters.push(waiter);
    }

    pub(crate) fn set_vm(&mut self, record: VmRecord) {
        let mut vms = self.latest_vms();
        vms.insert(record.vm.to_string(), record);
        self.vm_history.push((Instant::now(), vms));
    }

    pub(crate) fn remove_vm(&mut self, vm: &str) {
        let mut vms = self.latest_vms();
        vms.remove(vm);
        self.vm_history.push((Instant::now(), vms));
    }

    fn latest_vms(&self) -> BTreeMap<String, VmRecord> {
        self.vm_history.last().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// The list of VMs as it was `lag` ago; empty if there was none.
    pub(crate) fn vms(&self, lag: Duration) -> Vec<VmRecord> {
        let snapshot = self.vm_history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        snapshot.map(|(_, vms)| vms.values().cloned().collect()).unwrap_or_default()
    }
}
