//! Refuses requests with a part that crashes replicas, and tells the peers.

use super::{
    Shared,
    messages::Message,
    peers::Notice,
    response::ErrorReply,
    retry::Progress,
    serve::{AdmittedRequest, RETRY_AFTER_SPREAD},
    trials::logged_part,
};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{ErrorKind, Millis};
use ibissail_direct::{PartHash, QuarantineChange, QuarantineSource, retry_after_pause};
use rand::Rng;
use slog::warn;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Interval of the decisions on quarantines.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

impl Shared {
    /// Error response if a part of the request is quarantined. It has a retry time, the rest of the
    /// quarantine, only if the request cannot have run.
    pub(super) fn quarantine_reply(
        &self,
        request: &AdmittedRequest,
        progress: &Progress,
    ) -> Option<ErrorReply> {
        let parts = PartHash::shared(&request.params.prompt);
        let (position, rest) = self.state().prompts.quarantined(&parts, since_boot())?;
        let id = request.params.prompt.parts.get(position).map_or("", |part| &part.id);
        let detail =
            format!("part {} has crashed replicas; quarantined", logged_part(id, parts[position]));
        self.metrics.quarantine_refusals.inc();
        if progress.may_have_run {
            return Some(request.error_reply(ErrorKind::OutcomeUnknown, &detail));
        }
        let pause = retry_after_pause(rest, RETRY_AFTER_SPREAD, rand::rng().random());
        let kind = ErrorKind::PromptQuarantined;
        Some(ErrorReply { kind, detail, retry_after: Some(pause) })
    }

    /// Notice about parts that crash replicas; `None` if there is nothing to tell. It is apart from
    /// the notice about replicas, so that each fits in one datagram.
    pub(super) fn build_evidence(&self, now: Millis) -> Option<Notice> {
        let mut state = self.state();
        let evidence = state.prompts.evidence(now)?;
        Some(Notice {
            incarnation: state.peers.incarnation,
            epoch: state.epoch,
            configuration: state.table.as_ref().map_or(0, |table| table.version),
            leaving: Vec::new(),
            paused: Vec::new(),
            prompts: Some(evidence),
        })
    }

    /// Tells all live peers what is known about parts that crash replicas.
    pub(super) async fn spread_evidence(&self) {
        let now = since_boot();
        let receivers = self.state().peers.live_addresses(now);
        if receivers.is_empty() {
            return;
        }
        if let Some(notice) = self.build_evidence(now) {
            let message = Message::Notice(notice);
            for receiver in receivers {
                self.send(&message, receiver).await;
            }
        }
    }

    /// Reviews the quarantines; returns whether any has changed.
    fn review_quarantines(&self, now: Millis) -> bool {
        let mut state = self.state();
        if state.prompts.is_idle() {
            return false;
        }
        let changes = state.prompts.review(now);
        let count = state.prompts.quarantined_count(now);
        self.metrics.quarantined_parts.set(i64::try_from(count).unwrap_or(i64::MAX));
        for change in &changes {
            self.log_change(change, &state.part_names);
        }
        !changes.is_empty()
    }

    fn log_change(&self, change: &QuarantineChange, names: &BTreeMap<PartHash, String>) {
        // Only entries that have sent requests with a part know its id.
        let name = |part: &PartHash| names.get(part).cloned().unwrap_or_else(|| part.to_string());
        match change {
            QuarantineChange::Quarantined(part, QuarantineSource::Own { crashes, requests }) => {
                warn!(self.log, "prompt part: quarantined"; "part" => name(part),
                    "source" => "own", "crashes" => crashes, "requests" => requests);
            }
            QuarantineChange::Quarantined(part, QuarantineSource::Peer) => {
                warn!(self.log, "prompt part: quarantined"; "part" => name(part),
                    "source" => "peer");
            }
            QuarantineChange::Released(part) => {
                warn!(self.log, "prompt part: released"; "part" => name(part));
            }
        }
    }
}

/// Decides on quarantines, and tells the peers of changes at once.
pub(super) async fn review_quarantines(shared: Arc<Shared>) {
    loop {
        task::sleep(REVIEW_INTERVAL).await;
        if shared.review_quarantines(since_boot()) {
            shared.spread_evidence().await;
        }
    }
}
