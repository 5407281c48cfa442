//! Reads the rollouts from the store: by a watch, and by polls while they decide where requests go.

use super::{
    Shared, State,
    messages::ReadResult,
    peers::Report,
    polling::{DUE_CHECK_INTERVAL, PollState},
};
use crate::clock::since_boot;
use async_std::task;
use futures_lite::FutureExt;
use ibissail_core::{Millis, StoreRevision};
use ibissail_direct::{Backoff, ReadSchedule, Rollout, RolloutChange};
use ibissail_platform::{Change, Listing, StoreClient};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};

/// Polls of the rollouts: an order that a watch has not delivered must be known before the replicas of
/// its version are used.
const ROLLOUT_POLLS: ReadSchedule =
    ReadSchedule { reader_interval: Millis(1_200), fallback_age: Millis(1_750) };
/// Interval of the checks whether rollouts decide where requests go.
const ROLLOUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl State {
    /// Since when the rollouts decide where requests go; `None` if they do not: no rollout is active,
    /// no service has replicas of several versions, and peers report none that is unknown here.
    fn rollouts_matter_since(&mut self, now: Millis) -> Option<Millis> {
        let is_active = |known: &Rollout| !known.state.is_final();
        let matter = self.rollouts.values().any(|known| is_active(&known.controller.rollout))
            || self.rollout_list.has_announcements()
            || self.replicas.has_mixed_versions();
        let since = matter.then(|| self.rollouts_matter_since.unwrap_or(now));
        self.rollouts_matter_since = since;
        since
    }
}

impl Shared {
    /// Applies a listing of the rollouts; returns its digest, or `None` if a newer one is known.
    pub(super) fn apply_rollout_listing(
        &self,
        listing: Listing<Rollout>,
        sent_at: Millis,
        source: &'static str,
    ) -> Option<u64> {
        for (name, error) in &listing.unreadable {
            warn!(self.log, "rollout: invalid"; "name" => name, "error" => error);
        }
        let readable = listing.items.iter();
        let readable =
            readable.map(|(rollout, at)| (rollout.service.to_string(), Some(at.revision)));
        let unreadable = listing.unreadable.iter().map(|(name, _)| (name.clone(), None));
        let objects = readable.chain(unreadable).collect();
        let mut state = self.state();
        self.apply_rollouts(&mut state, listing.items.into_iter().map(|(item, _)| item), source);
        let list = &mut state.rollout_list;
        list.apply_listing(objects, listing.revision, sent_at).then(|| list.digest())
    }

    /// Applies changes that a watch has delivered, up to a position.
    pub(super) fn apply_rollout_changes(
        &self,
        changes: Vec<Change<Rollout>>,
        up_to: StoreRevision,
    ) {
        let mut state = self.state();
        for change in changes {
            match change {
                Change::Written(rollout, at) => {
                    let name = rollout.service.to_string();
                    self.apply_rollouts(&mut state, [rollout], "watch");
                    state.rollout_list.apply_written(&name, Some(at.revision));
                }
                Change::Removed(name) => {
                    state.rollout_list.apply_removed(&name);
                    info!(self.log, "rollout: removal ignored"; "name" => name);
                }
                Change::Unreadable(name, error) => {
                    state.rollout_list.apply_written(&name, None);
                    warn!(self.log, "rollout: invalid"; "name" => name, "error" => error);
                }
            }
        }
        state.rollout_list.advance_to(up_to);
    }

    /// Applies rollouts unless their revisions are known already or older.
    fn apply_rollouts<I>(&self, state: &mut State, rollouts: I, source: &'static str)
    where
        I: IntoIterator<Item = Rollout>,
    {
        let now = since_boot();
        for rollout in rollouts {
            let service = rollout.service.clone();
            let change = state.compare_rollout(&rollout);
            if change == RolloutChange::Outdated {
                continue;
            }
            info!(self.log, "rollout: received"; "service" => %service, "target" => %rollout.target,
                "state" => %rollout.state, "revision" => %rollout.revision, "source" => source,
                "duration_ms" => rollout.duration.0, "change" => format!("{change:?}"));
            state.apply_rollout(rollout, change, now);
        }
    }

    /// Takes note of what a peer reports of rollouts. One that this entry does not know, or knows in
    /// an earlier state, is a reason to read.
    pub(super) fn hear_rollouts(&self, report: &Report) {
        let now = since_boot();
        let mut state = self.state();
        let State { rollouts, rollout_list, .. } = &mut *state;
        for told in &report.rollouts {
            let known = rollouts.get(&told.service).map(|known| &known.controller.rollout);
            if rollout_list.hear(told, known, now) {
                info!(self.log, "rollout: reported by a peer"; "service" => %told.service,
                    "target" => %told.target, "state" => %told.state, "peer" => %report.vm,
                    "known_target" => known.map_or("none", |known| known.target.as_str()));
            }
        }
    }

    /// Waits until rollouts decide where requests go, or no longer do if `matter` is false; returns
    /// since when.
    async fn wait_until_rollouts_matter(&self, matter: bool) -> Option<Millis> {
        loop {
            let since = self.state().rollouts_matter_since(since_boot());
            if since.is_some() == matter {
                return since;
            }
            task::sleep(ROLLOUT_CHECK_INTERVAL).await;
        }
    }
}

/// Polls the list of rollouts while it decides where requests go, because a watch may miss changes.
pub(super) async fn poll_rollouts(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    let mut polled_at = None;
    loop {
        let needed_since = shared.wait_until_rollouts_matter(true).await;
        let due = shared.wait_until_due(ROLLOUT_POLLS, polled_at, |state| PollState {
            // The reader, which polls at once, is given time to confirm.
            confirmed_at: state.rollout_list.confirmed_at().max(needed_since),
            is_forced: state.rollout_list.needs_read(since_boot()),
        });
        let needless = async {
            shared.wait_until_rollouts_matter(false).await;
            None
        };
        let Some(requests) = async { Some(due.await) }.or(needless).await else { continue };
        let sent_at = since_boot();
        let listing = store.list_rollouts().await;
        let listing = shared.record_store_call("list orders", &store, &mut is_reachable, listing);
        match listing {
            Ok(listing) => {
                let digest = shared.apply_rollout_listing(listing, sent_at, "poll");
                polled_at = Some(sent_at);
                backoff.reset();
                match digest {
                    Some(digest) => {
                        let confirmed = ReadResult::Rollouts(digest);
                        shared.confirm(requests, confirmed, store.epoch()).await;
                    }
                    None => task::sleep(DUE_CHECK_INTERVAL).await,
                }
            }
            Err(_logged) => shared.wait_for_store(&mut backoff).await,
        }
    }
}
