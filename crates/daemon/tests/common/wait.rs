//! Polls for conditions that other processes bring about.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until the condition holds; panics after `WAIT_TIMEOUT`, naming `what` was expected.
pub fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting until {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}
