//! Refuses requests that crash replicas, or have a part that does, and tells the peers.

use super::{
    Shared,
    messages::Message,
    peers::Notice,
    progress::Progress,
    request::{AdmittedRequest, RETRY_AFTER_SPREAD},
    response::ErrorReply,
    state::State,
    trials::logged_part,
};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{ErrorKind, Millis};
use ibissail_direct::{
    Coverage, PartHash, QuarantineChange, QuarantineSource, RequestHash, ShortResponse, Suspect,
    retry_after_pause,
};
use rand::Rng;
use slog::{info, warn};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Interval of the decisions on quarantines.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a short response from which bytes of its replica show that it has not ended with it.
const HEARD_AFTER: Millis = Millis(200);
/// Reviews from one report of unexplained crashes to the next.
const REVIEWS_PER_REPORT: u32 = 10;

impl State {
    /// Whether the replica has sent bytes since a while after its response. Nobody may have noticed
    /// its end while few requests are sent to it.
    fn is_heard_after(&self, response: &ShortResponse) -> bool {
        let heard_at = self.loads.get(&response.replica).map(|load| load.last_byte_at);
        heard_at.is_some_and(|at| at >= response.ended_at.saturating_add(HEARD_AFTER))
    }
}

impl Shared {
    /// Error response if the request or a part of its prompt is quarantined. It has a retry time, the
    /// rest of the quarantine, only if the request cannot have run.
    pub(super) fn quarantine_reply(
        &self,
        request: &AdmittedRequest,
        progress: &Progress,
    ) -> Option<ErrorReply> {
        let parts = PartHash::shared(&request.params.prompt).into_iter().map(Suspect::Part);
        let mut suspects: Vec<Suspect> = parts.collect();
        suspects.push(Suspect::Request(request.content));
        let (position, rest) = {
            let (mut state, now) = (self.state(), since_boot());
            let quarantined = state.quarantine.quarantined(&suspects, now)?;
            if state.quarantine.try_probe(&suspects, RequestHash::new(&request.params.id), now) {
                info!(self.log, "request: sent as a probe"; "id" => &request.params.id,
                    "suspect" => %suspects[quarantined.0]);
                return None;
            }
            quarantined
        };
        let (kind, culprit) = match suspects[position] {
            Suspect::Request(content) => {
                (ErrorKind::RequestQuarantined, format!("request {content}"))
            }
            Suspect::Part(part) => {
                let id = request.params.prompt.parts.get(position).map_or("", |part| &part.id);
                (ErrorKind::PromptQuarantined, format!("part {}", logged_part(id, part)))
            }
        };
        let detail = format!("{culprit} has crashed replicas; quarantined");
        self.metrics.quarantine_refusals.inc();
        if progress.may_have_run {
            return Some(request.error_reply(ErrorKind::OutcomeUnknown, &detail));
        }
        let pause = retry_after_pause(rest, RETRY_AFTER_SPREAD, rand::rng().random());
        Some(ErrorReply { kind, detail, retry_after: Some(pause) })
    }

    /// Notice about what crashes replicas; `None` if there is nothing to tell. It is apart from
    /// the notice about replicas, so that each fits in one datagram.
    pub(super) fn build_evidence(&self, now: Millis) -> Option<Notice> {
        let mut state = self.state();
        let evidence = state.quarantine.evidence(now)?;
        Some(Notice { crashes: Some(evidence), ..state.empty_notice() })
    }

    /// Tells all live peers what is known to crash replicas.
    pub(super) async fn spread_evidence(&self) {
        let now = since_boot();
        let receivers = self.state().peers.live_addresses(now);
        self.send_evidence(&receivers, now).await;
    }

    /// Tells these peers what is known to crash replicas.
    pub(super) async fn send_evidence(&self, receivers: &[SocketAddr], now: Millis) {
        if receivers.is_empty() {
            return;
        }
        if let Some(notice) = self.build_evidence(now) {
            let message = Message::Notice(Box::new(notice));
            for receiver in receivers {
                self.send(&message, *receiver).await;
            }
        }
    }

    /// Reviews the quarantines; returns whether any has changed.
    pub(super) fn review_quarantines(&self, now: Millis) -> bool {
        let mut state = self.state();
        for response in state.given_up.take_outlived(now) {
            if state.quarantine.is_idle() || state.is_heard_after(&response) {
                state.quarantine.record_sound(&response.parts, response.began_at, now);
            }
        }
        if state.quarantine.is_idle() {
            return false;
        }
        let entries = state.peers.entry_count(now);
        let seed = state.peers.incarnation.0;
        state.quarantine.set_fleet(entries, seed);
        let changes = state.quarantine.review(now);
        let requests = state.quarantine.quarantined_request_count(now);
        let parts = state.quarantine.quarantined_count(now) - requests;
        self.metrics.quarantined_requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
        self.metrics.quarantined_parts.set(i64::try_from(parts).unwrap_or(i64::MAX));
        for change in &changes {
            self.log_change(change, &state.part_names);
        }
        !changes.is_empty()
    }

    /// Logs what the crashes that nothing quarantined explains have in common.
    fn log_unexplained(&self, now: Millis) {
        let state = self.state();
        if state.quarantine.is_idle() {
            return;
        }
        let Some(report) = state.quarantine.report_unexplained(now) else { return };
        let describe = |coverage: &Coverage| {
            let name = match coverage.suspect {
                Suspect::Part(part) => part_name(&state.part_names, part),
                Suspect::Request(content) => format!("request {content}"),
            };
            let Coverage { crashes, of, requests, share, chance, .. } = coverage;
            format!(
                "{name}:{crashes}/{of},requests={requests},share={share:.2},chance={chance:.1e}"
            )
        };
        let suspects: Vec<String> = report.suspects.iter().map(describe).collect();
        warn!(self.log, "crashes: unexplained"; "crashes" => report.crashes,
            "answered" => format!("{:.2}", report.answered_share),
            "suspects" => suspects.join(" "));
    }

    fn log_change(&self, change: &QuarantineChange, names: &BTreeMap<PartHash, String>) {
        let name = |part: &PartHash| part_name(names, *part);
        match change {
            QuarantineChange::Quarantined(suspect, source) => {
                let (by, crashes, requests) = match source {
                    QuarantineSource::Own { crashes, requests } => ("own", *crashes, *requests),
                    QuarantineSource::Peer => ("peer", 0, 0),
                };
                match suspect {
                    Suspect::Request(content) => warn!(self.log, "request: quarantined";
                        "content" => %content, "source" => by, "crashes" => crashes,
                        "requests" => requests),
                    Suspect::Part(part) => warn!(self.log, "prompt part: quarantined";
                        "part" => name(part), "source" => by, "crashes" => crashes,
                        "requests" => requests),
                }
            }
            QuarantineChange::Tentative(coverage) => {
                warn!(self.log, "crashes: quarantined tentatively";
                    "suspect" => describe(coverage, names));
            }
            // The request that was let through has its own line.
            QuarantineChange::Probed(_) => {}
            QuarantineChange::Confirmed(Suspect::Request(content)) => {
                warn!(self.log, "request: quarantine confirmed"; "content" => %content);
            }
            QuarantineChange::Confirmed(Suspect::Part(part)) => {
                warn!(self.log, "prompt part: quarantine confirmed"; "part" => name(part));
            }
            QuarantineChange::Released(Suspect::Request(content)) => {
                warn!(self.log, "request: released"; "content" => %content);
            }
            QuarantineChange::Released(Suspect::Part(part)) => {
                warn!(self.log, "prompt part: released"; "part" => name(part));
            }
        }
    }
}

fn describe(coverage: &Coverage, names: &BTreeMap<PartHash, String>) -> String {
    let name = match coverage.suspect {
        Suspect::Part(part) => part_name(names, part),
        Suspect::Request(content) => format!("request {content}"),
    };
    let Coverage { crashes, of, requests, share, chance, .. } = coverage;
    format!("{name}:{crashes}/{of},requests={requests},share={share:.2},chance={chance:.1e}")
}

/// Name of a part for the log. Only entries that have sent requests with a part know its id.
fn part_name(names: &BTreeMap<PartHash, String>, part: PartHash) -> String {
    names.get(&part).cloned().unwrap_or_else(|| part.to_string())
}

/// Decides on quarantines, and tells the peers of changes at once.
pub(super) async fn review_quarantines(shared: Arc<Shared>) {
    let mut reviews = 0_u32;
    loop {
        task::sleep(REVIEW_INTERVAL).await;
        reviews = reviews.wrapping_add(1);
        if reviews.is_multiple_of(REVIEWS_PER_REPORT) {
            shared.log_unexplained(since_boot());
        }
        if shared.review_quarantines(since_boot()) {
            shared.spread_evidence().await;
        }
    }
}
