//! State and tasks that entries and sidecars have in common: settings, peers, gossip and messages
//! between processes.

mod gossip;
mod peers;
mod promotion;
mod settings_replica;
mod watching;

pub(crate) use settings_replica::SettingsReplica;

use crate::{clock::Clock, metrics::Metrics, node::peers::Peers};
use async_std::task;
use http_types::{Request, Response};
use ibissail_catalogue::{Catalogue, Document, Exchange};
use ibissail_core::{Incarnation, Millis};
use ibissail_execution::{Refusal, paths};
use ibissail_object_store::{HttpPlatformClient, ObjectApi};
use ibissail_settings::LocalSettings;
use ibissail_transport::{CallError, Envelope, Keyring, Pool, PoolOptions, ShutdownSignal, call};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use slog::{Logger, info, o, warn};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const MIN_LEDGER_INTERVAL: Duration = Duration::from_millis(500);
/// Ledger writes per second allowed for all entries together.
const LEDGER_WRITES_PER_SECOND: u32 = 100;
/// Ledger intervals that other holders of a record wait before they write it.
const RECORD_GRACE_INTERVALS: u32 = 3;
/// Time after the start from which an exchange with a single peer is enough to be synced.
const SINGLE_PEER_SYNC_AFTER: Millis = Millis(5_000);
/// Peers that a new process must have exchanged settings with if the platform cannot be read.
const SYNC_PEER_COUNT: usize = 3;

/// State of a process that takes part in gossip.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) local: LocalSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    pub(crate) keyring: Keyring,
    pub(crate) platform: Arc<dyn ObjectApi>,
    pub(crate) settings: SettingsReplica,
    pub(crate) peers: Peers,
    sequence: AtomicU64,
    stop: ShutdownSignal,
}

impl Node {
    /// Starts the tasks that keep the settings and the list of peers up to date.
    pub(crate) fn start(local: LocalSettings, log: &Logger, stop: ShutdownSignal) -> Arc<Self> {
        let platform = HttpPlatformClient::new(local.platform, PLATFORM_TIMEOUT);
        let incarnation = Incarnation(rand::random());
        let log = log.new(o!("vm" => local.identity.vm.to_string()));
        info!(log, "node: started"; "incarnation" => %incarnation);
        let node = Arc::new(Self {
            incarnation,
            clock: Clock::new(),
            log,
            metrics: Metrics::new(),
            pool: Pool::new(PoolOptions::default()),
            keyring: Keyring::new(local.peer_keys.clone()),
            platform: Arc::new(platform),
            settings: SettingsReplica::default(),
            peers: Peers::new(&local),
            sequence: AtomicU64::new(0),
            local,
            stop,
        });
        task::spawn(peers::refresh_list(Arc::clone(&node)));
        task::spawn(watching::follow_platform(Arc::clone(&node)));
        task::spawn(watching::poll_platform(Arc::clone(&node)));
        task::spawn(gossip::run(Arc::clone(&node)));
        task::spawn(promotion::run(Arc::clone(&node)));
        node
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Sequence number of the next request id; unique within this incarnation.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_shutting_down()
    }

    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        self.settings.catalogue()
    }

    /// Interval between two writes of an entry's ledger. It grows with the number of entries, so
    /// that their writes together stay within their share of the platform's rate limit. Since it
    /// is at least `MIN_LEDGER_INTERVAL` and otherwise rounded down to whole seconds, the rate
    /// stays below twice `LEDGER_WRITES_PER_SECOND`.
    pub(crate) fn ledger_interval(&self) -> Duration {
        let entries = u32::try_from(self.peers.entry_count()).unwrap_or(u32::MAX);
        MIN_LEDGER_INTERVAL.max(Duration::from_secs(1) * (entries / LEDGER_WRITES_PER_SECOND))
    }

    /// Grace period for an entry to write a record before another holder writes it.
    pub(crate) fn record_grace(&self) -> Millis {
        (self.ledger_interval() * RECORD_GRACE_INTERVALS).into()
    }

    /// Whether the settings were read from the platform or from enough peers.
    pub(crate) fn is_synced(&self) -> bool {
        if self.catalogue().root().is_none() {
            return false;
        }
        let synced = self.peers.synced_count();
        let required = SYNC_PEER_COUNT.min(self.peers.len()).max(1);
        self.settings.is_platform_read()
            || synced >= required
            || (synced > 0 && self.now() > SINGLE_PEER_SYNC_AFTER)
    }

    /// The part of `/status` that all processes have.
    pub(crate) fn status(&self, ready: bool) -> Value {
        json!({
            "vm": self.local.identity.vm,
            "zone": self.local.identity.zone,
            "incarnation": self.incarnation.to_string(),
            "ready": ready,
            "settings": self.settings.revisions(),
            "withdrawals": self.catalogue().withdrawals(),
            "pending": self.catalogue().pending(),
            "peers": self.peers.len(),
        })
    }

    /// Merges documents and pushes those that were new to a few peers.
    pub(crate) fn merge_documents(self: &Arc<Self>, documents: Vec<Document>) {
        let new_documents = self.settings.merge_documents(documents, &self.log);
        self.propagate(&new_documents);
    }

    fn propagate(self: &Arc<Self>, new_documents: &[Document]) {
        if new_documents.is_empty() {
            return;
        }
        self.metrics.documents_learned.inc_by(new_documents.len() as u64);
        for document in new_documents {
            info!(self.log, "settings: document updated";
                "key" => &document.key, "revision" => %document.revision);
        }
        gossip::push(self, new_documents);
    }

    /// Sends a message to another process and reads its response; a refusal becomes an error.
    pub(crate) async fn call<M, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &M,
        timeout: Duration,
    ) -> Result<A, CallError>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let reply: Result<A, Refusal> =
            call(&self.pool, &self.keyring, peer, path, message, timeout).await?;
        reply.map_err(|refusal| refusal.fault.into())
    }

    /// Handles a message from another process; `handler` serves the paths specific to the role.
    pub(crate) async fn handle_message<F>(
        self: &Arc<Self>,
        mut req: Request,
        handler: F,
    ) -> Response
    where
        F: FnOnce(&str, &Envelope) -> Result<Response, Refusal>,
    {
        let path = req.url().path().to_owned();
        let envelope = match Envelope::receive(&self.keyring, &mut req).await {
            Ok(envelope) => envelope,
            Err(fault) => {
                warn!(self.log, "protocol: message rejected"; "error" => %fault);
                return Response::new(fault.kind.response().status);
            }
        };
        let result = match path.as_str() {
            paths::EXCHANGE => self.handle_exchange(&envelope),
            paths::VMS => Ok(self.handle_vms(&envelope)),
            _ => handler(&path, &envelope),
        };
        result.unwrap_or_else(|refusal| envelope.refuse(&refusal))
    }

    /// Handles an exchange of settings with a peer.
    fn handle_exchange(self: &Arc<Self>, envelope: &Envelope) -> Result<Response, Refusal> {
        let message: Exchange = envelope.message()?;
        let (new_documents, reply) = self.settings.handle_exchange(message, &self.log);
        self.propagate(&new_documents);
        Ok(envelope.respond(&reply))
    }

    /// Returns the VM list to a peer that has none, such as one started during a platform outage.
    fn handle_vms(&self, envelope: &Envelope) -> Response {
        envelope.respond(&*self.peers.vm_list())
    }
}
