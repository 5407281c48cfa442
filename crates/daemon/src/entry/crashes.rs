//! Refuses requests that crash upstreams, and tells the other entries.

use crate::{
    clock::since_boot,
    entry::{Shared, relay::ReplicaEndpoint},
};
use async_std::{future::timeout, task};
use ibissail_catalogue::choose_peers;
use ibissail_core::{ErrorKind, Fault, Millis};
use ibissail_direct::{
    ContentHash, CrashEvidence, CrashQuarantine, LostRun, PROOF_EVENTS, PROOF_TIME,
    QuarantineChange, QuarantineSource, RequestHash, RunHash,
};
use ibissail_execution::{CrashNotice, Frame, FrameKind, RunKey, UpstreamRun, fingerprint, paths};
use ibissail_transport::StreamResponse;
use slog::{debug, info, warn};
use std::{
    sync::{Arc, MutexGuard, PoisonError},
    time::Duration,
};

/// Interval of the decisions on quarantines.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Reviews from one notice to the next, if nothing changes.
const REVIEWS_PER_NOTICE: u32 = 10;
/// Most entries that one notice is sent to.
const MAX_RECEIVERS: usize = 32;
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a sidecar takes to tell whether its upstream has ended.
const UPSTREAM_END_TIMEOUT: Duration = Duration::from_secs(1);

impl Shared {
    fn quarantine(&self) -> MutexGuard<'_, CrashQuarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fails if the request is quarantined.
    pub(crate) fn check_quarantine(&self, content: ContentHash) -> Result<(), Fault> {
        if self.quarantine().quarantined(&[content], since_boot()).is_none() {
            return Ok(());
        }
        self.node.metrics.quarantine_refusals.inc();
        let detail = format!("request {content}");
        Err(Fault::new(ErrorKind::RequestQuarantined, detail))
    }

    /// Whether the request may be sent to another upstream after one has ended under it.
    pub(crate) fn may_retry(&self, content: ContentHash) -> bool {
        self.quarantine().may_retry(content)
    }

    /// Adds what another entry has told. Fails if it cannot be decoded.
    pub(crate) fn merge_crashes(&self, notice: &CrashNotice) -> Result<(), Fault> {
        let evidence: CrashEvidence = rmp_serde::from_slice(&notice.evidence)
            .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))?;
        self.quarantine().merge(&evidence, since_boot());
        Ok(())
    }

    /// Reviews the quarantines; returns whether any has changed.
    fn review_quarantines(&self) -> bool {
        let now = since_boot();
        let mut quarantine = self.quarantine();
        if quarantine.is_idle() {
            return false;
        }
        let changes = quarantine.review(now);
        let count = quarantine.quarantined_request_count(now);
        drop(quarantine);
        self.node.metrics.quarantined_requests.set(i64::try_from(count).unwrap_or(i64::MAX));
        for change in &changes {
            self.log_change(change);
        }
        !changes.is_empty()
    }

    fn log_change(&self, change: &QuarantineChange) {
        match change {
            QuarantineChange::Quarantined(suspect, source) => {
                let (by, crashes, requests) = match source {
                    QuarantineSource::Own { crashes, requests } => ("own", *crashes, *requests),
                    QuarantineSource::Peer => ("peer", 0, 0),
                };
                warn!(self.node.log, "request: quarantined"; "content" => %suspect,
                    "source" => by, "crashes" => crashes, "requests" => requests);
            }
            QuarantineChange::Tentative(coverage) => {
                warn!(self.node.log, "request: quarantined"; "content" => %coverage.suspect,
                    "source" => "own", "crashes" => coverage.crashes,
                    "requests" => coverage.requests);
            }
            QuarantineChange::Probed(suspect) => {
                info!(self.node.log, "request: probed"; "content" => %suspect);
            }
            QuarantineChange::Confirmed(suspect) => {
                warn!(self.node.log, "request: quarantine confirmed"; "content" => %suspect);
            }
            QuarantineChange::Released(suspect) => {
                warn!(self.node.log, "request: released"; "content" => %suspect);
            }
        }
    }

    /// Tells other entries what is known to crash upstreams.
    fn spread_crashes(self: &Arc<Self>) {
        let Some(evidence) = self.quarantine().evidence(since_boot()) else { return };
        let evidence = match rmp_serde::to_vec_named(&evidence) {
            Ok(evidence) => evidence,
            Err(error) => {
                warn!(self.node.log, "crashes: evidence not encoded"; "error" => %error);
                return;
            }
        };
        let notice = Arc::new(CrashNotice { evidence });
        let entries = self.node.peers.entry_addresses();
        for entry in choose_peers(&entries, None, MAX_RECEIVERS, &mut rand::rng()) {
            let (shared, notice) = (Arc::clone(self), Arc::clone(&notice));
            task::spawn(async move {
                let node = &shared.node;
                let sent = node.call::<_, ()>(entry, paths::CRASHES, &*notice, NOTICE_TIMEOUT);
                // Entries of earlier builds do not know the path.
                if let Err(error) = sent.await {
                    debug!(node.log, "crashes: notice not taken"; "entry" => entry,
                        "error" => %error);
                }
            });
        }
    }
}

/// Decides on quarantines, and tells the other entries of changes at once.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut reviews = 0_u32;
    while !shared.node.is_stopping() {
        task::sleep(REVIEW_INTERVAL).await;
        reviews = reviews.wrapping_add(1);
        if shared.review_quarantines() || reviews.is_multiple_of(REVIEWS_PER_NOTICE) {
            shared.spread_crashes();
        }
    }
}

/// One run as evidence on its request.
#[derive(Debug)]
pub(crate) struct Trial {
    shared: Arc<Shared>,
    content: ContentHash,
    began_at: Millis,
    first_bytes_at: Option<Millis>,
    /// Parts of the response that have arrived.
    parts: u64,
    is_proven: bool,
}

impl Trial {
    /// Starts a trial when the run is opened.
    pub(crate) fn new(shared: &Arc<Shared>, content: ContentHash) -> Self {
        Self {
            shared: Arc::clone(shared),
            content,
            began_at: since_boot(),
            first_bytes_at: None,
            parts: 0,
            is_proven: false,
        }
    }

    /// Records that bytes of the response have arrived.
    pub(crate) fn record_bytes(&mut self) {
        let now = since_boot();
        let first_bytes_at = *self.first_bytes_at.get_or_insert(now);
        self.parts += 1;
        if now.since(first_bytes_at) >= PROOF_TIME && self.parts >= PROOF_EVENTS {
            self.succeed();
        }
    }

    /// Records that the response has gone on for a while or is complete.
    pub(crate) fn succeed(&mut self) {
        if !self.is_proven {
            self.is_proven = true;
            let mut quarantine = self.shared.quarantine();
            quarantine.record_sound_request(self.content, self.began_at, since_boot());
        }
    }

    /// Records that the run has failed. Its sidecar tells in the rest of the stream if the upstream
    /// has ended; then the request may have crashed it.
    pub(crate) fn fail(&self, key: &RunKey, endpoint: &ReplicaEndpoint, stream: StreamResponse) {
        let ended_at = since_boot();
        if self.is_proven {
            return;
        }
        let failed = FailedRun {
            shared: Arc::clone(&self.shared),
            content: self.content,
            began_at: self.began_at,
            ended_at,
            key: key.clone(),
            endpoint: endpoint.clone(),
        };
        task::spawn(failed.wait_for_upstream_end(stream));
    }
}

/// A run that may have crashed its upstream.
#[derive(Debug)]
struct FailedRun {
    shared: Arc<Shared>,
    content: ContentHash,
    began_at: Millis,
    ended_at: Millis,
    key: RunKey,
    endpoint: ReplicaEndpoint,
}

impl FailedRun {
    async fn wait_for_upstream_end(self, mut stream: StreamResponse) {
        let next = timeout(UPSTREAM_END_TIMEOUT, stream.frames.next::<Frame>()).await;
        // Sidecars of earlier builds close the stream without telling.
        let Ok(Ok(Some(Frame { key, kind: FrameKind::UpstreamEnded(upstream_run) }))) = next else {
            return;
        };
        if key != self.key {
            self.shared.node.metrics.crossed_frames.inc();
            return;
        }
        let lost = self.lost_run(upstream_run);
        if !self.shared.quarantine().record_lost_run(lost, since_boot()) {
            return;
        }
        self.shared.node.metrics.upstream_crashes.inc();
        info!(self.shared.node.log, "upstream: crashed"; "vm" => %self.endpoint.vm,
            "run" => %self.key, "upstream_run" => %upstream_run, "content" => %self.content);
        self.shared.review_quarantines();
        self.shared.spread_crashes();
    }

    fn lost_run(&self, upstream_run: UpstreamRun) -> LostRun {
        let ReplicaEndpoint { vm, incarnation, .. } = &self.endpoint;
        let incarnation = incarnation.to_string();
        let parts = [vm.as_str(), incarnation.as_str()].map(str::as_bytes);
        let number = upstream_run.0.to_be_bytes();
        let request = match &self.key {
            RunKey::Attempt { request, .. } => request.to_string(),
            RunKey::Keyed { .. } => self.key.to_string(),
        };
        LostRun {
            run: RunHash(fingerprint(&[parts[0], parts[1], &number])),
            request: RequestHash::new(&request),
            content: self.content,
            began_at: self.began_at,
            ended_at: self.ended_at,
        }
    }
}
