//! Keeps an attempt open while another replica is asked to take the request over.

use super::{
    retry::{Progress, Target},
    upstream::{Exchange, UpstreamResponse},
};
use crate::clock::since_boot;
use async_std::task;
use futures_lite::{FutureExt, future};
use ibissail_core::Millis;
use std::future::Future;

/// Longest time for which successors may work on the request besides the replica of a kept attempt,
/// which is closed then. Replicas refuse at once, and two of them must not work on one request for
/// longer than 400 ms. The time begins anew when the kept attempt has gone on.
pub(super) const HANDOVER_TIME: Millis = Millis(300);

/// How far a kept attempt got.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// The head of the response has not arrived.
    Unanswered(Exchange),
    /// The head has arrived, the body not completely.
    Answering(Box<UpstreamResponse>),
}

/// Why another replica is to take a request over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandoverReason {
    /// The replica is silent. It may be sound and go on.
    Silent,
    /// The model is not confident in its response.
    Unconfident,
}

/// An attempt that is given up only for one that another replica has taken over.
#[derive(Debug)]
pub(super) struct KeptAttempt {
    pub(super) target: Target,
    pub(super) pending: PendingResponse,
    pub(super) reason: HandoverReason,
    /// Bytes of an event that the replica has not completed.
    partial_event: Vec<u8>,
    /// Bytes that the caller had received from it.
    relayed_bytes: u64,
}

impl KeptAttempt {
    pub(super) fn new(
        target: Target,
        pending: PendingResponse,
        reason: HandoverReason,
        progress: &mut Progress,
    ) -> Self {
        let partial_event = progress.splitter.take_partial_event();
        let relayed_bytes = progress.relayed_bytes;
        Self { target, pending, reason, partial_event, relayed_bytes }
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

/// Waits for a successor that was sent the request at `sent_at`, and closes the kept attempt when
/// the handover time is spent.
pub(super) async fn hand_over<F, T>(kept: &mut Option<KeptAttempt>, sent_at: Millis, next: F) -> T
where
    F: Future<Output = T>,
{
    let closing = async {
        if let Some(attempt) = kept {
            let close_at = sent_at.saturating_add(attempt.target.handover_left);
            task::sleep(close_at.since(since_boot()).as_duration()).await;
            *kept = None;
        }
        future::pending().await
    };
    next.or(closing).await
}
