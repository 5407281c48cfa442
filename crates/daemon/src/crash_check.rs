//! Checks whether the server at an address has ended.

use async_std::task;
use ibissail_http1::{HttpError, dial};
use std::{net::SocketAddr, time::Duration};

/// Time from a broken response until its server is checked, in which a server that crashes closes
/// its listener.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest time for opening a connection to a server that may have crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// What a check has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashCheckResult {
    /// The server accepts connections.
    Running,
    /// The server refuses connections.
    Ended,
    /// The server does not respond; the way to it may be cut.
    Unreachable,
}

/// Opens a connection to a server a short time from now.
pub(crate) async fn check_for_crash(address: SocketAddr) -> CrashCheckResult {
    task::sleep(CHECK_DELAY).await;
    match dial(address, CHECK_TIMEOUT).await {
        Ok(_connection) => CrashCheckResult::Running,
        Err(HttpError::Refused) => CrashCheckResult::Ended,
        Err(_unreachable) => CrashCheckResult::Unreachable,
    }
}
