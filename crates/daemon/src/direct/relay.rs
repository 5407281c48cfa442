//! Relays a stream to its caller, in whole events.

use super::{
    outbox::CallerGone,
    pace::PaceRecorder,
    progress::{FarEnd, Progress},
    request::AdmittedRequest,
    response::{LAST_CHUNK, encode_chunk, forwarded_head},
    unframed_ends::UnframedEnd,
    upstream::{Exchange, StallLimits, UpstreamResponse},
};
use crate::clock::since_boot;
use ibissail_http1::{Connection, Framing, HttpError};
use slog::info;

/// The outcome of a stream from one replica.
#[derive(Debug)]
pub(crate) enum StreamOutcome {
    /// The complete stream has been written to the caller, or buffered for it.
    Complete,
    /// The stream ended early, for this reason.
    Broken(String),
    /// The stream ended with its connection behind an event that is far ahead. It was not written, as
    /// another replica may confirm it.
    Unconfirmed,
    /// The replica has been silent for longer than the stall limits allow; it may go on.
    Stalled(String),
    /// The caller has disconnected.
    CallerGone,
}

/// Whether a response without any event is no stream. One that resumes a stream may lack only its end,
/// which an empty chunk says clearly.
fn may_not_be_empty(framing: Framing, is_resumed: bool) -> bool {
    match framing {
        Framing::Chunked => false,
        Framing::UntilClose => true,
        Framing::None | Framing::Length(_) => is_resumed,
    }
}

/// Checks a stream at the end of its response, before the last events are taken from the splitter;
/// returns the outcome unless it is complete.
async fn check_end(
    request: &AdmittedRequest,
    progress: &mut Progress,
    upstream: &UpstreamResponse,
) -> Option<StreamOutcome> {
    let UpstreamResponse { exchange, splitter, .. } = upstream;
    let framing = upstream.head.framing;
    if splitter.has_partial_event() {
        return Some(StreamOutcome::Broken(HttpError::Truncated.to_string()));
    }
    let has_events = exchange.trial.event_count() > 0 || splitter.has_awaiting_event();
    if !has_events && may_not_be_empty(framing, progress.has_response_started()) {
        return Some(check_empty_end(request, progress, upstream).await);
    }
    if framing != Framing::UntilClose {
        return None;
    }
    match check_close(request, progress, upstream).await {
        Ok(end) if end.is_complete() => check_last_event(request, progress, upstream),
        Ok(end) => Some(StreamOutcome::Broken(end.to_string())),
        Err(_gone) => Some(StreamOutcome::CallerGone),
    }
}

/// Checks the end of a response that should have had an event. If it has ended in order, it contradicts
/// the event far ahead that its replica was to confirm.
async fn check_empty_end(
    request: &AdmittedRequest,
    progress: &mut Progress,
    upstream: &UpstreamResponse,
) -> StreamOutcome {
    let may_refute =
        progress.far_end == FarEnd::Take && upstream.head.framing == Framing::UntilClose;
    if may_refute {
        match check_close(request, progress, upstream).await {
            Ok(end) if end.is_complete() => progress.far_end = FarEnd::Refuse,
            Ok(_) => {}
            Err(_gone) => return StreamOutcome::CallerGone,
        }
    }
    StreamOutcome::Broken("the response ended without an event".to_owned())
}

/// Checks whether the replica of a response that ended with its connection runs on, while the caller is
/// written to.
async fn check_close(
    request: &AdmittedRequest,
    progress: &mut Progress,
    upstream: &UpstreamResponse,
) -> Result<UnframedEnd, CallerGone> {
    let Exchange { trial, connection, .. } = &upstream.exchange;
    let checking = trial.check_unframed_end(&request.params.id, connection);
    match &mut progress.outbox {
        Some(outbox) => Box::pin(outbox.write_beside(checking)).await,
        None => Ok(checking.await),
    }
}

/// Checks the last event of a stream that ended in order with its connection; returns the outcome
/// unless the event is taken for the last one. Foreign bytes may look like an event that is far ahead,
/// which only another replica can tell.
fn check_last_event(
    request: &AdmittedRequest,
    progress: &Progress,
    upstream: &UpstreamResponse,
) -> Option<StreamOutcome> {
    let position = upstream.splitter.position();
    let distance = position.withheld_distance()?;
    let outcome = match progress.far_end {
        _ if !request.route.kind.is_repeatable() => None,
        FarEnd::Take => None,
        FarEnd::AskAnother => Some(StreamOutcome::Unconfirmed),
        FarEnd::Refuse => {
            let error = "another replica has ended without the event that is far ahead";
            Some(StreamOutcome::Broken(error.to_owned()))
        }
    };
    info!(upstream.exchange.trial.shared.log, "attempt: ended behind an event that is far ahead";
        "id" => &request.params.id, "replica" => %upstream.exchange.load_guard.replica,
        "last_event_id" => position.last_id(), "distance" => distance,
        "usual_distance" => position.usual_distance(), "is_taken" => outcome.is_none());
    outcome
}

/// Relays the stream of one replica, preceded by the head of the response unless the caller has
/// received one already.
pub(super) async fn relay_stream(
    caller: &mut Connection,
    request: &AdmittedRequest,
    progress: &mut Progress,
    upstream: &mut UpstreamResponse,
    stall_limits: StallLimits,
    pace: &mut PaceRecorder<'_>,
) -> StreamOutcome {
    let mut last_event_at = since_boot();
    loop {
        if let Some(error) = upstream.splitter.take_error() {
            return StreamOutcome::Broken(error.to_string());
        }
        let earlier = progress.position;
        let exchange = &mut upstream.exchange;
        let next = async {
            if !upstream.received.is_empty() {
                return Ok(Some(std::mem::take(&mut upstream.received).into_bytes()));
            }
            match upstream.read_error.take() {
                Some(error) => Err(error),
                None => upstream.body.next_whole(&mut exchange.connection).await,
            }
        };
        let waiting = exchange.load_guard.wait_since(last_event_at, next, stall_limits);
        let waited = match &mut progress.outbox {
            // Boxed, so that the future of every request need not have room for it.
            Some(outbox) => match Box::pin(outbox.write_beside(waiting)).await {
                Ok(waited) => waited,
                Err(_gone) => return StreamOutcome::CallerGone,
            },
            None => waiting.await,
        };
        let data = match waited {
            Ok(Ok(data)) => data,
            Ok(Err(error)) => return StreamOutcome::Broken(error.to_string()),
            Err(error) => return StreamOutcome::Stalled(error),
        };
        let is_end = data.is_none();
        let split = match data {
            Some(data) => upstream.splitter.push(&data),
            None => match check_end(request, progress, upstream).await {
                Some(outcome) => return outcome,
                None => upstream.splitter.finish(),
            },
        };
        let exchange = &mut upstream.exchange;
        let counted = upstream.memory.hold(upstream.splitter.buffered_bytes());
        let events = match counted.and(split) {
            Ok(events) => events,
            Err(error) => return StreamOutcome::Broken(error.to_string()),
        };
        if !is_end {
            exchange.load_guard.record_bytes();
            if events.is_empty() {
                continue;
            }
        }
        let position = upstream.splitter.position();
        let mut bytes = Vec::new();
        if !events.is_empty() {
            let event_count = position.event_count() - earlier.event_count();
            exchange.trial.record_events(event_count);
            pace.record_events(event_count);
            bytes = encode_chunk(&events);
        }
        progress.position = position;
        if !progress.has_response_started() {
            let framing_header = "Transfer-Encoding: chunked\r\n";
            let head = forwarded_head(&upstream.head, framing_header, request.after_response);
            bytes.splice(0..0, head.into_bytes());
            progress.first_byte_at = Some(since_boot());
            pace.record_first_event(progress);
        }
        if is_end {
            bytes.extend_from_slice(LAST_CHUNK);
        }
        progress.relayed_bytes += bytes.len() as u64;
        match &mut progress.outbox {
            Some(outbox) => outbox.push(&bytes),
            None if caller.write(&bytes).await.is_err() => return StreamOutcome::CallerGone,
            None => {}
        }
        if is_end {
            return StreamOutcome::Complete;
        }
        // Comments do not end a silence.
        if progress.position.event_count() > earlier.event_count() {
            last_event_at = since_boot();
        }
    }
}
