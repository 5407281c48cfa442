//! Waits for what other processes bring about.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Waits until the condition holds.
pub fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "waited in vain until {what}");
        thread::sleep(POLL_PAUSE);
    }
}
