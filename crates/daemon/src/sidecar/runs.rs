//! Starts runs, feeds their answers to readers, and cancels them.

use crate::sidecar::{
    Shared, claims,
    upstream::{self, Verdict},
};
use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use event_listener::Event;
use futures_lite::future::or;
use http_types::Body;
use ibissail_core::{ErrorKind, Fault};
use ibissail_execution::{Frame, FrameKind, RunKey, RunOutcome, RunRequest, RunSnapshot};
use ibissail_transport::{BodySender, body_channel, encode_frame};
use slog::{debug, info};
use std::{sync::Arc, time::Duration};

/// Time after which a reader with nothing to read gets a sign of life.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of one frame.
const MAX_PIECE_BYTES: usize = 256 << 10;

/// What a run in progress, or its readers, wait on.
#[derive(Debug, Clone)]
pub(crate) struct Active {
    /// Notified when the run has more bytes or has ended.
    pub(crate) progress: Arc<Event>,
    /// Ends the run early, with this fault.
    pub(crate) cancel: Sender<Fault>,
    /// What it is for.
    pub(crate) request: Arc<RunRequest>,
}

/// Starts an admitted run as a task of its own.
pub(crate) fn start(shared: &Arc<Shared>, req: RunRequest) {
    let (cancel, cancelled) = async_channel::bounded(1);
    let request = Arc::new(req);
    let active = Active { progress: Arc::new(Event::new()), cancel, request: Arc::clone(&request) };
    shared.active().insert(request.key.clone(), active.clone());
    task::spawn(execute(Arc::clone(shared), active, cancelled));
}

async fn execute(shared: Arc<Shared>, active: Active, cancelled: Receiver<Fault>) {
    let req = &active.request;
    debug!(shared.node.log, "run: started"; "run" => %req.key, "target" => %req.target);
    let sink = Sink { shared: &shared, active: &active };
    let work = upstream::run(&shared, req, &sink);
    let cancel = async {
        let fault = cancelled.recv().await;
        Verdict::Ended(RunOutcome::Failed(fault.unwrap_or_else(|_| ErrorKind::Incomplete.into())))
    };
    let late = async {
        task::sleep(req.time_left.as_duration()).await;
        Verdict::Ended(RunOutcome::Failed(ErrorKind::Timeout.into()))
    };
    let verdict = if req.key.is_keyed() {
        // A run that may happen only once is not given up half-way.
        work.await
    } else {
        or(work, or(cancel, late)).await
    };
    let now = shared.node.now();
    let was_sent = matches!(verdict, Verdict::Ended(_));
    match verdict {
        Verdict::Ended(ending) => shared.table().end(&req.key, ending, now),
        Verdict::NotSent(fault) => shared.table().fence(&req.key, req.fencing_token(), fault, now),
    }
    debug!(shared.node.log, "run: ended"; "run" => %req.key);
    shared.active().remove(&req.key);
    active.progress.notify(usize::MAX);
    if was_sent && req.key.is_keyed() {
        claims::settle(&shared, req).await;
    }
}

/// Where an upstream's bytes go.
#[derive(Debug)]
pub(crate) struct Sink<'a> {
    shared: &'a Shared,
    active: &'a Active,
}

impl Sink<'_> {
    /// Adds bytes to the run's answer; `false` when there is no room.
    pub(crate) fn append(&self, bytes: &[u8]) -> bool {
        let added = self.append_last(bytes);
        self.active.progress.notify(usize::MAX);
        added
    }

    /// The same for the last bytes, which readers see together with the end.
    pub(crate) fn append_last(&self, bytes: &[u8]) -> bool {
        self.shared.table().append(&self.active.request.key, bytes)
    }
}

/// Cancels a run that may be cancelled.
pub(crate) fn cancel(shared: &Shared, key: &RunKey, reason: Fault) {
    let active = shared.active().get(key).cloned();
    if let Some(active) = active.filter(|_| !key.is_keyed()) {
        info!(shared.node.log, "run: cancelled"; "run" => %key, "reason" => %reason);
        let _cancelled_before = active.cancel.try_send(reason);
    }
}

/// A body that carries a run's answer from an offset to its end.
pub(crate) fn read(shared: &Arc<Shared>, key: RunKey, from: u64) -> Body {
    let (sender, body) = body_channel();
    let shared = Arc::clone(shared);
    shared.table().add_reader(&key);
    task::spawn(async move {
        feed(&shared, &key, from, &sender).await;
        let now = shared.node.now();
        shared.table().remove_reader(&key, now);
    });
    body
}

async fn feed(shared: &Shared, key: &RunKey, mut offset: u64, sender: &BodySender) {
    loop {
        let progress = shared.active().get(key).map(|active| Arc::clone(&active.progress));
        // Listening begins before the look, so that no progress is missed.
        let listener = progress.map(|progress| progress.listen());
        let Some(RunSnapshot { bytes, outcome: ending }) = shared.table().snapshot(key, offset)
        else {
            return;
        };
        let is_last = ending.is_some();
        // Frames that are ready together go out in one write.
        let mut buf = Vec::new();
        for piece in bytes.chunks(MAX_PIECE_BYTES) {
            buf.extend(frame(key, FrameKind::Chunk { offset, bytes: piece.to_vec() }));
            offset += piece.len() as u64;
        }
        buf.extend(ending.map(|ending| frame(key, FrameKind::End(ending))).unwrap_or_default());
        if !sender.send(buf).await || is_last {
            return;
        }
        let Some(listener) = listener else { continue };
        let idle = timeout(HEARTBEAT_INTERVAL, listener).await.is_err();
        if idle && !sender.send(frame(key, FrameKind::KeepAlive)).await {
            return;
        }
    }
}

fn frame(key: &RunKey, kind: FrameKind) -> Vec<u8> {
    encode_frame(&Frame { key: key.clone(), kind })
}
