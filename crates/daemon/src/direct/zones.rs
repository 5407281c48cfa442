//! Evacuated availability zones: how this entry learns of them, tells its peers, and keeps requests
//! away from their replicas.

use super::{
    Shared,
    messages::{Message, ReadResult},
    peers::Notice,
    polling::PollState,
    request::AdmittedRequest,
    state::State,
    upstream::SendError,
};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::{Millis, ZoneId};
use ibissail_direct::{
    Backoff, EvacuationSet, Replica, ServingGate, ZoneChange, ZoneRegions, evacuation_polls,
};
use ibissail_platform::{Listing, StoreClient};
use rand::seq::IndexedRandom;
use slog::{info, warn};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Most peers that are told at once of a change that this entry has read from the store.
const READ_RECEIVERS: usize = 24;
/// Most peers that are told at once of a change that a peer has told.
const FORWARD_RECEIVERS: usize = 6;
/// Pause after a listing that was older than what is known.
const OUTDATED_LISTING_DELAY: Duration = Duration::from_millis(100);
/// Longest time for which a request waits until this entry knows the evacuations again, such as
/// after its VM was suspended.
const REFRESH_TIMEOUT: Millis = Millis(400);
/// Interval at which such a request checks.
const REFRESH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What this entry knows of evacuations.
#[derive(Debug)]
pub(super) struct Evacuations {
    set: EvacuationSet,
    gate: ServingGate,
    /// Time in which an evacuation must take effect.
    delay: Millis,
    /// Whether a peer or a restore has shown that the set may be outdated.
    is_outdated: bool,
    /// Most peers that are to be told of a change at once; 0 if there is nothing new.
    untold_receivers: usize,
}

impl Evacuations {
    pub(super) fn new(delay: Millis, has_seeds: bool, now: Millis) -> Self {
        Self {
            set: EvacuationSet::default(),
            gate: ServingGate::new(delay, has_seeds, now),
            delay,
            is_outdated: false,
            untold_receivers: 0,
        }
    }

    /// Takes note that the store was restored, so that the evacuations are listed at once.
    pub(super) fn mark_outdated(&mut self) {
        self.is_outdated = true;
    }

    /// Ends the wait for what peers know: all of them wait as well.
    pub(super) fn end_wait(&mut self, now: Millis) {
        self.gate.end_wait(now);
    }

    /// Lets peers that wait know that there are no other evacuations.
    pub(super) fn tell_peers(&mut self) {
        self.untold_receivers = self.untold_receivers.max(READ_RECEIVERS);
    }

    /// Takes note of a call to the store, sent at this time, that has failed.
    pub(super) fn record_failure(&mut self, sent_at: Millis) {
        self.gate.record_failure(sent_at);
    }
}

/// The zones that requests may be sent to.
#[derive(Debug)]
pub(super) struct Zones {
    /// Evacuations; `None` if zones are not evacuated.
    pub(super) evacuations: Option<Evacuations>,
    /// Region of each zone.
    pub(super) regions: ZoneRegions,
}

impl State {
    /// Whether nothing may be sent to the replicas of a zone.
    pub(super) fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.zones.evacuations.as_ref().is_some_and(|known| known.set.is_evacuated(zone))
    }

    /// Whether the zone of a replica lets it serve a request.
    pub(super) fn is_servable(&self, replica: &Replica, request: &AdmittedRequest) -> bool {
        !self.is_evacuated(&replica.zone)
            && request.regions.allows(&replica.zone, &self.zones.regions)
    }

    /// Whether this entry has learned which zones are evacuated, since its start.
    pub(super) fn knows_evacuations(&self, now: Millis) -> bool {
        let known = self.zones.evacuations.as_ref();
        known.is_none_or(|known| known.gate.is_informed(&known.set, now))
    }

    /// Whether this entry knows the evacuations well enough to send a request.
    fn may_send(&self, now: Millis) -> bool {
        let known = self.zones.evacuations.as_ref();
        known.is_none_or(|known| known.gate.allows(&known.set, now))
    }

    /// Why no replica may serve the request, if its zones are the reason.
    pub(super) fn excluded_zones(&self, request: &AdmittedRequest, now: Millis) -> Option<String> {
        let mut evacuated: BTreeSet<&ZoneId> = BTreeSet::new();
        let mut is_outside = false;
        for replica in self.replicas.ready(&request.service, now) {
            if self.is_evacuated(&replica.zone) {
                evacuated.insert(&replica.zone);
            } else if request.regions.allows(&replica.zone, &self.zones.regions) {
                return None;
            } else {
                is_outside = true;
            }
        }
        let evacuated: Vec<&str> = evacuated.into_iter().map(ZoneId::as_str).collect();
        match (evacuated.is_empty(), is_outside) {
            (true, false) => None,
            (false, false) => {
                Some(format!("all zones with replicas are evacuated: {}", evacuated.join(", ")))
            }
            (true, true) => {
                let regions = request.regions.names();
                Some(format!("no replica is in a region that may serve the request: {regions}"))
            }
            (false, true) => {
                let (regions, evacuated) = (request.regions.names(), evacuated.join(", "));
                Some(format!(
                    "no replica is in a region that may serve the request: {regions}; evacuated \
                     zones: {evacuated}"
                ))
            }
        }
    }

    /// Requests of this entry that are in progress in a zone.
    fn running_in(&self, zone: &ZoneId) -> u64 {
        let in_zone = self.replicas.iter().filter(|replica| replica.zone == *zone);
        let loads = in_zone.filter_map(|replica| self.loads.get(&replica.id));
        loads.map(|load| u64::from(load.running)).sum()
    }
}

impl Shared {
    /// Waits for a while until this entry knows the evacuations well enough to send a request.
    pub(super) async fn wait_for_evacuations(&self) {
        let started = since_boot();
        loop {
            let now = since_boot();
            if self.state().may_send(now) || now.since(started) >= REFRESH_TIMEOUT {
                return;
            }
            task::sleep(REFRESH_CHECK_INTERVAL).await;
        }
    }

    /// Why no request may be sent, whatever the replica; `None` if one may.
    pub(super) fn evacuations_unknown(&self) -> Option<String> {
        let now = since_boot();
        let state = self.state();
        if state.may_send(now) {
            return None;
        }
        let confirmed = state.zones.evacuations.as_ref().and_then(|known| known.set.confirmed_at());
        Some(confirmed.map_or_else(
            || "the evacuated zones are not known yet".to_owned(),
            |confirmed| {
                format!("the evacuated zones were last confirmed {} ago", now.since(confirmed))
            },
        ))
    }

    /// Checks right before a request is sent that its zone has not been evacuated since the replica
    /// was selected.
    ///
    /// # Errors
    ///
    /// Why the request may not be sent.
    pub(super) fn check_zone(&self, zone: &ZoneId) -> Result<(), SendError> {
        let is_evacuated = self.state().is_evacuated(zone);
        if is_evacuated {
            return Err(SendError::Withheld(format!("zone {zone} has been evacuated")));
        }
        self.evacuations_unknown().map_or(Ok(()), |reason| Err(SendError::Withheld(reason)))
    }

    /// Logs and counts changes of the evacuations; `confirmed_at` is the time as of which they were
    /// known, and `receivers` limits how many peers are told at once.
    fn record_zone_changes(
        &self,
        state: &mut State,
        changes: &[ZoneChange],
        (source, age): (&'static str, Millis),
        receivers: usize,
    ) {
        let Some(known) = &mut state.zones.evacuations else { return };
        if changes.is_empty() {
            return;
        }
        known.untold_receivers = known.untold_receivers.max(receivers);
        let at = known.set.position().unwrap_or_default();
        let count = known.set.len();
        self.metrics.evacuated_zones.set(i64::try_from(count).unwrap_or(i64::MAX));
        for change in changes {
            match change {
                ZoneChange::Evacuated(zone) => {
                    let running = state.running_in(zone);
                    self.metrics.evacuation_requests.inc_by(running);
                    warn!(self.log, "zone: evacuated"; "zone" => %zone, "source" => source,
                        "age_ms" => age.0, "revision" => %at, "running" => running,
                        "evacuated" => count);
                }
                ZoneChange::Ended(zone) => {
                    info!(self.log, "zone: evacuation ended"; "zone" => %zone, "source" => source,
                        "age_ms" => age.0, "revision" => %at, "evacuated" => count);
                }
            }
        }
    }

    /// Applies a listing; returns its digest, or `None` if a newer one is known.
    fn apply_evacuation_listing(&self, listing: Listing<ZoneId>, sent_at: Millis) -> Option<u64> {
        for (name, error) in &listing.unreadable {
            warn!(self.log, "zone: invalid evacuation ignored"; "name" => name, "error" => error);
        }
        let now = since_boot();
        let mut state = self.state();
        let known = state.zones.evacuations.as_mut()?;
        known.is_outdated = false;
        let is_newest = known.set.is_newest(listing.revision);
        let changes = known.set.apply_listing(listing.items, listing.revision, sent_at, now);
        let digest = known.set.digest();
        let origin = ("listing", now.since(sent_at));
        self.record_zone_changes(&mut state, &changes, origin, READ_RECEIVERS);
        is_newest.then_some(digest)
    }

    /// Applies a peer's confirmation of its list. If the lists differ, this entry lists at once.
    pub(super) fn confirm_evacuations(&self, state: &mut State, digest: u64, asked: Millis) {
        let now = since_boot();
        let Some(known) = &mut state.zones.evacuations else { return };
        if known.set.digest() != digest {
            known.is_outdated = true;
            return;
        }
        let changes = known.set.confirm(asked, now);
        let origin = ("confirmation", now.since(asked));
        self.record_zone_changes(state, &changes, origin, FORWARD_RECEIVERS);
    }

    /// Notice with the evacuations; `None` if they are not known or zones are not evacuated. There may be
    /// more of them while this entry itself waits for what peers know.
    pub(super) fn build_evacuations(&self, now: Millis) -> Option<Notice> {
        let state = self.state();
        let mut evacuations = state.zones.evacuations.as_ref()?.set.told(now)?;
        evacuations.is_complete &= state.told_configurations.is_informed(now);
        Some(Notice { evacuations: Some(Box::new(evacuations)), ..state.empty_notice() })
    }

    /// The same, while there is something to repeat.
    pub(super) fn build_repeated_evacuations(&self, now: Millis) -> Option<Notice> {
        let is_worth_telling = {
            let state = self.state();
            let known = state.zones.evacuations.as_ref();
            known.is_some_and(|known| known.set.is_worth_telling(now))
        };
        if is_worth_telling { self.build_evacuations(now) } else { None }
    }

    /// Tells peers of a change that they have not been told yet.
    pub(super) async fn spread_evacuations(&self) {
        let now = since_boot();
        let receivers = {
            let mut state = self.state();
            let known = state.zones.evacuations.as_mut();
            let count = known.map_or(0, |known| std::mem::take(&mut known.untold_receivers));
            if count == 0 {
                return;
            }
            let peers = state.peers.live_addresses(now);
            peers.choose_multiple(&mut rand::rng(), count).copied().collect::<Vec<_>>()
        };
        let Some(notice) = self.build_evacuations(now) else { return };
        let message = Message::Notice(Box::new(notice));
        for receiver in receivers {
            self.send(&message, receiver).await;
        }
    }

    /// Applies the evacuations that a peer has told.
    pub(super) fn apply_told_evacuations(&self, state: &mut State, notice: &Notice, now: Millis) {
        let Some(told) = &notice.evacuations else { return };
        let Some(known) = &mut state.zones.evacuations else { return };
        let changes = known.set.apply_told(told, now);
        self.record_zone_changes(state, &changes, ("peer", told.age), FORWARD_RECEIVERS);
    }
}

/// Lists the evacuations, for the peers too if this entry is the reader.
pub(super) async fn poll_evacuations(shared: Arc<Shared>) {
    let delay = shared.state().zones.evacuations.as_ref().map(|known| known.delay);
    let Some(delay) = delay else { return };
    let schedule = evacuation_polls(delay);
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    let mut polled_at = None;
    loop {
        let requests = shared.wait_until_due(schedule, polled_at, |state| {
            let known = state.zones.evacuations.as_ref();
            PollState {
                // What a peer has told does not stand in for the first listing.
                confirmed_at: polled_at.and(known.and_then(|known| known.set.confirmed_at())),
                is_forced: known.is_some_and(|known| known.is_outdated),
            }
        });
        let requests = requests.await;
        let sent_at = since_boot();
        let listing = store.list_evacuations().await;
        let listing =
            shared.record_store_call("list evacuations", &store, &mut is_reachable, listing);
        match listing {
            Ok(listing) => {
                let digest = shared.apply_evacuation_listing(listing, sent_at);
                polled_at = Some(sent_at);
                backoff.reset();
                shared.spread_evacuations().await;
                match digest {
                    Some(digest) => {
                        let confirmed = ReadResult::Evacuations(digest);
                        shared.confirm(requests, confirmed, store.epoch()).await;
                    }
                    None => task::sleep(OUTDATED_LISTING_DELAY).await,
                }
            }
            Err(_logged) => {
                shared.state().record_store_failure(sent_at);
                shared.wait_for_store(&mut backoff).await;
            }
        }
    }
}

impl State {
    /// Takes note that a call to the store, sent at this time, has failed.
    pub(super) fn record_store_failure(&mut self, sent_at: Millis) {
        self.store_failed_at = self.store_failed_at.max(Some(sent_at));
        if let Some(known) = &mut self.zones.evacuations {
            known.record_failure(sent_at);
        }
    }
}
