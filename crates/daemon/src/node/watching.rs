//! Follows the settings in the platform: few processes of a zone watch, the others ask rarely.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::{CONFIG_PREFIX, Document, is_watcher};
use ibissail_core::Revision;
use ibissail_object_store::{Change, Object, PlatformError};
use rand::Rng;
use slog::{debug, info};
use std::{sync::Arc, time::Duration};

/// Processes of a zone that watch.
const WATCHERS_PER_ZONE: usize = 2;
const WATCH_WAIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause before looking again whether the list of VMs has come.
const FIRST_LIST_PAUSE: Duration = Duration::from_millis(50);
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Mean time between two reads of the settings by any process that does not watch.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings once, then watches or checks them until the stop.
pub(crate) async fn follow_platform(node: Arc<Node>) {
    while !node.is_stopping() {
        let result = match node.settings.is_platform_read() {
            false => read_all(&node).await.map(drop),
            true if watches(&node) => watch(&node).await,
            true => check_rarely(&node).await,
        };
        if let Err(error) = result {
            debug!(node.log, "settings: the platform does not answer"; "error" => %error);
            task::sleep(RETRY_PAUSE).await;
        }
    }
}

fn watches(node: &Node) -> bool {
    let zone = node.peers.zone(&node.local);
    // Without a list nobody can tell who else watches.
    !zone.is_empty() && is_watcher(&node.local.identity.vm, &zone, WATCHERS_PER_ZONE)
}

async fn read_all(node: &Arc<Node>) -> Result<Revision, PlatformError> {
    let listing = node.platform.list(CONFIG_PREFIX).await?;
    node.learn(listing.objects.into_iter().map(document_of_object).collect());
    node.settings.set_platform_read();
    Ok(listing.revision)
}

async fn watch(node: &Arc<Node>) -> Result<(), PlatformError> {
    info!(node.log, "settings: watching the platform");
    let mut at = read_all(node).await?;
    while !node.is_stopping() && watches(node) {
        node.metrics.watches.inc();
        let watched = node.platform.watch(CONFIG_PREFIX, at, WATCH_WAIT).await?;
        at = watched.revision;
        node.learn(watched.changes.into_iter().map(document_of_change).collect());
    }
    Ok(())
}

/// Reads all settings with a chance that keeps the reads of the whole fleet at a constant rate.
async fn check_rarely(node: &Arc<Node>) -> Result<(), PlatformError> {
    if node.peers.listed().is_empty() {
        task::sleep(FIRST_LIST_PAUSE).await;
        return Ok(());
    }
    task::sleep(ROLE_CHECK_INTERVAL).await;
    let fleet = u32::try_from(node.peers.len().max(1)).unwrap_or(u32::MAX);
    let share = ROLE_CHECK_INTERVAL.as_secs_f64() / CHECK_INTERVAL.as_secs_f64();
    if rand::rng().random_bool((share / f64::from(fleet)).min(1.0)) {
        read_all(node).await?;
    }
    Ok(())
}

fn document_of_object(object: Object) -> Document {
    Document { key: object.key, revision: object.revision, value: Some(object.value) }
}

fn document_of_change(change: Change) -> Document {
    Document { key: change.key, revision: change.revision, value: change.value }
}
