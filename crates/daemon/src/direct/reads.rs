//! Exact reads of the store, which bound the age of what the watches have brought.
//!
//! One entry reads for its peers and answers their questions; the others read for themselves when
//! no answer has come.

use super::{Direct, State, peers::Question};
use crate::clock::since_boot;
use async_std::task;
use ibissail_core::Millis;
use ibissail_direct::{Backoff, Confirmation, Confirmed, ReadSchedule};
use ibissail_platform::StoreClient;
use slog::info;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Exact reads of the configuration: a change must be in force within two seconds of a silent
/// watch, and the age up to which keys are accepted is longer.
const CONFIGURATION_READS: ReadSchedule =
    ReadSchedule { reader_interval: Millis(900), fallback_age: Millis(1_500) };
/// Exact listings of the replicas: a leaving replica must be left alone within two seconds.
const REPLICA_LISTINGS: ReadSchedule =
    ReadSchedule { reader_interval: Millis(1_200), fallback_age: Millis(1_750) };
/// Time between two looks at whether a read is due; peers may ask for one meanwhile.
const DUE_CHECK: Duration = Duration::from_millis(100);

/// What decides whether an exact read is due.
struct Due {
    /// From when what this entry believes was last known to be right.
    confirmed_at: Option<Millis>,
    /// Whether to read at once, whatever the age.
    is_forced: bool,
}

impl Direct {
    /// Waits until an exact read is due; returns the questions that it answers.
    async fn wait_until_due<F>(
        &self,
        schedule: ReadSchedule,
        read_at: Option<Millis>,
        due: F,
    ) -> Vec<Question>
    where
        F: Fn(&State) -> Due,
    {
        loop {
            let now = since_boot();
            let due_in = {
                let state = self.state();
                let is_reader = state.peers.is_reader(now);
                let Due { confirmed_at, is_forced } = due(&state);
                let due_in = schedule.due_in(is_reader, read_at, confirmed_at, now);
                if is_forced || due_in == Millis(0) {
                    return if is_reader { state.peers.questions(now) } else { Vec::new() };
                }
                due_in.as_duration()
            };
            task::sleep(due_in.min(DUE_CHECK)).await;
        }
    }

    /// Takes over what a peer's exact read has shown, if it agrees with what this entry believes.
    pub(super) fn learn_confirmation(&self, confirmation: &Confirmation) {
        let mut state = self.state();
        let asked = confirmation.asked;
        match confirmation.confirmed {
            Confirmed::Configuration(revision) => {
                let known = state.table.as_ref().map(|table| table.revision);
                if known == Some(revision) {
                    state.freshness.confirm(asked);
                } else if known < Some(revision) && !state.is_configuration_behind {
                    info!(self.log, "configuration: a peer knows a newer one";
                        "revision" => revision.0);
                    state.is_configuration_behind = true;
                }
            }
            Confirmed::Replicas(digest) => {
                if state.replicas.digest() == digest {
                    state.replicas_confirmed = state.replicas_confirmed.max(Some(asked));
                }
            }
        }
    }
}

/// Reads the configuration exactly, again and again, to bound its age.
pub(super) async fn confirm_configuration(direct: Arc<Direct>) {
    let mut store = StoreClient::new(direct.settings.store);
    let mut is_well = true;
    let mut backoff = Backoff::default();
    let mut read_at = None;
    loop {
        let questions = direct.wait_until_due(CONFIGURATION_READS, read_at, |state| Due {
            confirmed_at: state.freshness.confirmed_at(),
            // While the own way to the store is broken, only this read finds it mended.
            is_forced: state.is_configuration_behind
                || !direct.is_store_well.load(Ordering::Relaxed),
        });
        let questions = questions.await;
        let sent_at = since_boot();
        let read = store.read_configuration().await;
        direct.note_call("read configuration", &mut is_well, &read);
        direct.is_store_well.store(read.is_ok(), Ordering::Relaxed);
        match read {
            Ok(Some(configuration)) => {
                let revision = configuration.revision;
                direct.learn_configuration(configuration, "read");
                {
                    let mut state = direct.state();
                    state.freshness.confirm(sent_at);
                    state.is_configuration_behind = false;
                }
                read_at = Some(sent_at);
                backoff.reset();
                direct.confirm(questions, Confirmed::Configuration(revision)).await;
            }
            Ok(None) | Err(_) => task::sleep(backoff.next_delay().as_duration()).await,
        }
    }
}

/// Lists the replicas exactly, again and again, because a watch may miss changes.
pub(super) async fn confirm_replicas(direct: Arc<Direct>) {
    let mut store = StoreClient::new(direct.settings.store);
    let mut is_well = true;
    let mut backoff = Backoff::default();
    let mut read_at = Some(since_boot());
    // The watch begins with a listing of its own.
    task::sleep(REPLICA_LISTINGS.reader_interval.as_duration()).await;
    loop {
        // Changes that a watch brings confirm the list too; a reader lists for the others anyway.
        let questions = direct.wait_until_due(REPLICA_LISTINGS, read_at, |state| Due {
            confirmed_at: state.replicas_confirmed,
            is_forced: false,
        });
        let questions = questions.await;
        let sent_at = since_boot();
        let listing = store.list_replicas().await;
        direct.note_call("list replicas", &mut is_well, &listing);
        match listing {
            Ok(listing) => {
                let digest = direct.learn_replicas(listing, sent_at);
                read_at = Some(sent_at);
                backoff.reset();
                match digest {
                    Some(digest) => direct.confirm(questions, Confirmed::Replicas(digest)).await,
                    None => task::sleep(DUE_CHECK).await,
                }
            }
            Err(_logged) => direct.wait_for_store(&mut backoff).await,
        }
    }
}
