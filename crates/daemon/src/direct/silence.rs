//! Keeps an attempt open while its replica is silent and another replica is asked.

use super::{
    retry::{Progress, Target},
    upstream::{Exchange, UpstreamResponse},
};
use crate::clock::since_boot;
use async_std::task;
use futures_lite::{FutureExt, future};
use ibissail_core::Millis;
use std::future::Future;

/// Time from the first request to a successor until the silent attempt is closed. Replicas refuse
/// at once, and two of them must not work on one request for longer than 400 ms.
const HANDOVER_TIME: Millis = Millis(300);

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
    /// When the attempt is closed, because a successor may be working on the request.
    close_at: Option<Millis>,
}

impl SilentAttempt {
    pub(super) fn new(target: Target, pending: PendingResponse, progress: &mut Progress) -> Self {
        let partial_event = progress.splitter.take_partial_event();
        let relayed_bytes = progress.relayed_bytes;
        Self { target, pending, partial_event, relayed_bytes, close_at: None }
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

    /// When the attempt is to be closed; `None` while no successor can be working on the request.
    pub(super) fn close_at(&self) -> Option<Millis> {
        self.close_at
    }

    /// Sets the time back to what it was before a successor that has refused the request.
    pub(super) fn set_close_at(&mut self, close_at: Option<Millis>) {
        self.close_at = close_at;
    }
}

/// Waits for a successor's response, and closes the silent attempt when its time has come.
pub(super) async fn hand_over<F, T>(silent: &mut Option<SilentAttempt>, response: F) -> T
where
    F: Future<Output = T>,
{
    let closing = async {
        if let Some(attempt) = silent {
            let close_at = since_boot().saturating_add(HANDOVER_TIME);
            attempt.close_at.get_or_insert(close_at);
            wait_until(attempt.close_at).await;
            *silent = None;
        }
        future::pending().await
    };
    response.or(closing).await
}

/// Waits until a time since boot; for ever if it is `None`.
pub(super) async fn wait_until(time: Option<Millis>) {
    match time {
        Some(time) => task::sleep(time.since(since_boot()).as_duration()).await,
        None => future::pending().await,
    }
}
