//! Usage records of this entry: confirmed to sidecars, written to ledgers, then settled.

use crate::{entry::Shared, ledger};
use async_channel::Sender;
use async_std::task;
use ibissail_billing::{Outbox, UsageRecord};
use ibissail_core::{Fault, Millis, RequestId};
use ibissail_execution::{ConfirmRequest, Confirmation, RunKey, SettleRequest, paths};
use ibissail_transport::{CallError, call};
use slog::debug;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

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
    holders: BTreeMap<RequestId, SocketAddr>,
    /// Confirmations for each sidecar to which a message is under way.
    queues: BTreeMap<SocketAddr, Vec<Waiting>>,
}

impl State {
    /// Queues a confirmation; `true` when no message is under way.
    fn queue(&mut self, sidecar: SocketAddr, waiting: Waiting) -> bool {
        let is_first = !self.queues.contains_key(&sidecar);
        self.queues.entry(sidecar).or_default().push(waiting);
        is_first
    }

    fn take_queue(&mut self, sidecar: SocketAddr) -> Vec<Waiting> {
        self.queues.get_mut(&sidecar).map(std::mem::take).unwrap_or_default()
    }

    /// Whether nothing waits; then the next confirmation sends itself.
    fn is_queue_empty(&mut self, sidecar: SocketAddr) -> bool {
        let is_empty = self.queues.get(&sidecar).is_none_or(Vec::is_empty);
        if is_empty {
            self.queues.remove(&sidecar);
        }
        is_empty
    }
}

/// Records that are not durable yet, with the sidecars that hold them too.
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

    fn hold(&self, record: UsageRecord, holder: SocketAddr) {
        let mut state = self.lock();
        state.holders.insert(record.request, holder);
        state.outbox.hold(record, Millis(0));
    }

    /// Forgets durable records; returns the sidecars to be told.
    fn settle(&self, requests: &[RequestId]) -> BTreeMap<SocketAddr, Vec<RequestId>> {
        let mut state = self.lock();
        state.outbox.settle(requests.iter().copied());
        let mut holders: BTreeMap<SocketAddr, Vec<RequestId>> = BTreeMap::new();
        for request in requests {
            if let Some(holder) = state.holders.remove(request) {
                holders.entry(holder).or_default().push(*request);
            }
        }
        holders
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds a record here and at the sidecar, before the caller gets the last byte.
///
/// One message is under way to a sidecar at a time; confirmations that come meanwhile go together
/// in the next.
pub(crate) async fn confirm(
    shared: &Arc<Shared>,
    sidecar: SocketAddr,
    key: &RunKey,
    record: UsageRecord,
) {
    shared.records.hold(record.clone(), sidecar);
    let (done, confirmed) = async_channel::bounded(1);
    let confirmation = Confirmation { key: key.clone(), record };
    let is_first = shared.records.lock().queue(sidecar, Waiting { confirmation, done });
    if is_first {
        // A task of its own, since this request may be given up while others wait in the queue.
        task::spawn(send_queue(Arc::clone(shared), sidecar));
    }
    let _dropped_when_sent = confirmed.recv().await;
}

/// Sends what is queued for a sidecar until nothing is.
async fn send_queue(shared: Arc<Shared>, sidecar: SocketAddr) {
    loop {
        let queue = shared.records.lock().take_queue(sidecar);
        send_batch(&shared, sidecar, queue).await;
        if shared.records.lock().is_queue_empty(sidecar) {
            return;
        }
    }
}

async fn send_batch(shared: &Shared, sidecar: SocketAddr, queue: Vec<Waiting>) {
    let confirmations = queue.iter().map(|waiting| waiting.confirmation.clone()).collect();
    let message = ConfirmRequest { confirmations };
    let node = &shared.node;
    let path = paths::CONFIRM;
    let confirmed: Result<Result<(), Fault>, CallError> =
        call(&node.pool, &node.keyring, sidecar, path, &message, CALL_TIMEOUT).await;
    if let Err(error) = confirmed {
        debug!(node.log, "billing: this entry alone holds records"; "error" => %error);
    }
    drop(queue);
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
    let told: Result<Result<(), Fault>, CallError> =
        call(&node.pool, &node.keyring, holder, paths::SETTLE, &message, CALL_TIMEOUT).await;
    if let Err(error) = told {
        debug!(node.log, "billing: a sidecar was not told"; "error" => %error);
    }
}
