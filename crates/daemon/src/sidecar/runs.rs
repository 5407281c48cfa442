//! Starts runs, streams their responses to readers, and cancels them.

use crate::sidecar::{
    Shared, claims,
    upstream::{self, Outcome},
    upstream_ends,
};
use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use event_listener::Event;
use futures_lite::future::or;
use http_types::Body;
use ibissail_core::{ByteSize, ErrorKind, Fault, Millis};
use ibissail_execution::{Frame, FrameKind, Holder, RunKey, RunOutcome, RunRequest, RunSnapshot};
use ibissail_transport::{BodySender, body_channel, encode_frame};
use slog::{debug, info, warn};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Interval of keep-alive frames to a reader while the run produces no bytes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum payload of one frame.
const MAX_CHUNK_BYTES: usize = 256 << 10;

/// Handles to a run in progress.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRun {
    /// Notified when the run has more bytes or has ended.
    pub(crate) progress: Arc<Event>,
    /// Cancels the run with the fault sent.
    pub(crate) cancel: Sender<Fault>,
    /// The request that started the run.
    pub(crate) request: Arc<RunRequest>,
    pub(crate) began_at: Millis,
    /// Whether the upstream's response broke off.
    pub(crate) is_broken: Arc<AtomicBool>,
}

/// Spawns the task of an admitted run.
pub(crate) fn start(shared: &Arc<Shared>, req: RunRequest) {
    let (cancel, cancelled) = async_channel::bounded(1);
    let request = Arc::new(req);
    let active = ActiveRun {
        progress: Arc::new(Event::new()),
        cancel,
        request: Arc::clone(&request),
        began_at: shared.node.now(),
        is_broken: Arc::default(),
    };
    shared.active().insert(request.key.clone(), active.clone());
    task::spawn(execute(Arc::clone(shared), active, cancelled));
}

/// Ends a run whose task ends without an outcome, as when the HTTP library panics on a response.
#[derive(Debug)]
struct LostRun<'a> {
    shared: &'a Arc<Shared>,
    active: &'a ActiveRun,
    has_ended: bool,
}

impl Drop for LostRun<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let (shared, req) = (Arc::clone(self.shared), Arc::clone(&self.active.request));
        let kind =
            if req.key.is_keyed() { ErrorKind::OutcomeUnknown } else { ErrorKind::UpstreamFailed };
        let fault = Fault::new(kind, "the response could not be read");
        warn!(shared.node.log, "run: lost"; "run" => %req.key);
        shared.table().end(&req.key, RunOutcome::Failed(fault), shared.node.now());
        shared.active().remove(&req.key);
        self.active.progress.notify(usize::MAX);
        task::spawn(async move { claims::write_outcome(&shared, &req).await });
    }
}

/// Runs a request to its end, and stores the outcome of a keyed one in its claim.
async fn execute(shared: Arc<Shared>, active: ActiveRun, cancelled: Receiver<Fault>) {
    let req = &active.request;
    let mut lost = LostRun { shared: &shared, active: &active, has_ended: false };
    debug!(shared.node.log, "run: started"; "run" => %req.key, "target" => %req.target);
    let sink = Sink { shared: &shared, active: &active };
    let completion = upstream::run(&shared, req, &sink);
    let cancel = async {
        let fault = cancelled.recv().await;
        Outcome::Ended(RunOutcome::Failed(fault.unwrap_or_else(|_| ErrorKind::Incomplete.into())))
    };
    let timed_out = async {
        task::sleep(req.time_left.as_duration()).await;
        Outcome::Ended(RunOutcome::Failed(ErrorKind::Timeout.into()))
    };
    let outcome = if req.key.is_keyed() {
        // A keyed run is never interrupted: it may not run again, so its outcome must be known.
        completion.await
    } else {
        or(completion, or(cancel, timed_out)).await
    };
    lost.has_ended = true;
    let now = shared.node.now();
    let was_sent = !matches!(outcome, Outcome::NotSent(_));
    match outcome {
        Outcome::Broken(fault) => {
            active.is_broken.store(true, Ordering::Relaxed);
            shared.table().end(&req.key, RunOutcome::Failed(fault), now);
        }
        Outcome::Ended(outcome) => shared.table().end(&req.key, outcome, now),
        Outcome::NotSent(fault) => shared.table().fence(&req.key, req.fencing_token(), fault, now),
    }
    debug!(shared.node.log, "run: ended"; "run" => %req.key);
    shared.active().remove(&req.key);
    active.progress.notify(usize::MAX);
    if was_sent && req.key.is_keyed() {
        claims::write_outcome(&shared, req).await;
    }
}

/// Appends an upstream's response to its run.
#[derive(Debug)]
pub(crate) struct Sink<'a> {
    shared: &'a Shared,
    active: &'a ActiveRun,
}

impl Sink<'_> {
    /// Appends bytes and wakes the readers; `false` if the run has ended or the memory is full.
    pub(crate) fn append(&self, bytes: &[u8]) -> bool {
        let added = self.append_last(bytes);
        self.active.progress.notify(usize::MAX);
        added
    }

    /// Appends the last bytes without waking the readers, which get them together with the end.
    pub(crate) fn append_last(&self, bytes: &[u8]) -> bool {
        let key = &self.active.request.key;
        let now = self.shared.node.now();
        let mut table = self.shared.table();
        let given_up = table.make_room(key, ByteSize(bytes.len() as u64), now);
        let added = table.append(key, bytes);
        let limit = table.memory();
        drop(table);
        for holder in &given_up {
            stop_given_up(self.shared, holder, limit);
        }
        added
    }
}

/// Ends the request to the upstream of a run that the table has given up.
fn stop_given_up(shared: &Shared, run: &Holder, limit: ByteSize) {
    warn!(shared.node.log, "run: given up"; "run" => %run.key, "bytes" => run.bytes.0,
        "limit" => limit.0);
    if let Some(active) = shared.active().get(&run.key) {
        let reason = Fault::new(ErrorKind::UpstreamFailed, "given up");
        let _already_cancelled = active.cancel.try_send(reason);
    }
}

/// Cancels a run; has no effect on keyed runs and on runs that have ended.
pub(crate) fn cancel(shared: &Shared, key: &RunKey, reason: Fault) {
    let active = shared.active().get(key).cloned();
    if let Some(active) = active.filter(|_| !key.is_keyed()) {
        info!(shared.node.log, "run: cancelled"; "run" => %key, "reason" => %reason);
        let _already_cancelled = active.cancel.try_send(reason);
    }
}

/// Body that streams a run's response from an offset to its end.
pub(crate) fn response_body(shared: &Arc<Shared>, key: RunKey, offset: u64) -> Body {
    let (sender, body) = body_channel();
    let shared = Arc::clone(shared);
    shared.table().add_reader(&key);
    let active = shared.active().get(&key).cloned();
    task::spawn(async move {
        let is_complete = send_frames(&shared, &key, offset, &sender).await;
        if let Some(active) = active.filter(|_| is_complete) {
            send_upstream_end(&shared, &active, &sender).await;
        }
        let now = shared.node.now();
        shared.record_reading(&key, is_complete, now);
        shared.table().remove_reader(&key, now);
    });
    body
}

/// Tells a reader that the upstream has ended under a run, if so.
async fn send_upstream_end(shared: &Shared, active: &ActiveRun, sender: &BodySender) {
    if !active.is_broken.load(Ordering::Relaxed) {
        return;
    }
    if let Some(upstream_run) = upstream_ends::find_end(shared, active).await {
        let frame = run_frame(&active.request.key, FrameKind::UpstreamEnded(upstream_run));
        let _reader_is_connected = sender.send(frame).await;
    }
}

/// Sends frames to a reader until the run has ended or the reader disconnects; returns whether the
/// end was sent.
async fn send_frames(shared: &Shared, key: &RunKey, mut offset: u64, sender: &BodySender) -> bool {
    loop {
        let progress = shared.active().get(key).map(|active| Arc::clone(&active.progress));
        // Registered before the run is read, so that no notification is missed.
        let listener = progress.map(|progress| progress.listen());
        let Some(RunSnapshot { bytes, outcome }) = shared.table().snapshot(key, offset) else {
            // The run has been removed, so that there is nothing left to read.
            return true;
        };
        let is_last = outcome.is_some();
        // Frames that are ready together are sent in one write.
        let mut buf = Vec::new();
        for chunk in bytes.chunks(MAX_CHUNK_BYTES) {
            buf.extend(run_frame(key, FrameKind::Chunk { offset, bytes: chunk.to_vec() }));
            offset += chunk.len() as u64;
        }
        buf.extend(
            outcome.map(|outcome| run_frame(key, FrameKind::End(outcome))).unwrap_or_default(),
        );
        if !sender.send(buf).await {
            return false;
        }
        if is_last {
            return true;
        }
        let Some(listener) = listener else { continue };
        let is_idle = timeout(KEEP_ALIVE_INTERVAL, listener).await.is_err();
        if is_idle && !sender.send(run_frame(key, FrameKind::KeepAlive)).await {
            return false;
        }
    }
}

fn run_frame(key: &RunKey, kind: FrameKind) -> Vec<u8> {
    encode_frame(&Frame { key: key.clone(), kind })
}
