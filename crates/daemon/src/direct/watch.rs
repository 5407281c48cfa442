//! Watches the configuration, the replicas and the rollouts in the store.
//!
//! A watch delivers changes at once, but a silent watch does not prove that nothing has changed:
//! polls over another connection bound the staleness of the state.

use super::{Shared, State};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{Millis, StoreRevision};
use ibissail_direct::{Backoff, Configuration, ReplicaChange, ReplicaRecord, RoutingTable};
use ibissail_platform::{Change, Listing, StoreClient};
use slog::{info, warn};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Longest wait of one watch call; a dead connection is detected after it.
const WATCH_TIMEOUT: Millis = Millis(20_000);
/// Pause between two watch calls for the replicas, so that one response carries many changes.
const WATCH_BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Most replica names in one log line.
const MAX_LOGGED_NAMES: usize = 64;
/// Interval at which a paused watch or poll checks whether the store is reachable again.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Shared {
    /// Waits after a failed call. While the polls of the configuration fail too, only they call the
    /// store.
    pub(super) async fn wait_for_store(&self, backoff: &mut Backoff) {
        task::sleep(backoff.next_delay().as_duration()).await;
        while !self.is_store_reachable.load(Ordering::Relaxed) {
            task::sleep(STORE_CHECK_INTERVAL).await;
        }
    }

    /// Applies a configuration unless it is known already or older.
    pub(super) fn apply_configuration(&self, configuration: Configuration, source: &'static str) {
        let mut state = self.state();
        let (version, revision) = (configuration.version, configuration.revision);
        if state.table.as_ref().is_some_and(|known| !known.is_superseded_by(version, revision)) {
            return;
        }
        let table = RoutingTable::new(configuration);
        info!(self.log, "configuration: applied"; "version" => table.version,
            "revision" => %table.revision, "source" => source);
        state.table = Some(Arc::new(table));
    }

    /// Applies a configuration that was read from the store, and confirms that it was current when
    /// the read was sent; returns whether it does.
    ///
    /// A read of an earlier version than a known one confirms nothing: the store has been restored
    /// from an older copy and may have lost changes that nobody has seen.
    pub(super) fn apply_read_configuration(
        &self,
        configuration: Configuration,
        source: &'static str,
        sent_at: Millis,
    ) -> bool {
        let version = configuration.version;
        self.apply_configuration(configuration, source);
        let mut state = self.state();
        let known = state.table.as_ref().map_or(0, |table| table.version);
        let known = known.max(state.told_configurations.newest(since_boot()));
        state.told_configurations.record_read(version, sent_at);
        let is_newest = version >= known;
        if is_newest {
            state.freshness.confirm(sent_at);
        } else {
            info!(self.log, "configuration: the store has an earlier one"; "version" => version,
                "known_version" => known, "source" => source);
        }
        is_newest
    }

    /// Applies a listing; returns the digest of the replicas, or `None` if a watch has delivered
    /// newer changes than the listing.
    pub(super) fn apply_replica_listing(
        &self,
        listing: &Listing<ReplicaRecord>,
        sent_at: Millis,
    ) -> Option<u64> {
        let now = since_boot();
        let names = listing.items.iter().take(MAX_LOGGED_NAMES);
        let names: Vec<String> = names.map(|(record, _)| record.replica.id.to_string()).collect();
        let mut state = self.state();
        for (name, error) in &listing.unreadable {
            warn!(self.log, "replicas: invalid record ignored"; "replica" => name,
                "error" => error);
        }
        let is_newest = state.replicas.is_newest(listing.revision);
        let replicas = listing.items.iter().map(|(record, at)| (record.replica.clone(), *at));
        let replicas = replicas.collect();
        let is_changed = state.replicas.apply_listing(replicas, listing.revision, now);
        self.reset_restarted_replicas(&mut state);
        self.apply_cold_records(&mut state, &listing.items, now);
        if is_newest {
            state.replicas_confirmed_at = state.replicas_confirmed_at.max(Some(sent_at));
        }
        self.metrics.replicas.set(i64::try_from(state.replicas.len()).unwrap_or(i64::MAX));
        if is_changed {
            info!(self.log, "replicas: listed"; "count" => state.replicas.len(),
                "names" => names.join(" "), "revision" => %listing.revision);
        }
        state.remove_unlisted_replicas();
        is_newest.then(|| state.replicas.digest())
    }

    /// Applies changes that a watch has delivered, up to a position.
    fn apply_watched_changes(
        &self,
        changes: &[ReplicaChange],
        records: &[(ReplicaRecord, StoreRevision)],
        up_to: StoreRevision,
    ) {
        self.apply_replica_changes(changes, up_to, "watch");
        let mut state = self.state();
        self.apply_cold_records(&mut state, records, since_boot());
        state.replicas.advance_to(up_to);
        if !changes.is_empty() {
            state.replicas_confirmed_at = Some(since_boot());
        }
    }

    pub(super) fn reset_restarted_replicas(&self, state: &mut State) {
        for id in state.reset_restarted_replicas() {
            info!(self.log, "replicas: restarted"; "replica" => %id);
        }
    }
}

/// The records among the changes of a watch.
fn written_records(changes: &[Change<ReplicaRecord>]) -> Vec<(ReplicaRecord, StoreRevision)> {
    let written = changes.iter().filter_map(|change| match change {
        Change::Written(record, revision) => Some((record.clone(), *revision)),
        Change::Removed(_) | Change::Unreadable(..) => None,
    });
    written.collect()
}

/// Lists the configuration, then watches it for changes.
pub(super) async fn watch_configuration(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    loop {
        let sent_at = since_boot();
        let listing = store.list_configurations().await;
        let listing =
            shared.record_store_call("list configuration", &store, &mut is_reachable, listing);
        let Ok(listing) = listing else {
            shared.wait_for_store(&mut backoff).await;
            continue;
        };
        backoff.reset();
        for (_name, error) in &listing.unreadable {
            warn!(shared.log, "configuration: invalid"; "error" => error);
        }
        for (configuration, _revision) in listing.items {
            shared.apply_read_configuration(configuration, "listing", sent_at);
        }
        let mut from = listing.revision;
        loop {
            let watching = store.watch_configuration(from, WATCH_TIMEOUT);
            let Some(watched) = shared.watch_until_restored(from, watching).await else { break };
            let watched =
                shared.record_store_call("watch configuration", &store, &mut is_reachable, watched);
            let Ok((changes, seen)) = watched else { break };
            for change in changes {
                match change {
                    Change::Written(configuration, _) => {
                        shared.apply_configuration(configuration, "watch");
                    }
                    Change::Removed(name) => {
                        warn!(shared.log, "configuration: removal ignored"; "name" => name);
                    }
                    Change::Unreadable(_, error) => {
                        warn!(shared.log, "configuration: invalid"; "error" => error);
                    }
                }
            }
            from = seen;
        }
        shared.wait_for_store(&mut backoff).await;
    }
}

/// Lists the replicas, then watches them for changes, or waits until this entry has to watch.
pub(super) async fn watch_replicas(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    loop {
        let sent_at = since_boot();
        let listing = store.list_replicas().await;
        let listing = shared.record_store_call("list replicas", &store, &mut is_reachable, listing);
        let Ok(listing) = listing else {
            shared.wait_for_store(&mut backoff).await;
            continue;
        };
        backoff.reset();
        let mut from = listing.revision;
        let _digest = shared.apply_replica_listing(&listing, sent_at);
        if !shared.state().watches_replicas(since_boot()) {
            while !shared.state().watches_replicas(since_boot()) {
                task::sleep(WATCH_BATCH_INTERVAL).await;
            }
            continue;
        }
        while shared.state().watches_replicas(since_boot()) {
            let watching = store.watch_replicas(from, WATCH_TIMEOUT);
            let Some(watched) = shared.watch_until_restored(from, watching).await else { break };
            let watched =
                shared.record_store_call("watch replicas", &store, &mut is_reachable, watched);
            let Ok((changes, seen)) = watched else { break };
            let records = written_records(&changes);
            let changes = shared.replica_changes(changes);
            shared.apply_watched_changes(&changes, &records, seen);
            shared.spread_replica_changes(&changes, seen).await;
            shared.spread_cold_records(&records).await;
            from = seen;
            task::sleep(WATCH_BATCH_INTERVAL).await;
        }
        shared.wait_for_store(&mut backoff).await;
    }
}

/// Lists the rollouts, then watches them for changes.
pub(super) async fn watch_rollouts(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    loop {
        let sent_at = since_boot();
        let listing = store.list_rollouts().await;
        let listing = shared.record_store_call("list orders", &store, &mut is_reachable, listing);
        let Ok(listing) = listing else {
            shared.wait_for_store(&mut backoff).await;
            continue;
        };
        backoff.reset();
        let mut from = listing.revision;
        let _digest = shared.apply_rollout_listing(listing, sent_at, "listing");
        loop {
            let watching = store.watch_rollouts(from, WATCH_TIMEOUT);
            let Some(watched) = shared.watch_until_restored(from, watching).await else { break };
            let watched =
                shared.record_store_call("watch orders", &store, &mut is_reachable, watched);
            let Ok((changes, seen)) = watched else { break };
            shared.apply_rollout_changes(changes, seen);
            from = seen;
        }
        shared.wait_for_store(&mut backoff).await;
    }
}
