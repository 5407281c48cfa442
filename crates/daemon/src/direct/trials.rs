//! Attempts as evidence on the parts of their prompts: a replica may crash as soon as it begins to
//! answer a request with a certain part.

use super::{Shared, selection::SelectedReplica, serve::AdmittedRequest};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{InstanceId, Millis};
use ibissail_direct::{BLAME_TIME, PROOF_TIME, PartHash, RequestHash, RunHash};
use ibissail_http1::dial;
use slog::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Time from a broken attempt until its replica is checked, in which a replica that crashes closes
/// its listener.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest time for opening a connection to a replica that may have crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Most requests that wait for the check of one replica.
const MAX_WAITING: usize = 32;
/// Most replicas that are checked at the same time.
const MAX_CHECKS: usize = 64;
/// Most parts in the log line of a crash, and most bytes of the id of each.
const MAX_LOGGED_PARTS: usize = 16;
const MAX_LOGGED_ID_BYTES: usize = 48;

/// Most ids of parts that are remembered for the log.
const MAX_NAMES: usize = 512;

/// Parts of a prompt, with their ids for the log.
pub(super) type NamedParts = Vec<(PartHash, String)>;
/// Requests whose attempts broke at a replica that is being checked, with their parts.
pub(super) type PendingChecks = BTreeMap<RunHash, BTreeMap<RequestHash, NamedParts>>;

/// One attempt whose replica may have begun to answer.
#[derive(Debug)]
pub(crate) struct Trial {
    shared: Arc<Shared>,
    request: RequestHash,
    parts: Vec<PartHash>,
    names: Vec<String>,
    replica: InstanceId,
    run: RunHash,
    address: SocketAddr,
    began_at: Millis,
    is_proven: bool,
}

impl Trial {
    /// Starts a trial when the head of the answer arrives.
    pub(super) fn new(
        shared: &Arc<Shared>,
        request: &AdmittedRequest,
        replica: &SelectedReplica,
    ) -> Self {
        let parts = PartHash::shared(&request.params.prompt);
        let ids = request.params.prompt.shared_parts().iter();
        let names = ids.zip(&parts).map(|(part, hash)| logged_part(&part.id, *hash));
        Self {
            shared: Arc::clone(shared),
            request: RequestHash::new(&request.params.id),
            names: names.collect(),
            parts,
            replica: replica.id.clone(),
            run: RunHash::new(&replica.id, replica.started_unix_ms),
            address: replica.address,
            began_at: since_boot(),
            is_proven: false,
        }
    }

    /// Records that the answer goes on: complete events have arrived.
    pub(super) fn record_events(&mut self) {
        if since_boot().since(self.began_at) >= PROOF_TIME {
            self.succeed();
        }
    }

    /// Records that the answer has gone on for a while or is complete.
    pub(super) fn succeed(&mut self) {
        if self.is_proven || self.parts.is_empty() {
            return;
        }
        self.is_proven = true;
        let now = since_boot();
        self.shared.state().prompts.record_sound(&self.parts, self.began_at, now);
    }

    /// Records that the attempt broke. If its replica has ended, the request may have crashed it.
    pub(super) fn fail(&self) {
        let is_fresh = since_boot().since(self.began_at) < BLAME_TIME;
        if !is_fresh || self.is_proven || self.parts.is_empty() {
            return;
        }
        let mut state = self.shared.state();
        let is_first = !state.pending_checks.contains_key(&self.run);
        if is_first && state.pending_checks.len() >= MAX_CHECKS {
            return;
        }
        let waiting = state.pending_checks.entry(self.run).or_default();
        if waiting.len() < MAX_WAITING {
            let parts = self.parts.iter().copied().zip(self.names.iter().cloned());
            waiting.insert(self.request, parts.collect());
        }
        drop(state);
        if is_first {
            let check = CrashCheck {
                shared: Arc::clone(&self.shared),
                replica: self.replica.clone(),
                run: self.run,
                address: self.address,
            };
            task::spawn(check.run());
        }
    }
}

/// A check whether a replica has ended.
#[derive(Debug)]
struct CrashCheck {
    shared: Arc<Shared>,
    replica: InstanceId,
    run: RunHash,
    address: SocketAddr,
}

impl CrashCheck {
    /// Opens a connection to the replica. One that accepts it has only broken off answers.
    async fn run(self) {
        task::sleep(CHECK_DELAY).await;
        let has_ended = dial(self.address, CHECK_TIMEOUT).await.is_err();
        let Some(waiting) = self.record(has_ended) else { return };
        let names: BTreeSet<&str> =
            waiting.values().flatten().map(|(_, name)| name.as_str()).collect();
        let names: Vec<&str> = names.into_iter().take(MAX_LOGGED_PARTS).collect();
        self.shared.metrics.crashes.inc();
        info!(self.shared.log, "replica: crashed"; "replica" => %self.replica,
            "requests" => waiting.len(), "suspects" => names.join(" "));
        self.shared.spread_evidence().await;
    }

    /// Ends the check; returns the requests that may have crashed the replica, if it has.
    fn record(&self, has_ended: bool) -> Option<BTreeMap<RequestHash, NamedParts>> {
        let now = since_boot();
        let mut state = self.shared.state();
        let waiting = state.pending_checks.remove(&self.run)?;
        if !has_ended {
            return None;
        }
        let mut is_new = false;
        for (request, named) in &waiting {
            let parts: Vec<PartHash> = named.iter().map(|(part, _)| *part).collect();
            is_new |= state.prompts.record_crash(self.run, *request, &parts, now);
            if state.part_names.len() + named.len() > MAX_NAMES {
                state.part_names.clear();
            }
            state.part_names.extend(named.iter().cloned());
        }
        is_new.then_some(waiting)
    }
}

/// Id and hash of a part, bounded for the log.
pub(super) fn logged_part(id: &str, hash: PartHash) -> String {
    let mut end = id.len().min(MAX_LOGGED_ID_BYTES);
    while !id.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}={hash}", &id[..end])
}
