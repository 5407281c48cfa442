//! Writes pending withdrawals, made on processes during a platform outage, to the platform.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::{WITHDRAWALS_KEY, Withdrawals};
use ibissail_object_store::PlatformError;
use rand::Rng;
use slog::{debug, info};
use std::{sync::Arc, time::Duration};

/// Mean time between two checks for pending withdrawals; jittered so that few processes write at
/// the same time.
const MEAN_INTERVAL: Duration = Duration::from_secs(1);

/// Promotes pending withdrawals until the process stops.
pub(crate) async fn run(node: Arc<Node>) {
    while !node.is_stopping() {
        let interval = MEAN_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
        task::sleep(interval).await;
        let pending = node.catalogue().pending().clone();
        if pending.iter().next().is_none() {
            continue;
        }
        match promote(&node, &pending).await {
            Ok(()) => info!(node.log, "settings: pending withdrawals written to the platform"),
            Err(error) => debug!(node.log, "settings: pending withdrawals not written";
                "error" => %error),
        }
    }
}

/// Merges the pending withdrawals into the platform's document. Idempotent.
async fn promote(node: &Arc<Node>, pending: &Withdrawals) -> Result<(), PlatformError> {
    let current = node.platform.get(WITHDRAWALS_KEY).await?;
    let mut withdrawals = match &current {
        Some(object) => serde_json::from_str(&object.value)
            .map_err(|error| PlatformError::NotApplied(error.to_string()))?,
        None => Withdrawals::default(),
    };
    let before = withdrawals.clone();
    withdrawals.merge(pending);
    if withdrawals == before {
        return Ok(());
    }
    let value = serde_json::to_string(&withdrawals)
        .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    match current {
        Some(object) => node.platform.update(WITHDRAWALS_KEY, object.revision, &value).await?,
        None => node.platform.create(WITHDRAWALS_KEY, &value).await?,
    };
    Ok(())
}
