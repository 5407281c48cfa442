//! Keeps an attempt open while its replica is silent and another replica is asked.

use super::{
    retry::{Progress, Target},
    upstream::{Exchange, UpstreamResponse},
};
use async_std::task;
use futures_lite::{FutureExt, future};
use ibissail_core::Millis;
use std::future::Future;

/// Longest time in one silence for which successors may work on the request besides the silent
/// replica, which is closed then. Replicas refuse at once, and two of them must not work on one
/// request for longer than 400 ms.
pub(super) const HANDOVER_TIME: Millis = Millis(300);

/// How far an attempt got before its replica fell silent.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// The head of the response has not arrived.
    Unanswered(Exchange),
    /// The head has arrived, the body not completely.
    Answering(Box<UpstreamResponse>),
}

/// An attempt whose replica is silent. The replica may be sound and go on, so that the attempt is
/// given up only for one that another replica has taken over.
#[derive(Debug)]
pub(super) struct SilentAttempt {
    pub(super) target: Target,
    pub(super) pending: PendingResponse,
    /// Bytes of an event that the replica has not completed.
    partial_event: Vec<u8>,
    /// Bytes that the caller had received when the replica fell silent.
    relayed_bytes: u64,
}

impl SilentAttempt {
    pub(super) fn new(target: Target, pending: PendingResponse, progress: &mut Progress) -> Self {
        let partial_event = progress.splitter.take_partial_event();
        let relayed_bytes = progress.relayed_bytes;
        Self { target, pending, partial_event, relayed_bytes }
    }

    /// Whether the response to the caller is still where this attempt left it.
    pub(super) fn is_current(&self, progress: &Progress) -> bool {
        self.relayed_bytes == progress.relayed_bytes
    }

    /// Prepares the progress of the request for going on with this attempt.
    pub(super) fn restore(&mut self, progress: &mut Progress) {
        let partial_event = std::mem::take(&mut self.partial_event);
        progress.splitter.restore_partial_event(partial_event);
        progress.pinned_version =
            progress.has_response_started().then(|| self.target.replica.version.clone());
    }

    /// Takes the time for which a successor has worked on the request from the handover time.
    pub(super) fn spend(&mut self, time: Millis) {
        self.target.handover_left = self.target.handover_left.since(time);
    }
}

/// Waits for a successor's response, and closes the silent attempt when the handover time is spent.
pub(super) async fn hand_over<F, T>(silent: &mut Option<SilentAttempt>, response: F) -> T
where
    F: Future<Output = T>,
{
    let closing = async {
        if let Some(attempt) = silent {
            task::sleep(attempt.target.handover_left.as_duration()).await;
            *silent = None;
        }
        future::pending().await
    };
    response.or(closing).await
}
