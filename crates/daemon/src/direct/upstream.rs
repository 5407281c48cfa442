//! Sends a request to a replica: opens a connection, writes the request, waits for the response
//! head.

use super::{
    Shared,
    message_memory::ResponseMemory,
    progress::{Progress, SelectedReplica},
    request::AdmittedRequest,
    trials::Trial,
    unsent::RequestRest,
};
use crate::clock::since_boot;
use async_std::{net::TcpStream, task};
use derive_more::Display;
use futures_lite::{AsyncWriteExt, FutureExt, future};
use ibissail_core::{InstanceId, Millis, ModelId, ServiceId, Tokens};
use ibissail_direct::RequestKind;
use ibissail_http1::{
    BlockBuffer, BodyReader, Connection, EventSplitter, Framing, HttpError, RESPONSE_HEAD_START,
    ResponseHead, StreamPosition, dial, parse_response,
};
use ibissail_platform::{
    EVENT_VERSION_FIELD, ReplicaResponse, ResponseFault, UpstreamHeaders, decode_replica_response,
    encode_upstream_head,
};
use memchr::memmem;
use std::{borrow::Cow, fmt, future::Future, io::ErrorKind, sync::Arc, time::Duration};

/// Longest time for opening a connection; replicas in all zones are milliseconds away.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Interval at which a silent replica is checked against the stall limits.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Largest body, in bytes, of a response that is not a stream; it is held in memory. Bodies have
/// some 800 bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;
/// Most response heads read on one connection, counting responses to other requests.
const MAX_RESPONSE_HEADS: usize = 3;
/// How long a response waits behind a body that ends with the start of another response's head.
const HEAD_REST_TIMEOUT: Millis = Millis(50);
/// Last bytes of a body in which such a head may begin.
const MAX_HEAD_START_BYTES: usize = 4 << 10;
/// Largest body, in bytes, of a skipped response.
const MAX_SKIPPED_BODY_BYTES: usize = 256 << 10;

/// Why an attempt received no response head.
#[derive(Debug, Clone)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, because the zone of the replica may get no requests.
    Withheld(String),
    /// The request was sent and may have run, but no valid response head was received.
    Lost(String),
    /// The replica has been silent for longer than the stall limits allow; it may still respond.
    Stalled(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error)
            | Self::Withheld(error)
            | Self::Lost(error)
            | Self::Stalled(error) => f.write_str(error),
        }
    }
}

/// How long a replica may be silent before another is asked to take the request over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StallLimits {
    /// Longest silence on this request.
    pub(crate) on_request: Millis,
    /// Longest silence on this request while the replica sends nothing on others either.
    pub(crate) on_replica: Millis,
}

impl StallLimits {
    /// No limits: waits until the caller's deadline.
    pub(crate) const UNBOUNDED: Self =
        Self { on_request: Millis(u64::MAX), on_replica: Millis(u64::MAX) };

    /// Limits for the head of a response.
    pub(crate) fn for_head(request: &AdmittedRequest) -> Self {
        let objective = request.route.objective;
        match request.route.kind {
            RequestKind::OnceAtMost | RequestKind::Stream => Self::UNBOUNDED,
            RequestKind::Repeatable => {
                let limit = Millis((objective.0 * 5 / 2).max(300));
                Self { on_request: limit, on_replica: limit }
            }
            RequestKind::ResumableStream => Self {
                on_request: Millis(objective.0.max(2_500)),
                on_replica: Millis((objective.0 * 2 / 5).max(1_500)),
            },
        }
    }

    /// Limits for the next event of a stream.
    pub(crate) fn for_event(request: &AdmittedRequest) -> Self {
        let Some(gap) = request.route.gap_objective else { return Self::UNBOUNDED };
        if request.route.kind != RequestKind::ResumableStream {
            return Self::UNBOUNDED;
        }
        Self { on_request: Millis(gap.0 * 2), on_replica: gap }
    }
}

/// Counts an attempt in the load of its replica until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    shared: Arc<Shared>,
    service: ServiceId,
    pub(crate) replica: InstanceId,
    pending_prefill: Tokens,
    held: Tokens,
}

impl LoadGuard {
    fn acquire(shared: &Arc<Shared>, service: &ServiceId, replica: &SelectedReplica) -> Self {
        let mut state = shared.state();
        let load = state.loads.entry(replica.id.clone()).or_default();
        load.running += 1;
        load.pending_prefill.0 += replica.pending_prefill.0;
        load.held.0 = load.held.0.saturating_add(replica.expectation.held.0);
        state.count_old_version(service, &replica.id, true);
        drop(state);
        Self {
            shared: Arc::clone(shared),
            service: service.clone(),
            replica: replica.id.clone(),
            pending_prefill: replica.pending_prefill,
            held: replica.expectation.held,
        }
    }

    /// Records that bytes have arrived from the replica, which implies that it has prefilled the
    /// prompt.
    pub(crate) fn record_bytes(&mut self) {
        let pending_prefill = std::mem::take(&mut self.pending_prefill);
        let mut state = self.shared.state();
        let load = state.loads.entry(self.replica.clone()).or_default();
        load.last_byte_at = since_boot();
        load.pending_prefill.0 = load.pending_prefill.0.saturating_sub(pending_prefill.0);
    }

    fn last_byte_at(&self) -> Millis {
        self.shared
            .state()
            .loads
            .get(&self.replica)
            .map(|load| load.last_byte_at)
            .unwrap_or_default()
    }

    /// Waits for the replica; if it is silent for too long, the error says for how long.
    pub(crate) async fn wait<F, T>(
        &self,
        waiting: F,
        stall_limits: StallLimits,
    ) -> Result<T, String>
    where
        F: Future<Output = T>,
    {
        self.wait_since(since_boot(), waiting, stall_limits).await
    }

    /// Waits for the replica, whose silence on this request began at `since`. Bytes that complete
    /// no event do not end a silence.
    pub(crate) async fn wait_since<F, T>(
        &self,
        since: Millis,
        waiting: F,
        stall_limits: StallLimits,
    ) -> Result<T, String>
    where
        F: Future<Output = T>,
    {
        let stalled = async {
            loop {
                let now = since_boot();
                let on_request = now.since(since);
                let on_replica = now.since(since.max(self.last_byte_at()));
                if on_request > stall_limits.on_request || on_replica > stall_limits.on_replica {
                    return Err(format!(
                        "silent for {on_request} on this request, {on_replica} on all requests"
                    ));
                }
                task::sleep(STALL_CHECK_INTERVAL).await;
            }
        };
        async { Ok(waiting.await) }.or(stalled).await
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(load) = state.loads.get_mut(&self.replica) {
            load.running = load.running.saturating_sub(1);
            load.pending_prefill.0 = load.pending_prefill.0.saturating_sub(self.pending_prefill.0);
            load.held.0 = load.held.0.saturating_sub(self.held.0);
        }
        state.count_old_version(&self.service, &self.replica, false);
    }
}

/// What has been received of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Received {
    /// No head.
    #[display("nothing")]
    Nothing,
    /// The head of a response with this framing.
    #[display("head, {_0}")]
    Head(Framing),
    /// The head, this many events of a stream and this many bytes of an incomplete one.
    #[display("{_1} events, {_0}")]
    Events(Framing, u64, usize),
    /// The head, and this many bytes of a body.
    #[display("{_1} bytes, {_0}")]
    Bytes(Framing, usize),
}

impl Received {
    /// Bytes of an event that is not complete.
    pub(super) fn partial_event_bytes(self) -> usize {
        match self {
            Self::Events(_, _, bytes) => bytes,
            Self::Nothing | Self::Head(_) | Self::Bytes(..) => 0,
        }
    }
}

/// The head of a response, or why there is none.
pub(crate) type ReceivedHead = Result<(ResponseHead, ReplicaResponse), SendError>;

/// A request that is being sent to a replica on a connection of its own.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) connection: Connection,
    pub(crate) load_guard: LoadGuard,
    /// The encoded request.
    bytes: Vec<u8>,
    /// How many of these bytes have been written.
    written: usize,
    /// Response heads read so far.
    head_count: usize,
    /// Unread body of a response to another request.
    skipped_body: Option<Box<BodyReader>>,
    /// The rest of the request, if the head has arrived before all was sent.
    rest: Option<Box<RequestRest>>,
    pub(super) trial: Box<Trial>,
}

/// A response whose body has not been read to its end.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) exchange: Exchange,
    pub(crate) head: ResponseHead,
    pub(crate) response: ReplicaResponse,
    pub(crate) body: BodyReader,
    /// Splits a stream into events.
    pub(crate) splitter: Box<EventSplitter>,
    /// The part of the body that has been read and not yet forwarded.
    pub(crate) received: BlockBuffer,
    /// The memory of what has been read and not been forwarded.
    pub(super) memory: ResponseMemory,
    /// The error that ends the body after that part.
    pub(crate) read_error: Option<HttpError>,
}

impl UpstreamResponse {
    /// Creates a response; one that is a stream goes on at this position.
    pub(super) fn new(
        mut exchange: Exchange,
        head: ResponseHead,
        response: ReplicaResponse,
        position: StreamPosition,
    ) -> Self {
        exchange.trial.record_head();
        let body = BodyReader::new(head.framing);
        let splitter = EventSplitter::new(position).with_first_field(EVENT_VERSION_FIELD);
        let memory = ResponseMemory::new(&exchange.load_guard.shared, exchange.connection.stream());
        Self {
            exchange,
            head,
            response,
            body,
            splitter: Box::new(splitter),
            received: BlockBuffer::default(),
            memory,
            read_error: None,
        }
    }

    /// What has been received, for the log.
    pub(super) fn received_so_far(&self) -> Received {
        let framing = self.head.framing;
        let partial = self.splitter.partial_bytes() + self.body.held_bytes();
        match (self.exchange.trial.event_count(), partial, self.received.len()) {
            (0, 0, 0) => Received::Head(framing),
            (0, 0, bytes) => Received::Bytes(framing, bytes),
            (events, _, _) => Received::Events(framing, events, partial),
        }
    }

    /// Reads the rest of the body into memory; the outer error says for how long the replica has
    /// been silent.
    pub(super) async fn wait_for_all(
        &mut self,
        stall_limits: StallLimits,
    ) -> Result<Result<(), HttpError>, String> {
        let Self { exchange, body, received, memory, .. } = self;
        let Exchange { connection, load_guard, .. } = exchange;
        let hold = |length| memory.hold(length);
        let reading = async {
            body.read_checked(connection, received, MAX_RESPONSE_BYTES, hold).await?;
            read_head_rest(connection, received).await;
            Ok(())
        };
        load_guard.wait(reading, stall_limits).await
    }

    /// Takes the body, which has been read to its end. Fails if the head of another replica's response
    /// begins inside, which shows that the body was cut; the head may end behind the body.
    pub(super) fn take_body(&mut self) -> Result<Vec<u8>, HttpError> {
        let body = std::mem::take(&mut self.received).into_bytes();
        let unread = self.exchange.connection.unread();
        // Not even the first word of the head need lie inside as a whole.
        let bytes = match unread {
            [] => Cow::Borrowed(&body[..]),
            _ => Cow::Owned([&body[..], unread].concat()),
        };
        let starts = memmem::find_iter(&bytes, RESPONSE_HEAD_START);
        for start in starts.take_while(|start| *start < body.len()) {
            let is_other = match parse_response(&bytes[start..], "GET") {
                Ok(Some((_head, length))) if start + length > body.len() => true,
                Ok(Some((head, _length))) => {
                    let response = decode_replica_response(&head);
                    // A body may quote a response; but hardly one to a request of a caller.
                    let is_refusal = response.fault == Some(ResponseFault::FalseRefusal);
                    response.id.is_some() || response.rejection.is_some() || is_refusal
                }
                Ok(None) => !unread.is_empty(),
                Err(_no_head) => false,
            };
            if is_other {
                let error = "a response head inside a body";
                return Err(HttpError::Malformed(error.to_owned()));
            }
        }
        Ok(body)
    }

    /// Reads the rest of the body into memory. If the read is dropped before its end, a later one
    /// continues it.
    pub(super) async fn read_all(&mut self) -> Result<(), HttpError> {
        let Self { exchange, body, received, memory, .. } = self;
        let hold = |length| memory.hold(length);
        body.read_checked(&mut exchange.connection, received, MAX_RESPONSE_BYTES, hold).await?;
        read_head_rest(&mut exchange.connection, received).await;
        Ok(())
    }
}

/// Reads what a replica sends behind a body that may end with the start of another response's head. A
/// sound replica closes the connection there.
async fn read_head_rest(connection: &mut Connection, body: &BlockBuffer) {
    if connection.unread().is_empty() && ends_inside_head(&body.last_bytes(MAX_HEAD_START_BYTES)) {
        let reading = async { Some(connection.fill().await) };
        let timeout = async {
            task::sleep(HEAD_REST_TIMEOUT.as_duration()).await;
            None
        };
        let _closed_or_read = reading.or(timeout).await;
    }
}

/// Whether the bytes end with an incomplete response head, or a part of its first word.
fn ends_inside_head(bytes: &[u8]) -> bool {
    let has_part = (1..RESPONSE_HEAD_START.len())
        .any(|length| bytes.ends_with(&RESPONSE_HEAD_START[..length]));
    let mut starts = memmem::find_iter(bytes, RESPONSE_HEAD_START);
    has_part || starts.any(|start| matches!(parse_response(&bytes[start..], "GET"), Ok(None)))
}

impl Exchange {
    /// Opens a connection to a replica for the request; no byte has been sent yet.
    pub(crate) async fn open(
        shared: &Arc<Shared>,
        request: &AdmittedRequest,
        resume_after: Option<u64>,
        replica: &SelectedReplica,
        model: Option<&ModelId>,
    ) -> Result<Self, SendError> {
        shared.check_zone(&replica.zone)?;
        let load_guard = LoadGuard::acquire(shared, &request.service, replica);
        let limit = CONNECT_TIMEOUT.min(request.time_left(since_boot()));
        let connection = dial(replica.address, limit.as_duration())
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        // The zone may have been evacuated since the replica was selected.
        shared.check_zone(&replica.zone)?;
        let headers = UpstreamHeaders {
            instance: replica.id.clone(),
            time_left: request.time_left(since_boot()),
            organisation: request.organisation.clone(),
            model: model.cloned(),
            urgency: model.map(|_| request.urgency.min(9)),
            resume_after,
        };
        let head = encode_upstream_head(&request.head, request.body.len(), &headers);
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&request.body);
        Ok(Self {
            connection,
            load_guard,
            bytes,
            written: 0,
            head_count: 0,
            skipped_body: None,
            rest: None,
            trial: Box::new(Trial::new(shared, request, replica)),
        })
    }

    /// Writes the request while waiting for the head of its response, which may arrive before all
    /// is written. After `SendError::Stalled` it may be called again.
    pub(crate) async fn receive_head(
        &mut self,
        request: &AdmittedRequest,
        stall_limits: StallLimits,
    ) -> ReceivedHead {
        let Self { connection, load_guard, bytes, written, head_count, skipped_body, .. } = self;
        let writing = write_rest(connection.stream().clone(), bytes, written);
        let method = &request.head.method;
        let id = &request.params.id;
        let reading = read_matching_head(connection, method, id, head_count, skipped_body);
        // After a failed write there may still be a response to read.
        let writing = async {
            let _written = writing.await;
            future::pending().await
        };
        let head = match load_guard.wait(reading.or(writing), stall_limits).await {
            Ok(Ok(head)) => head,
            Ok(Err(error)) => return Err(SendError::Lost(error.to_string())),
            Err(error) => return Err(SendError::Stalled(error)),
        };
        load_guard.record_bytes();
        self.write_behind_head(id);
        Ok(head)
    }

    /// Goes on writing a request whose response has begun before all was sent.
    fn write_behind_head(&mut self, id: &str) {
        if self.written == self.bytes.len() {
            return;
        }
        let rest = self.bytes.split_off(self.written);
        let stream = self.connection.stream().clone();
        let LoadGuard { shared, replica, .. } = &self.load_guard;
        self.rest = Some(Box::new(RequestRest::start(shared, id, replica, stream, rest)));
    }

    /// Releases the replica after its complete response. The rest of a request that was not sent
    /// whole follows.
    pub(crate) fn finish(self, progress: &mut Progress) {
        if let Some(rest) = self.rest {
            progress.unsent.extend(rest.send_in_background());
        }
    }
}

/// Writes the bytes after the first `written` and counts them.
async fn write_rest(
    mut stream: TcpStream,
    bytes: &[u8],
    written: &mut usize,
) -> std::io::Result<()> {
    while *written < bytes.len() {
        match stream.write(&bytes[*written..]).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            count => *written += count,
        }
    }
    Ok(())
}

/// Reads the head of the response to this request; skips responses to other requests. Only a refusal
/// may lack the id.
async fn read_matching_head(
    connection: &mut Connection,
    method: &str,
    id: &str,
    head_count: &mut usize,
    skipped_body: &mut Option<Box<BodyReader>>,
) -> Result<(ResponseHead, ReplicaResponse), HttpError> {
    while *head_count < MAX_RESPONSE_HEADS {
        if let Some(body) = skipped_body {
            body.skip(connection, MAX_SKIPPED_BODY_BYTES).await?;
            *skipped_body = None;
        }
        let head = connection.read_response_head(method).await?;
        *head_count += 1;
        let response = decode_replica_response(&head);
        match &response.id {
            Some(found) if found == id => return Ok((head, response)),
            Some(_other) => {}
            None if response.rejection.is_some() => return Ok((head, response)),
            None => {
                let error = format!("response without an id, status {}", response.status);
                return Err(HttpError::Malformed(error));
            }
        }
        *skipped_body = Some(Box::new(BodyReader::new(head.framing)));
    }
    Err(HttpError::Malformed("only responses to other requests arrived".to_owned()))
}
