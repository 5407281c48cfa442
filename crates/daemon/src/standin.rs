//! Runs a single stand-in as a process.

use crate::{StartError, process::listen, process::wait_for_stop_signal};
use async_std::task;
use ibissail_standin::{EngineOptions, run_engine, run_platform, run_service};
use ibissail_transport::shutdown_channel;
use std::net::SocketAddr;

pub(crate) async fn platform(address: SocketAddr) -> Result<(), StartError> {
    let (handle, stop) = shutdown_channel();
    let server = task::spawn(run_platform(listen(address).await?, stop));
    wait_for_stop_signal().await?;
    handle.shut_down();
    server.await;
    Ok(())
}

pub(crate) async fn engine(address: SocketAddr, options: EngineOptions) -> Result<(), StartError> {
    let (handle, stop) = shutdown_channel();
    let server = task::spawn(run_engine(listen(address).await?, options, stop));
    wait_for_stop_signal().await?;
    handle.shut_down();
    server.await;
    Ok(())
}

pub(crate) async fn service(address: SocketAddr) -> Result<(), StartError> {
    let (handle, stop) = shutdown_channel();
    let server = task::spawn(run_service(listen(address).await?, stop));
    wait_for_stop_signal().await?;
    handle.shut_down();
    server.await;
    Ok(())
}
