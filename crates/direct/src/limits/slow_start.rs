//! Which replicas are cold, and what this entry may send to them.
//!
//! The load is a replica that has just started or returned: it is empty, so that placement prefers it,
//! and it crashes well above the rate that it sustains while cold. Each entry decides for itself,
//! from records, responses, its own failures and what peers tell.

use crate::{ColdLimits, FleetShare, RateLimit, Replica, signals::is_later};
use derive_more::Display;
use ibissail_core::{InstanceId, Millis, RequestRate, ServiceId, StoreRevision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, btree_map::Entry};

/// Longest time for which a replica counts as cold; a longer one is shortened.
const MAX_COLD_TIME: Millis = Millis(600_000);
/// Longest time after which a record that arrives may say what held before: records are written about
/// every 1.2 s and arrive within 2 s.
const RECORD_DELAY: Millis = Millis(3_200);
/// Time for which a service must have been known for a replica that appears to be a new one.
const KNOWN_TIME: Millis = Millis(3_000);
/// Time for which a replica that is no longer listed is remembered.
const UNLISTED_TTL: Millis = Millis(60_000);
/// Time for which a run is believed in while an earlier one is listed. A peer may have read the list
/// before this entry; a run that no list shows by then is none.
const UNLISTED_RUN_TTL: Millis = Millis(10_000);
/// Time for which peers are told that a replica is cold no longer.
const ENDED_TIME: Millis = Millis(10_000);
/// Difference of two times below which what a peer tells may be what this entry knows already. Without
/// it, each delay of a message would move the times on.
const ECHO_TIME: Millis = Millis(1_000);
/// Most replicas that are remembered; more are treated as warm.
const MAX_RUNS: usize = 16_384;

/// How the replicas of a service start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time for which a replica is cold after its start.
    pub duration: Millis,
    /// Rate of requests that it sustains while cold.
    pub rate: RequestRate,
}

/// The time for which a replica says that it stays cold; zero if it is warm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ColdTime(pub Millis);

/// A replica's record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// The replica.
    pub replica: Replica,
    /// Time for which it stays cold; `None` if the record does not say.
    pub cold: Option<ColdTime>,
}

/// What a replica is known to be cold from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ColdSource {
    /// Its record in the store.
    #[display("record")]
    Record,
    /// A response.
    #[display("response")]
    Response,
    /// A peer.
    #[display("peer")]
    Peer,
    /// It has just started.
    #[display("start")]
    Start,
    /// It was unreachable, and has returned or may return at any moment.
    #[display("unreachable")]
    Unreachable,
}

/// What an entry knows of a cold replica, for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedCold {
    /// Start time of the replica's run; `None` if not reported.
    pub started_unix_ms: Option<u64>,
    /// Time for which it stays cold from `observed_at`; zero if it is warm.
    pub cold: ColdTime,
    /// When this was observed, on this entry's clock.
    pub observed_at: Millis,
    /// Whether the replica was unreachable at that time, and has said nothing since.
    pub is_provisional: bool,
}

/// A replica that has become cold or warm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdChange {
    /// Name of the replica.
    pub id: InstanceId,
    /// What it is known from, and for how long it stays cold; `None` if it is warm.
    pub cold: Option<(ColdSource, Millis)>,
}

/// What is known of one run of a replica.
#[derive(Debug, Clone)]
struct Run {
    started_unix_ms: Option<u64>,
    service: ServiceId,
    start: ColdStart,
    is_listed: bool,
    listed_at: Millis,
    /// Since when an earlier run has been listed instead; `None` if it is listed, or a later one is.
    earlier_listed_since: Option<Millis>,
    /// Beginning and end of the time for which it is cold by what was last stated.
    cold_at: Millis,
    cold_until: Millis,
    source: ColdSource,
    /// When the newest statement about the cold time arrived; `None` before the first.
    stated_at: Option<Millis>,
    /// When a response last said that it is cold. A record that arrives soon after may be older.
    cold_response_at: Option<Millis>,
    /// Position of the newest record.
    revision: Option<StoreRevision>,
    /// When it was last unreachable, while no statement after its return is known.
    unreachable_at: Option<Millis>,
    /// Time up to which an unreachability is known to have ended.
    reachable_at: Option<Millis>,
    /// When it last responded.
    responded_at: Option<Millis>,
    /// What has been used of the share; begins empty whenever the replica becomes cold.
    limit: Option<RateLimit>,
    /// Whether the last change that was reported is that it is cold.
    is_reported: bool,
    last_cold_at: Option<Millis>,
}

impl Run {
    fn new(replica: &Replica, start: ColdStart, now: Millis) -> Self {
        Self {
            started_unix_ms: replica.started_unix_ms,
            service: replica.service.clone(),
            start,
            is_listed: true,
            listed_at: now,
            earlier_listed_since: None,
            cold_at: now,
            cold_until: Millis(0),
            source: ColdSource::Start,
            stated_at: None,
            cold_response_at: None,
            revision: None,
            unreachable_at: None,
            reachable_at: None,
            responded_at: None,
            limit: None,
            is_reported: false,
            last_cold_at: None,
        }
    }

    /// Begins a later run, which is cold. What has been used of the share still counts.
    fn restart(&mut self, started_unix_ms: Option<u64>, at: Millis) {
        self.started_unix_ms = started_unix_ms;
        (self.stated_at, self.cold_response_at) = (None, None);
        (self.unreachable_at, self.reachable_at, self.responded_at) = (None, None, None);
        let duration = ColdTime(self.start.duration);
        self.set_cold(duration, ColdSource::Start, at);
    }

    /// Whether an earlier run has been listed for so long that this one is none.
    fn is_given_up(&mut self, listed: Option<u64>, now: Millis) -> bool {
        let is_earlier_listed = is_later(self.started_unix_ms, listed);
        let since = self.earlier_listed_since.filter(|_| is_earlier_listed).unwrap_or(now);
        self.earlier_listed_since = is_earlier_listed.then_some(since);
        let is_given_up = now.since(since) >= UNLISTED_RUN_TTL;
        if is_given_up {
            self.earlier_listed_since = None;
        }
        is_given_up
    }

    /// When it first responded after it was unreachable, as far as known.
    fn returned_at(&self) -> Option<Millis> {
        self.responded_at.filter(|responded| Some(*responded) > self.unreachable_at)
    }

    /// End of the time for which the replica is cold.
    fn cold_end(&self, now: Millis) -> Millis {
        let provisional = self.unreachable_at.map_or(Millis(0), |_| {
            // A replica that has not returned may do so at any moment.
            self.returned_at().unwrap_or(now).saturating_add(self.start.duration)
        });
        self.cold_until.max(provisional)
    }

    /// The same, but without an end while a replica that is unreachable may return at any moment.
    fn latest_end(&self, now: Millis) -> Millis {
        let may_return = self.unreachable_at.is_some() && self.returned_at().is_none();
        if may_return { Millis(u64::MAX) } else { self.cold_end(now) }
    }

    fn is_cold(&self, now: Millis) -> bool {
        self.cold_end(now) > now
    }

    fn set_cold(&mut self, cold: ColdTime, source: ColdSource, at: Millis) {
        self.cold_at = at;
        self.cold_until = at.saturating_add(cold.0.min(MAX_COLD_TIME));
        self.source = source;
    }

    /// Applies a statement of the replica that arrived at `at`, unless it may be outdated.
    fn apply_statement(&mut self, cold: ColdTime, source: ColdSource, at: Millis) {
        if self.stated_at > Some(at) {
            return;
        }
        let is_response = source == ColdSource::Response;
        let is_cold = cold > ColdTime::default();
        let recently = at.since(RECORD_DELAY);
        if !is_response && !is_cold && self.cold_response_at > Some(recently) {
            return;
        }
        self.stated_at = Some(at);
        if is_response && is_cold {
            self.cold_response_at = Some(at);
        }
        let is_after_return = match (self.unreachable_at, self.returned_at()) {
            (Some(unreachable), _) if is_response => at > unreachable,
            (Some(_), Some(returned)) => recently >= returned,
            (None, _) | (Some(_), None) => false,
        };
        if is_after_return {
            self.unreachable_at = None;
            self.reachable_at = Some(if is_response { at } else { recently });
        }
        self.set_cold(cold, source, at);
    }

    /// Applies what a peer has told; its own clock and the delay of messages shift the times.
    fn apply_told(&mut self, told: StatedCold) {
        if told.is_provisional {
            let known = self.unreachable_at.max(self.reachable_at);
            if known.is_none_or(|known| known.saturating_add(ECHO_TIME) < told.observed_at) {
                self.unreachable_at = Some(told.observed_at);
            }
            return;
        }
        let end = told.observed_at.saturating_add(told.cold.0.min(MAX_COLD_TIME));
        let is_known = end.since(self.cold_until).max(self.cold_until.since(end)) < ECHO_TIME;
        let is_warm = told.cold == ColdTime::default();
        if is_warm || !is_known {
            self.apply_statement(told.cold, ColdSource::Peer, told.observed_at);
        }
    }

    /// Begins the limit of a replica that has become cold, and ends that of a warm one.
    fn settle(&mut self, id: &InstanceId, limits: ColdLimits, now: Millis) {
        if !self.is_cold(now) {
            self.limit = None;
            return;
        }
        self.last_cold_at = Some(now);
        let rate = self.start.rate;
        match &mut self.limit {
            Some(limit) => limit.set_rate(rate),
            limit => *limit = Some(RateLimit::for_cold(id, rate, limits, now)),
        }
    }

    /// What peers are told of it; `None` if nothing.
    fn told(&self, now: Millis) -> Option<StatedCold> {
        if self.earlier_listed_since.is_some() {
            return None;
        }
        let started_unix_ms = self.started_unix_ms;
        let told = |cold: Millis, observed_at, is_provisional| {
            Some(StatedCold { started_unix_ms, cold: ColdTime(cold), observed_at, is_provisional })
        };
        match (self.unreachable_at, self.stated_at) {
            (Some(at), _) if now.since(at) < ENDED_TIME => told(Millis(0), at, true),
            _ if self.cold_until > now => {
                told(self.cold_until.since(self.cold_at), self.cold_at, false)
            }
            (None, Some(at)) if self.cold_until <= at => {
                let was_cold = self.last_cold_at.is_some_and(|cold| now.since(cold) < ENDED_TIME);
                if was_cold { told(Millis(0), at, false) } else { None }
            }
            _ => None,
        }
    }
}

/// The cold replicas, as far as one entry knows.
#[derive(Debug, Clone, Default)]
pub struct ColdReplicas {
    /// The bound; `None` if no replica is treated as cold.
    limits: Option<ColdLimits>,
    runs: BTreeMap<InstanceId, Run>,
    /// When the first replica of each service was listed.
    known_since: BTreeMap<ServiceId, Millis>,
    /// Time from which no replica is cold, unless something is recorded before.
    cold_until: Millis,
}

impl ColdReplicas {
    /// Starts without knowing any replica. `limits` is the bound on the requests to a cold one; with
    /// `None` all replicas are warm.
    #[must_use]
    pub fn new(limits: Option<ColdLimits>) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Whether replicas are treated as cold at all.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.limits.is_some()
    }

    /// Applies the list of replicas, each with how those of its service start; replicas of services
    /// that start at once are left out.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Count, Millis, RequestRate};
    /// use ibissail_direct::{ColdLimits, ColdReplicas, ColdStart, Replica, ReplicaState};
    /// let replica = Replica {
    ///     id: "r-1".parse().unwrap(),
    ///     service: "records".parse().unwrap(),
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     zone: "az-1".parse().unwrap(),
    ///     version: "v1".parse().unwrap(),
    ///     slots: Count(8),
    ///     state: ReplicaState::Ready,
    ///     started_unix_ms: Some(1_000),
    ///     models: Vec::new(),
    /// };
    /// let start = ColdStart { duration: Millis(20_000), rate: RequestRate(20_000) };
    /// let limits = ColdLimits { factor: 1.5, allowance: 5.0 };
    /// let mut cold = ColdReplicas::new(Some(limits));
    /// cold.apply_listed([(&replica, start)].into_iter(), Millis(0));
    /// assert!(!cold.is_cold(&replica.id, Millis(0)), "it may have run for long");
    /// let restarted = Replica { started_unix_ms: Some(9_000), ..replica };
    /// cold.apply_listed([(&restarted, start)].into_iter(), Millis(8_000));
    /// assert!(cold.is_cold(&restarted.id, Millis(27_900)));
    /// assert!(!cold.is_cold(&restarted.id, Millis(28_000)));
    /// ```
    pub fn apply_listed<'r, I>(&mut self, listed: I, now: Millis)
    where
        I: Iterator<Item = (&'r Replica, ColdStart)>,
    {
        if self.limits.is_none() {
            return;
        }
        let before: BTreeSet<InstanceId> =
            self.runs.iter().filter(|(_, run)| run.is_listed).map(|(id, _)| id.clone()).collect();
        for run in self.runs.values_mut() {
            run.is_listed = false;
        }
        for (replica, start) in listed {
            self.apply_one(replica, start, before.contains(&replica.id), now);
        }
        self.runs.retain(|_, run| run.is_listed || now.since(run.listed_at) < UNLISTED_TTL);
        let services: BTreeSet<&ServiceId> = self.runs.values().map(|run| &run.service).collect();
        self.known_since.retain(|service, _| services.contains(service));
    }

    fn apply_one(&mut self, replica: &Replica, start: ColdStart, was_listed: bool, now: Millis) {
        let since = *self.known_since.entry(replica.service.clone()).or_insert(now);
        let is_full = self.runs.len() >= MAX_RUNS;
        let run = match self.runs.entry(replica.id.clone()) {
            Entry::Vacant(_) if is_full => return,
            Entry::Vacant(vacant) => {
                let run = vacant.insert(Run::new(replica, start, now));
                if now.since(since) >= KNOWN_TIME {
                    run.set_cold(ColdTime(start.duration), ColdSource::Start, now);
                }
                run
            }
            Entry::Occupied(occupied) => {
                let run = occupied.into_mut();
                run.start = start;
                if run.is_given_up(replica.started_unix_ms, now)
                    || is_later(replica.started_unix_ms, run.started_unix_ms)
                {
                    run.restart(replica.started_unix_ms, now);
                } else if !was_listed {
                    (run.unreachable_at, run.responded_at) = (Some(run.listed_at), Some(now));
                }
                run
            }
        };
        run.service.clone_from(&replica.service);
        (run.is_listed, run.listed_at) = (true, now);
        self.settle(&replica.id, now);
    }

    /// Applies the records that a listing or a watch has just delivered, each at its position in the
    /// store. A record that is known already says nothing new.
    pub fn apply_records<'r, I>(&mut self, records: I, now: Millis)
    where
        I: Iterator<Item = (&'r ReplicaRecord, StoreRevision)>,
    {
        for (record, revision) in records {
            let id = &record.replica.id;
            let Some(run) = self.runs.get_mut(id) else { continue };
            let known = run.revision;
            if known >= Some(revision)
                || is_later(run.started_unix_ms, record.replica.started_unix_ms)
            {
                continue;
            }
            run.revision = Some(revision);
            let Some(cold) = record.cold else { continue };
            // A store restored from an older copy brings back what was written long ago.
            let is_restored = known.is_some_and(|known| known.epoch < revision.epoch);
            if !is_restored || cold > ColdTime::default() {
                run.apply_statement(cold, ColdSource::Record, now);
            }
            self.settle(id, now);
        }
    }

    /// Records a response of a run of a replica, and the time for which it says that it stays cold;
    /// `None` if it does not say.
    pub fn record_response(
        &mut self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        cold: Option<ColdTime>,
        now: Millis,
    ) {
        let Some(run) = self.current(id, started_unix_ms, now) else { return };
        // The first response after the return shows when it was; later ones do not delay the end.
        if run.returned_at().is_none() {
            run.responded_at = Some(now);
        }
        if let Some(cold) = cold {
            run.apply_statement(cold, ColdSource::Response, now);
        }
        self.settle(id, now);
    }

    /// Records that a replica was unreachable; returns whether peers should be told at once.
    pub fn record_unreachable(&mut self, id: &InstanceId, now: Millis) -> bool {
        let Some(run) = self.runs.get_mut(id) else { return false };
        let is_new = run.unreachable_at.is_none_or(|at| now.since(at) > ECHO_TIME);
        run.unreachable_at = Some(now);
        self.settle(id, now);
        is_new
    }

    /// Applies what a peer has told of a replica.
    pub fn apply_told(&mut self, id: &InstanceId, told: StatedCold, now: Millis) {
        if now.since(told.observed_at) > MAX_COLD_TIME {
            return;
        }
        let Some(run) = self.current(id, told.started_unix_ms, told.observed_at) else { return };
        run.apply_told(told);
        self.settle(id, now);
    }

    /// The run of a replica, which begins anew if the given run is later than the known one; `None`
    /// if it is an earlier one.
    fn current(
        &mut self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        at: Millis,
    ) -> Option<&mut Run> {
        let run = self.runs.get_mut(id)?;
        if is_later(run.started_unix_ms, started_unix_ms) {
            return None;
        }
        if is_later(started_unix_ms, run.started_unix_ms) {
            run.restart(started_unix_ms, at);
        }
        Some(run)
    }

    fn settle(&mut self, id: &InstanceId, now: Millis) {
        let Some(limits) = self.limits else { return };
        if let Some(run) = self.runs.get_mut(id) {
            run.settle(id, limits, now);
            self.cold_until = self.cold_until.max(run.latest_end(now));
        }
    }

    /// Whether any replica may be cold.
    #[must_use]
    pub fn may_be_any_cold(&self, now: Millis) -> bool {
        self.cold_until > now
    }

    /// Whether a replica is cold.
    #[must_use]
    pub fn is_cold(&self, id: &InstanceId, now: Millis) -> bool {
        self.cold_run(id, now).is_some()
    }

    /// Whether a replica is cold because it was unreachable and has not responded since.
    #[must_use]
    pub fn is_unreachable(&self, id: &InstanceId, now: Millis) -> bool {
        let run = self.cold_run(id, now);
        run.is_some_and(|run| run.unreachable_at.is_some() && run.returned_at().is_none())
    }

    fn cold_run(&self, id: &InstanceId, now: Millis) -> Option<&Run> {
        if !self.may_be_any_cold(now) {
            return None;
        }
        self.runs.get(id).filter(|run| run.is_cold(now))
    }

    /// The limit of a cold replica; `None` if it is warm.
    #[must_use]
    pub fn limit(&self, id: &InstanceId, now: Millis) -> Option<&RateLimit> {
        self.cold_run(id, now)?.limit.as_ref()
    }

    /// Takes a request from this entry's share of the requests to a cold replica; returns whether it
    /// may be sent, as it may to a warm replica.
    pub fn try_take(&mut self, id: &InstanceId, fleet: FleetShare, now: Millis) -> bool {
        if !self.is_cold(id, now) {
            return true;
        }
        let limit = self.runs.get_mut(id).and_then(|run| run.limit.as_mut());
        limit.is_some_and(|limit| limit.try_take(fleet, 0.0, now))
    }

    /// Services with replicas that are cold.
    pub fn cold_services(&self, now: Millis) -> impl Iterator<Item = &ServiceId> {
        let is_any_cold = self.may_be_any_cold(now);
        let runs = self.runs.values().filter(move |run| is_any_cold && run.is_cold(now));
        runs.map(|run| &run.service)
    }

    /// What peers are told: which replicas are cold, and which have lately said that they are warm.
    pub fn told(&self, now: Millis) -> impl Iterator<Item = (&InstanceId, StatedCold)> {
        self.runs.iter().filter_map(move |(id, run)| Some((id, run.told(now)?)))
    }

    /// Number of cold replicas.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        self.runs.values().filter(|run| run.is_cold(now)).count()
    }

    /// Returns the replicas that have become cold or warm since the last call.
    pub fn take_changes(&mut self, now: Millis) -> Vec<ColdChange> {
        let Some(limits) = self.limits else { return Vec::new() };
        let mut changes = Vec::new();
        self.cold_until = Millis(0);
        for (id, run) in &mut self.runs {
            run.settle(id, limits, now);
            let is_cold = run.is_cold(now);
            self.cold_until = self.cold_until.max(run.latest_end(now));
            if std::mem::replace(&mut run.is_reported, is_cold) == is_cold {
                continue;
            }
            let is_provisional = run.unreachable_at.is_some();
            let source = if is_provisional { ColdSource::Unreachable } else { run.source };
            let cold = is_cold.then(|| (source, run.cold_end(now).since(now)));
            changes.push(ColdChange { id: id.clone(), cold });
        }
        changes
    }
}
