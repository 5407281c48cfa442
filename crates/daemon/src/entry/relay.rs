//! Reads a run's response from a sidecar, reconnecting when the connection breaks or stays idle.

use crate::entry::{Shared, context::RequestContext, crashes::Trial};
use async_std::{future::timeout, task};
use ibissail_core::{ErrorKind, Fault, Incarnation, Ran, VmId};
use ibissail_execution::{
    AttachRequest, CancelRequest, FencingToken, Frame, FrameKind, Reassembler, Refusal, RunKey,
    RunOutcome, TokenCounts, paths,
};
use ibissail_routing::RequestOutcome;
use ibissail_transport::{CallError, StreamResponse, open_stream};
use slog::{debug, info};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time without a frame after which the entry reconnects. Sidecars send keep-alive frames more
/// often, so an idle connection is treated as broken.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
const ATTACH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two attach requests; also the time that `finish` waits for the end of the stream.
const ATTACH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Consecutive failures to attach after which the sidecar is treated as unreachable.
const MAX_ATTACH_FAILURES: u32 = 4;
/// Time for which a response that no other replica can continue is not given up, however many attach
/// requests fail. The sidecar cancels a run without a reader later than that.
const RECONNECT_TIME: Duration = Duration::from_secs(2);
/// Lowest status of responses that do not show that the request is sound.
const FIRST_SERVER_ERROR: u16 = 500;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The replica that executes a run.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaEndpoint {
    pub(crate) vm: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
}

/// Next part of a response.
#[derive(Debug)]
pub(crate) enum Item {
    /// The next bytes.
    Chunk(Vec<u8>),
    /// The response is complete: its length and digest match.
    End(ResponseSummary),
}

/// Status, content type and token counts of a complete response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseSummary {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) tokens: TokenCounts,
}

/// Reads the response of one run as it arrives.
///
/// Dropping it reports the outcome to the membership, and cancels an attempt that has not ended.
#[derive(Debug)]
pub(crate) struct Relay {
    shared: Arc<Shared>,
    pub(crate) key: RunKey,
    pub(crate) endpoint: ReplicaEndpoint,
    reassembler: Reassembler,
    stream: Option<StreamResponse>,
    /// `None` for a run that was opened for another request.
    trial: Option<Trial>,
    ended: bool,
    end: RelayEnd,
    outcome: RequestOutcome,
    /// Whether another replica could serve the request instead.
    is_replaceable: bool,
}

/// What the sidecar has said about the end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayEnd {
    /// Nothing yet, or that the run took place.
    Open,
    /// The run has ended without reaching the upstream, and cannot start under its claim.
    NotRun,
    /// The sidecar refused to continue the response. This says nothing about the run: the refusal
    /// may come from another incarnation than the one that ran it.
    AttachRefused,
}

enum Received {
    Frame(Frame),
    Broken(String),
}

impl Relay {
    /// Creates a relay of a run that was just opened; without a stream, the first read attaches to
    /// the run.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        key: RunKey,
        endpoint: ReplicaEndpoint,
        opened: Option<(StreamResponse, Trial)>,
    ) -> Self {
        let (stream, trial) = opened.unzip();
        shared.membership().on_start(&endpoint.vm);
        let shared = Arc::clone(shared);
        Self {
            shared,
            key,
            endpoint,
            reassembler: Reassembler::default(),
            stream,
            trial,
            ended: false,
            end: RelayEnd::Open,
            outcome: RequestOutcome::Inconclusive,
            is_replaceable: true,
        }
    }

    /// Records that no other replica can serve the request from now on, so that the sidecar is given
    /// time to be reachable again.
    pub(crate) fn hold_on(&mut self) {
        self.is_replaceable = false;
    }

    /// What the sidecar has said about the end of the run.
    pub(crate) fn end(&self) -> RelayEnd {
        self.end
    }

    /// Returns the next bytes, or the end.
    ///
    /// Fails if the deadline has passed, the run failed, or the sidecar is unreachable or refuses
    /// to continue the response.
    pub(crate) async fn next(&mut self, ctx: &RequestContext) -> Result<Item, Fault> {
        loop {
            if ctx.time_left(&self.shared).0 == 0 {
                return Err(ErrorKind::Timeout.into());
            }
            let Some(stream) = &mut self.stream else {
                self.attach(ctx, None).await?;
                continue;
            };
            match receive_frame(stream).await {
                Received::Frame(frame) if frame.key != self.key => {
                    self.shared.node.metrics.crossed_frames.inc();
                }
                Received::Frame(frame) => {
                    if let Some(item) = self.handle_frame(frame.kind)? {
                        return Ok(item);
                    }
                }
                Received::Broken(reason) => {
                    info!(ctx.log, "relay: connection lost"; "reason" => reason);
                    self.disconnect();
                }
            }
        }
    }

    fn handle_frame(&mut self, kind: FrameKind) -> Result<Option<Item>, Fault> {
        match kind {
            // The second follows the end, after which nothing is read here.
            FrameKind::KeepAlive | FrameKind::UpstreamEnded(_) => Ok(None),
            FrameKind::Chunk { offset, bytes } => match self.reassembler.accept(offset, &bytes) {
                Ok([]) => Ok(None),
                Ok(new_bytes) => {
                    if let Some(trial) = &mut self.trial {
                        trial.record_bytes();
                    }
                    Ok(Some(Item::Chunk(new_bytes.to_vec())))
                }
                Err(gap) => {
                    debug!(self.shared.node.log, "relay: chunk missing"; "gap" => %gap);
                    self.disconnect();
                    Ok(None)
                }
            },
            FrameKind::End(RunOutcome::Failed(fault)) => {
                self.ended = true;
                if fault.ran == Ran::No {
                    self.end = RelayEnd::NotRun;
                } else {
                    self.outcome = RequestOutcome::Failed;
                    if let (Some(trial), Some(stream)) = (&self.trial, self.stream.take()) {
                        trial.fail(&self.key, &self.endpoint, stream);
                    }
                }
                Err(fault)
            }
            FrameKind::End(RunOutcome::Complete {
                status,
                content_type,
                length,
                digest,
                tokens,
            }) => {
                if let Err(error) = self.reassembler.check(length, digest) {
                    debug!(self.shared.node.log, "relay: integrity check failed";
                        "error" => %error);
                    self.disconnect();
                    return Ok(None);
                }
                self.ended = true;
                self.outcome = RequestOutcome::Answered;
                if let Some(trial) = self.trial.as_mut().filter(|_| status < FIRST_SERVER_ERROR) {
                    trial.succeed();
                }
                Ok(Some(Item::End(ResponseSummary { status, content_type, tokens })))
            }
        }
    }

    /// Reads to the end, starting with an item that has already been received.
    pub(crate) async fn collect(
        &mut self,
        ctx: &RequestContext,
        first: Item,
    ) -> Result<(Vec<u8>, ResponseSummary), Fault> {
        let mut bytes = Vec::new();
        let mut item = first;
        loop {
            match item {
                Item::Chunk(chunk) => bytes.extend_from_slice(&chunk),
                Item::End(summary) => return Ok((bytes, summary)),
            }
            item = self.next(ctx).await?;
        }
    }

    /// Returns the connection to the pool if the stream ends in time; closes it otherwise.
    pub(crate) async fn finish(&mut self) {
        let Some(mut stream) = self.stream.take() else {
            return;
        };
        let trailing = timeout(ATTACH_RETRY_DELAY, stream.frames.next::<Frame>()).await;
        if let Ok(Ok(None)) = trailing {
            stream.release();
        }
    }

    /// Drops the stream and closes idle connections to the sidecar; the next read attaches again.
    fn disconnect(&mut self) {
        self.stream = None;
        self.shared.node.pool.close_idle(self.endpoint.address);
    }

    /// Requests the rest of the response. With `fence`, a keyed run that has not started can no
    /// longer start under this fencing token or a lower one.
    ///
    /// Fails with `UnknownRun` if the run has not started, with `StaleTicket` if the sidecar has
    /// restarted, and with `OutcomeUnknown` (keyed run) or `Incomplete` (attempt) if it does not
    /// respond.
    pub(crate) async fn attach(
        &mut self,
        ctx: &RequestContext,
        fence: Option<FencingToken>,
    ) -> Result<(), Fault> {
        self.shared.node.metrics.reattachments.inc();
        let mut failures = 0;
        let since = Instant::now();
        loop {
            let message = AttachRequest {
                key: self.key.clone(),
                incarnation: self.endpoint.incarnation,
                offset: self.reassembler.length(),
                fence,
            };
            let node = &self.shared.node;
            let address = self.endpoint.address;
            let opened: Result<Result<StreamResponse, Refusal>, CallError> = open_stream(
                &node.pool,
                &node.keyring,
                address,
                paths::ATTACH,
                &message,
                ATTACH_TIMEOUT,
            )
            .await;
            match opened {
                Ok(Ok(stream)) => {
                    self.stream = Some(stream);
                    return Ok(());
                }
                Ok(Err(refusal)) => {
                    self.ended = true;
                    self.end = RelayEnd::AttachRefused;
                    return Err(refusal.fault);
                }
                Err(error) => {
                    info!(ctx.log, "relay: attach failed"; "error" => %error);
                    failures += 1;
                }
            }
            let has_failed = failures >= MAX_ATTACH_FAILURES
                && (self.is_replaceable || since.elapsed() >= RECONNECT_TIME);
            if has_failed || ctx.time_left(&self.shared).0 == 0 {
                self.outcome = RequestOutcome::Failed;
                return Err(self.unreachable_fault());
            }
            task::sleep(ATTACH_RETRY_DELAY).await;
        }
    }

    fn unreachable_fault(&self) -> Fault {
        let detail = format!("the sidecar on VM `{}` does not respond", self.endpoint.vm);
        if self.key.is_keyed() {
            Fault::new(ErrorKind::OutcomeUnknown, detail)
        } else {
            Fault { ran: Ran::Unknown, ..Fault::new(ErrorKind::Incomplete, detail) }
        }
    }
}

async fn receive_frame(stream: &mut StreamResponse) -> Received {
    match timeout(IDLE_TIMEOUT, stream.frames.next::<Frame>()).await {
        Ok(Ok(Some(frame))) => Received::Frame(frame),
        Ok(Ok(None)) => Received::Broken("the sidecar closed the stream before its end".to_owned()),
        Ok(Err(error)) => Received::Broken(error.to_string()),
        Err(_elapsed) => Received::Broken("no frame within the idle timeout".to_owned()),
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let now = self.shared.node.now();
        self.shared.membership().on_end(&self.endpoint.vm, self.outcome, now);
        if self.ended || self.key.is_keyed() {
            return;
        }
        let (shared, address) = (Arc::clone(&self.shared), self.endpoint.address);
        let message = CancelRequest { key: self.key.clone() };
        task::spawn(async move {
            let node = &shared.node;
            let _unreachable =
                node.call::<_, ()>(address, paths::CANCEL, &message, CANCEL_TIMEOUT).await;
        });
    }
}
