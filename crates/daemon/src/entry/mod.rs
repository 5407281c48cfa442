//! The entry: takes requests from callers and gives each to an allowed version.

mod attempts;
mod billing;
mod call;
mod chat;
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
use billing::Records;
use ibissail_core::Millis;
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

/// Time between readiness going away and connections being refused, for the balancer to see it.
const LAME_DUCK: Millis = Millis(1_000);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State of an entry that its tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    node: Arc<Node>,
    membership: Mutex<Membership>,
    admissions: ConcurrencyLimiter,
    records: Records,
    leaving: AtomicBool,
}

impl Shared {
    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state of this entry, for operators.
    fn status(&self) -> Value {
        let mut status = self.node.status(self.is_ready());
        let replicas = self.membership().clone();
        let ready = replicas.iter().filter(|replica| replica.health == Health::Ready).count();
        status["replicas"] = replicas.len().into();
        status["replicas_ready"] = ready.into();
        status["in_progress"] = self.admissions.in_progress().into();
        status["records"] = self.records.len().into();
        status["unwitnessed"] = self.records.unwitnessed().into();
        status
    }

    fn is_ready(&self) -> bool {
        self.node.is_synced() && !self.leaving.load(Ordering::Relaxed)
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
    /// Listens and starts all tasks.
    pub(crate) async fn start(local: LocalSettings, log: Logger) -> Result<Self, StartError> {
        let public = listen(local.listen).await?;
        let own = listen(local.peer_listen).await?;
        let (handle, stop) = shutdown_channel();
        let node = Node::start(local, &log, stop.clone());
        let shared = Arc::new(Shared {
            membership: Mutex::new(Membership::for_entry(&node.local.identity.vm)),
            node,
            admissions: ConcurrencyLimiter::default(),
            records: Records::default(),
            leaving: AtomicBool::new(false),
        });
        task::spawn(probing::run(Arc::clone(&shared)));
        task::spawn(billing::run(Arc::clone(&shared)));
        let options = ServerOptions::default();
        let head_timeout = shared.node.local.head_timeout.as_duration();
        let public_options = ServerOptions { head_timeout, ..options };
        let (peer, callers) = (Arc::clone(&shared), Arc::clone(&shared));
        let peer_server = serve(own, options, stop.clone(), move |req, _caller| {
            protocol::answer(Arc::clone(&peer), req)
        });
        let public_server = serve(public, public_options, stop, move |req, caller| {
            router::answer(Arc::clone(&callers), req, caller)
        });
        let servers = vec![task::spawn(public_server), task::spawn(peer_server)];
        Ok(Self { shared, servers, stop: handle })
    }

    /// Whether settings and at least so many replicas are ready.
    pub(crate) fn can_serve(&self, replicas: usize) -> bool {
        let membership = self.shared.membership();
        let ready = membership.iter().filter(|replica| replica.health == Health::Ready).count();
        self.shared.is_ready() && ready >= replicas
    }

    /// Turns unready, finishes what runs, writes all records, and stops.
    pub(crate) async fn stop(self) {
        let node = &self.shared.node;
        info!(node.log, "entry: leaving");
        self.shared.leaving.store(true, Ordering::Relaxed);
        let limit = node.now().saturating_add(node.local.stop_timeout);
        task::sleep(LAME_DUCK.as_duration()).await;
        self.stop.shut_down();
        let rest = limit.since(node.now()).as_duration();
        for server in self.servers {
            let _late = async_std::future::timeout(rest, server).await;
        }
        while !self.shared.records.is_empty() && node.now() < limit {
            billing::flush(&self.shared).await;
            task::sleep(STOP_CHECK_INTERVAL).await;
        }
        if !self.shared.records.is_empty() {
            // The sidecars hold the same records and will write them.
            warn!(node.log, "entry: stopped with records left"; "records" => self.shared.records.len());
        }
        info!(node.log, "entry: stopped");
    }
}
