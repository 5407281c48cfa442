//! The platform stand-in's state: objects, their changes, and the lagging list of VMs.

use async_std::channel::Sender;
use ibissail_core::Revision;
use ibissail_object_store::{Change, Object, VmRecord};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    Absent,
    At(Revision),
}

/// Objects and VMs.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: BTreeMap<String, Object>,
    changes: Vec<Change>,
    at: u64,
    waiters: Vec<Sender<()>>,
    vm_history: Vec<(Instant, BTreeMap<String, VmRecord>)>,
}

impl Store {
    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    pub(crate) fn list(&self, prefix: &str) -> (Vec<Object>, Revision) {
        let below = self.objects.range(prefix.to_owned()..);
        let found = below.take_while(|(key, _)| key.starts_with(prefix));
        (found.map(|(_, object)| object.clone()).collect(), Revision(self.at))
    }

    /// Writes or deletes when the condition holds, else gives back the present object.
    pub(crate) fn write(
        &mut self,
        key: &str,
        condition: Condition,
        value: Option<String>,
    ) -> Result<Object, Option<Object>> {
        let current = self.get(key);
        let holds = match (condition, &current) {
            (Condition::Absent, None) => true,
            (Condition::At(base), Some(object)) => object.revision == base,
            _ => false,
        };
        if !holds {
            return Err(current);
        }
        self.at += 1;
        let revision = Revision(self.at);
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

    pub(crate) fn changes(&self, prefix: &str, from: u64) -> (Vec<Change>, Revision) {
        let newer = self.changes.iter().filter(|change| change.revision.0 > from);
        let found = newer.filter(|change| change.key.starts_with(prefix)).cloned().collect();
        (found, Revision(self.at))
    }

    /// The sender is dropped at the next write.
    pub(crate) fn wait(&mut self, waiter: Sender<()>) {
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

    /// The list of VMs as it stood some time ago.
    pub(crate) fn vms(&self, lag: Duration) -> Vec<VmRecord> {
        let then = self.vm_history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        then.map(|(_, vms)| vms.values().cloned().collect()).unwrap_or_default()
    }
}
