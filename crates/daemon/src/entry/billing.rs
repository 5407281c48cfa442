//! Usage records of this entry, and of other entries for which it is the witness.
//!
//! A record is copied to its holders: the sidecar that ran the request and, if the organisation
//! requires it, a witness, which is an entry in another availability zone. The entry that served
//! the request writes the record to a ledger. Once it is durable there, it is settled: the entry
//! and the holders drop it. A holder that is not notified in time writes the record itself.

use crate::{
    entry::{Shared, context::RequestContext},
    ledger,
};
use async_channel::Sender;
use async_std::task;
use ibissail_billing::{Outbox, UsageRecord};
use ibissail_core::{Millis, RequestId};
use ibissail_execution::{ConfirmRequest, Confirmation, RunKey, SettleRequest, paths};
use ibissail_object_store::VmRole;
use rand::seq::IteratorRandom;
use slog::debug;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Interval at which an unresponsive witness is probed.
const UNRESPONSIVE_PROBE_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A queued confirmation; a request waits until all of its confirmations have been dropped.
#[derive(Debug)]
struct QueuedConfirmation {
    confirmation: Confirmation,
    #[expect(dead_code, reason = "the receiver resolves when this sender is dropped")]
    done: Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    outbox: Outbox,
    /// Other processes that hold a copy of each record.
    holders: BTreeMap<RequestId, Vec<SocketAddr>>,
    /// Queued confirmations for each holder that has a message in flight.
    queues: BTreeMap<SocketAddr, Vec<QueuedConfirmation>>,
    /// Witnesses that failed to respond and have not responded since.
    unresponsive: BTreeSet<SocketAddr>,
    /// Records that should have a witness and have none.
    unwitnessed: BTreeSet<RequestId>,
}

impl State {
    /// Queues a confirmation; returns `true` if no message to the holder is in flight.
    fn queue(&mut self, holder: SocketAddr, queued: QueuedConfirmation) -> bool {
        let is_idle = !self.queues.contains_key(&holder);
        self.queues.entry(holder).or_default().push(queued);
        is_idle
    }

    fn take_queue(&mut self, holder: SocketAddr) -> Vec<QueuedConfirmation> {
        self.queues.get_mut(&holder).map(std::mem::take).unwrap_or_default()
    }

    /// Removes an empty queue, so that the next confirmation starts a new sender task; returns
    /// whether it was empty.
    fn remove_queue_if_empty(&mut self, holder: SocketAddr) -> bool {
        let is_empty = self.queues.get(&holder).is_none_or(Vec::is_empty);
        if is_empty {
            self.queues.remove(&holder);
        }
        is_empty
    }
}

/// Usage records that are not durable yet, with the processes that hold copies.
#[derive(Debug, Default)]
pub(crate) struct UnsettledRecords {
    state: Mutex<State>,
}

impl UnsettledRecords {
    pub(crate) fn len(&self) -> usize {
        self.lock().outbox.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lock().outbox.is_empty()
    }

    fn hold(&self, record: UsageRecord, holders: Vec<SocketAddr>) {
        let mut state = self.lock();
        state.holders.insert(record.request, holders);
        state.outbox.insert(record, Millis(0));
    }

    /// Holds records of another entry; they are written here from `due` on, unless that entry has
    /// settled them.
    pub(crate) fn witness(&self, confirmations: Vec<Confirmation>, due: Millis) {
        let mut state = self.lock();
        for confirmation in confirmations {
            state.outbox.insert(confirmation.record, due);
        }
    }

    /// Drops records of another entry that are durable.
    pub(crate) fn forget(&self, requests: Vec<RequestId>) {
        self.lock().outbox.settle(requests);
    }

    /// Records that should have a witness and have none.
    pub(crate) fn unwitnessed(&self) -> usize {
        self.lock().unwitnessed.len()
    }

    /// Drops durable records; returns the holders to notify.
    fn settle(&self, requests: &[RequestId]) -> BTreeMap<SocketAddr, Vec<RequestId>> {
        let mut state = self.lock();
        state.outbox.settle(requests.iter().copied());
        let mut holders: BTreeMap<SocketAddr, Vec<RequestId>> = BTreeMap::new();
        for request in requests {
            state.unwitnessed.remove(request);
            for holder in state.holders.remove(request).unwrap_or_default() {
                holders.entry(holder).or_default().push(*request);
            }
        }
        holders
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Stores a record here, on the sidecar and, if the organisation's settings require a witness, on
/// an entry in another availability zone, before the caller receives the last byte.
///
/// At most one message to a holder is in flight; confirmations queued meanwhile are batched in
/// the next one. A holder that does not respond within `CALL_TIMEOUT` is skipped: the request
/// completes without its copy.
pub(crate) async fn confirm(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    sidecar: SocketAddr,
    key: &RunKey,
    record: UsageRecord,
) {
    let wants_witness = ctx.organisation.settings.witness;
    let witness = if wants_witness { choose_witness(shared) } else { None };
    let holders: Vec<SocketAddr> = [Some(sidecar), witness].into_iter().flatten().collect();
    shared.records.hold(record.clone(), holders.clone());
    if wants_witness && witness.is_none() {
        shared.records.lock().unwitnessed.insert(record.request);
    }
    let (done, confirmed) = async_channel::bounded(1);
    for holder in holders {
        let confirmation = Confirmation { key: key.clone(), record: record.clone() };
        let queued = QueuedConfirmation { confirmation, done: done.clone() };
        let is_idle = shared.records.lock().queue(holder, queued);
        if is_idle {
            // Spawned, since this request may be cancelled while others wait for the same queue.
            task::spawn(send_queue(Arc::clone(shared), holder));
        }
    }
    drop(done);
    let _dropped_when_sent = confirmed.recv().await;
}

/// A random responsive entry in another availability zone, if there is one.
fn choose_witness(shared: &Shared) -> Option<SocketAddr> {
    let own_zone = &shared.node.local.identity.zone;
    let vm_list = shared.node.peers.vm_list();
    let unresponsive = shared.records.lock().unresponsive.clone();
    let entries =
        vm_list.iter().filter(|record| record.role == VmRole::Entry && record.zone != *own_zone);
    let responsive = entries.filter(|record| !unresponsive.contains(&record.address));
    responsive.choose(&mut rand::rng()).map(|record| record.address)
}

/// Sends queued confirmations to a holder until its queue is empty.
async fn send_queue(shared: Arc<Shared>, holder: SocketAddr) {
    loop {
        let queue = shared.records.lock().take_queue(holder);
        send_batch(&shared, holder, queue).await;
        if shared.records.lock().remove_queue_if_empty(holder) {
            return;
        }
    }
}

async fn send_batch(shared: &Arc<Shared>, holder: SocketAddr, queue: Vec<QueuedConfirmation>) {
    let confirmations = queue.iter().map(|queued| queued.confirmation.clone()).collect();
    let message = ConfirmRequest { confirmations };
    let node = &shared.node;
    let confirmed = node.call::<_, ()>(holder, paths::CONFIRM, &message, CALL_TIMEOUT).await;
    if let Err(error) = confirmed {
        debug!(node.log, "billing: confirmation failed"; "error" => %error);
        mark_unresponsive(shared, holder, &queue);
    }
    drop(queue);
}

/// Counts the records of a failed message as unwitnessed, and excludes the witness until it
/// responds to a probe or is no longer listed. Does nothing unless the holder is a listed entry.
fn mark_unresponsive(shared: &Arc<Shared>, holder: SocketAddr, queue: &[QueuedConfirmation]) {
    let vm_list = shared.node.peers.vm_list();
    let is_witness =
        vm_list.iter().any(|record| record.role == VmRole::Entry && record.address == holder);
    if !is_witness {
        return;
    }
    let mut state = shared.records.lock();
    for queued in queue {
        let request = queued.confirmation.record.request;
        // The record may have become durable while its witness did not respond.
        if state.holders.contains_key(&request) {
            state.unwitnessed.insert(request);
        }
    }
    if state.unresponsive.insert(holder) {
        task::spawn(wait_until_responsive(Arc::clone(shared), holder));
    }
}

/// Probes a witness with an empty message until it responds or is no longer listed.
async fn wait_until_responsive(shared: Arc<Shared>, holder: SocketAddr) {
    let node = &shared.node;
    while !node.is_stopping() {
        task::sleep(UNRESPONSIVE_PROBE_INTERVAL).await;
        let message = SettleRequest { requests: Vec::new() };
        let probed = node.call::<_, ()>(holder, paths::SETTLE, &message, CALL_TIMEOUT).await;
        let is_listed = node.peers.addresses().contains(&holder);
        if probed.is_ok() || !is_listed {
            shared.records.lock().unresponsive.remove(&holder);
            return;
        }
    }
}

/// Writes records until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    while !shared.node.is_stopping() {
        flush(&shared).await;
        task::sleep(shared.node.ledger_interval()).await;
    }
}

/// Writes all records that are due and notifies their holders.
pub(crate) async fn flush(shared: &Shared) {
    let due = shared.records.lock().outbox.due(shared.node.now());
    for (key, records) in due {
        if !ledger::write(&shared.node, key, &records).await {
            continue;
        }
        let requests: Vec<RequestId> = records.iter().map(|record| record.request).collect();
        for (holder, requests) in shared.records.settle(&requests) {
            notify_settled(shared, holder, requests).await;
        }
    }
    let unsettled = i64::try_from(shared.records.len()).unwrap_or(i64::MAX);
    shared.node.metrics.unsettled_records.set(unsettled);
}

/// Notifies a holder that records are durable. If this fails, the holder writes the records too,
/// which is idempotent.
async fn notify_settled(shared: &Shared, holder: SocketAddr, requests: Vec<RequestId>) {
    let node = &shared.node;
    let message = SettleRequest { requests };
    let notified = node.call::<_, ()>(holder, paths::SETTLE, &message, CALL_TIMEOUT).await;
    if let Err(error) = notified {
        debug!(node.log, "billing: settle message failed"; "error" => %error);
    }
}
