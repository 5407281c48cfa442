//! The versions that sessions run on.

use super::{
    Shared, State,
    peers::{MAX_HELD_SESSIONS, truncate_hash},
    request::AdmittedRequest,
    rollouts::RolloutProgress,
    state::SessionVersion,
};
use crate::clock::since_boot;
use ibissail_core::{Millis, VersionId};
use ibissail_direct::{TrafficSplit, stable_hash};
use slog::info;

impl Shared {
    /// Records the version that a request's session runs on.
    pub(super) fn record_session(&self, request: &AdmittedRequest, version: &VersionId) {
        let Some(session) = &request.params.session else { return };
        let now = since_boot();
        let mut state = self.state();
        self.log_session(&state, request, session, version, now);
        let used = SessionVersion { version: version.clone(), last_used: now };
        state.sessions.insert(session.clone(), used);
        let idle_timeout = self.settings.session_idle_timeout;
        state.sessions.retain(|_, session| now.since(session.last_used) < idle_timeout);
    }

    /// Logs that a session changes its version during a rollout, or starts on the new one, with what
    /// this entry knew.
    fn log_session(
        &self,
        state: &State,
        request: &AdmittedRequest,
        session: &str,
        version: &VersionId,
        now: Millis,
    ) {
        let Some(rollout) = state.rollouts.get(&request.service) else { return };
        let controller = &rollout.controller;
        let (target, is_over) = (&controller.rollout.target, controller.rollout.state.is_final());
        let known = state.sessions.get(session).map(|known| &known.version);
        let is_expected = known.map_or(version != target, |known| known == version);
        if is_over || is_expected {
            return;
        }
        let split = controller.current_split(now);
        info!(self.log, "session: version selected"; "id" => &request.params.id,
            "session" => truncate_hash(stable_hash(&[session])), "version" => %version,
            "known_version" => known.map_or("none", VersionId::as_str), "share" => split.session_share,
            "phase" => %controller.schedule(now).phase(), "elapsed_ms" => controller.elapsed(now).0,
            "peers" => state.peers.live_entry_count(now) - 1);
    }
}

impl State {
    /// Short hashes of active sessions on an old version, for entries of earlier builds, which send
    /// sessions to the new version at once unless a peer reports them.
    pub(super) fn held_sessions(&self, idle_timeout: Millis, now: Millis) -> Vec<u32> {
        let is_held = |(session, known): &(&String, &SessionVersion)| {
            let is_old = |progress: &RolloutProgress| {
                !progress.controller.rollout.state.is_final()
                    && progress.controller.rollout.target != known.version
            };
            now.since(known.last_used) < idle_timeout
                && self.rollouts.values().any(is_old)
                && TrafficSplit::is_in_canary(stable_hash(&[session]), self.exposure)
        };
        let held = self.sessions.iter().filter(is_held);
        held.map(|(session, _)| truncate_hash(stable_hash(&[session])))
            .take(MAX_HELD_SESSIONS)
            .collect()
    }
}
