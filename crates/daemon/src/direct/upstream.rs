//! The way to a replica: opens a connection, sends the request, waits for the head.

use super::{Direct, drive::Progress, pick::Picked, serve::Work};
use crate::clock::since_boot;
use async_std::task;
use futures_lite::{AsyncWriteExt, FutureExt, future};
use ibissail_core::{InstanceId, Millis, ModelId, ServiceId, Tokens};
use ibissail_direct::RequestKind;
use ibissail_http1::{BodyReader, Connection, HttpError, ResponseHead, dial};
use ibissail_platform::{
    ReplicaResponse, UpstreamHeaders, decode_replica_response, encode_upstream_head,
};
use std::{future::Future, pin::pin, sync::Arc, task::Poll, time::Duration};

/// Longest time for opening a connection; replicas of all zones are milliseconds away.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Time between two looks at a replica that is silent.
const PATIENCE_CHECK: Duration = Duration::from_millis(150);
/// Answers to other requests that are skipped on one connection.
const MAX_FOREIGN_ANSWERS: usize = 3;
/// Longest answer of another request that is skipped.
const MAX_FOREIGN_BYTES: usize = 1 << 20;

/// Why an attempt brought no head of an answer.
#[derive(Debug, Clone)]
pub(crate) enum NoHead {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request was sent and may have run.
    Lost(String),
    /// The replica has been silent for longer than a sound one would be.
    Stalled(String),
}

/// How long a replica may be silent before the request goes elsewhere.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    /// Longest silence on this request.
    pub(crate) on_request: Millis,
    /// Longest silence on this request while the replica sends nothing on others either.
    pub(crate) on_replica: Millis,
}

impl Patience {
    /// Waits as long as the caller does.
    pub(crate) const UNBOUNDED: Self =
        Self { on_request: Millis(u64::MAX), on_replica: Millis(u64::MAX) };

    /// For the head of an answer.
    pub(crate) fn for_head(work: &Work, has_alternative: bool) -> Self {
        let objective = work.route.objective;
        match work.route.kind {
            _ if !has_alternative => Self::UNBOUNDED,
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

    /// For the next event of a stream.
    pub(crate) fn for_event(work: &Work, has_alternative: bool) -> Self {
        let Some(gap) = work.route.gap_objective else { return Self::UNBOUNDED };
        if !has_alternative || work.route.kind != RequestKind::ResumableStream {
            return Self::UNBOUNDED;
        }
        Self { on_request: Millis(gap.0 * 2), on_replica: gap }
    }
}

/// An attempt's place among the loads of its replica, given back when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    direct: Arc<Direct>,
    service: ServiceId,
    pub(crate) replica: InstanceId,
    unread: Tokens,
}

impl Place {
    fn take(direct: &Arc<Direct>, service: &ServiceId, picked: &Picked) -> Self {
        let mut state = direct.state();
        let load = state.loads.entry(picked.id.clone()).or_default();
        load.running += 1;
        load.unread.0 += picked.unread.0;
        state.count_old(service, &picked.id, true);
        drop(state);
        Self {
            direct: Arc::clone(direct),
            service: service.clone(),
            replica: picked.id.clone(),
            unread: picked.unread,
        }
    }

    /// Takes note of bytes from the replica.
    pub(crate) fn note_bytes(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        let mut state = self.direct.state();
        let load = state.loads.entry(self.replica.clone()).or_default();
        load.last_byte = since_boot();
        load.unread.0 = load.unread.0.saturating_sub(unread.0);
    }

    fn last_byte(&self) -> Millis {
        self.direct.state().loads.get(&self.replica).map(|load| load.last_byte).unwrap_or_default()
    }

    /// Waits for something from the replica, unless its silence lasts too long.
    pub(crate) async fn wait<F, T>(&self, waiting: F, patience: Patience) -> Result<T, String>
    where
        F: Future<Output = T>,
    {
        let since = since_boot();
        let stalled = async {
            loop {
                task::sleep(PATIENCE_CHECK).await;
                let now = since_boot();
                let on_request = now.since(since);
                let on_replica = now.since(since.max(self.last_byte()));
                if on_request > patience.on_request || on_replica > patience.on_replica {
                    return Err(format!(
                        "silent for {on_request} on this request, {on_replica} on all"
                    ));
                }
            }
        };
        async { Ok(waiting.await) }.or(stalled).await
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.direct.state();
        if let Some(load) = state.loads.get_mut(&self.replica) {
            load.running = load.running.saturating_sub(1);
            load.unread.0 = load.unread.0.saturating_sub(self.unread.0);
        }
        state.count_old(&self.service, &self.replica, false);
    }
}

/// An answer whose body has yet to be read.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) connection: Connection,
    pub(crate) head: ResponseHead,
    pub(crate) reply: ReplicaResponse,
    pub(crate) body: BodyReader,
    pub(crate) place: Place,
}

/// Sends the request to a replica and waits for the head of its answer.
pub(crate) async fn open(
    direct: &Arc<Direct>,
    work: &Work,
    progress: &mut Progress,
    picked: &Picked,
    model: Option<&ModelId>,
    patience: Patience,
) -> Result<Upstream, NoHead> {
    let mut place = Place::take(direct, &work.service, picked);
    let limit = CONNECT_TIMEOUT.min(work.rest(since_boot()));
    let mut connection = dial(picked.address, limit.as_duration())
        .await
        .map_err(|error| NoHead::NotSent(error.to_string()))?;
    let headers = UpstreamHeaders {
        instance: picked.id.clone(),
        time_left: work.rest(since_boot()),
        organisation: work.organisation.clone(),
        model: model.cloned(),
        urgency: model.map(|_| work.urgency.min(9)),
        resume_after: progress.splitter.last_id(),
    };
    let mut bytes = encode_upstream_head(&work.head, work.body.len(), &headers).into_bytes();
    bytes.extend_from_slice(&work.body);
    progress.sends += 1;
    progress.may_have_run = true;
    let head = exchange(&mut connection, &bytes, &work.head.method, &work.call.id);
    let (head, reply) = match place.wait(head, patience).await {
        Ok(Ok(head)) => head,
        Ok(Err(error)) => return Err(NoHead::Lost(error.to_string())),
        Err(silence) => return Err(NoHead::Stalled(silence)),
    };
    place.note_bytes();
    let body = BodyReader::new(head.framing);
    Ok(Upstream { connection, head, reply, body, place })
}

/// Writes a request while waiting for the answer, which may come before the request is written.
async fn exchange(
    connection: &mut Connection,
    bytes: &[u8],
    method: &str,
    id: &str,
) -> Result<(ResponseHead, ReplicaResponse), HttpError> {
    let mut stream = connection.stream().clone();
    let mut writing = pin!(async { stream.write_all(bytes).await });
    let mut reading = pin!(read_own_head(connection, method, id));
    let mut is_written = false;
    future::poll_fn(|cx| {
        if !is_written {
            // After a failed write the replica's answer may still be there to read.
            is_written = writing.as_mut().poll(cx).is_ready();
        }
        match reading.as_mut().poll(cx) {
            Poll::Ready(result) => Poll::Ready(result),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Reads the head of the answer to this request, after answers to others.
async fn read_own_head(
    connection: &mut Connection,
    method: &str,
    id: &str,
) -> Result<(ResponseHead, ReplicaResponse), HttpError> {
    for _skipped in 0..MAX_FOREIGN_ANSWERS {
        let head = connection.read_response_head(method).await?;
        let reply = decode_replica_response(&head);
        // An answer without an id can only be the replica's refusal of this request.
        if reply.id.as_deref().is_none_or(|found| found == id) {
            return Ok((head, reply));
        }
        BodyReader::new(head.framing).read_all(connection, MAX_FOREIGN_BYTES).await?;
    }
    Err(HttpError::Malformed("answers to other requests only".to_owned()))
}
