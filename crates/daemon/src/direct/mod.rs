//! The entry that calls upstreams directly: no sidecar stands between it and the replicas.

mod accept;
mod answer;
mod attempt;
mod drive;
mod follow;
mod messages;
mod metrics;
mod orders;
mod peers;
mod pick;
mod readiness;
mod reads;
mod relay;
mod serve;
mod state;
mod upstream;

use crate::{StartError, cli::LogLevel, clock::since_boot, log, process::listen};
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use async_std::{net::UdpSocket, stream::StreamExt, task};
use ibissail_core::Millis;
use ibissail_direct::{DirectSettings, admits_during_shutdown, shutdown_deadline};
use ibissail_platform::read_settings;
use ibissail_transport::{ShutdownHandle, shutdown_channel};
use metrics::DirectMetrics;
use slog::{Logger, error, info, warn};
use state::State;
use std::{
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Time in which the balancer notices that an entry takes no new connections: two questions a
/// second apart, and the way there.
const BALANCER_TIME: Millis = Millis(2_500);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What the tasks of a direct entry share.
#[derive(Debug)]
pub(crate) struct Direct {
    settings: DirectSettings,
    log: Logger,
    metrics: DirectMetrics,
    state: Mutex<State>,
    /// Where messages of other entries arrive.
    peer_socket: UdpSocket,
    started: Millis,
    is_stopping: AtomicBool,
    /// Whether the last exact read of the configuration was answered.
    is_store_well: AtomicBool,
    stopping_since: Mutex<Option<Millis>>,
    open_connections: AtomicUsize,
    /// Closed when callers are no longer accepted.
    accepting: (Sender<()>, Receiver<()>),
}

impl Direct {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether a request that may last until `until` is still taken: after the balancer has had
    /// time to notice the stop, only one that ends before the process does.
    fn takes(&self, until: Millis) -> bool {
        let since = *self.stopping_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_none_or(|since| {
            admits_during_shutdown(self.settings.grace, since, since_boot(), until)
        })
    }

    /// Whether idle connections of callers may be closed: the balancer sends no more of them.
    fn closes_idle(&self) -> bool {
        let since = *self.stopping_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| since_boot().since(since) > BALANCER_TIME)
    }
}

/// A direct entry that serves callers.
#[derive(Debug)]
pub(crate) struct DirectEntry {
    direct: Arc<Direct>,
    /// Ends the servers of readiness and metrics when it is dropped.
    _servers_end: ShutdownHandle,
}

impl DirectEntry {
    /// Listens and follows the store.
    pub(crate) async fn start(settings: DirectSettings, log: Logger) -> Result<Self, StartError> {
        info!(log, "entry: started"; "vm" => %settings.vm, "zone" => %settings.zone,
            "callers" => %settings.callers, "store" => %settings.store);
        let callers = listen(settings.callers).await?;
        let readiness = listen(settings.readiness).await?;
        let metrics_listener = listen(settings.metrics).await?;
        let peer_socket = UdpSocket::bind(settings.peers)
            .await
            .map_err(|error| StartError::Listen(settings.peers, error.kind().to_string()))?;
        let direct = Arc::new(Direct {
            state: Mutex::new(State::new(&settings)),
            peer_socket,
            started: since_boot(),
            metrics: DirectMetrics::new(),
            is_stopping: AtomicBool::new(false),
            is_store_well: AtomicBool::new(true),
            stopping_since: Mutex::new(None),
            open_connections: AtomicUsize::new(0),
            accepting: async_channel::bounded(1),
            settings,
            log,
        });
        let (servers_end, servers_stop) = shutdown_channel();
        let serving =
            readiness::serve_readiness(Arc::clone(&direct), readiness, servers_stop.clone());
        task::spawn(serving);
        task::spawn(readiness::serve_metrics(Arc::clone(&direct), metrics_listener, servers_stop));
        task::spawn(follow::follow_configuration(Arc::clone(&direct)));
        task::spawn(reads::confirm_configuration(Arc::clone(&direct)));
        task::spawn(follow::follow_replicas(Arc::clone(&direct)));
        task::spawn(reads::confirm_replicas(Arc::clone(&direct)));
        task::spawn(follow::follow_orders(Arc::clone(&direct)));
        task::spawn(orders::work_on_orders(Arc::clone(&direct)));
        task::spawn(messages::exchange_messages(Arc::clone(&direct)));
        task::spawn(accept::accept_callers(Arc::clone(&direct), callers));
        Ok(Self { direct, _servers_end: servers_end })
    }

    /// Whether it has heard of a configuration and of replicas.
    pub(crate) fn is_ready(&self) -> bool {
        self.direct.is_ready()
    }

    /// Finishes what is in progress.
    pub(crate) async fn stop(&self) {
        wait_for_open_requests(&self.direct).await;
    }
}

/// Runs a direct entry until it is asked to stop.
pub(crate) async fn run(
    settings: DirectSettings,
    path: PathBuf,
    level: LogLevel,
) -> Result<(), StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| StartError::Signals(error.to_string()))?;
    let entry = DirectEntry::start(settings, log::stdout(level)).await?;
    let log = &entry.direct.log;
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&entry.direct, &path),
            Ok(signal) => {
                info!(log, "entry: stopping"; "signal" => format!("{signal:?}"));
                break;
            }
            Err(error) => error!(log, "entry: signal lost"; "error" => %error),
        }
    }
    entry.stop().await;
    Ok(())
}

/// Reads the settings file again; addresses and bounds of a running process stay.
fn reload(direct: &Direct, path: &Path) {
    match read_settings(path) {
        Ok(settings) => {
            direct.state().peers.set_seeds(&settings.seeds);
            info!(direct.log, "entry: settings read again"; "seeds" => settings.seeds.len());
        }
        Err(error) => warn!(direct.log, "entry: settings kept"; "error" => %error),
    }
}

/// Waits until callers know of the stop and none has a connection, or until the end.
async fn wait_until_idle(direct: &Direct, end: Millis) {
    while since_boot() < end {
        let is_idle = direct.open_connections.load(Ordering::Relaxed) == 0;
        if is_idle && direct.closes_idle() {
            return;
        }
        task::sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Finishes what is in progress, for as long as the grace time allows.
async fn wait_for_open_requests(direct: &Direct) {
    let started = since_boot();
    *direct.stopping_since.lock().unwrap_or_else(PoisonError::into_inner) = Some(started);
    direct.is_stopping.store(true, Ordering::Relaxed);
    let end = shutdown_deadline(direct.settings.grace, started);
    wait_until_idle(direct, end).await;
    // A caller may have come after the last look: close the door, then look again.
    direct.accepting.0.close();
    task::sleep(STOP_CHECK_INTERVAL).await;
    wait_until_idle(direct, end).await;
    let open = direct.open_connections.load(Ordering::Relaxed);
    info!(direct.log, "entry: stopped"; "open_connections" => open,
        "after_ms" => since_boot().since(started).0);
    // Logs are written by another thread; give it a moment.
    task::sleep(STOP_CHECK_INTERVAL).await;
}
