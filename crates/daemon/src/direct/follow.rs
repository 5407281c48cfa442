//! Follows the store: the configuration, the replicas and the orders.
//!
//! A watch brings changes at once. Its silence proves nothing, so exact reads over another
//! connection bound the age of what is believed.

use super::{Direct, State};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{Millis, Revision};
use ibissail_direct::{Backoff, Configuration, Replica, Rollout, RoutingTable};
use ibissail_platform::{Change, Listing, StoreClient, StoreError};
use slog::{info, warn};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Longest wait of one watch; a silent connection is noticed after it.
const WATCH_TIME: Millis = Millis(20_000);
/// Pause between two watches of the replicas, so that many changes at once come in one answer.
const GATHERING_TIME: Duration = Duration::from_millis(200);
/// Names of replicas in one log line.
const MAX_LOGGED_NAMES: usize = 64;
/// Time between two looks at whether the store is back.
const RETURN_CHECK: Duration = Duration::from_millis(50);

impl Direct {
    /// Takes note of a call to the store and logs when it is lost or regained.
    pub(super) fn note_call<T>(
        &self,
        what: &'static str,
        was_well: &mut bool,
        result: &Result<T, StoreError>,
    ) {
        self.metrics.store_calls.inc();
        let is_well = matches!(result, Ok(_) | Err(StoreError::HistoryGone | StoreError::Conflict));
        if let Err(error) = result
            && !is_well
        {
            self.metrics.store_failures.inc();
            self.state().replicas.record_outage(since_boot());
            if *was_well {
                warn!(self.log, "store: lost"; "call" => what, "error" => %error);
            }
        } else if !*was_well {
            info!(self.log, "store: regained"; "call" => what);
        }
        *was_well = is_well;
    }

    /// Waits after a failed call. While exact reads fail too, only those go on asking.
    pub(super) async fn wait_for_store(&self, backoff: &mut Backoff) {
        task::sleep(backoff.next_delay().as_duration()).await;
        while !self.is_store_well.load(Ordering::Relaxed) {
            task::sleep(RETURN_CHECK).await;
        }
    }

    pub(super) fn learn_configuration(&self, configuration: Configuration, source: &'static str) {
        let mut state = self.state();
        let known = state.table.as_ref().map(|table| table.revision);
        if known.is_some_and(|known| known >= configuration.revision) {
            return;
        }
        let table = RoutingTable::new(configuration);
        info!(self.log, "configuration: in force"; "version" => table.version,
            "revision" => table.revision.0, "source" => source);
        state.table = Some(Arc::new(table));
    }

    /// Returns the digest of the replicas, unless a watch has seen more than the listing.
    pub(super) fn learn_replicas(&self, listing: Listing<Replica>, sent_at: Millis) -> Option<u64> {
        let now = since_boot();
        let names = listing.items.iter().take(MAX_LOGGED_NAMES);
        let names: Vec<String> = names.map(|(replica, _)| replica.id.to_string()).collect();
        let mut state = self.state();
        for (name, error) in &listing.unreadable {
            warn!(self.log, "replicas: entry ignored"; "replica" => name, "error" => error);
        }
        let is_newest = state.replicas.is_newest(listing.revision);
        let is_changed = state.replicas.apply_listing(listing.items, listing.revision, now);
        self.forget_earlier_runs(&mut state);
        if is_newest {
            state.replicas_confirmed = state.replicas_confirmed.max(Some(sent_at));
        }
        self.metrics.replicas.set(i64::try_from(state.replicas.len()).unwrap_or(i64::MAX));
        if is_changed {
            info!(self.log, "replicas: listed"; "count" => state.replicas.len(),
                "names" => names.join(" "), "revision" => listing.revision.0);
            state.forget_gone_replicas();
        }
        is_newest.then(|| state.replicas.digest())
    }

    fn forget_earlier_runs(&self, state: &mut State) {
        for id in state.forget_earlier_runs() {
            info!(self.log, "replicas: started again"; "replica" => %id);
        }
    }

    fn change_replicas(&self, changes: Vec<Change<Replica>>, at: Revision) {
        let now = since_boot();
        let brings_changes = !changes.is_empty();
        let mut state = self.state();
        for change in changes {
            match change {
                Change::Written(replica, revision) => {
                    info!(self.log, "replicas: changed"; "replica" => %replica.id,
                        "service" => %replica.service, "version" => %replica.version,
                        "address" => %replica.address, "revision" => revision.0,
                        "state" => format!("{:?}", replica.state));
                    state.replicas.apply_change(replica, revision);
                }
                Change::Removed(name) => {
                    info!(self.log, "replicas: removed"; "replica" => &name, "revision" => at.0);
                    remove_replica(&mut state, &name, now);
                }
                Change::Unreadable(name, error) => {
                    warn!(self.log, "replicas: entry ignored"; "replica" => &name,
                        "error" => error);
                    remove_replica(&mut state, &name, now);
                }
            }
        }
        self.forget_earlier_runs(&mut state);
        state.replicas.advance_to(at);
        if brings_changes {
            state.replicas_confirmed = Some(now);
        }
    }

    pub(super) fn learn_orders(&self, orders: Vec<Rollout>) {
        let now = since_boot();
        let mut state = self.state();
        for order in orders {
            let service = order.service.clone();
            let known = state.orders.get(&service).map(|known| known.controller.rollout.revision);
            if known.is_some_and(|known| known >= order.revision) {
                continue;
            }
            info!(self.log, "order: learned"; "service" => %service, "target" => %order.target,
                "state" => %order.state, "revision" => order.revision.0,
                "duration_ms" => order.duration.0);
            state.learn_order(order, now);
        }
    }
}

fn remove_replica(state: &mut State, name: &str, now: Millis) {
    if let Ok(id) = name.parse() {
        state.replicas.apply_removal(&id, now);
    }
}

/// Watches the configuration, after an exact read.
pub(super) async fn follow_configuration(direct: Arc<Direct>) {
    let mut store = StoreClient::new(direct.settings.store);
    let mut is_well = true;
    let mut backoff = Backoff::default();
    loop {
        let sent_at = since_boot();
        let listing = store.list_configurations().await;
        direct.note_call("list configuration", &mut is_well, &listing);
        let Ok(listing) = listing else {
            direct.wait_for_store(&mut backoff).await;
            continue;
        };
        backoff.reset();
        for (_name, error) in &listing.unreadable {
            warn!(direct.log, "configuration: not understood"; "error" => error);
        }
        for (configuration, _revision) in listing.items {
            direct.learn_configuration(configuration, "listing");
            direct.state().freshness.confirm(sent_at);
        }
        let mut at = listing.revision;
        loop {
            let watched = store.watch_configuration(at, WATCH_TIME).await;
            direct.note_call("watch configuration", &mut is_well, &watched);
            let Ok((changes, seen)) = watched else { break };
            for change in changes {
                match change {
                    Change::Written(configuration, _) => {
                        direct.learn_configuration(configuration, "watch");
                    }
                    Change::Removed(name) => {
                        warn!(direct.log, "configuration: removal ignored"; "name" => name);
                    }
                    Change::Unreadable(_, error) => {
                        warn!(direct.log, "configuration: not understood"; "error" => error);
                    }
                }
            }
            at = seen;
        }
        direct.wait_for_store(&mut backoff).await;
    }
}

/// Watches the replicas, after an exact listing.
pub(super) async fn follow_replicas(direct: Arc<Direct>) {
    let mut store = StoreClient::new(direct.settings.store);
    let mut is_well = true;
    let mut backoff = Backoff::default();
    loop {
        let sent_at = since_boot();
        let listing = store.list_replicas().await;
        direct.note_call("list replicas", &mut is_well, &listing);
        let Ok(listing) = listing else {
            direct.wait_for_store(&mut backoff).await;
            continue;
        };
        backoff.reset();
        let mut at = listing.revision;
        let _digest = direct.learn_replicas(listing, sent_at);
        loop {
            let watched = store.watch_replicas(at, WATCH_TIME).await;
            direct.note_call("watch replicas", &mut is_well, &watched);
            let Ok((changes, seen)) = watched else { break };
            direct.change_replicas(changes, seen);
            at = seen;
            task::sleep(GATHERING_TIME).await;
        }
        direct.wait_for_store(&mut backoff).await;
    }
}

/// Watches the orders, after an exact listing.
pub(super) async fn follow_orders(direct: Arc<Direct>) {
    let mut store = StoreClient::new(direct.settings.store);
    let mut is_well = true;
    let mut backoff = Backoff::default();
    loop {
        let listing = store.list_rollouts().await;
        direct.note_call("list orders", &mut is_well, &listing);
        let Ok(listing) = listing else {
            direct.wait_for_store(&mut backoff).await;
            continue;
        };
        backoff.reset();
        for (name, error) in &listing.unreadable {
            warn!(direct.log, "order: not understood"; "name" => name, "error" => error);
        }
        direct.learn_orders(listing.items.into_iter().map(|(order, _)| order).collect());
        let mut at = listing.revision;
        loop {
            let watched = store.watch_rollouts(at, WATCH_TIME).await;
            direct.note_call("watch orders", &mut is_well, &watched);
            let Ok((changes, seen)) = watched else { break };
            let written = changes.into_iter().filter_map(|change| match change {
                Change::Written(order, _) => Some(order),
                Change::Removed(name) => {
                    info!(direct.log, "order: removed"; "name" => name);
                    None
                }
                Change::Unreadable(name, error) => {
                    warn!(direct.log, "order: not understood"; "name" => name, "error" => error);
                    None
                }
            });
            direct.learn_orders(written.collect());
            at = seen;
        }
        direct.wait_for_store(&mut backoff).await;
    }
}
