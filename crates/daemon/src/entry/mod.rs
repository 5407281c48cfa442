//! The entry: accepts requests from callers and routes each to an allowed version.

mod attempts;
mod billing;
mod chat;
mod context;
mod crashes;
mod dispatch;
mod keyed;
mod probing;
mod protocol;
mod relay;
mod router;
mod services;
mod sessions;

use crate::{StartError, node::Node, process::listen};
use async_std::task::{self, JoinHandle};
use billing::UnsettledRecords;
use ibissail_core::Millis;
use ibissail_direct::CrashQuarantine;
use ibissail_routing::{ConcurrencyLimiter, Health, Membership};
use ibissail_settings::LocalSettings;
use ibissail_transport::{ServerOptions, ShutdownHandle, serve, shutdown_channel};
use serde_json::Value;
use slog::{Logger, info, warn};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Time between `/readyz` turning to 503 and the listeners closing, so that load balancers stop
/// sending requests first.
const LAME_DUCK_PERIOD: Millis = Millis(1_000);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by all tasks of an entry.
#[derive(Debug)]
pub(crate) struct Shared {
    node: Arc<Node>,
    membership: Mutex<Membership>,
    concurrency_limiter: ConcurrencyLimiter,
    records: UnsettledRecords,
    quarantine: Mutex<CrashQuarantine>,
    draining: AtomicBool,
}

impl Shared {
    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Body of `/status`.
    fn status(&self) -> Value {
        let mut status = self.node.status(self.is_ready());
        let replicas = self.membership().clone();
        let ready = replicas.iter().filter(|replica| replica.health == Health::Ready).count();
        status["replicas"] = replicas.len().into();
        status["replicas_ready"] = ready.into();
        status["in_progress"] = self.concurrency_limiter.in_progress().into();
        status["records"] = self.records.len().into();
        status["unwitnessed"] = self.records.unwitnessed().into();
        status
    }

    fn is_ready(&self) -> bool {
        self.node.is_synced() && !self.draining.load(Ordering::Relaxed)
    }
}

/// A running entry.
#[derive(Debug)]
pub(crate) struct Entry {
    shared: Arc<Shared>,
    servers: Vec<JoinHandle<()>>,
    stop: ShutdownHandle,
}

impl Entry {
    /// Binds the listeners and starts all tasks.
    ///
    /// Fails if an address cannot be bound.
    pub(crate) async fn start(local: LocalSettings, log: Logger) -> Result<Self, StartError> {
        let public_listener = listen(local.listen).await?;
        let peer_listener = listen(local.peer_listen).await?;
        let (handle, stop) = shutdown_channel();
        let node = Node::start(local, &log, stop.clone());
        let shared = Arc::new(Shared {
            membership: Mutex::new(Membership::for_entry(&node.local.identity.vm)),
            node,
            concurrency_limiter: ConcurrencyLimiter::default(),
            records: UnsettledRecords::default(),
            quarantine: Mutex::default(),
            draining: AtomicBool::new(false),
        });
        task::spawn(probing::run(Arc::clone(&shared)));
        task::spawn(billing::run(Arc::clone(&shared)));
        task::spawn(crashes::run(Arc::clone(&shared)));
        let options = ServerOptions::default();
        let head_timeout = shared.node.local.head_timeout.as_duration();
        let public_options = ServerOptions { head_timeout, ..options };
        let (peer_shared, public_shared) = (Arc::clone(&shared), Arc::clone(&shared));
        let peer_server = serve(peer_listener, options, stop.clone(), move |req, _caller| {
            protocol::handle(Arc::clone(&peer_shared), req)
        });
        let public_server = serve(public_listener, public_options, stop, move |req, caller| {
            router::handle(Arc::clone(&public_shared), req, caller)
        });
        let servers = vec![task::spawn(public_server), task::spawn(peer_server)];
        Ok(Self { shared, servers, stop: handle })
    }

    /// Whether the entry is ready and at least `replicas` replicas are ready too.
    pub(crate) fn can_serve(&self, replicas: usize) -> bool {
        let membership = self.shared.membership();
        let ready = membership.iter().filter(|replica| replica.health == Health::Ready).count();
        self.shared.is_ready() && ready >= replicas
    }

    /// Shuts down: turns `/readyz` to 503, completes running requests, and writes usage records.
    ///
    /// Records that are not durable after the stop timeout are left to their other holders.
    pub(crate) async fn stop(self) {
        let node = &self.shared.node;
        info!(node.log, "entry: draining");
        self.shared.draining.store(true, Ordering::Relaxed);
        let deadline = node.now().saturating_add(node.local.stop_timeout);
        task::sleep(LAME_DUCK_PERIOD.as_duration()).await;
        self.stop.shut_down();
        let remaining = deadline.since(node.now()).as_duration();
        for server in self.servers {
            let _timed_out = async_std::future::timeout(remaining, server).await;
        }
        while !self.shared.records.is_empty() && node.now() < deadline {
            billing::flush(&self.shared).await;
            task::sleep(STOP_CHECK_INTERVAL).await;
        }
        if !self.shared.records.is_empty() {
            // Holders that have received copies of these records write them after the grace period.
            warn!(node.log, "entry: stopped with unsettled usage records";
                "records" => self.shared.records.len());
        }
        info!(node.log, "entry: stopped");
    }
}
