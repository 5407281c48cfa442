//! Clocks of a process.

use ibissail_core::Millis;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the process started.
    pub(crate) fn now(self) -> Millis {
        self.start.elapsed().into()
    }
}

/// Seconds of Unix time.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|time| time.as_secs()).unwrap_or_default()
}
