//! The sidecar: checks each run against the settings and forwards it to its upstream.
//!
//! No other process sends requests to the upstream.

mod claims;
mod housekeeping;
mod protocol;
mod records;
mod runs;
mod sse;
mod upstream;
mod upstream_ends;
mod upstream_limit;

use crate::{StartError, node::Node, process::listen, response};
use async_std::task::{self, JoinHandle};
use ibissail_billing::Outbox;
use ibissail_core::Millis;
use ibissail_execution::{RunKey, RunTable, RunTableLimits};
use ibissail_settings::{LocalSettings, UpstreamSettings};
use ibissail_transport::{
    Pool, PoolOptions, ServerOptions, ShutdownHandle, serve, shutdown_channel,
};
use runs::ActiveRun;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use upstream_ends::UpstreamEnds;
use upstream_limit::UpstreamLimit;

/// Maximum age of the ticket in a run request, which is the time since the probe that the request
/// is based on.
const MAX_TICKET_AGE: Millis = Millis(60_000);
/// How long an ended attempt is kept if the entry does not confirm it.
const ATTEMPT_RETENTION: Millis = Millis(30_000);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a sidecar that stops waits for a reader that has lost its connection.
const RECONNECT_TIME: Millis = Millis(2_000);

/// Connections to the upstream kept for further requests. None is: an upstream may send a second
/// copy of a response late, and nothing in a plain HTTP response tells which request it answers.
const UPSTREAM_IDLE_CONNECTIONS: usize = 0;

/// State shared by all tasks of a sidecar.
#[derive(Debug)]
pub(crate) struct Shared {
    node: Arc<Node>,
    upstream: UpstreamSettings,
    upstream_pool: Pool,
    upstream_ends: UpstreamEnds,
    upstream_limit: UpstreamLimit,
    table: Mutex<RunTable>,
    active: Mutex<BTreeMap<RunKey, ActiveRun>>,
    outbox: Mutex<Outbox>,
    /// When the last reader left before the end of a response that no other has read since.
    unread: Mutex<BTreeMap<RunKey, Millis>>,
}

impl Shared {
    /// Body of `/status`.
    fn status(&self, ready: bool) -> Value {
        let mut status = self.node.status(ready);
        status["offers"] = self.upstream.offers.to_string().into();
        status["running"] = self.table().running().into();
        status["kept"] = self.table().len().into();
        status["records"] = self.outbox().len().into();
        status
    }

    fn table(&self) -> MutexGuard<'_, RunTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn active(&self) -> MutexGuard<'_, BTreeMap<RunKey, ActiveRun>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a reader has left, after the end of the response or before it.
    fn record_reading(&self, key: &RunKey, is_complete: bool, now: Millis) {
        let mut unread = self.unread.lock().unwrap_or_else(PoisonError::into_inner);
        unread.retain(|_, left_at| now.since(*left_at) < RECONNECT_TIME);
        if is_complete {
            unread.remove(key);
        } else {
            unread.insert(key.clone(), now);
        }
    }

    /// Whether a reader may come back for the rest of a response.
    fn expects_reader(&self) -> bool {
        let now = self.node.now();
        let unread = self.unread.lock().unwrap_or_else(PoisonError::into_inner);
        unread.values().any(|left_at| now.since(*left_at) < RECONNECT_TIME)
    }

    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running sidecar.
#[derive(Debug)]
pub(crate) struct Sidecar {
    shared: Arc<Shared>,
    servers: Vec<JoinHandle<()>>,
    stop: ShutdownHandle,
}

impl Sidecar {
    /// Binds the listeners and starts all tasks.
    ///
    /// Fails if an address cannot be bound.
    pub(crate) async fn start(
        local: LocalSettings,
        upstream: UpstreamSettings,
        log: Logger,
    ) -> Result<Self, StartError> {
        let public_listener = listen(local.listen).await?;
        let peer_listener = listen(local.peer_listen).await?;
        let (handle, stop) = shutdown_channel();
        let limits = RunTableLimits {
            concurrency: upstream.concurrency,
            memory: local.memory,
            retention: upstream.retention,
            attempt_retention: ATTEMPT_RETENTION,
            max_ticket_age: MAX_TICKET_AGE,
        };
        let node = Node::start(local, &log, stop.clone());
        let shared = Arc::new(Shared {
            table: Mutex::new(RunTable::new(node.incarnation, limits)),
            node,
            upstream,
            upstream_pool: Pool::new(PoolOptions {
                max_idle_per_peer: UPSTREAM_IDLE_CONNECTIONS,
                ..PoolOptions::default()
            }),
            upstream_ends: UpstreamEnds::default(),
            upstream_limit: UpstreamLimit::default(),
            active: Mutex::default(),
            outbox: Mutex::default(),
            unread: Mutex::default(),
        });
        task::spawn(housekeeping::run(Arc::clone(&shared)));
        let options = ServerOptions::default();
        let peer_shared = Arc::clone(&shared);
        let peer_server = serve(peer_listener, options, stop.clone(), move |req, _caller| {
            protocol::handle(Arc::clone(&peer_shared), req)
        });
        let status_shared = Arc::clone(&shared);
        let status_server = serve(public_listener, options, stop, move |req, _caller| {
            let shared = Arc::clone(&status_shared);
            async move {
                let ready = shared.node.is_synced() && !shared.table().is_draining();
                response::admin_response(&req, &shared.node.metrics, ready, || shared.status(ready))
            }
        });
        let servers = vec![task::spawn(peer_server), task::spawn(status_server)];
        Ok(Self { shared, servers, stop: handle })
    }

    /// Shuts down: refuses new runs, completes running ones, and writes usage records and outcomes.
    ///
    /// Stops waiting for unfinished work once the stop timeout has passed.
    pub(crate) async fn stop(self) {
        let log = &self.shared.node.log;
        info!(log, "sidecar: draining");
        self.shared.table().drain();
        let deadline = self.shared.node.now().saturating_add(self.shared.node.local.stop_timeout);
        while !self.is_finished() && self.shared.node.now() < deadline {
            // Writes all records, including those whose grace period has not passed.
            records::flush(&self.shared, Millis(u64::MAX)).await;
            task::sleep(STOP_CHECK_INTERVAL).await;
        }
        if !self.is_finished() {
            warn!(log, "sidecar: stopped with unfinished work";
                "runs" => self.shared.table().running(), "records" => self.shared.outbox().len());
        }
        self.stop.shut_down();
        let remaining =
            deadline.since(self.shared.node.now()).as_duration().max(STOP_CHECK_INTERVAL);
        for server in self.servers {
            let _timed_out = async_std::future::timeout(remaining, server).await;
        }
        info!(log, "sidecar: stopped");
    }

    fn is_finished(&self) -> bool {
        let table = self.shared.table();
        table.running() == 0
            && !table.has_readers()
            && !table.has_unsettled()
            && self.shared.outbox().is_empty()
            && !self.shared.expects_reader()
    }
}
