//! Passes a stream on to its caller, by whole events.

use super::{
    response::{LAST_CHUNK, chunk, forwarded_head},
    retry::Progress,
    serve::Work,
    upstream::{Patience, Upstream},
};
use crate::clock::since_boot;
use ibissail_http1::Connection;

/// How a stream from one replica ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// The caller has the whole stream.
    Whole,
    /// The replica did not bring it to its end.
    Broken(String),
    /// The replica has been silent for longer than a sound one would be.
    Stalled(String),
    /// The caller does not take it any more.
    CallerGone,
}

/// Passes on what one replica sends.
pub(super) async fn relay_stream(
    caller: &mut Connection,
    work: &Work,
    progress: &mut Progress,
    upstream: &mut Upstream,
    patience: Patience,
) -> StreamEnd {
    loop {
        let next = upstream.body.next(&mut upstream.connection);
        let piece = match upstream.place.wait(next, patience).await {
            Ok(Ok(piece)) => piece,
            Ok(Err(error)) => return StreamEnd::Broken(error.to_string()),
            Err(silence) => return StreamEnd::Stalled(silence),
        };
        let mut bytes = Vec::new();
        let is_end = piece.is_none();
        if let Some(piece) = piece {
            upstream.place.note_bytes();
            let events = progress.splitter.push(&piece);
            if events.is_empty() {
                continue;
            }
            bytes = chunk(&events);
        } else if progress.splitter.has_partial_event() {
            return StreamEnd::Broken("the stream ended inside an event".to_owned());
        }
        if !progress.has_begun_answer() {
            let framing = "Transfer-Encoding: chunked\r\n";
            let head = forwarded_head(&upstream.head, framing, work.after);
            bytes.splice(0..0, head.into_bytes());
            progress.first_at = Some(since_boot());
        }
        if is_end {
            bytes.extend_from_slice(LAST_CHUNK);
        }
        if caller.write(&bytes).await.is_err() {
            return StreamEnd::CallerGone;
        }
        if is_end {
            return StreamEnd::Whole;
        }
    }
}
