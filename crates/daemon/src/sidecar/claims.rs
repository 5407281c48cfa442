//! Writes the outcome of a keyed run to its claim, until that is durable.

use crate::sidecar::Shared;
use async_std::task;
use ibissail_core::Revision;
use ibissail_execution::{Claim, RunKey, RunRequest, StoredOutcome, VersionedClaim, claim_key};
use ibissail_object_store::{Object, PlatformError};
use slog::{debug, warn};
use std::time::Duration;

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Writes the outcome, trying again while the platform is down.
pub(crate) async fn settle(shared: &Shared, req: &RunRequest) {
    let RunKey::Keyed { organisation, key } = &req.key else {
        return;
    };
    let Some(VersionedClaim { claim, mut revision }) = req.claim.clone() else {
        shared.table().settle(&req.key);
        return;
    };
    let Some(outcome) = outcome_of(shared, &req.key) else {
        return;
    };
    let path = claim_key(organisation, key);
    let claim = Claim { outcome: Some(outcome), ..claim };
    let value = serde_json::to_string(&claim).unwrap_or_default();
    let mut pause = FIRST_PAUSE;
    loop {
        match shared.node.platform.update(&path, revision, &value).await {
            Ok(_) => break,
            Err(PlatformError::Conflict(_, current)) => {
                if let Some(current) = own_revision(&claim, current) {
                    revision = current;
                } else {
                    warn!(shared.node.log, "claim: another writer has it"; "claim" => &path);
                    break;
                }
            }
            Err(error) => {
                debug!(shared.node.log, "claim: not written yet"; "error" => %error);
                task::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
    shared.table().settle(&req.key);
}

fn outcome_of(shared: &Shared, key: &RunKey) -> Option<StoredOutcome> {
    let view = shared.table().snapshot(key, 0)?;
    view.outcome.map(|ending| StoredOutcome::from_run(&ending, &view.bytes))
}

/// The version to write over, unless the outcome is there already or the claim is another's.
fn own_revision(claim: &Claim, current: Option<Object>) -> Option<Revision> {
    let current = current?;
    let held: Claim = serde_json::from_str(&current.value).ok()?;
    let same = held.incarnation == claim.incarnation && held.fencing_token == claim.fencing_token;
    (same && held.outcome.is_none()).then_some(current.revision)
}
