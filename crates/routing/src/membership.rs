//! What an entry knows of the replicas, from the list of VMs, probes and refusals.

use ibissail_core::{Incarnation, Millis, Target, VmId, ZoneId};
use ibissail_execution::{Load, ProbeReply, SidecarState};
use ibissail_object_store::{VmRecord, VmRole, VmState};
use rand::{Rng, seq::IteratorRandom};
use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    net::SocketAddr,
};

/// Replicas of one target that an entry works with.
const REPLICAS_PER_TARGET: usize = 24;
/// First time for which a failing replica gets no work.
const BASE_EJECTION: Millis = Millis(500);
/// Longest time for which a failing replica gets no work.
const MAX_EJECTION: Millis = Millis(16_000);
/// Failures in a row that eject a replica that still answers.
const EJECTION_THRESHOLD: u32 = 3;
/// Age of the last answer to a probe above which a replica that is not listed is forgotten.
const MAX_PROBE_AGE: Millis = Millis(10_000);
const MAX_DOUBLINGS: u32 = 5;

/// Whether a replica may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Not probed yet.
    Unknown,
    /// It takes work.
    Ready,
    /// It takes no work and will go.
    Draining,
}

/// Place of a VM in the order that a seed gives.
fn rank(seed: u64, vm: &VmId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, vm).hash(&mut hasher);
    hasher.finish()
}

/// How a request ended, as far as its replica is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was whole.
    Answered,
    /// The replica failed.
    Failed,
    /// The caller left, or the request was refused before it ran.
    Inconclusive,
}

/// One upstream with its sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Its VM.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: ZoneId,
    /// Where the sidecar listens.
    pub address: SocketAddr,
    /// What the upstream offers.
    pub offers: Option<Target>,
    /// The sidecar's start, once probed.
    pub incarnation: Option<Incarnation>,
    /// Whether it takes work.
    pub health: Health,
    /// Load at the last probe.
    pub load: Load,
    /// The sidecar's clock at the last probe.
    pub ticket: Millis,
    /// Own clock at the last probe.
    pub probed_at: Millis,
    /// Requests of this entry in progress there.
    pub own_in_flight: u32,
    /// Requests of this entry begun there since the last probe.
    pub sent_since_probe: u32,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// No work before this instant of the own clock.
    pub ejected_until: Millis,
}

impl Replica {
    fn new(record: &VmRecord) -> Self {
        Self {
            vm: record.vm.clone(),
            zone: record.zone.clone(),
            address: record.address,
            offers: record.offers.clone(),
            incarnation: None,
            health: Health::Unknown,
            load: Load::default(),
            ticket: Millis(0),
            probed_at: Millis(0),
            own_in_flight: 0,
            sent_since_probe: 0,
            consecutive_failures: 0,
            ejected_until: Millis(0),
        }
    }

    fn has_fresh_probe(&self, now: Millis) -> bool {
        self.incarnation.is_some() && now.since(self.probed_at) < MAX_PROBE_AGE
    }

    fn record_failure(&mut self, now: Millis) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            let doublings = (self.consecutive_failures - EJECTION_THRESHOLD).min(MAX_DOUBLINGS);
            let ejection = Millis(BASE_EJECTION.0 << doublings).min(MAX_EJECTION);
            self.ejected_until = now.plus(ejection);
        }
    }
}

/// The replicas that an entry works with: of each target a bounded number.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// Seed of the entry's own draw among the replicas of a target.
    seed: u64,
    replicas: BTreeMap<VmId, Replica>,
    /// Ready replicas of each target, for drawing some at random.
    ready: BTreeMap<Target, Vec<VmId>>,
}

impl Membership {
    /// An empty membership of the entry with this name.
    #[must_use]
    pub fn for_entry(entry: &VmId) -> Self {
        Self { seed: rank(0, entry), ..Self::default() }
    }

    /// Takes in the list of VMs, which lags.
    ///
    /// Of each target the entry keeps those that rank first by a hash with its own name, so that
    /// probes stay bounded and all replicas are shared out evenly over the entries.
    ///
    /// The list may add, drain and remove; it never revives what has been drained, and it does not
    /// remove what still answers probes, since it may be too old to know it.
    pub fn on_list(&mut self, records: &[VmRecord], now: Millis) {
        let upstreams = self.subset(records);
        self.replicas.retain(|vm, replica| {
            upstreams.contains_key(vm) || replica.own_in_flight > 0 || replica.has_fresh_probe(now)
        });
        for (vm, record) in upstreams {
            let replica = self.replicas.entry(vm.clone()).or_insert_with(|| Replica::new(record));
            if replica.address != record.address {
                *replica = Replica::new(record);
            }
            if record.state == VmState::Leaving {
                replica.health = Health::Draining;
            }
        }
        self.rebuild_ready();
    }

    fn subset<'r>(&self, records: &'r [VmRecord]) -> BTreeMap<&'r VmId, &'r VmRecord> {
        let mut by_target: BTreeMap<&Option<Target>, Vec<(u64, &VmRecord)>> = BTreeMap::new();
        for record in records.iter().filter(|record| record.role == VmRole::Upstream) {
            let ranked = (rank(self.seed, &record.vm), record);
            by_target.entry(&record.offers).or_default().push(ranked);
        }
        let mut subset = BTreeMap::new();
        for mut ranked in by_target.into_values() {
            ranked.sort_unstable_by_key(|(rank, record)| (record.state, *rank));
            let chosen = ranked.into_iter().take(REPLICAS_PER_TARGET);
            subset.extend(chosen.map(|(_, record)| (&record.vm, record)));
        }
        subset
    }

    /// Takes in a sidecar's own word.
    pub fn on_probe(&mut self, reply: &ProbeReply, now: Millis) {
        let before = self.readiness(&reply.vm).cloned();
        self.apply_probe(reply, now);
        if self.readiness(&reply.vm) != before.as_ref() {
            self.rebuild_ready();
        }
    }

    fn apply_probe(&mut self, reply: &ProbeReply, now: Millis) {
        let Some(replica) = self.replicas.get_mut(&reply.vm) else {
            return;
        };
        let same_start = replica.incarnation == Some(reply.incarnation);
        if same_start && reply.ticket < replica.ticket {
            return;
        }
        if !same_start {
            replica.consecutive_failures = 0;
            replica.ejected_until = Millis(0);
        }
        let drained = same_start && replica.health == Health::Draining;
        replica.health = match reply.state {
            SidecarState::Ready if !drained => Health::Ready,
            SidecarState::Starting => Health::Unknown,
            SidecarState::Ready | SidecarState::Draining => Health::Draining,
        };
        replica.incarnation = Some(reply.incarnation);
        replica.offers = Some(reply.offers.clone());
        replica.load = reply.load;
        replica.ticket = reply.ticket;
        replica.probed_at = now;
        replica.sent_since_probe = 0;
    }

    /// Notes that a sidecar's start takes no more work.
    pub fn on_draining(&mut self, vm: &VmId, incarnation: Incarnation) {
        if let Some(replica) = self.replicas.get_mut(vm)
            && replica.incarnation == Some(incarnation)
        {
            replica.health = Health::Draining;
            self.rebuild_ready();
        }
    }

    /// Notes that a sidecar has no room now.
    pub fn on_full(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.load.in_flight = replica.load.in_flight.max(replica.load.concurrency);
        }
    }

    /// Notes that a request will be sent, so that the next choice counts it already.
    pub fn on_choice(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.sent_since_probe += 1;
        }
    }

    /// Notes that a request has begun.
    pub fn on_start(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.own_in_flight += 1;
        }
    }

    /// Notes that a request has ended.
    pub fn on_end(&mut self, vm: &VmId, outcome: RequestOutcome, now: Millis) {
        let Some(replica) = self.replicas.get_mut(vm) else {
            return;
        };
        replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
        match outcome {
            RequestOutcome::Answered => replica.consecutive_failures = 0,
            RequestOutcome::Failed => replica.record_failure(now),
            RequestOutcome::Inconclusive => {}
        }
    }

    /// Notes that a sidecar could not be reached: it needs a probe before it gets work again.
    pub fn on_unreachable(&mut self, vm: &VmId, now: Millis) {
        let Some(replica) = self.replicas.get_mut(vm) else {
            return;
        };
        replica.record_failure(now);
        if replica.health == Health::Ready {
            replica.health = Health::Unknown;
            self.rebuild_ready();
        }
    }

    /// Replicas to probe: up to `unknown` of those not yet known, and up to `known` of the others.
    pub fn probe_targets<R>(
        &self,
        unknown: usize,
        known: usize,
        rng: &mut R,
    ) -> Vec<(VmId, SocketAddr)>
    where
        R: Rng,
    {
        let (most_unknown, most_known) = (unknown, known);
        let named = |replica: &Replica| (replica.vm.clone(), replica.address);
        let (unknown, known): (Vec<&Replica>, Vec<&Replica>) =
            self.replicas.values().partition(|replica| replica.health == Health::Unknown);
        let mut chosen = unknown.into_iter().choose_multiple(rng, most_unknown);
        chosen.extend(known.into_iter().choose_multiple(rng, most_known));
        chosen.into_iter().map(named).collect()
    }

    /// VMs of all ready replicas of a target, in the order of their names.
    #[must_use]
    pub fn ready(&self, target: &Target) -> &[VmId] {
        self.ready.get(target).map(Vec::as_slice).unwrap_or_default()
    }

    /// What a ready replica offers.
    fn readiness(&self, vm: &VmId) -> Option<&Target> {
        let replica = self.replicas.get(vm)?;
        replica.offers.as_ref().filter(|_| replica.health == Health::Ready)
    }

    /// Draws up the ready replicas anew; they change far less often than they are read.
    fn rebuild_ready(&mut self) {
        self.ready.clear();
        for replica in self.replicas.values() {
            if replica.health == Health::Ready
                && let Some(target) = &replica.offers
            {
                self.ready.entry(target.clone()).or_default().push(replica.vm.clone());
            }
        }
    }

    /// A replica by its VM.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&Replica> {
        self.replicas.get(vm)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// How many replicas are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether no replica is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
