//! Usage records of this entry: confirmed to sidecars, written to ledgers, then settled.

use crate::{
    entry::{Shared, call::Call},
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

/// Time between two questions to a silent witness.
const SILENT_PAUSE: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that waits for its confirmation; dropping it lets the request go on.
#[derive(Debug)]
struct Waiting {
    confirmation: Confirmation,
    #[expect(dead_code, reason = "the other end resolves when this one is dropped")]
    done: Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    outbox: Outbox,
    /// The other processes that hold a record too.
    holders: BTreeMap<RequestId, Vec<SocketAddr>>,
    /// Confirmations for each holder to which a message is under way.
    queues: BTreeMap<SocketAddr, Vec<Waiting>>,
    /// Witnesses that did not answer and have not been heard of since.
    silent: BTreeSet<SocketAddr>,
    /// Records that should have a witness and have none.
    unwitnessed: BTreeSet<RequestId>,
}

impl State {
    /// Queues a confirmation; `true` when no message is under way.
    fn queue(&mut self, holder: SocketAddr, waiting: Waiting) -> bool {
        let is_first = !self.queues.contains_key(&holder);
        self.queues.entry(holder).or_default().push(waiting);
        is_first
    }

    fn take_queue(&mut self, holder: SocketAddr) -> Vec<Waiting> {
        self.queues.get_mut(&holder).map(std::mem::take).unwrap_or_default()
    }

    /// Whether nothing waits; then the next confirmation sends itself.
    fn is_queue_empty(&mut self, holder: SocketAddr) -> bool {
        let is_empty = self.queues.get(&holder).is_none_or(Vec::is_empty);
        if is_empty {
            self.queues.remove(&holder);
        }
        is_empty
    }
}

/// Records that are not durable yet, with the processes that hold them too.
#[derive(Debug, Default)]
pub(crate) struct Records {
    state: Mutex<State>,
}

impl Records {
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

    /// Holds records of another entry, to be written from `due` on if that entry does not.
    pub(crate) fn witness(&self, confirmations: Vec<Confirmation>, due: Millis) {
        let mut state = self.lock();
        for confirmation in confirmations {
            state.outbox.insert(confirmation.record, due);
        }
    }

    /// Forgets records of another entry that are durable.
    pub(crate) fn forget(&self, requests: Vec<RequestId>) {
        self.lock().outbox.settle(requests);
    }

    /// Records that should have a witness and have none.
    pub(crate) fn unwitnessed(&self) -> usize {
        self.lock().unwitnessed.len()
    }

    /// Forgets durable records; returns the processes to be told.
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

/// Holds a record here, at the sidecar and, where the organisation asks for it, at an entry in
/// another availability zone, before the caller gets the last byte.
///
/// One message is under way to a holder at a time; confirmations that come meanwhile go together
/// in the next.
pub(crate) async fn confirm(
    shared: &Arc<Shared>,
    call: &Call,
    sidecar: SocketAddr,
    key: &RunKey,
    record: UsageRecord,
) {
    let wants_witness = call.member.settings.witness;
    let witness = if wants_witness { choose_witness(shared) } else { None };
    let holders: Vec<SocketAddr> = [Some(sidecar), witness].into_iter().flatten().collect();
    shared.records.hold(record.clone(), holders.clone());
    if wants_witness && witness.is_none() {
        shared.records.lock().unwitnessed.insert(record.request);
    }
    let (done, confirmed) = async_channel::bounded(1);
    for holder in holders {
        let confirmation = Confirmation { key: key.clone(), record: record.clone() };
        let waiting = Waiting { confirmation, done: done.clone() };
        let is_first = shared.records.lock().queue(holder, waiting);
        if is_first {
            // A task of its own, since this request may be given up while others wait.
            task::spawn(send_queue(Arc::clone(shared), holder));
        }
    }
    drop(done);
    let _dropped_when_sent = confirmed.recv().await;
}

/// An entry in another availability zone that has not been silent.
fn choose_witness(shared: &Shared) -> Option<SocketAddr> {
    let own = &shared.node.local.identity.zone;
    let listed = shared.node.peers.listed();
    let silent = shared.records.lock().silent.clone();
    let entries =
        listed.iter().filter(|record| record.role == VmRole::Entry && record.zone != *own);
    let answering = entries.filter(|record| !silent.contains(&record.address));
    answering.choose(&mut rand::rng()).map(|record| record.address)
}

/// Sends what is queued for a holder until nothing is.
async fn send_queue(shared: Arc<Shared>, holder: SocketAddr) {
    loop {
        let queue = shared.records.lock().take_queue(holder);
        send_batch(&shared, holder, queue).await;
        if shared.records.lock().is_queue_empty(holder) {
            return;
        }
    }
}

async fn send_batch(shared: &Arc<Shared>, holder: SocketAddr, queue: Vec<Waiting>) {
    let confirmations = queue.iter().map(|waiting| waiting.confirmation.clone()).collect();
    let message = ConfirmRequest { confirmations };
    let node = &shared.node;
    let confirmed = node.call::<_, ()>(holder, paths::CONFIRM, &message, CALL_TIMEOUT).await;
    if let Err(error) = confirmed {
        debug!(node.log, "billing: a holder did not answer"; "error" => %error);
        note_silence(shared, holder, &queue);
    }
    drop(queue);
}

/// Asks no more of a silent witness until it answers again.
fn note_silence(shared: &Arc<Shared>, holder: SocketAddr, queue: &[Waiting]) {
    let listed = shared.node.peers.listed();
    let is_witness =
        listed.iter().any(|record| record.role == VmRole::Entry && record.address == holder);
    if !is_witness {
        return;
    }
    let mut state = shared.records.lock();
    for waiting in queue {
        let request = waiting.confirmation.record.request;
        // It may have become durable while its witness was silent.
        if state.holders.contains_key(&request) {
            state.unwitnessed.insert(request);
        }
    }
    if state.silent.insert(holder) {
        task::spawn(wait_for_answer(Arc::clone(shared), holder));
    }
}

async fn wait_for_answer(shared: Arc<Shared>, holder: SocketAddr) {
    let node = &shared.node;
    while !node.is_stopping() {
        task::sleep(SILENT_PAUSE).await;
        let message = SettleRequest { requests: Vec::new() };
        let answered = node.call::<_, ()>(holder, paths::SETTLE, &message, CALL_TIMEOUT).await;
        let is_listed = node.peers.addresses().contains(&holder);
        if answered.is_ok() || !is_listed {
            shared.records.lock().silent.remove(&holder);
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

/// Writes all records that wait, and tells the sidecars that hold them.
pub(crate) async fn flush(shared: &Shared) {
    let due = shared.records.lock().outbox.due(shared.node.now());
    for (key, records) in due {
        if !ledger::write(&shared.node, key, &records).await {
            continue;
        }
        let requests: Vec<RequestId> = records.iter().map(|record| record.request).collect();
        for (holder, requests) in shared.records.settle(&requests) {
            settle(shared, holder, requests).await;
        }
    }
    let waiting = i64::try_from(shared.records.len()).unwrap_or(i64::MAX);
    shared.node.metrics.unsettled_records.set(waiting);
}

/// Tells a sidecar; if that fails it writes the records itself, which changes nothing.
async fn settle(shared: &Shared, holder: SocketAddr, requests: Vec<RequestId>) {
    let node = &shared.node;
    let message = SettleRequest { requests };
    let told = node.call::<_, ()>(holder, paths::SETTLE, &message, CALL_TIMEOUT).await;
    if let Err(error) = told {
        debug!(node.log, "billing: a sidecar was not told"; "error" => %error);
    }
}
