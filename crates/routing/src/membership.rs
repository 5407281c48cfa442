//! The replicas known to an entry, from the list of VMs, probes and refusals.

use ibissail_core::{Incarnation, Millis, Target, VmId, ZoneId};
use ibissail_execution::{Load, ProbeReply, SidecarState};
use ibissail_object_store::{VmRecord, VmRole, VmState};
use rand::{Rng, seq::IteratorRandom};
use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    net::SocketAddr,
};

/// Maximum number of replicas of one target that an entry uses.
const REPLICAS_PER_TARGET: usize = 24;
/// Duration of the first ejection of a failing replica, during which it gets no requests.
const BASE_EJECTION: Millis = Millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION: Millis = Millis(16_000);
/// Number of consecutive failures after which a replica is ejected although it still replies to
/// probes.
const EJECTION_THRESHOLD: u32 = 3;
/// Age of the last probe reply from which on a replica that is not listed is removed.
const MAX_PROBE_AGE: Millis = Millis(10_000);
/// Maximum number of times that the ejection duration is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a replica accepts new runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Not known: not probed yet, still starting, or unreachable since the last probe.
    Unknown,
    /// It accepts new runs.
    Ready,
    /// It accepts no new runs and will shut down.
    Draining,
}

/// Hash by which VMs are sorted in the pseudo-random order given by a seed.
fn rank(seed: u64, vm: &VmId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, vm).hash(&mut hasher);
    hasher.finish()
}

/// Outcome of a request, for outlier ejection of its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete.
    Answered,
    /// The replica failed.
    Failed,
    /// Says nothing about the replica: the caller disconnected, or the request was refused before
    /// it ran.
    Inconclusive,
}

/// One replica: an upstream with its sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// VM of the replica.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Model version or service that the upstream serves.
    pub offers: Option<Target>,
    /// Incarnation of the sidecar, once it has been probed.
    pub incarnation: Option<Incarnation>,
    /// Whether it accepts new runs.
    pub health: Health,
    /// Load at the last probe.
    pub load: Load,
    /// The sidecar's clock at the last probe; run requests carry it.
    pub ticket: Millis,
    /// This entry's clock at the last probe.
    pub probed_at: Millis,
    /// Requests of this entry in progress at the replica.
    pub own_in_flight: u32,
    /// Requests of this entry sent to the replica since the last probe.
    pub sent_since_probe: u32,
    /// Number of consecutive failures.
    pub consecutive_failures: u32,
    /// Ejected until this time of the entry's clock.
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
            self.ejected_until = now.saturating_add(ejection);
        }
    }
}

/// The replicas that an entry uses, a bounded number of each target.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// Seed of this entry's order of the replicas.
    seed: u64,
    replicas: BTreeMap<VmId, Replica>,
    /// Index of the ready replicas of each target.
    ready: BTreeMap<Target, Vec<VmId>>,
}

impl Membership {
    /// Creates an empty membership for the entry on this VM.
    #[must_use]
    pub fn for_entry(entry: &VmId) -> Self {
        Self { seed: rank(0, entry), ..Self::default() }
    }

    /// Applies the list of VMs, which may be outdated.
    ///
    /// Of each target, the entry keeps the replicas that rank first by a hash over its own name and
    /// theirs, and prefers live VMs to leaving ones. The number of probes stays bounded as the
    /// fleet grows, and the replicas are distributed evenly over the entries.
    ///
    /// The list may add, drain and remove replicas. It never makes a draining replica ready again.
    /// It does not remove a replica that still replies to probes, since the list may be older than
    /// that replica, nor one with requests of this entry in progress.
    pub fn on_list(&mut self, records: &[VmRecord], now: Millis) {
        let upstreams = self.select_subset(records);
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
        self.rebuild_ready_index();
    }

    fn select_subset<'r>(&self, records: &'r [VmRecord]) -> BTreeMap<&'r VmId, &'r VmRecord> {
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

    /// Applies the reply of a sidecar to a probe.
    pub fn on_probe(&mut self, reply: &ProbeReply, now: Millis) {
        let before = self.ready_target(&reply.vm).cloned();
        self.apply_probe(reply, now);
        if self.ready_target(&reply.vm) != before.as_ref() {
            self.rebuild_ready_index();
        }
    }

    fn apply_probe(&mut self, reply: &ProbeReply, now: Millis) {
        let Some(replica) = self.replicas.get_mut(&reply.vm) else {
            return;
        };
        let same_incarnation = replica.incarnation == Some(reply.incarnation);
        if same_incarnation && reply.ticket < replica.ticket {
            return;
        }
        if !same_incarnation {
            replica.consecutive_failures = 0;
            replica.ejected_until = Millis(0);
        }
        let was_draining = same_incarnation && replica.health == Health::Draining;
        replica.health = match reply.state {
            SidecarState::Ready if !was_draining => Health::Ready,
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

    /// Records that a sidecar incarnation accepts no new runs.
    pub fn on_draining(&mut self, vm: &VmId, incarnation: Incarnation) {
        if let Some(replica) = self.replicas.get_mut(vm)
            && replica.incarnation == Some(incarnation)
        {
            replica.health = Health::Draining;
            self.rebuild_ready_index();
        }
    }

    /// Records that a sidecar is at its concurrency or memory limit. It counts as fully loaded
    /// until the next probe.
    pub fn on_full(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.load.in_flight = replica.load.in_flight.max(replica.load.concurrency);
        }
    }

    /// Records that a replica was chosen for a request, so that the next choice already counts it.
    pub fn on_choice(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.sent_since_probe += 1;
        }
    }

    /// Records that a request has started.
    pub fn on_start(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.own_in_flight += 1;
        }
    }

    /// Records that a request has ended.
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

    /// Records that a sidecar could not be reached. It is not chosen again before it has replied to
    /// a probe.
    pub fn on_unreachable(&mut self, vm: &VmId, now: Millis) {
        let Some(replica) = self.replicas.get_mut(vm) else {
            return;
        };
        replica.record_failure(now);
        if replica.health == Health::Ready {
            replica.health = Health::Unknown;
            self.rebuild_ready_index();
        }
    }

    /// Chooses, at random, replicas to probe: up to `unknown` of those whose health is unknown, and
    /// up to `known` of the others.
    pub fn probe_targets<R>(
        &self,
        unknown: usize,
        known: usize,
        rng: &mut R,
    ) -> Vec<(VmId, SocketAddr)>
    where
        R: Rng,
    {
        let (max_unknown, max_known) = (unknown, known);
        let vm_and_address = |replica: &Replica| (replica.vm.clone(), replica.address);
        let (unknown, known): (Vec<&Replica>, Vec<&Replica>) =
            self.replicas.values().partition(|replica| replica.health == Health::Unknown);
        let mut chosen = unknown.into_iter().choose_multiple(rng, max_unknown);
        chosen.extend(known.into_iter().choose_multiple(rng, max_known));
        chosen.into_iter().map(vm_and_address).collect()
    }

    /// VMs of all ready replicas of a target, in the order of their names.
    #[must_use]
    pub fn ready(&self, target: &Target) -> &[VmId] {
        self.ready.get(target).map(Vec::as_slice).unwrap_or_default()
    }

    /// The target of a replica if it is ready, else `None`.
    fn ready_target(&self, vm: &VmId) -> Option<&Target> {
        let replica = self.replicas.get(vm)?;
        replica.offers.as_ref().filter(|_| replica.health == Health::Ready)
    }

    /// Rebuilds the index of ready replicas, which changes far less often than it is read.
    fn rebuild_ready_index(&mut self) {
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

    /// Number of known replicas.
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
