//! Picks the replica for the next attempt of a request.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "tokens of a prompt stay far below 2^52"
)]

use super::{
    Direct, State,
    peers::{MAX_HELD_SESSIONS, replica_hash, short},
    retry::Progress,
    rollouts::OrderProgress,
    serve::Work,
    state::SessionVersion,
};
use crate::clock::since_boot;
use ibissail_core::{ByteSize, InstanceId, Millis, ModelId, ServiceId, Tokens, VersionId, ZoneId};
use ibissail_direct::{
    Candidate, Demand, PromptDemand, Replica, TrafficSplit, canary_replica_count, expected_wait,
    select_candidate, stable_hash,
};
use std::net::SocketAddr;

/// Time for which the same replicas carry the trial of a version.
const TRIAL_TURN: Millis = Millis(1_000);
/// Time after which a version that no order names is used like the others.
const UNORDERED_TIME: Millis = Millis(3_000);
/// One in so many replicas stays in the choice whatever their failures: half of them carry the
/// usual load of a day.
const MIN_CHOICE_DIVISOR: usize = 2;

/// The replica for an attempt.
#[derive(Debug, Clone)]
pub(crate) struct Picked {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) version: VersionId,
    /// Tokens that the replica probably has to read, in tokens of the largest model.
    pub(crate) unread: Tokens,
    /// Replicas that were in the choice.
    pub(crate) choice: usize,
    /// Expected time until the replica has read the prompt.
    pub(crate) wait: Millis,
}

/// Which versions a request may go to.
#[derive(Debug, Clone)]
enum Versions {
    All,
    Only(VersionId),
    Except(VersionId),
}

impl Versions {
    fn allow(&self, version: &VersionId) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) => version == only,
            Self::Except(excepted) => version != excepted,
        }
    }
}

impl Direct {
    /// The replica for the next attempt; `None` when no replica may take the request now.
    pub(crate) fn pick(
        &self,
        work: &Work,
        progress: &Progress,
        model: Option<&ModelId>,
    ) -> Option<Picked> {
        let now = since_boot();
        let mut state = self.state();
        let versions = state.versions(work, progress, now);
        let zone = &self.settings.zone;
        let mut choice = state.candidates(work, progress, model, &versions, zone, now);
        if choice.is_empty() && progress.version.is_none() && progress.sends == 0 {
            // No replica of the preferred version is left: any allowed one serves the caller.
            let fallback = state.fallback_versions(&work.service);
            choice = state.candidates(work, progress, model, &fallback, zone, now);
        }
        state.narrow_trial(work, &mut choice, now);
        let body = ByteSize(work.body.len() as u64);
        let token_time_ratio =
            model.map_or(1.0, |model| state.token_time_ratio(&work.service, model));
        let prompt = &work.call.prompt;
        let demand = model.map_or(Demand::Call, |model| {
            Demand::Prompt(PromptDemand { model, prompt, body, token_time_ratio })
        });
        let draw = stable_hash(&[&work.call.id, &progress.sends.to_string()]);
        let chosen = select_candidate(&choice, demand, draw)?;
        let candidate = &choice[chosen];
        let replica = state.replicas.get(&candidate.id)?.clone();
        if let Some(session) = &work.call.session {
            let used = SessionVersion { version: replica.version.clone(), last_used: now };
            state.sessions.insert(session.clone(), used);
            let pause = self.settings.session_idle_timeout;
            state.sessions.retain(|_, session| now.since(session.last_used) < pause);
        }
        let wait = match demand {
            Demand::Prompt(asked) => expected_wait(candidate, &asked),
            Demand::Call => Millis(0),
        };
        let unread =
            prompt.input.0.saturating_sub(candidate.cached_tokens.0) as f64 * token_time_ratio;
        Some(Picked {
            id: replica.id,
            address: replica.address,
            version: replica.version,
            unread: Tokens(unread as u64),
            choice: choice.len(),
            wait,
        })
    }
}

impl State {
    fn token_time_ratio(&self, service: &ServiceId, model: &ModelId) -> f64 {
        let upstream = self.table.as_ref().and_then(|table| table.upstream(service));
        let engine = upstream.and_then(|upstream| upstream.engine.as_ref());
        engine.map_or(1.0, |engine| engine.token_time_ratio(model))
    }

    fn versions(&mut self, work: &Work, progress: &Progress, now: Millis) -> Versions {
        if let Some(version) = &progress.version {
            return Versions::Only(version.clone());
        }
        let Some(order) = self.orders.get(&work.service) else {
            return self.unordered_versions(&work.service, now);
        };
        let view = order.controller.traffic_split(now);
        if !order.controller.rollout.state.is_final() {
            let takes = !progress.avoids_new_version && self.takes_new(&view, work, progress, now);
            return if takes { Versions::Only(view.target) } else { Versions::Except(view.target) };
        }
        if view.share < 1.0 {
            return Versions::Except(view.target);
        }
        self.unordered_versions(&work.service, now)
    }

    /// Whether a request goes to the new version of an order in progress.
    fn takes_new(
        &mut self,
        view: &TrafficSplit,
        work: &Work,
        progress: &Progress,
        now: Millis,
    ) -> bool {
        let Some(session) = work.call.session.as_deref() else {
            // A request that is repeated has counted already.
            let may_be_extra = view.is_canary && view.share > 0.0 && progress.sends == 0;
            return view.routes_to_target(stable_hash(&[&work.call.id]))
                || may_be_extra && self.takes_extra(&work.service, now);
        };
        let hash = stable_hash(&[session]);
        match self.sessions.get(session) {
            // A session stays where it is until all move.
            Some(known) if view.share > 0.0 && view.share < 1.0 => known.version == view.target,
            None if view.share < 1.0 => {
                view.routes_to_target(hash) && !self.peers.holds_session(short(hash), now)
            }
            _ => view.routes_to_target(hash),
        }
    }

    /// Running sessions on an old version that a trial would otherwise take.
    pub(super) fn held_sessions(&self, pause: Millis, now: Millis) -> Vec<u32> {
        let is_held = |(session, known): &(&String, &SessionVersion)| {
            let is_old = |progress: &OrderProgress| {
                !progress.controller.rollout.state.is_final()
                    && progress.controller.rollout.target != known.version
            };
            now.since(known.last_used) < pause
                && self.orders.values().any(is_old)
                && TrafficSplit::is_in_canary(stable_hash(&[session]), self.exposure)
        };
        let held = self.sessions.iter().filter(is_held);
        held.map(|(session, _)| short(stable_hash(&[session]))).take(MAX_HELD_SESSIONS).collect()
    }

    /// Keeps a version on trial to a few replicas at a time, which get as much load as they will
    /// have when all requests go to the version.
    fn narrow_trial(&self, work: &Work, choice: &mut Vec<Candidate>, now: Millis) {
        let Some(order) = self.orders.get(&work.service) else { return };
        let view = order.controller.traffic_split(now);
        let is_new = |candidate: &Candidate| {
            let replica = self.replicas.get(&candidate.id);
            replica.is_some_and(|replica| replica.version == view.target)
        };
        if !view.is_canary || choice.is_empty() || !choice.iter().all(is_new) {
            return;
        }
        let ready = self.replicas.ready(&work.service, now);
        let old = ready.filter(|replica| replica.version != view.target).count();
        let width = canary_replica_count(view.share, old).min(choice.len());
        choice.sort_by_key(|candidate| stable_hash(&[candidate.id.as_str()]));
        let turn = usize::try_from(order.controller.elapsed(now).0 / TRIAL_TURN.0);
        let from = turn.unwrap_or_default() * width % choice.len();
        choice.rotate_left(from);
        choice.truncate(width);
    }

    /// Without an order in progress, a version that has just appeared may belong to one that is
    /// not known yet.
    fn unordered_versions(&mut self, service: &ServiceId, now: Millis) -> Versions {
        let mut seen: Vec<VersionId> = Vec::new();
        for replica in self.replicas.ready(service, now) {
            if !seen.contains(&replica.version) {
                seen.push(replica.version.clone());
            }
        }
        match (seen.as_slice(), self.baselines.get(service).cloned()) {
            ([], _) => Versions::All,
            ([only], known) => {
                if known.as_ref() != Some(only) {
                    self.baselines.insert(service.clone(), only.clone());
                }
                self.mixed_since.remove(service);
                Versions::All
            }
            (_, Some(known)) if seen.contains(&known) => {
                let since = *self.mixed_since.entry(service.clone()).or_insert(now);
                if now.since(since) < UNORDERED_TIME {
                    Versions::Only(known)
                } else {
                    Versions::All
                }
            }
            _ => Versions::All,
        }
    }

    /// Versions for a request that finds no replica of the version it should go to.
    fn fallback_versions(&self, service: &ServiceId) -> Versions {
        match self.orders.get(service) {
            Some(order) if order.controller.verdict().is_bad() => {
                Versions::Except(order.controller.rollout.target.clone())
            }
            _ => Versions::All,
        }
    }

    fn candidates(
        &self,
        work: &Work,
        progress: &Progress,
        model: Option<&ModelId>,
        versions: &Versions,
        zone: &ZoneId,
        now: Millis,
    ) -> Vec<Candidate> {
        let peers = self.peers.loads(now);
        let allowed = |replica: &&Replica| {
            versions.allow(&replica.version)
                && !progress.tried.contains(&replica.id)
                && model
                    .is_none_or(|model| replica.models.is_empty() || replica.models.contains(model))
        };
        let candidate = |replica: &Replica| {
            let own = self.loads.get(&replica.id).copied().unwrap_or_default();
            let (running, unread) =
                peers.get(&replica_hash(&replica.id)).copied().unwrap_or_default();
            let health = self.health.get(&replica.id).copied().unwrap_or_default();
            let cached_tokens = model.map_or(Tokens(0), |model| {
                self.prefixes.cached_tokens(&replica.id, model, &work.call.prompt, now)
            });
            let candidate = Candidate {
                id: replica.id.clone(),
                is_same_zone: replica.zone == *zone,
                slots: replica.slots.0,
                running: own.running + running,
                pending_prefill: Tokens(own.unread.0 + unread.0),
                cached_tokens,
                failure_share: health.failure_share(),
            };
            (candidate, health.is_ejected(now))
        };
        let all: Vec<(Candidate, bool)> =
            self.replicas.ready(&work.service, now).filter(allowed).map(candidate).collect();
        let least = all.len().div_ceil(MIN_CHOICE_DIVISOR);
        let sound = all.iter().filter(|(_, is_ejected)| !is_ejected).count();
        let keeps_all = sound < least.max(1);
        all.into_iter()
            .filter(|(_, is_ejected)| keeps_all || !is_ejected)
            .map(|(candidate, _)| candidate)
            .collect()
    }
}
