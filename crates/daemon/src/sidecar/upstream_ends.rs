//! Whether the upstream has ended under a run, which entries are told after the run's end.

use crate::{
    crash_check::{CrashCheckResult, check_for_crash},
    sidecar::{Shared, runs::ActiveRun},
};
use ibissail_core::Millis;
use ibissail_execution::UpstreamRun;
use slog::info;
use std::sync::{Mutex, PoisonError};

/// Numbers the runs of the upstream's process.
#[derive(Debug, Default)]
pub(crate) struct UpstreamEnds {
    last: Mutex<LastEnd>,
}

#[derive(Debug, Default)]
struct LastEnd {
    run: UpstreamRun,
    confirmed_at: Option<Millis>,
}

impl UpstreamEnds {
    /// Number of the upstream's run that has ended under a request sent to it at this time.
    ///
    /// Requests that were sent before an end was confirmed were lost with that end.
    fn number(&self, began_at: Millis, now: Millis) -> UpstreamRun {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.confirmed_at.is_none_or(|confirmed| confirmed < began_at) {
            *last = LastEnd { run: UpstreamRun(last.run.0 + 1), confirmed_at: Some(now) };
        }
        last.run
    }
}

/// The upstream's run that has ended under a run whose response broke; `None` if the upstream still
/// accepts connections or does not respond.
pub(crate) async fn find_end(shared: &Shared, broken: &ActiveRun) -> Option<UpstreamRun> {
    if check_for_crash(shared.upstream.address).await != CrashCheckResult::Ended {
        return None;
    }
    let run = shared.upstream_ends.number(broken.began_at, shared.node.now());
    info!(shared.node.log, "upstream: ended"; "run" => %broken.request.key, "upstream_run" => %run);
    Some(run)
}
