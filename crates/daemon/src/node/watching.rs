//! Reads settings from the platform: a few processes per zone watch, and all poll rarely.
//!
//! A watch delivers changes at once, but a silent one does not prove that nothing has changed. What
//! one process reads spreads to the others.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::{CONFIG_PREFIX, Document, is_watcher};
use ibissail_core::Revision;
use ibissail_object_store::{Change, Object, PlatformError};
use rand::Rng;
use slog::{debug, info};
use std::{sync::Arc, time::Duration};

/// Processes in each availability zone that watch the platform.
const WATCHERS_PER_ZONE: usize = 2;
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the process checks whether it has received a VM list.
const LIST_WAIT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a process checks whether it has become a watcher, and whether it polls.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Mean time between two polls of the settings by all processes together.
const FLEET_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings once, then watches them while this process is a watcher.
pub(crate) async fn follow_platform(node: Arc<Node>) {
    while !node.is_stopping() {
        let result = match node.settings.is_platform_read() {
            false => read_all(&node).await.map(drop),
            true if should_watch(&node) => watch(&node).await,
            true => {
                task::sleep(check_delay(&node)).await;
                Ok(())
            }
        };
        retry_later(&node, result).await;
    }
}

/// Polls the settings until the process stops, whether or not it is a watcher.
pub(crate) async fn poll_platform(node: Arc<Node>) {
    while !node.is_stopping() {
        task::sleep(check_delay(&node)).await;
        if node.settings.is_platform_read() && !node.peers.vm_list().is_empty() {
            let result = poll(&node).await;
            retry_later(&node, result).await;
        }
    }
}

/// Time until the next check.
fn check_delay(node: &Node) -> Duration {
    if node.peers.vm_list().is_empty() { LIST_WAIT_INTERVAL } else { CHECK_INTERVAL }
}

async fn retry_later(node: &Node, result: Result<(), PlatformError>) {
    if let Err(error) = result {
        debug!(node.log, "settings: platform read failed"; "error" => %error);
        task::sleep(RETRY_DELAY).await;
    }
}

fn should_watch(node: &Node) -> bool {
    let zone_vms = node.peers.zone_vms(&node.local);
    // Without a VM list the watchers of the zone cannot be determined.
    !zone_vms.is_empty() && is_watcher(&node.local.identity.vm, &zone_vms, WATCHERS_PER_ZONE)
}

async fn read_all(node: &Arc<Node>) -> Result<Revision, PlatformError> {
    let listing = node.platform.list(CONFIG_PREFIX).await?;
    node.merge_documents(listing.objects.into_iter().map(document_from_object).collect());
    node.settings.set_platform_read();
    Ok(listing.revision)
}

async fn watch(node: &Arc<Node>) -> Result<(), PlatformError> {
    info!(node.log, "settings: watching the platform");
    let mut revision = read_all(node).await?;
    while !node.is_stopping() && should_watch(node) {
        node.metrics.watches.inc();
        let watched = node.platform.watch(CONFIG_PREFIX, revision, WATCH_TIMEOUT).await?;
        revision = watched.revision;
        node.merge_documents(watched.changes.into_iter().map(document_from_change).collect());
    }
    Ok(())
}

/// Reads all settings with a probability that keeps the read rate of the whole fleet constant.
async fn poll(node: &Arc<Node>) -> Result<(), PlatformError> {
    let fleet_size = u32::try_from(node.peers.len().max(1)).unwrap_or(u32::MAX);
    let reads_per_check = CHECK_INTERVAL.as_secs_f64() / FLEET_READ_INTERVAL.as_secs_f64();
    if rand::rng().random_bool((reads_per_check / f64::from(fleet_size)).min(1.0)) {
        read_all(node).await?;
    }
    Ok(())
}

fn document_from_object(object: Object) -> Document {
    Document { key: object.key, revision: object.revision, value: Some(object.value) }
}

fn document_from_change(change: Change) -> Document {
    Document { key: change.key, revision: change.revision, value: change.value }
}
