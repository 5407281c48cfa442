//! Runs the role given by the options until a stop signal.

use crate::{
    Options, StartError, dev, direct, entry::Entry, log, options::Role, sidecar::Sidecar, standin,
};
use async_global_executor::{GlobalExecutorConfig, init_with_config};
use async_signal::{Signal, Signals};
use async_std::{net::TcpListener, stream::StreamExt, task};
use slog::{Logger, info};
use std::net::SocketAddr;

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the daemon cannot start.
pub fn run(options: Options) -> Result<(), StartError> {
    let threads = options.threads.get();
    let executor = GlobalExecutorConfig::default();
    init_with_config(executor.with_min_threads(threads).with_max_threads(threads));
    let log = log::root(options.log_format, options.log_level);
    task::block_on(async move {
        match options.role {
            Role::Entry(settings) => {
                let entry = Entry::start(*settings, log.clone()).await?;
                wait_for_stop_ignoring_hangup(&log).await?;
                entry.stop().await;
                Ok(())
            }
            Role::Sidecar(settings, upstream) => {
                let sidecar = Sidecar::start(*settings, upstream, log.clone()).await?;
                wait_for_stop_ignoring_hangup(&log).await?;
                sidecar.stop().await;
                Ok(())
            }
            Role::Direct(settings, path) => direct::run(*settings, path, options.log_level).await,
            Role::Dev(port) => dev::run(port, log).await,
            Role::Platform(address) => standin::platform(address).await,
            Role::Engine(address, options) => standin::engine(address, options).await,
            Role::Service(address) => standin::service(address).await,
        }
    })
}

/// Binds a TCP listener.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen(address, error.kind().to_string()))
}

/// Resolves at SIGTERM or SIGINT.
pub(crate) async fn wait_for_stop_signal() -> Result<(), StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| StartError::Signals(error.to_string()))?;
    let _signal = signals.next().await;
    Ok(())
}

/// Resolves at SIGTERM or SIGINT. SIGHUP, which a closed terminal sends, interrupts no request.
async fn wait_for_stop_ignoring_hangup(log: &Logger) -> Result<(), StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| StartError::Signals(error.to_string()))?;
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        info!(log, "process: SIGHUP ignored"; "reason" => "the settings are read at the start");
    }
    Ok(())
}
