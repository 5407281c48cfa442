//! Doubts about the configuration: a store that was restored from an older copy may show one that has
//! been replaced, and peers may know the newer one.

use super::{Shared, peers::Notice, state::State};
use crate::clock::since_boot;
use ibissail_core::Millis;
use ibissail_direct::ToldConfiguration;
use slog::{info, warn};

/// Age of the last failed poll from which it does not explain why the configuration has expired, as
/// polls are repeated within a second: this entry was suspended.
const SUSPENDED_TIME: Millis = Millis(3_000);

impl State {
    fn configuration_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Newest version that a peer has and the store should have shown, if any.
    pub(super) fn missing_configuration(&self, now: Millis) -> Option<u64> {
        self.told_configurations.missing(self.configuration_version(), now)
    }

    /// Why keys are not to be checked against the configuration, though it was read lately; `None` if
    /// they may be, are accepted at any age, or there are none.
    pub(super) fn configuration_doubt(&self, now: Millis) -> Option<String> {
        let needs_keys = self.table.as_ref().is_some_and(|table| table.requires_keys());
        if !self.freshness.is_limited() || !needs_keys {
            return None;
        }
        if !self.told_configurations.is_informed(now) {
            return Some("peers may know a newer configuration than the store".to_owned());
        }
        let (known, missing) = (self.configuration_version(), self.missing_configuration(now)?);
        Some(format!("a peer has configuration {missing}, but the store has configuration {known}"))
    }

    /// Time for which this entry waits for what peers know, if there are some that wait as well.
    pub(super) fn rest_of_fleet_wait(&self, now: Millis) -> Option<Millis> {
        let rest = self.told_configurations.rest_of_wait(now);
        (rest > Millis(0) && self.peers.live_entry_count(now) > 1).then_some(rest)
    }

    /// Whether the configuration has expired while this entry was suspended or cut off from its peers,
    /// so that they may have told of a newer one in vain.
    pub(super) fn has_missed_peers(&self, now: Millis) -> bool {
        let failed_at = self.store_failed_at;
        let was_suspended = failed_at.is_none_or(|at| now.since(at) >= SUSPENDED_TIME);
        let is_cut_off = was_suspended || self.peers.is_isolated(now);
        self.peers.has_contacts() && !self.freshness.allows_keys(now) && is_cut_off
    }
}

impl Shared {
    /// Applies what a peer tells of its configuration. If it is newer, this entry reads the store at
    /// once.
    pub(super) fn apply_told_configuration(&self, state: &mut State, notice: &Notice, now: Millis) {
        let known = state.configuration_version();
        let Notice { incarnation: peer, configuration: version, is_provisional, .. } = *notice;
        let told = ToldConfiguration { peer, version, is_provisional };
        if state.told_configurations.record(told, known, now) {
            self.mark_configuration_outdated(state);
            warn!(self.log, "configuration: told of a newer one"; "version" => version,
                "known_version" => known, "peer" => %notice.incarnation,
                "is_missing" => state.missing_configuration(now).is_some());
        }
    }

    /// Ends the wait for what peers know if all of them wait, and logs its end.
    pub(super) fn review_wait_for_peers(&self, now: Millis) {
        let mut state = self.state();
        let State { peers, told_configurations, zones, .. } = &mut *state;
        if !told_configurations.is_informed(now)
            && peers.are_seeds_live(now)
            && told_configurations.review_peers(peers.live_incarnations(now), now)
            && let Some(evacuations) = &mut zones.evacuations
        {
            evacuations.end_wait(now);
        }
        if let Some(has_heard) = state.told_configurations.take_end_of_wait(now) {
            if let Some(evacuations) = &mut state.zones.evacuations {
                evacuations.tell_peers();
            }
            info!(self.log, "configuration: peers waited for"; "has_heard" => has_heard,
                "version" => state.configuration_version(),
                "peers" => state.peers.live_entry_count(now) - 1,
                "after_ms" => since_boot().since(self.started).0);
        }
    }
}
