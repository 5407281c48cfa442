//! Stores the outcome of a keyed run in its claim.

use crate::sidecar::Shared;
use async_std::task;
use ibissail_core::Revision;
use ibissail_execution::{Claim, RunKey, RunRequest, StoredOutcome, VersionedClaim, claim_key};
use ibissail_object_store::{Object, PlatformError};
use slog::{debug, warn};
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Writes the outcome to the claim, retrying with exponential backoff until it is durable.
///
/// Gives up if the claim already has an outcome, which may be from an earlier try of this write
/// whose response was lost, or if another writer has replaced the claim.
pub(crate) async fn write_outcome(shared: &Shared, req: &RunRequest) {
    let RunKey::Keyed { organisation, key } = &req.key else {
        return;
    };
    let Some(VersionedClaim { claim, mut revision }) = req.claim.clone() else {
        shared.table().settle(&req.key);
        return;
    };
    let Some(outcome) = run_outcome(shared, &req.key) else {
        return;
    };
    let path = claim_key(organisation, key);
    let claim = Claim { outcome: Some(outcome), ..claim };
    let value = serde_json::to_string(&claim).unwrap_or_default();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match shared.node.platform.update(&path, revision, &value).await {
            Ok(_) => break,
            Err(PlatformError::Conflict(_, current)) => {
                if let Some(current) = held_revision(&claim, current) {
                    revision = current;
                } else {
                    warn!(shared.node.log, "claim: already settled or replaced"; "claim" => &path);
                    break;
                }
            }
            Err(error) => {
                debug!(shared.node.log, "claim: write failed, retrying"; "error" => %error);
                task::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
    shared.table().settle(&req.key);
}

fn run_outcome(shared: &Shared, key: &RunKey) -> Option<StoredOutcome> {
    let snapshot = shared.table().snapshot(key, 0)?;
    snapshot.outcome.map(|outcome| StoredOutcome::from_run(&outcome, &snapshot.bytes))
}

/// Revision to overwrite; `None` if the outcome is already stored or the claim was replaced.
fn held_revision(claim: &Claim, current: Option<Object>) -> Option<Revision> {
    let current = current?;
    let stored: Claim = serde_json::from_str(&current.value).ok()?;
    let is_same_claim =
        stored.incarnation == claim.incarnation && stored.fencing_token == claim.fencing_token;
    (is_same_claim && stored.outcome.is_none()).then_some(current.revision)
}
