//! Keeps an attempt open while another replica is asked to take the request over.

use super::{
    progress::{Progress, Target},
    request::AdmittedRequest,
    upstream::{Exchange, ReceivedHead, StallLimits, UpstreamResponse},
};
use crate::clock::since_boot;
use async_std::task;
use derive_more::Display;
use futures_lite::{FutureExt, future};
use ibissail_core::Millis;
use ibissail_http1::{EventSplitter, HttpError};
use std::future::Future;

/// Longest time for which successors may work on the request besides the replica of a kept attempt,
/// which is closed then. Replicas refuse at once, and two of them must not work on one request for
/// longer than 400 ms. The time begins anew when the kept attempt has gone on.
pub(super) const HANDOVER_TIME: Millis = Millis(300);

/// Most bytes, without a whole event that has an id, that are read from a kept attempt while another
/// replica is asked. An event and the comments before it have at most this many.
const MAX_BYTES_AHEAD: usize = 128 << 10;

/// How far a kept attempt got.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// The head of the response had not arrived, or arrived while another replica was asked.
    Unanswered(Exchange, Option<Box<ReceivedHead>>),
    /// The head has arrived, the body not completely.
    Answering(Box<UpstreamResponse>),
}

/// Why another replica is to take a request over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum HandoverReason {
    /// The replica is silent. It may be sound and go on.
    #[display("silent")]
    Silent,
    /// The model is not confident in its response.
    #[display("unconfident")]
    Unconfident,
    /// The stream has ended behind an event that is far ahead, and may be complete.
    #[display("unconfirmed")]
    Unconfirmed,
}

/// An attempt that is given up only for one that another replica has taken over.
#[derive(Debug)]
pub(super) struct KeptAttempt {
    pub(super) target: Target,
    pub(super) pending: PendingResponse,
    pub(super) reason: HandoverReason,
    /// Splits what the replica sends while another one is asked. The response splits it again when it
    /// goes on.
    splitter: Box<EventSplitter>,
    /// Events of the response when the other replica was asked.
    event_count: u64,
    /// Bytes that the caller had received from it.
    relayed_bytes: u64,
}

impl KeptAttempt {
    pub(super) fn new(
        target: Target,
        pending: PendingResponse,
        reason: HandoverReason,
        progress: &Progress,
    ) -> Self {
        let splitter = match &pending {
            PendingResponse::Unanswered(..) => Box::default(),
            PendingResponse::Answering(upstream) => upstream.splitter.clone(),
        };
        Self {
            target,
            pending,
            reason,
            event_count: splitter.position().event_count(),
            splitter,
            relayed_bytes: progress.relayed_bytes,
        }
    }

    /// Whether the response to the caller is still where this attempt left it.
    pub(super) fn is_current(&self, progress: &Progress) -> bool {
        self.relayed_bytes == progress.relayed_bytes
    }

    /// Prepares the progress of the request for going on with this attempt.
    pub(super) fn restore(&self, progress: &mut Progress) {
        progress.pinned_version =
            progress.has_response_started().then(|| self.target.replica.version.clone());
    }

    /// Bytes of an event that the replica had not completed.
    pub(super) fn partial_event_bytes(&self) -> usize {
        match &self.pending {
            PendingResponse::Unanswered(..) => 0,
            PendingResponse::Answering(upstream) => upstream.splitter.partial_bytes(),
        }
    }

    /// Takes the time for which a successor has worked on the request from the handover time.
    pub(super) fn spend(&mut self, time: Millis) {
        self.target.handover_left = self.target.handover_left.since(time);
    }

    /// When the attempt is closed, after a successor was sent the request; `None` if its replica works
    /// no more.
    fn close_at(&self, sent_at: Millis) -> Option<Millis> {
        match self.reason {
            HandoverReason::Silent | HandoverReason::Unconfident => {
                Some(sent_at.saturating_add(self.target.handover_left))
            }
            HandoverReason::Unconfirmed => None,
        }
    }

    /// Reads from a silent replica until it has gone on: with a successful head, a whole event or
    /// the end of its response. Does not return if the response has ended otherwise.
    async fn listen(&mut self, request: &AdmittedRequest) {
        let has_gone_on = match &mut self.pending {
            _ if self.reason != HandoverReason::Silent => false,
            PendingResponse::Unanswered(exchange, received) => {
                if received.is_none() {
                    let head = exchange.receive_head(request, StallLimits::UNBOUNDED).await;
                    *received = Some(Box::new(head));
                }
                matches!(received.as_deref(), Some(Ok((_, response)))
                    if response.rejection.is_none() && response.fault.is_none()
                        && response.status < 300)
            }
            PendingResponse::Answering(upstream) if upstream.read_error.is_some() => false,
            PendingResponse::Answering(upstream) => {
                let event_count = self.event_count;
                let reading = if request.is_stream(upstream.response.status) {
                    read_event(upstream, &mut self.splitter, event_count).await
                } else {
                    upstream.read_all().await.map(|()| upstream.response.status < 500)
                };
                reading.unwrap_or_else(|error| {
                    // It is reported when the attempt goes on.
                    upstream.read_error = Some(error);
                    false
                })
            }
        };
        if !has_gone_on {
            future::pending::<()>().await;
        }
    }
}

/// Reads a stream until it has more than `event_count` events or ends; returns `false` if it sends
/// too much without either.
async fn read_event(
    upstream: &mut UpstreamResponse,
    splitter: &mut EventSplitter,
    event_count: u64,
) -> Result<bool, HttpError> {
    let UpstreamResponse { exchange, body, received, memory, .. } = upstream;
    while splitter.position().event_count() == event_count {
        if received.len() > MAX_BYTES_AHEAD {
            return Ok(false);
        }
        let next = body.next_whole(&mut exchange.connection).await;
        memory.hold(received.len())?;
        let Some(data) = next? else {
            let is_cut = splitter.has_partial_event();
            return if is_cut { Err(HttpError::Truncated) } else { Ok(true) };
        };
        exchange.load_guard.record_bytes();
        received.push(&data);
        splitter.push(&data)?;
        if splitter.position().event_count() == event_count
            && let Some(error) = splitter.take_error()
        {
            return Err(error);
        }
    }
    Ok(true)
}

/// Waits for a successor, which was sent the request at `sent_at`, while the kept attempt is read;
/// `None` if that one has gone on. Closes it when the handover time is spent.
pub(super) async fn ask_successor<F, T>(
    kept: &mut Option<KeptAttempt>,
    request: &AdmittedRequest,
    sent_at: Option<Millis>,
    next: F,
) -> Option<T>
where
    F: Future<Output = T>,
{
    let listening = async {
        if let Some(attempt) = kept {
            let close_at = sent_at.and_then(|at| attempt.close_at(at));
            let listening = async {
                // Rare, so that the future of every request need not have room for it.
                Box::pin(attempt.listen(request)).await;
                true
            };
            let closing = async {
                wait_until(close_at).await;
                false
            };
            if listening.or(closing).await {
                return None;
            }
            *kept = None;
        }
        future::pending().await
    };
    listening.or(async { Some(next.await) }).await
}

/// Waits for the rest of a successor's response, and closes the kept attempt when the handover time
/// is spent.
pub(super) async fn hand_over<F, T>(kept: &mut Option<KeptAttempt>, sent_at: Millis, next: F) -> T
where
    F: Future<Output = T>,
{
    let closing = async {
        if let Some(attempt) = kept {
            wait_until(attempt.close_at(sent_at)).await;
            *kept = None;
        }
        future::pending().await
    };
    next.or(closing).await
}

/// Waits until a time since boot; for ever if it is `None`.
async fn wait_until(time: Option<Millis>) {
    match time {
        Some(time) => task::sleep(time.since(since_boot()).as_duration()).await,
        None => future::pending().await,
    }
}
