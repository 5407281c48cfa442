//! Accepts connections and reads requests from them.

use super::{
    Shared,
    message_memory::RequestMemory,
    request::RETRY_AFTER_SPREAD,
    response::{AfterResponse, ErrorReply},
    serve::handle_request,
};
use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::FutureExt;
use ibissail_core::{ByteSize, ErrorKind, Millis};
use ibissail_direct::{Limits, retry_after};
use ibissail_http1::{BlockBuffer, BodyReader, Connection, Framing, HttpError, RequestHead};
use rand::Rng;
use slog::{debug, warn};
use std::{
    net::Shutdown,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Most connections of callers open at once; each may need another connection, to a replica.
const MAX_CONNECTIONS: usize = 1_800;
/// File descriptors left to peers, the store and the logs.
const RESERVED_DESCRIPTORS: u32 = 200;
/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which an idle connection checks for its idle timeout and for a shutdown.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Most bytes discarded after an error response, so that the caller receives the response.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// Time that the caller of a request which was not read is taken to have.
const UNREAD_REQUEST_TIME: Millis = Millis(1_500);
/// Longest time spent discarding input after an error response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until `Shared::stop_accepting` is closed; closes those above the limit.
pub(super) async fn accept_callers(shared: Arc<Shared>, listener: TcpListener) {
    let max_connections = shared.max_connections();
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            let _closed = shared.stop_accepting.1.recv().await;
            None
        };
        let stream = match accepted.or(closed).await {
            None => return,
            Some(Ok((stream, _peer))) => stream,
            Some(Err(error)) => {
                warn!(shared.log, "callers: accept failed"; "error" => %error.kind());
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if shared.open_connections.fetch_add(1, Ordering::Relaxed) >= max_connections {
            shared.open_connections.fetch_sub(1, Ordering::Relaxed);
            warn!(shared.log, "callers: too many connections"; "limit" => max_connections);
            continue;
        }
        let shared = Arc::clone(&shared);
        task::spawn(async move {
            serve_connection(&shared, stream).await;
            shared.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl Shared {
    /// Most connections of callers open at once. Where an overload is expected, each may need a
    /// second descriptor, for a replica.
    fn max_connections(&self) -> usize {
        let descriptors = self.settings.descriptors.filter(|_| self.settings.expects_overload);
        let connections = descriptors.map(|count| count.0.saturating_sub(RESERVED_DESCRIPTORS) / 2);
        let connections = connections.map(|count| usize::try_from(count).unwrap_or(usize::MAX));
        connections.map_or(MAX_CONNECTIONS, |count| count.clamp(1, MAX_CONNECTIONS))
    }

    /// Limits of the configuration; the defaults before one has been received.
    fn limits(&self) -> Limits {
        self.state().table.as_ref().map(|table| table.limits).unwrap_or_default()
    }
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        if !wait_for_request(shared, &mut connection).await {
            return;
        }
        // Held until the request has ended.
        let mut memory = RequestMemory::new(shared);
        let read = read_request(&mut connection, shared.limits(), &mut memory).await;
        let is_refused = read.is_err();
        let after_response = match read {
            Ok((head, body)) => handle_request(shared, &mut connection, head, body).await,
            Err(error) => {
                refuse(shared, &mut connection, &error).await;
                AfterResponse::Close
            }
        };
        if after_response == AfterResponse::Close {
            // A caller that keeps its connection may have sent its next request already.
            if is_refused || shared.is_stopping() || !connection.unread().is_empty() {
                close_gracefully(&mut connection).await;
            }
            return;
        }
    }
}

/// Waits for the first byte of a request; returns `false` if the connection is to be closed,
/// because it has failed, has been idle for too long or is idle during a shutdown.
async fn wait_for_request(shared: &Shared, connection: &mut Connection) -> bool {
    let mut waited = Duration::ZERO;
    loop {
        match timeout(IDLE_CHECK_INTERVAL, connection.fill_if_empty()).await {
            Ok(result) => return result.is_ok(),
            Err(_elapsed) => waited += IDLE_CHECK_INTERVAL,
        }
        // The limit may change while a connection is idle.
        let idle_limit = shared.limits().idle_timeout.as_duration();
        if waited >= idle_limit || shared.may_close_idle() {
            return false;
        }
    }
}

async fn read_request(
    connection: &mut Connection,
    limits: Limits,
    memory: &mut RequestMemory,
) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let head = connection.read_request_head(limits.head.as_usize());
    let head = match timeout(limits.head_timeout.as_duration(), head).await {
        Ok(head) => head?,
        Err(_elapsed) => return Err(HttpError::Timeout),
    };
    if let Framing::Length(length) = head.framing
        && length <= limits.body.0
        && let Err(error) = memory.hold(length)
    {
        memory.log_refusal(&head, length);
        return Err(error);
    }
    if head.expects_continue() {
        connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut reader = BodyReader::new(head.framing);
    let mut body = match head.framing {
        Framing::Length(length) => {
            BlockBuffer::with_capacity(ByteSize(limits.body.0.min(length)).as_usize())
        }
        Framing::None | Framing::Chunked | Framing::UntilClose => BlockBuffer::default(),
    };
    let hold = |length| memory.hold(length as u64);
    let reading = reader.read_checked(connection, &mut body, limits.body.as_usize(), hold);
    match timeout(limits.idle_timeout.as_duration(), reading).await {
        Ok(read) => read.map(|()| (head, body.into_bytes())),
        Err(_elapsed) => Err(HttpError::Timeout),
    }
}

/// Responds to a request that cannot be read, if the caller is still connected.
async fn refuse(shared: &Shared, connection: &mut Connection, error: &HttpError) {
    let kind = match error {
        HttpError::Closed | HttpError::Truncated | HttpError::Refused | HttpError::Io(_) => {
            debug!(shared.log, "callers: disconnected during a request"; "error" => %error);
            return;
        }
        // Also for a body that arrives too slowly, for which there is no other kind.
        HttpError::Timeout => ErrorKind::HeadTimeout,
        HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
        HttpError::BodyTooLarge | HttpError::EventTooLarge => ErrorKind::BodyTooLarge,
        HttpError::Malformed(_) => ErrorKind::BadRequest,
        HttpError::MemoryLimit => ErrorKind::CapacityShort,
    };
    warn!(shared.log, "callers: request refused"; "kind" => kind.code(), "error" => %error);
    shared.metrics.count_request("none", kind.code());
    let retry_after = (*error == HttpError::MemoryLimit)
        .then(|| retry_after(RETRY_AFTER_SPREAD, UNREAD_REQUEST_TIME, rand::rng().random()));
    let reply = ErrorReply { kind, detail: error.to_string(), retry_after };
    if let Err(error) = reply.write(connection, AfterResponse::Close).await {
        debug!(shared.log, "callers: disconnected during a response"; "error" => %error);
    }
}

/// Ends a connection on which the caller may still be sending: closing it with unread bytes would
/// reset it, and the caller could lose the response.
async fn close_gracefully(connection: &mut Connection) {
    if connection.stream().shutdown(Shutdown::Write).is_ok() {
        discard_input(connection).await;
    }
}

/// Discards input for a while, until the caller closes the connection.
async fn discard_input(connection: &mut Connection) {
    let reading = async {
        let mut reader = BodyReader::new(Framing::UntilClose);
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match reader.next(connection).await {
                Ok(Some(data)) => discarded += data.len(),
                Ok(None) | Err(_) => return,
            }
        }
    };
    let timed_out = async {
        task::sleep(DISCARD_TIMEOUT).await;
    };
    reading.or(timed_out).await;
}
