//! Selects the replica for the next attempt of a request.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "tokens of a prompt stay far below 2^52"
)]

use super::{
    Shared, State,
    limits::FleetShares,
    peers::replica_hash,
    progress::{Expectation, Progress, SelectedReplica},
    request::AdmittedRequest,
};
use crate::clock::since_boot;
use ibissail_core::{ByteSize, Millis, ModelId, ServiceId, Tokens, VersionId, ZoneId};
use ibissail_direct::{
    Candidate, CountedRequests, Demand, FleetView, PromptDemand, Replica, TrafficSplit,
    VersionContext, VersionFilter, WorkRates, canary_replica_count, expected_first_event,
    expected_wait, is_full, select_candidate, stable_hash, urgency_reserve,
};
use slog::debug;
use std::collections::BTreeMap;

/// Time after which a canary moves on to other replicas of its version.
const CANARY_ROTATION_INTERVAL: Millis = Millis(1_000);
/// At least one in this many replicas stays a candidate whatever the failures: half of the replicas
/// carry the usual daily load.
pub(super) const MIN_CANDIDATES_DIVISOR: usize = 2;
/// Pending prefill above one part in this many of the request's own counts as a queue.
const MIN_QUEUE_DIVISOR: f64 = 4.0;

/// What decides which replicas may take the next attempt of a request.
struct CandidateQuery<'a> {
    request: &'a AdmittedRequest,
    progress: &'a Progress,
    model: Option<&'a ModelId>,
    /// Availability zone of this entry.
    zone: &'a ZoneId,
    shares: FleetShares,
    /// Estimated number of entries.
    entries: usize,
    rates: WorkRates,
    /// Tokens of KV cache of each replica; 0 if the service has none.
    kv_capacity: Tokens,
    now: Millis,
}

impl Shared {
    /// Selects the replica for the next attempt; `None` if no replica may take the request now.
    pub(crate) fn select_replica(
        &self,
        request: &AdmittedRequest,
        progress: &Progress,
        model: Option<&ModelId>,
    ) -> Option<SelectedReplica> {
        let now = since_boot();
        let mut state = self.state();
        let versions = state.allowed_versions(request, progress, now);
        let zone = &self.settings.zone;
        let shares = state.fleet_shares(&request.service, now);
        let entries = state.peers.entry_count(now);
        state.peer_held.expire(now);
        let rates = state.work.rates(&request.service, model);
        let kv_capacity = model.map_or(Tokens(0), |_| state.kv_capacity(&request.service));
        let query = CandidateQuery {
            request,
            progress,
            model,
            zone,
            shares,
            entries,
            rates,
            kv_capacity,
            now,
        };
        let mut candidates = state.candidates(&query, &versions);
        if state.withholds_cold(&query, &versions) {
            self.metrics.cold_withheld.inc();
        }
        // What the limits of the old version's replicas leave must not move to a new version.
        let is_old_limited = matches!(versions, VersionFilter::Except(_) | VersionFilter::Among(_))
            && candidates.is_empty()
            && state.is_limited(&query, &versions);
        let may_change = progress.pinned_version.is_none() && progress.attempts_sent == 0;
        if candidates.is_empty() && may_change && !is_old_limited {
            // No replica of the preferred version is left: use one of any version that has not
            // failed.
            let fallback = state.fallback_versions(&request.service);
            candidates = state.candidates(&query, &fallback);
        }
        if candidates.is_empty()
            && !is_old_limited
            && let Some(versions) = state.versions_of_a_last_step(&request.service, now)
        {
            candidates = state.candidates(&query, &versions);
        }
        state.limit_canary_replicas(request, &mut candidates, now);
        let body = ByteSize(request.body.len() as u64);
        let token_time_ratio =
            model.map_or(1.0, |model| state.token_time_ratio(&request.service, model));
        let prompt = &request.params.prompt;
        let hint = request.params.length_hint;
        let expected_output = state.work.expected_output(&request.route.name, prompt, hint);
        let demand = model.map_or(Demand::Call, |model| {
            Demand::Prompt(PromptDemand { model, prompt, body, token_time_ratio, expected_output })
        });
        let draw = stable_hash(&[&request.params.id, &progress.attempts_sent.to_string()]);
        let index = select_candidate(&candidates, demand, draw)?;
        let candidate = &candidates[index];
        let replica = state.replicas.get(&candidate.id)?.clone();
        let first_event = expected_first_event(candidate, demand);
        let is_by_load = candidate.load.is_some();
        let expected_wait = match demand {
            Demand::Prompt(_) if is_by_load => first_event,
            Demand::Prompt(prompt_demand) => expected_wait(candidate, &prompt_demand),
            Demand::Call => Millis(0),
        };
        let prefill = Tokens(prompt.input.0.saturating_sub(candidate.cached_tokens.0));
        let pending_prefill = prefill.0 as f64 * token_time_ratio;
        let held = model.map_or(0, |_| prompt.input.0.saturating_add(expected_output.0));
        let pending = candidate.pending_prefill.0 as f64;
        let expectation = Expectation {
            first_event,
            is_by_load,
            has_queue: is_full(candidate) || MIN_QUEUE_DIVISOR * pending > pending_prefill,
            speed: candidate.load.map_or(1.0, |load| load.speed),
            requests: candidate.load.map_or(f64::from(candidate.running), |load| load.requests),
            prefill,
            uncertain: Tokens(prompt.shared_tokens().0.saturating_sub(candidate.cached_tokens.0)),
            token_time_ratio,
            held: Tokens(held),
        };
        if is_by_load {
            debug!(self.log, "placement: selected"; "id" => &request.params.id,
                "replica" => %replica.id, "candidates" => candidates.len(),
                "expected_ms" => first_event.0, "requests" => expectation.requests,
                "speed" => expectation.speed, "prefill" => prefill.0,
                "held" => candidate.held.0, "is_full" => is_full(candidate));
        }
        Some(SelectedReplica {
            id: replica.id,
            address: replica.address,
            version: replica.version,
            started_unix_ms: replica.started_unix_ms,
            zone: replica.zone,
            pending_prefill: Tokens(pending_prefill as u64),
            expected_wait,
            expectation,
        })
    }
}

impl State {
    /// Time per token of a model, relative to the largest model; 1 if unknown.
    pub(super) fn token_time_ratio(&self, service: &ServiceId, model: &ModelId) -> f64 {
        let upstream = self.table.as_ref().and_then(|table| table.upstream(service));
        let engine = upstream.and_then(|upstream| upstream.engine.as_ref());
        engine.map_or(1.0, |engine| engine.token_time_ratio(model))
    }

    /// Tokens of KV cache of each replica of a service; 0 if it runs no models.
    fn kv_capacity(&self, service: &ServiceId) -> Tokens {
        let upstream = self.table.as_ref().and_then(|table| table.upstream(service));
        let engine = upstream.and_then(|upstream| upstream.engine.as_ref());
        Tokens(engine.map_or(0, |engine| engine.kv_cache_tokens))
    }

    /// What this entry knows of the requests at the replicas of a service; `peers` are the loads
    /// that peers have reported, by the short hash of the replica.
    fn fleet_view(
        &self,
        query: &CandidateQuery<'_>,
        peers: &BTreeMap<u32, (u32, Tokens)>,
    ) -> FleetView {
        let mut view = FleetView {
            entries: query.entries,
            entries_with_requests: self.peers.load_reporter_count(query.now) + 1,
            entries_with_tokens: self.peer_held.peer_count() + 1,
            ..FleetView::default()
        };
        for replica in self.replicas.ready(&query.request.service, query.now) {
            let own = self.loads.get(&replica.id).copied().unwrap_or_default();
            let hash = replica_hash(&replica.id);
            let heard = peers.get(&hash).map_or(0, |(running, _)| *running);
            view.replicas += 1;
            view.requests += u64::from(own.running) + u64::from(heard);
            let held = own.held.0.saturating_add(self.peer_held.held_at(hash).0);
            view.tokens.0 = view.tokens.0.saturating_add(held);
        }
        view
    }

    /// The versions that the next attempt of a request may go to.
    fn allowed_versions(
        &mut self,
        request: &AdmittedRequest,
        progress: &Progress,
        now: Millis,
    ) -> VersionFilter {
        if let Some(version) = &progress.pinned_version {
            let rollout = self.rollouts.get(&request.service);
            let controller = rollout.map(|rollout| &rollout.controller);
            let baseline = self.baselines.get(&request.service);
            return VersionFilter::for_continuation(version, controller, baseline);
        }
        let Some(rollout) = self.rollouts.get(&request.service) else {
            return self.settled_versions(&request.service, None, now);
        };
        let split = rollout.controller.current_split(now);
        let is_final = rollout.controller.rollout.state.is_final();
        let goes_to_target = !is_final
            && !progress.avoids_canary
            && self.selects_target(&split, request, progress, now);
        if goes_to_target {
            return VersionFilter::Only(split.target);
        }
        let has_succeeded = is_final && split.share >= 1.0;
        let excluded = (!has_succeeded).then_some(&split.target);
        self.settled_versions(&request.service, excluded, now)
    }

    /// Whether a request goes to the target version of an active rollout.
    fn selects_target(
        &mut self,
        split: &TrafficSplit,
        request: &AdmittedRequest,
        progress: &Progress,
        now: Millis,
    ) -> bool {
        let Some(session) = request.params.session.as_deref() else {
            // A retried request has already been counted.
            let may_be_extra = split.is_canary && split.share > 0.0 && progress.attempts_sent == 0;
            return split.routes_to_target(stable_hash(&[&request.params.id]))
                || may_be_extra && self.try_take_extra_canary_request(&request.service, now);
        };
        split.routes_session_to_target(stable_hash(&[session]))
    }

    /// Limits a canary to a few replicas at a time, so that each gets about the load that it will
    /// have when all requests go to the version.
    fn limit_canary_replicas(
        &self,
        request: &AdmittedRequest,
        candidates: &mut Vec<Candidate>,
        now: Millis,
    ) {
        let Some(rollout) = self.rollouts.get(&request.service) else { return };
        let split = rollout.controller.current_split(now);
        let is_new = |candidate: &Candidate| {
            let replica = self.replicas.get(&candidate.id);
            replica.is_some_and(|replica| replica.version == split.target)
        };
        if !split.is_canary || candidates.is_empty() || !candidates.iter().all(is_new) {
            return;
        }
        let ready = self.replicas.ready(&request.service, now);
        let servable = ready.filter(|replica| self.is_servable(replica, request));
        let old = servable.filter(|replica| replica.version != split.target).count();
        let replica_count =
            canary_replica_count(split.share.max(split.session_share), old).min(candidates.len());
        candidates.sort_by_key(|candidate| stable_hash(&[candidate.id.as_str()]));
        let rotation =
            usize::try_from(rollout.controller.elapsed(now).0 / CANARY_ROTATION_INTERVAL.0);
        let from = rotation.unwrap_or_default() * replica_count % candidates.len();
        candidates.rotate_left(from);
        candidates.truncate(replica_count);
    }

    /// Versions of a service that may be used without a rollout; never `excluded`, the target of one.
    fn settled_versions(
        &mut self,
        service: &ServiceId,
        excluded: Option<&VersionId>,
        now: Millis,
    ) -> VersionFilter {
        let mut listed: Vec<&VersionId> = Vec::new();
        for replica in self.replicas.ready(service, now) {
            if Some(&replica.version) != excluded && !listed.contains(&&replica.version) {
                listed.push(&replica.version);
            }
        }
        if let [only] = listed.as_slice()
            && self.baselines.get(service) != Some(*only)
        {
            self.baselines.insert(service.clone(), (*only).clone());
        }
        let is_mixed = listed.len() > 1;
        if !is_mixed {
            self.seen_versions.remove(service);
            return excluded.cloned().map_or(VersionFilter::All, VersionFilter::Except);
        }
        let context = VersionContext {
            baseline: self.baselines.get(service),
            excluded,
            announced: self.rollout_list.announced(service),
            rollouts_confirmed_at: self.rollout_list.confirmed_at(),
            now,
        };
        self.seen_versions.entry(service.clone()).or_default().settled(&listed, context)
    }

    /// Versions for a request when no replica of its preferred version is available.
    fn fallback_versions(&self, service: &ServiceId) -> VersionFilter {
        match self.rollouts.get(service) {
            Some(rollout) if rollout.controller.verdict().is_bad() => {
                VersionFilter::Except(rollout.controller.rollout.target.clone())
            }
            _ => VersionFilter::All,
        }
    }

    /// The target version of a rollout that has moved all new requests to it. It may have succeeded
    /// without this entry knowing yet, in which case the replicas of the old version have stopped.
    fn versions_of_a_last_step(&self, service: &ServiceId, now: Millis) -> Option<VersionFilter> {
        let controller = &self.rollouts.get(service)?.controller;
        let split = controller.current_split(now);
        let is_last_step = !controller.rollout.state.is_final() && split.share >= 1.0;
        is_last_step.then_some(VersionFilter::Only(split.target))
    }

    /// Replicas that may take the next attempt, whatever rates they accept.
    fn allowed_replicas<'a>(
        &'a self,
        query: &'a CandidateQuery<'a>,
        versions: &'a VersionFilter,
    ) -> impl Iterator<Item = &'a Replica> {
        let CandidateQuery { request, progress, model, now, .. } = *query;
        self.replicas.ready(&request.service, now).filter(move |replica| {
            self.is_servable(replica, request)
                && self.signals.unavailability(replica, now).is_none()
                && versions.allows(&replica.version)
                && !self.is_rejected(replica)
                && !progress.tried.contains(&replica.id)
                && model
                    .is_none_or(|model| replica.models.is_empty() || replica.models.contains(model))
        })
    }

    /// Whether one of the replicas that may take the next attempt accepts a limited rate only.
    fn is_limited(&self, query: &CandidateQuery<'_>, versions: &VersionFilter) -> bool {
        let mut allowed = self.allowed_replicas(query, versions);
        allowed.any(|replica| self.has_limit(replica, query.now))
    }

    /// Whether all of them do.
    fn are_all_limited(&self, query: &CandidateQuery<'_>, versions: &VersionFilter) -> bool {
        let mut allowed = self.allowed_replicas(query, versions);
        allowed.all(|replica| self.has_limit(replica, query.now))
    }

    /// Whether one of them is cold and gets no request now that it might get if it were warm.
    fn withholds_cold(&self, query: &CandidateQuery<'_>, versions: &VersionFilter) -> bool {
        let CandidateQuery { shares, now, .. } = *query;
        let mut allowed = self.allowed_replicas(query, versions);
        allowed.any(|replica| {
            let limit = self.cold.limit(&replica.id, now);
            limit.is_some_and(|limit| !limit.can_take(shares.cold, 0.0, now))
        })
    }

    /// Replicas that may take the next attempt. Ejected ones are included if fewer than one in
    /// `MIN_CANDIDATES_DIVISOR` would be left without them.
    fn candidates(&self, query: &CandidateQuery<'_>, versions: &VersionFilter) -> Vec<Candidate> {
        let CandidateQuery { request, model, zone, shares, rates, kv_capacity, now, .. } = *query;
        let peers = self.peers.loads(now);
        let reserve = if self.are_all_limited(query, versions) {
            urgency_reserve(request.urgency)
        } else {
            0.0
        };
        let has_share = |replica: &&Replica| self.has_share(replica, shares, reserve, now);
        let is_by_load = self.reported_loads.is_enabled(&request.service);
        let view = (is_by_load || kv_capacity.0 > 0).then(|| self.fleet_view(query, &peers));
        let candidate = |replica: &Replica| {
            let own = self.loads.get(&replica.id).copied().unwrap_or_default();
            let hash = replica_hash(&replica.id);
            let (running, pending_prefill) = peers.get(&hash).copied().unwrap_or_default();
            let health = self.health.get(&replica.id).copied().unwrap_or_default();
            let cached_tokens = model.map_or(Tokens(0), |model| {
                self.prefixes.cached_tokens(&replica.id, model, &request.params.prompt, now)
            });
            let running = own.running.saturating_add(running);
            let is_paused_for_peers = self.signals.is_paused_for_peers(replica, now);
            let load = view.filter(|_| is_by_load).map(|view| {
                let counted = CountedRequests { own: own.running, all: view.requests_at(running) };
                let mut load = self.reported_loads.estimate(replica, counted, now);
                if is_paused_for_peers {
                    load.requests = load.requests.max(f64::from(load.slots));
                }
                load
            });
            let held = view.map_or(Tokens(0), |view| {
                let known = Tokens(own.held.0.saturating_add(self.peer_held.held_at(hash).0));
                view.tokens_at(known, running, self.reported_loads.recent_report(replica, now))
            });
            let candidate = Candidate {
                id: replica.id.clone(),
                is_same_zone: replica.zone == *zone,
                slots: replica.slots.0,
                // A replica that turns peers away is taken as full.
                running: if is_paused_for_peers { running.max(replica.slots.0) } else { running },
                pending_prefill: Tokens(own.pending_prefill.0.saturating_add(pending_prefill.0)),
                cached_tokens,
                load,
                rates,
                held,
                kv_capacity,
                // Failures before its return say nothing, and its limit bounds the harm of others.
                failure_share: if self.cold.is_cold(&replica.id, now) {
                    0.0
                } else {
                    health.failure_share()
                },
            };
            (candidate, health.is_ejected(now))
        };
        let allowed = self.allowed_replicas(query, versions).filter(has_share);
        let all: Vec<(Candidate, bool)> = allowed.map(candidate).collect();
        let minimum = all.len().div_ceil(MIN_CANDIDATES_DIVISOR);
        let healthy = all.iter().filter(|(_, is_ejected)| !is_ejected).count();
        let includes_ejected = healthy < minimum.max(1);
        all.into_iter()
            .filter(|(_, is_ejected)| includes_ejected || !is_ejected)
            .map(|(candidate, _)| candidate)
            .collect()
    }
}
