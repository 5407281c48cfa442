//! Clocks: monotonic time since a start, Unix time and time since boot.

use ibissail_core::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts when it is created.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the clock was created.
    pub(crate) fn now(self) -> Millis {
        self.start.elapsed().into()
    }
}

/// Unix time in seconds; 0 if the system time is before 1970.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|time| time.as_secs()).unwrap_or_default()
}

/// Unix time in milliseconds; 0 if the system time is before 1970.
pub(crate) fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis::from(time).0
}

/// Time since the VM booted, including time that it was suspended.
pub(crate) fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Millis(seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000)
}
