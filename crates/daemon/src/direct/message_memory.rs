//! Counts the memory of messages, and gives up responses and refuses requests when it is used up.

use super::Shared;
use crate::clock::since_boot;
use async_std::net::TcpStream;
use ibissail_core::{ByteSize, ErrorKind};
use ibissail_direct::{MessageId, SMALL_MESSAGE};
use ibissail_http1::{HttpError, RequestHead};
use ibissail_platform::decode_caller_request;
use slog::{info, warn};
use std::{collections::BTreeMap, net::Shutdown, sync::Arc};

/// Connections whose responses are counted.
pub(super) type CountedResponses = BTreeMap<MessageId, TcpStream>;

/// Memory that a request holds for each byte of its body: the body, and the copy that is sent.
const COPIES_OF_A_BODY: u64 = 2;

/// The memory of one response, until it is dropped.
#[derive(Debug)]
pub(super) struct ResponseMemory {
    shared: Arc<Shared>,
    stream: TcpStream,
    /// `None` as long as the response is small.
    id: Option<MessageId>,
}

impl ResponseMemory {
    /// Prepares the count of a response on this connection.
    pub(super) fn new(shared: &Arc<Shared>, stream: &TcpStream) -> Self {
        Self { shared: Arc::clone(shared), stream: stream.clone(), id: None }
    }

    /// Records how many bytes of the response are held. Fails if it has been given up, which ends its
    /// connection: its end must not be taken for the end of the response.
    pub(super) fn hold(&mut self, bytes: usize) -> Result<(), HttpError> {
        let bytes = ByteSize(bytes as u64);
        if self.id.is_none() && bytes <= SMALL_MESSAGE {
            return Ok(());
        }
        let mut state = self.shared.state();
        let id = *self.id.get_or_insert_with(|| {
            let id = state.messages.add_response(since_boot());
            state.counted_responses.insert(id, self.stream.clone());
            id
        });
        let used = state.messages.used();
        for given_up in state.messages.set_response(id, bytes, since_boot()) {
            if let Some(stream) = state.counted_responses.remove(&given_up) {
                let _closed = stream.shutdown(Shutdown::Both);
            }
            self.shared.metrics.given_up_responses.inc();
            warn!(self.shared.log, "responses: given up"; "response" => %given_up,
                "reason" => "the memory for messages is used up", "held_bytes" => used.0);
        }
        self.shared.record_message_bytes(state.messages.used());
        if state.messages.holds_response(id) { Ok(()) } else { Err(HttpError::MemoryLimit) }
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let mut state = self.shared.state();
        state.messages.remove_response(id);
        state.counted_responses.remove(&id);
        self.shared.record_message_bytes(state.messages.used());
    }
}

/// The memory of one request, until it is dropped.
#[derive(Debug)]
pub(super) struct RequestMemory {
    shared: Arc<Shared>,
    taken: ByteSize,
}

impl RequestMemory {
    /// Prepares the count of a request.
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        Self { shared: Arc::clone(shared), taken: ByteSize(0) }
    }

    /// Takes the memory for a body of this length in all; fails if there is no room for it.
    pub(super) fn hold(&mut self, body_bytes: u64) -> Result<(), HttpError> {
        if body_bytes <= SMALL_MESSAGE.0 {
            return Ok(());
        }
        let needed = body_bytes.saturating_mul(COPIES_OF_A_BODY);
        let further = ByteSize(needed.saturating_sub(self.taken.0));
        let mut state = self.shared.state();
        if !state.messages.try_take_request(self.taken, further) {
            return Err(HttpError::MemoryLimit);
        }
        self.taken.0 += further.0;
        self.shared.record_message_bytes(state.messages.used());
        Ok(())
    }

    /// Logs that a request is refused before its body is read.
    pub(super) fn log_refusal(&self, head: &RequestHead, body_bytes: u64) {
        let used = self.shared.state().messages.used();
        info!(self.shared.log, "request: refused"; "id" => decode_caller_request(head).id,
            "kind" => ErrorKind::CapacityShort.code(), "body_bytes" => body_bytes,
            "held_bytes" => used.0, "detail" => "the memory for messages is used up");
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        if self.taken.0 == 0 {
            return;
        }
        let mut state = self.shared.state();
        state.messages.give_back_request(self.taken);
        self.shared.record_message_bytes(state.messages.used());
    }
}

impl Shared {
    fn record_message_bytes(&self, used: ByteSize) {
        self.metrics.message_bytes.set(i64::try_from(used.0).unwrap_or(i64::MAX));
    }
}
