//! The direct entry: sends requests straight to the replicas of upstreams, without a sidecar.

mod accept;
mod admission;
mod attempt;
mod cold;
mod configuration_doubts;
mod crash_checks;
mod epochs;
mod event_ids;
mod handover;
mod limits;
mod load;
mod message_memory;
mod messages;
mod metrics;
mod models;
mod notices;
mod outbox;
mod outcomes;
mod pace;
mod peers;
mod polling;
mod progress;
mod quarantine;
mod readiness;
mod relay;
mod request;
mod response;
mod retry;
mod rollout_reads;
mod rollouts;
mod selection;
mod serve;
mod sessions;
mod spreading;
mod state;
mod trials;
mod unframed_ends;
mod unsent;
mod upstream;
mod watch;
mod zones;

use crate::{StartError, cli::LogLevel, clock::since_boot, log, process::listen};
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use async_std::{net::UdpSocket, stream::StreamExt, task};
use event_listener::Event;
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

/// Time until the load balancer stops opening connections to an entry that is not ready: two health
/// checks one second apart, and the network delay.
const BALANCER_DETECTION_TIME: Millis = Millis(2_500);
/// Time for the responses to requests that are still in progress at the end of the grace time.
const LAST_RESPONSES_TIME: Millis = Millis(250);
/// Interval at which a shutdown checks whether the entry is idle.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the tasks of a direct entry.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: DirectSettings,
    log: Logger,
    metrics: DirectMetrics,
    state: Mutex<State>,
    /// Socket for messages between entries.
    peer_socket: UdpSocket,
    /// When the entry started, as time since boot.
    started: Millis,
    is_stopping: AtomicBool,
    /// Whether the last poll of the configuration succeeded.
    is_store_reachable: AtomicBool,
    /// Notified when a restore of the store becomes known.
    restored: Event,
    /// Notified when a replica has become unreachable, with the flag that says so.
    cold_news: Event,
    is_cold_news_due: AtomicBool,
    /// When the shutdown started; `None` before.
    stopping_since: Mutex<Option<Millis>>,
    open_connections: AtomicUsize,
    /// Closed to stop accepting connections.
    stop_accepting: (Sender<()>, Receiver<()>),
    /// Closed at the end of the grace time to end the requests in progress.
    grace_ended: (Sender<()>, Receiver<()>),
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether a request with this deadline may still be admitted. Once the load balancer has had
    /// time to notice the shutdown, the deadline must be before the end of the process.
    fn can_admit(&self, deadline: Millis) -> bool {
        let since = *self.stopping_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_none_or(|since| {
            admits_during_shutdown(self.settings.grace, since, since_boot(), deadline)
        })
    }

    /// Whether idle connections may be closed: during a shutdown, once the load balancer opens no
    /// new ones.
    fn may_close_idle(&self) -> bool {
        let since = *self.stopping_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| since_boot().since(since) > BALANCER_DETECTION_TIME)
    }
}

/// A running direct entry.
#[derive(Debug)]
pub(crate) struct DirectEntry {
    shared: Arc<Shared>,
    /// Stops the readiness and metrics servers when dropped.
    _stop_handle: ShutdownHandle,
}

impl DirectEntry {
    /// Binds the sockets and starts the tasks of the entry; fails if a socket cannot be bound.
    pub(crate) async fn start(settings: DirectSettings, log: Logger) -> Result<Self, StartError> {
        info!(log, "entry: starting"; "vm" => %settings.vm, "zone" => %settings.zone,
            "callers" => %settings.callers, "store" => %settings.store);
        let callers = listen(settings.callers).await?;
        let readiness = listen(settings.readiness).await?;
        let metrics_listener = listen(settings.metrics).await?;
        let peer_socket = UdpSocket::bind(settings.peers)
            .await
            .map_err(|error| StartError::Listen(settings.peers, error.kind().to_string()))?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&settings)),
            peer_socket,
            started: since_boot(),
            metrics: DirectMetrics::new(),
            is_stopping: AtomicBool::new(false),
            is_store_reachable: AtomicBool::new(true),
            restored: Event::new(),
            cold_news: Event::new(),
            is_cold_news_due: AtomicBool::new(false),
            stopping_since: Mutex::new(None),
            open_connections: AtomicUsize::new(0),
            stop_accepting: async_channel::bounded(1),
            grace_ended: async_channel::bounded(1),
            settings,
            log,
        });
        let (stop_handle, stop) = shutdown_channel();
        let serving = readiness::serve_readiness(Arc::clone(&shared), readiness, stop.clone());
        task::spawn(serving);
        task::spawn(readiness::serve_metrics(Arc::clone(&shared), metrics_listener, stop));
        task::spawn(watch::watch_configuration(Arc::clone(&shared)));
        task::spawn(polling::poll_configuration(Arc::clone(&shared)));
        task::spawn(watch::watch_replicas(Arc::clone(&shared)));
        task::spawn(polling::poll_replicas(Arc::clone(&shared)));
        task::spawn(zones::poll_evacuations(Arc::clone(&shared)));
        task::spawn(watch::watch_rollouts(Arc::clone(&shared)));
        task::spawn(rollout_reads::poll_rollouts(Arc::clone(&shared)));
        task::spawn(rollouts::run_rollouts(Arc::clone(&shared)));
        task::spawn(messages::exchange_messages(Arc::clone(&shared)));
        task::spawn(cold::spread_cold_news(Arc::clone(&shared)));
        task::spawn(quarantine::review_quarantines(Arc::clone(&shared)));
        task::spawn(accept::accept_callers(Arc::clone(&shared), callers));
        Ok(Self { shared, _stop_handle: stop_handle })
    }

    /// Whether the load balancer should send new connections to this entry.
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops the entry once no connection is open, or at the end of the grace time.
    pub(crate) async fn stop(&self) {
        drain(&self.shared).await;
    }
}

/// Runs a direct entry until SIGTERM or SIGINT; SIGHUP reloads the settings file.
pub(crate) async fn run(
    settings: DirectSettings,
    path: PathBuf,
    level: LogLevel,
) -> Result<(), StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| StartError::Signals(error.to_string()))?;
    let entry = DirectEntry::start(settings, log::stdout(level)).await?;
    let log = &entry.shared.log;
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&entry.shared, &path),
            Ok(signal) => {
                info!(log, "entry: stopping"; "signal" => format!("{signal:?}"));
                break;
            }
            Err(error) => error!(log, "entry: signal not received"; "error" => %error),
        }
    }
    entry.stop().await;
    Ok(())
}

/// Reloads the seed addresses from the settings file; other settings need a restart.
fn reload(shared: &Shared, path: &Path) {
    match read_settings(path) {
        Ok(settings) => {
            shared.state().peers.set_seeds(&settings.seeds);
            info!(shared.log, "entry: settings reloaded"; "seeds" => settings.seeds.len());
        }
        Err(error) => warn!(shared.log, "entry: settings not reloaded"; "error" => %error),
    }
}

/// Waits until the load balancer opens no new connections, none is open and all requests are sent
/// whole, or until `deadline`. The shutdown must have started.
async fn wait_until_idle(shared: &Shared, deadline: Millis) {
    while since_boot() < deadline {
        let is_idle =
            shared.open_connections.load(Ordering::Relaxed) == 0 && shared.unsent_requests() == 0;
        if is_idle && shared.may_close_idle() {
            return;
        }
        task::sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Shuts the entry down: it is no longer ready, but accepts connections until none is open, or
/// until the end of the grace time, when requests in progress get error responses.
async fn drain(shared: &Shared) {
    let started = since_boot();
    *shared.stopping_since.lock().unwrap_or_else(PoisonError::into_inner) = Some(started);
    shared.is_stopping.store(true, Ordering::Relaxed);
    shared.log_waiting();
    let deadline = shutdown_deadline(shared.settings.grace, started);
    wait_until_idle(shared, deadline).await;
    // A connection may have been accepted after the last check: stop accepting, then check again.
    shared.stop_accepting.0.close();
    task::sleep(STOP_CHECK_INTERVAL).await;
    wait_until_idle(shared, deadline).await;
    shared.grace_ended.0.close();
    wait_until_idle(shared, deadline.saturating_add(LAST_RESPONSES_TIME)).await;
    let open = shared.open_connections.load(Ordering::Relaxed);
    info!(shared.log, "entry: stopped"; "open_connections" => open,
        "unsent_requests" => shared.unsent_requests(),
        "after_ms" => since_boot().since(started).0);
    // Another thread writes the logs; give it time to finish.
    task::sleep(STOP_CHECK_INTERVAL).await;
}
