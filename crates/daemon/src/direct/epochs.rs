//! Restores of the store from an older copy of itself.
//!
//! Each restore begins an epoch, in which acknowledged writes may be missing and revisions repeat.
//! Every response of the store names its epoch.

use super::{Shared, state::State};
use crate::clock::since_boot;
use futures_lite::FutureExt;
use ibissail_core::{Epoch, Millis, StoreRevision};
use ibissail_platform::{StoreClient, StoreError};
use slog::{info, warn};
use std::future::Future;

/// Result of observing the epoch of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EpochChange {
    /// The epoch is the known one, or the first.
    None,
    /// The store has been restored.
    Restored,
    /// The response is from before a known restore.
    Outdated,
}

impl State {
    /// Takes note of the epoch of a response or of a peer.
    ///
    /// After a restore the lists of replicas, rollouts and evacuations are no longer known to be
    /// current, so that they are read at once. The configuration stays as confirmed: its age limits
    /// how long it counts. If it has expired while this entry heard no peers, they may know a newer one.
    fn observe_epoch(&mut self, epoch: Option<Epoch>, now: Millis) -> EpochChange {
        let Some(epoch) = epoch else { return EpochChange::None };
        match self.epoch {
            Some(known) if epoch < known => EpochChange::Outdated,
            Some(known) if epoch > known => {
                self.epoch = Some(epoch);
                self.restored_at = Some(now);
                self.replicas_confirmed_at = None;
                if self.has_missed_peers(now) {
                    self.told_configurations.wait_for_peers(now);
                }
                self.rollout_list.reset_confirmation();
                if let Some(evacuations) = &mut self.zones.evacuations {
                    evacuations.mark_outdated();
                }
                EpochChange::Restored
            }
            _ => {
                self.epoch = Some(epoch);
                EpochChange::None
            }
        }
    }
}

impl Shared {
    /// Waits for a watch from a position; `None` as soon as a restore is known after that position.
    ///
    /// A store may keep a watch waiting across its restore, without the changes that the restore has
    /// brought.
    pub(super) async fn watch_until_restored<F, T>(
        &self,
        from: StoreRevision,
        watch: F,
    ) -> Option<T>
    where
        F: Future<Output = T>,
    {
        let restored = self.restored.listen();
        if self.state().epoch.unwrap_or_default() > from.epoch {
            return None;
        }
        let interrupted = async {
            restored.await;
            None
        };
        async { Some(watch.await) }.or(interrupted).await
    }

    /// Records the result of a call to the store: counts it, takes note of the store's epoch, and
    /// logs when the store becomes unreachable or reachable; `was_reachable` is updated.
    ///
    /// # Errors
    ///
    /// The error of the call, or `Restored` if its response is from before a known restore.
    pub(super) fn record_store_call<T>(
        &self,
        call: &'static str,
        store: &StoreClient,
        was_reachable: &mut bool,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.metrics.store_calls.inc();
        let now = since_boot();
        if let Err(error) = &result
            && !error.is_response()
        {
            self.metrics.store_failures.inc();
            let replicas = &mut self.state().replicas;
            match error {
                StoreError::Silent(limit) => replicas.record_silence(now.since(*limit), now),
                _ => replicas.record_outage(now),
            }
            if *was_reachable {
                warn!(self.log, "store: unreachable"; "call" => call, "error" => %error);
            }
            *was_reachable = false;
            return result;
        }
        self.state().replicas.record_response(now);
        if !*was_reachable {
            info!(self.log, "store: reachable again"; "call" => call);
            *was_reachable = true;
        }
        self.observe_epoch(call, store.epoch(), now)?;
        result
    }

    /// Takes note of the epoch of a response; fails if it is from before a known restore.
    pub(super) fn observe_epoch(
        &self,
        source: &'static str,
        epoch: Option<Epoch>,
        now: Millis,
    ) -> Result<(), StoreError> {
        let known = self.state().epoch;
        let change = self.state().observe_epoch(epoch, now);
        let number = epoch.unwrap_or_default().0;
        match change {
            EpochChange::None => Ok(()),
            EpochChange::Restored => {
                self.metrics.store_restores.inc();
                self.restored.notify(usize::MAX);
                warn!(self.log, "store: restored from an older copy"; "source" => source,
                    "epoch" => number, "previous_epoch" => known.unwrap_or_default().0);
                Ok(())
            }
            EpochChange::Outdated => {
                info!(self.log, "store: response of an earlier epoch ignored"; "source" => source,
                    "epoch" => number, "known_epoch" => known.unwrap_or_default().0);
                Err(StoreError::Restored)
            }
        }
    }
}
