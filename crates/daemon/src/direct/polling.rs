//! Polls of the store, which bound the staleness of what the watches have delivered.
//!
//! One entry polls for its peers and sends them confirmations; the others poll for themselves when
//! no confirmation has arrived, and confirm what they read to a few peers.

use super::{Shared, State, messages::ReadResult, peers::ConfirmationRequest};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::Millis;
use ibissail_direct::{
    Backoff, Confirmation, Confirmed, EpochConfirmation, EpochConfirmed, ReadSchedule,
};
use ibissail_platform::StoreClient;
use slog::info;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Polls of the configuration: a change must be applied within two seconds even if the watch
/// delivers nothing. The settings are expected to accept API keys at greater ages.
const CONFIGURATION_POLLS: ReadSchedule =
    ReadSchedule { reader_interval: Millis(900), fallback_age: Millis(1_500) };
/// Polls of the replicas: a draining replica must get no new requests after two seconds.
const REPLICA_POLLS: ReadSchedule =
    ReadSchedule { reader_interval: Millis(1_200), fallback_age: Millis(1_750) };
/// Longest interval between checks whether a poll is due. A message from a peer may make one due at
/// any time, by showing that the configuration is outdated.
pub(super) const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a read that returned an earlier configuration than a known one, which a restored
/// store does until the operators have written theirs again.
const OUTDATED_READ_DELAY: Duration = Duration::from_millis(500);

/// The part of the state that decides whether a poll is due.
pub(super) struct PollState {
    /// Time as of which the entry's data was last known to be current.
    pub(super) confirmed_at: Option<Millis>,
    /// Whether to poll at once, whatever the age.
    pub(super) is_forced: bool,
}

impl Shared {
    /// Waits until a poll is due; returns the requests for confirmation that the poll will answer: all
    /// if this entry is the reader, otherwise some.
    pub(super) async fn wait_until_due<F>(
        &self,
        schedule: ReadSchedule,
        polled_at: Option<Millis>,
        poll_state: F,
    ) -> Vec<ConfirmationRequest>
    where
        F: Fn(&State) -> PollState,
    {
        loop {
            let now = since_boot();
            let due_in = {
                let state = self.state();
                let is_reader = state.peers.is_reader(now);
                let PollState { confirmed_at, is_forced } = poll_state(&state);
                let due_in = schedule.due_in(is_reader, polled_at, confirmed_at, now);
                if is_forced || due_in == Millis(0) {
                    return if is_reader {
                        state.peers.confirmation_requests(now)
                    } else {
                        state.peers.some_confirmation_requests(now)
                    };
                }
                due_in.as_duration()
            };
            task::sleep(due_in.min(DUE_CHECK_INTERVAL)).await;
        }
    }

    pub(super) fn mark_configuration_outdated(&self, state: &mut State) {
        if !std::mem::replace(&mut state.is_configuration_outdated, true) {
            info!(self.log, "configuration: a peer has a newer one");
        }
    }

    /// Applies a confirmation of a peer that knows the epoch of the store. If the peer knows a later
    /// epoch, this entry reads the store at once.
    pub(super) fn apply_epoch_confirmation(&self, confirmation: &EpochConfirmation) {
        let mut state = self.state();
        let EpochConfirmation { asked, epoch, confirmed, .. } = *confirmation;
        if state.epoch != Some(epoch) {
            if state.epoch < Some(epoch) {
                self.mark_configuration_outdated(&mut state);
            }
            return;
        }
        match confirmed {
            EpochConfirmed::Configuration(version) => {
                let known = state.table.as_ref().map(|table| table.version);
                if known == Some(version) {
                    state.told_configurations.record_read(version, asked);
                    state.freshness.confirm(asked);
                } else if known < Some(version) {
                    self.mark_configuration_outdated(&mut state);
                }
            }
            EpochConfirmed::Replicas(digest) => {
                if state.replicas.digest() == digest {
                    state.replicas_confirmed_at = state.replicas_confirmed_at.max(Some(asked));
                }
            }
            EpochConfirmed::Evacuations(digest) => {
                self.confirm_evacuations(&mut state, digest, asked);
            }
            EpochConfirmed::Rollouts(digest) => {
                state.rollout_list.confirm(digest, asked, since_boot());
            }
        }
    }

    /// Applies the confirmation of a peer that knows no epoch if it matches the data of this entry.
    /// It confirms nothing if this entry knows one.
    pub(super) fn apply_confirmation(&self, confirmation: &Confirmation) {
        let mut state = self.state();
        if state.epoch.is_some() {
            return;
        }
        let asked = confirmation.asked;
        match confirmation.confirmed {
            Confirmed::Configuration(revision) => {
                let known = state.table.as_ref().map(|table| table.revision.revision);
                if known == Some(revision) {
                    state.freshness.confirm(asked);
                } else if known < Some(revision) {
                    self.mark_configuration_outdated(&mut state);
                }
            }
            Confirmed::Replicas(digest) => {
                if state.replicas.digest() == digest {
                    state.replicas_confirmed_at = state.replicas_confirmed_at.max(Some(asked));
                }
            }
            Confirmed::Evacuations(digest) => {
                self.confirm_evacuations(&mut state, digest, asked);
            }
            Confirmed::Rollouts(digest) => {
                state.rollout_list.confirm(digest, asked, since_boot());
            }
        }
    }
}

/// Polls the configuration to bound its age.
pub(super) async fn poll_configuration(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    let mut polled_at = None;
    loop {
        let requests = shared.wait_until_due(CONFIGURATION_POLLS, polled_at, |state| PollState {
            confirmed_at: state.freshness.confirmed_at(),
            // While this entry cannot reach the store, only this poll detects its return.
            is_forced: state.is_configuration_outdated
                || !shared.is_store_reachable.load(Ordering::Relaxed),
        });
        let requests = requests.await;
        let sent_at = since_boot();
        let read = store.read_configuration().await;
        let read = shared.record_store_call("read configuration", &store, &mut is_reachable, read);
        shared.is_store_reachable.store(read.is_ok(), Ordering::Relaxed);
        match read {
            Ok(Some(configuration)) => {
                let (version, revision) = (configuration.version, configuration.revision);
                let is_newest = shared.apply_read_configuration(configuration, "read", sent_at);
                shared.state().is_configuration_outdated = false;
                polled_at = Some(sent_at);
                backoff.reset();
                let is_informed = shared.state().told_configurations.is_informed(since_boot());
                if is_newest && is_informed {
                    let confirmed = ReadResult::Configuration { version, revision };
                    shared.confirm(requests, confirmed, store.epoch()).await;
                } else if !is_newest {
                    task::sleep(OUTDATED_READ_DELAY).await;
                }
            }
            Ok(None) => task::sleep(backoff.next_delay().as_duration()).await,
            Err(_logged) => {
                shared.state().record_store_failure(sent_at);
                task::sleep(backoff.next_delay().as_duration()).await;
            }
        }
    }
}

/// Polls the list of replicas, because a watch may miss changes.
pub(super) async fn poll_replicas(shared: Arc<Shared>) {
    let mut store = StoreClient::new(shared.settings.store);
    let mut is_reachable = true;
    let mut backoff = Backoff::default();
    let mut polled_at = Some(since_boot());
    // The watch starts with a listing of its own.
    task::sleep(REPLICA_POLLS.reader_interval.as_duration()).await;
    loop {
        // Changes delivered by a watch also confirm the list; the reader still polls for its peers.
        let requests = shared.wait_until_due(REPLICA_POLLS, polled_at, |state| PollState {
            confirmed_at: state.replicas_confirmed_at,
            is_forced: false,
        });
        let requests = requests.await;
        let sent_at = since_boot();
        let listing = store.list_replicas().await;
        let listing = shared.record_store_call("list replicas", &store, &mut is_reachable, listing);
        match listing {
            Ok(listing) => {
                let digest = shared.apply_replica_listing(&listing, sent_at);
                polled_at = Some(sent_at);
                backoff.reset();
                match digest {
                    Some(digest) => {
                        let confirmed = ReadResult::Replicas(digest);
                        shared.confirm(requests, confirmed, store.epoch()).await;
                    }
                    None => task::sleep(DUE_CHECK_INTERVAL).await,
                }
            }
            Err(_logged) => shared.wait_for_store(&mut backoff).await,
        }
    }
}
