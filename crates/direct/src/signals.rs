//! What replicas say about themselves in their responses: that they are leaving, that they want no
//! requests for a while, or how many they take.
//!
//! All concern one run of a replica: a later start time under the same name ends them, and a
//! response that was sent before ends none.

use crate::{FleetShare, RateLimit, Replica, is_rate_limit};
use ibissail_core::{InstanceId, Millis, RequestRate};
use std::collections::BTreeMap;

/// Longest pause that a replica can ask for; a longer one is shortened.
pub const MAX_PAUSE: Millis = Millis(600_000);
/// Time for which the signals of a replica that is no longer listed are kept. It may be listed again
/// after an outage of the platform.
const UNLISTED_TTL: Millis = Millis(60_000);
/// Time for which the signals of a run count while an earlier run is listed. A peer may have read the
/// list before this entry; a run that no list shows by then is none.
const UNLISTED_RUN_TTL: Millis = Millis(10_000);
/// Time for which peers are told that a replica no longer names a rate.
const ENDED_LIMIT_TIME: Millis = Millis(10_000);
/// Most replicas whose signals are kept; those unlisted for longest are forgotten first.
const MAX_REPLICAS: usize = 16_384;

/// Why a replica gets no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailability {
    /// It is leaving.
    Leaving,
    /// It wants no requests until this time.
    PausedUntil(Millis),
}

/// What a response of a replica says about the rate that it accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedLimit {
    /// Start time of the replica's run; `None` if not reported.
    pub started_unix_ms: Option<u64>,
    /// Rate that it accepts from all entries together; `None` if it names none.
    pub rate: Option<RequestRate>,
    /// When the response arrived, on this entry's clock.
    pub observed_at: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct Signals {
    /// Start time of the run that the signals are from; `None` if not reported.
    started_unix_ms: Option<u64>,
    is_leaving: bool,
    paused_until: Millis,
    /// Time until which a peer has been asked to pause; only a hint for this entry.
    peer_paused_until: Millis,
    /// Rate that it accepts from all entries together; `None` if it names none.
    limit: Option<RateLimit>,
    /// When a response that named a rate, or none after it had named one, arrived at this entry or at
    /// the peer that told it.
    limit_observed_at: Option<Millis>,
    listed_at: Millis,
}

/// The signals of all replicas, by name.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSignals {
    signals: BTreeMap<InstanceId, Signals>,
}

impl ReplicaSignals {
    /// Records that a run of a replica is leaving; returns whether this is new. `known` is the
    /// replica as listed now: a response of an earlier run is ignored.
    pub fn record_leaving(
        &mut self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        known: Option<&Replica>,
        now: Millis,
    ) -> bool {
        let Some(signals) = self.entry(id, started_unix_ms, known, now) else { return false };
        !std::mem::replace(&mut signals.is_leaving, true)
    }

    /// Records that a run of a replica wants no requests for `pause`, at most for [`MAX_PAUSE`];
    /// returns the end of its pause. A shorter pause that arrives later changes nothing.
    pub fn record_pause(
        &mut self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        known: Option<&Replica>,
        pause: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let signals = self.entry(id, started_unix_ms, known, now)?;
        signals.paused_until = signals.paused_until.max(now.saturating_add(pause.min(MAX_PAUSE)));
        Some(signals.paused_until)
    }

    /// Records the rate that a run of a replica named in a response; returns whether it has changed.
    /// An absurdly high rate counts as none. A response that arrived earlier than the one known changes nothing.
    pub fn record_limit(
        &mut self,
        id: &InstanceId,
        named: NamedLimit,
        known: Option<&Replica>,
        now: Millis,
    ) -> bool {
        let rate = named.rate.filter(|rate| is_rate_limit(*rate));
        let named = NamedLimit { rate, ..named };
        if named.rate.is_none() && !self.signals.contains_key(id) {
            return false;
        }
        let Some(signals) = self.entry(id, named.started_unix_ms, known, now) else {
            return false;
        };
        let before = signals.limit.map(|limit| limit.rate());
        let is_needless = named.rate.is_none() && signals.limit_observed_at.is_none();
        if is_needless || signals.limit_observed_at > Some(named.observed_at) {
            return false;
        }
        signals.limit_observed_at = Some(named.observed_at);
        if before == named.rate {
            return false;
        }
        match (&mut signals.limit, named.rate) {
            (Some(limit), Some(rate)) => limit.set_rate(rate),
            (limit, rate) => *limit = rate.map(|rate| RateLimit::new(id, rate, now)),
        }
        true
    }

    /// The limit of a replica; `None` if it names none.
    #[must_use]
    pub fn limit(&self, replica: &Replica) -> Option<&RateLimit> {
        self.current(replica)?.limit.as_ref()
    }

    /// Takes a request from this entry's share of the rate of a replica; returns whether it may be
    /// sent, as it may to a replica that names no rate.
    pub fn try_take(&mut self, replica: &Replica, fleet: FleetShare, now: Millis) -> bool {
        if self.limit(replica).is_none() {
            return true;
        }
        let limit = self.signals.get_mut(&replica.id).and_then(|signals| signals.limit.as_mut());
        limit.is_none_or(|limit| limit.try_take(fleet, 0.0, now))
    }

    /// The limits that replicas name, and those that have ended lately.
    pub fn named_limits(&self, now: Millis) -> impl Iterator<Item = (&InstanceId, NamedLimit)> {
        self.signals.iter().filter_map(move |(id, signals)| {
            let observed_at = signals.limit_observed_at?;
            let rate = signals.limit.map(|limit| limit.rate());
            let is_told = rate.is_some() || now.since(observed_at) < ENDED_LIMIT_TIME;
            let named = NamedLimit { started_unix_ms: signals.started_unix_ms, rate, observed_at };
            is_told.then_some((id, named))
        })
    }

    /// The limits among [`ReplicaSignals::named_limits`] that peers are told: not those of runs that
    /// are not listed, which entries would tell each other for ever. `listed` looks up a replica.
    pub fn told_limits<'r, F>(
        &self,
        listed: F,
        now: Millis,
    ) -> impl Iterator<Item = (&InstanceId, NamedLimit)>
    where
        F: Fn(&InstanceId) -> Option<&'r Replica>,
    {
        let named = self.named_limits(now);
        named.filter(move |(id, named)| is_listed_run(listed(id), named.started_unix_ms))
    }

    /// Records that a replica has asked a peer for a pause.
    pub fn record_peer_pause(&mut self, known: &Replica, pause: Millis, now: Millis) {
        if let Some(signals) = self.entry(&known.id, known.started_unix_ms, Some(known), now) {
            let until = now.saturating_add(pause.min(MAX_PAUSE));
            signals.peer_paused_until = signals.peer_paused_until.max(until);
        }
    }

    /// The signals of a run, which are reset if the run is later than the one they are from; `None`
    /// if the run is an earlier one.
    fn entry(
        &mut self,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
        known: Option<&Replica>,
        now: Millis,
    ) -> Option<&mut Signals> {
        let listed = known.and_then(|replica| replica.started_unix_ms);
        if is_later(listed, started_unix_ms) {
            return None;
        }
        if !self.signals.contains_key(id) && self.signals.len() >= MAX_REPLICAS {
            let oldest = self.signals.iter().min_by_key(|(_, signals)| signals.listed_at);
            let oldest = oldest.map(|(id, _)| id.clone())?;
            self.signals.remove(&oldest);
        }
        let fresh = Signals { started_unix_ms, listed_at: now, ..Signals::default() };
        let signals = self.signals.entry(id.clone()).or_insert(fresh);
        if is_later(signals.started_unix_ms, started_unix_ms) {
            return None;
        }
        if is_later(started_unix_ms, signals.started_unix_ms) {
            *signals = fresh;
        }
        Some(signals)
    }

    /// Why a replica gets no new requests; `None` if it may get some.
    #[must_use]
    pub fn unavailability(&self, replica: &Replica, now: Millis) -> Option<Unavailability> {
        let signals = self.current(replica)?;
        if signals.is_leaving {
            return Some(Unavailability::Leaving);
        }
        let until = signals.paused_until;
        (now < until).then_some(Unavailability::PausedUntil(until))
    }

    /// Whether a peer has been asked to pause, so that the replica is probably busy.
    #[must_use]
    pub fn is_paused_for_peers(&self, replica: &Replica, now: Millis) -> bool {
        self.current(replica).is_some_and(|signals| now < signals.peer_paused_until)
    }

    fn current(&self, replica: &Replica) -> Option<&Signals> {
        let signals = self.signals.get(&replica.id)?;
        (!is_later(replica.started_unix_ms, signals.started_unix_ms)).then_some(signals)
    }

    /// Replicas that are leaving, each with the start time of its run, as peers are told: not those
    /// whose run is not listed. `listed` looks up a replica.
    pub fn told_leaving<'r, F>(&self, listed: F) -> impl Iterator<Item = (&InstanceId, Option<u64>)>
    where
        F: Fn(&InstanceId) -> Option<&'r Replica>,
    {
        let leaving = self.signals.iter().filter(|(_, signals)| signals.is_leaving);
        let leaving = leaving.map(|(id, signals)| (id, signals.started_unix_ms));
        leaving.filter(move |(id, started)| is_listed_run(listed(id), *started))
    }

    /// Replicas that this entry does not send requests to, each with the rest of its pause.
    pub fn pauses(&self, now: Millis) -> impl Iterator<Item = (&InstanceId, Millis)> {
        let paused = self.signals.iter().filter(move |(_, signals)| now < signals.paused_until);
        paused.map(move |(id, signals)| (id, signals.paused_until.since(now)))
    }

    /// Forgets replicas that have not been listed for `UNLISTED_TTL`, and runs for which an earlier
    /// one has been listed for `UNLISTED_RUN_TTL`. `listed` looks up a replica.
    pub fn expire<'r, F>(&mut self, listed: F, now: Millis)
    where
        F: Fn(&InstanceId) -> Option<&'r Replica>,
    {
        self.signals.retain(|id, signals| {
            let replica = listed(id);
            if is_listed_run(replica, signals.started_unix_ms) {
                signals.listed_at = now;
            }
            let ttl = if replica.is_some() { UNLISTED_RUN_TTL } else { UNLISTED_TTL };
            now.since(signals.listed_at) < ttl
        });
    }
}

/// Whether the list shows this run of a replica, or a later one.
fn is_listed_run(listed: Option<&Replica>, started_unix_ms: Option<u64>) -> bool {
    listed.is_some_and(|replica| !is_later(started_unix_ms, replica.started_unix_ms))
}

/// Whether both start times are reported and the first is later.
pub(crate) fn is_later(first: Option<u64>, second: Option<u64>) -> bool {
    first.zip(second).is_some_and(|(first, second)| first > second)
}
