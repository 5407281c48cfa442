//! The other entries: the latest report of each, and the addresses that reports are sent to.

use super::admission::ToldPressure;
use crate::clock::since_boot;
use ibissail_core::{
    Epoch, Incarnation, InstanceId, Millis, RequestRate, ServiceId, Tokens, VersionId, VmId,
};
use ibissail_direct::{
    CanaryProgress, ColdTime, CrashEvidence, DirectSettings, FleetSize, RolloutReport,
    ToldEvacuations, stable_hash,
};
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    ops::Not,
};

/// Age from which the loads in a peer's report are ignored.
const LOAD_TTL: Millis = Millis(1_500);
/// Time without a report after which a peer is no longer considered alive.
const PEER_TIMEOUT: Millis = Millis(3_000);
/// Time without a report after which an address is no longer tried, unless it is a seed.
const CONTACT_TTL: Millis = Millis(30_000);
/// Once in this many rounds, the report is also sent to addresses without a live peer.
const SILENT_CONTACT_INTERVAL: u64 = 4;
/// Most peers that a report is sent to; in larger fleets the peers take turns.
const MAX_RECEIVERS: usize = 24;
/// Once in this many rounds, a report carries the addresses of peers although no peer has been
/// discovered lately. It shares no factor with the rounds in which a large fleet takes turns.
const CONTACT_INTERVAL: u64 = 7;
/// Time after the discovery of a peer in which each report carries the addresses of peers.
const DISCOVERY_TIME: Millis = Millis(5_000);
/// Once in this many rounds, the sample of entries is sent to some of the receivers.
const FLEET_SAMPLE_INTERVAL: u64 = 2;
/// Age from which the requests that a peer has told are ignored.
pub(super) const DEMAND_TTL: Millis = Millis(2_500);
/// Most peers that an entry other than the reader confirms its reads to. With six each, an entry that
/// the store rejects hears of reads several times a second in a fleet that reads for itself.
const MAX_FALLBACK_CONFIRMATIONS: usize = 6;
/// Most messages of a peer whose demand is kept for one service, within `DEMAND_TTL`.
const MAX_TOLD_DEMANDS: usize = 32;
/// Most peer addresses in a report.
const MAX_CONTACTS: usize = 8;
/// Most sessions in a report.
pub(super) const MAX_HELD_SESSIONS: usize = 64;

/// Load of one entry on one replica, as reported to peers.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct LoadReport {
    /// Short hash of the replica's name.
    pub(super) replica: u32,
    /// Requests in progress.
    pub(super) running: u32,
    /// Prompt tokens of requests that have no first event yet, in tokens of the largest model.
    #[serde(rename = "unread")]
    pub(super) pending_prefill: Tokens,
}

/// The report that an entry sends to its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    /// When the report was sent, by the sender's clock. The report is also a request to confirm
    /// that the data of the sender was current at this time.
    pub(super) asked: Millis,
    /// Where the sender receives messages.
    pub(super) address: SocketAddr,
    /// Addresses of the sender's live peers.
    pub(super) contacts: Vec<SocketAddr>,
    /// Load of the sender on the replicas.
    pub(super) loads: Vec<LoadReport>,
    #[serde(rename = "orders")]
    pub(super) rollouts: Vec<RolloutReport>,
    /// Short hashes of active sessions on an old version; only entries of earlier builds read them.
    pub(super) held_sessions: Vec<u32>,
}

/// A replica that is leaving, as reported to peers: the short hash of its name and its start time.
pub(super) type LeavingReplica = (u32, Option<u64>);
/// A replica that has asked for a pause, as reported to peers: the short hash of its name and the
/// rest of the pause in milliseconds.
pub(super) type PausedReplica = (u32, u64);

/// Result of the canary phase of a rollout, as told to peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ToldCanaryResult {
    pub(super) service: ServiceId,
    /// New version.
    pub(super) target: VersionId,
    pub(super) result: CanaryProgress,
}

/// What a response of a replica has said about the rate that it accepts, as reported to peers: the
/// short hash of its name, its start time, the rate, `None` if it no longer names one, and the time
/// since the response arrived.
pub(super) type ToldLimit = (u32, Option<u64>, Option<RequestRate>, Millis);

/// What an entry knows of a cold replica, as reported to peers: the short hash of its name, its start
/// time, the time for which it stays cold (zero if it is warm), the time since this was observed, and
/// whether it was unreachable then and has said nothing since.
pub(super) type ToldCold = (u32, Option<u64>, ColdTime, Millis, bool);

/// What an entry tells its peers besides its report. It is a message of its own, which entries of
/// earlier builds ignore, and is sent only while there is something to tell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Notice {
    pub(super) incarnation: Incarnation,
    /// Newest known epoch of the store.
    #[serde(default)]
    pub(super) epoch: Option<Epoch>,
    /// Version of the sender's configuration.
    #[serde(default)]
    pub(super) configuration: u64,
    /// Whether the sender waits for a peer that may know a newer one.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub(super) is_provisional: bool,
    #[serde(default)]
    pub(super) leaving: Vec<LeavingReplica>,
    #[serde(default)]
    pub(super) paused: Vec<PausedReplica>,
    /// Requests and parts of prompts that crash replicas.
    #[serde(default, rename = "prompts", skip_serializing_if = "Option::is_none")]
    pub(super) crashes: Option<CrashEvidence>,
    /// Results of the canary phases that end now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) canary_results: Vec<ToldCanaryResult>,
    /// Sample from which the receiver estimates the number of entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) fleet: Vec<(u32, u64)>,
    /// Rates that replicas accept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) limits: Vec<ToldLimit>,
    /// Short hashes of services with limited replicas, each with the sender's recent requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) demands: Vec<(u32, u32)>,
    /// Replicas that are cold, or have been until lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) cold: Vec<ToldCold>,
    /// Evacuated zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) evacuations: Option<Box<ToldEvacuations>>,
    /// Tokens of KV cache that the sender's requests hold, by short hash of the replica; `None` if
    /// the sender tells none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) held: Option<Vec<(u32, u64)>>,
    /// What the sender is offered and does not serve, by service and rank.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) pressure: Vec<ToldPressure>,
}

/// Another entry.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// When its last report arrived.
    last_seen: Millis,
    report: Report,
}

/// A peer's request to confirm that its data is current.
#[derive(Debug, Clone)]
pub(super) struct ConfirmationRequest {
    pub(super) requester: Incarnation,
    /// When the request was sent, by the peer's clock.
    pub(super) asked: Millis,
    pub(super) address: SocketAddr,
}

/// The peers that have sent reports, and the addresses where others may be.
#[derive(Debug)]
pub(crate) struct PeerTable {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    own_address: SocketAddr,
    peers: BTreeMap<VmId, Peer>,
    seeds: BTreeSet<SocketAddr>,
    /// Addresses of peers, known from reports, and when each was first mentioned or last sent a
    /// report.
    contacts: BTreeMap<SocketAddr, Millis>,
    /// Recent requests of peers for services with limited replicas, and when each was told, oldest
    /// first.
    demands: BTreeMap<(u32, Incarnation), Vec<(u32, Millis)>>,
    /// Sample of all entries, of which this one knows only some as peers.
    fleet: FleetSize,
    /// Number of rounds of reports that this entry has started.
    round: u64,
    /// When these rounds began, by which their reports ask for confirmation.
    asked: BTreeSet<Millis>,
    /// When a peer was last discovered; `None` if none ever was.
    discovered_at: Option<Millis>,
}

/// The short hash that identifies a replica in reports.
pub(crate) fn replica_hash(id: &InstanceId) -> u32 {
    truncate_hash(stable_hash(&[id.as_str()]))
}

/// The lower 32 bits of a hash.
pub(crate) fn truncate_hash(hash: u64) -> u32 {
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}

impl PeerTable {
    pub(crate) fn new(settings: &DirectSettings) -> Self {
        let mut table = Self {
            vm: settings.vm.clone(),
            incarnation: Incarnation(rand::random()),
            own_address: settings.peers,
            peers: BTreeMap::new(),
            seeds: BTreeSet::new(),
            contacts: BTreeMap::new(),
            demands: BTreeMap::new(),
            fleet: FleetSize::new(&settings.vm, since_boot()),
            round: 0,
            asked: BTreeSet::new(),
            discovered_at: None,
        };
        table.set_seeds(&settings.seeds);
        table
    }

    /// Replaces the seed addresses; all entries use the same port.
    pub(crate) fn set_seeds(&mut self, seeds: &[IpAddr]) {
        let port = self.own_address.port();
        let own = self.own_address;
        let seeds = seeds.iter().map(|ip| SocketAddr::new(*ip, port));
        self.seeds = seeds.filter(|seed| *seed != own).collect();
    }

    /// Whether this entry has been given addresses of other VMs that may run peers.
    pub(super) fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Whether this entry knows addresses where peers may be.
    pub(super) fn has_contacts(&self) -> bool {
        self.has_seeds() || !self.contacts.is_empty()
    }

    /// Peers that have sent a report within `PEER_TIMEOUT`.
    fn live(&self, now: Millis) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.since(peer.last_seen) < PEER_TIMEOUT)
    }

    /// Whether a live peer is at each of the seed addresses.
    pub(super) fn are_seeds_live(&self, now: Millis) -> bool {
        let live: BTreeSet<SocketAddr> = self.live(now).map(|(_, peer)| peer.address).collect();
        self.seeds.is_subset(&live)
    }

    /// The runs of all live peers.
    pub(super) fn live_incarnations(&self, now: Millis) -> impl Iterator<Item = Incarnation> {
        self.live(now).map(|(_, peer)| peer.report.incarnation)
    }

    /// Addresses of all live peers.
    pub(super) fn live_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        self.live(now).map(|(_, peer)| peer.address).collect()
    }

    /// Number of live entries that this one knows, including itself.
    pub(crate) fn live_entry_count(&self, now: Millis) -> usize {
        self.live(now).count() + 1
    }

    /// Estimated number of live entries, including this one and those that it does not know.
    pub(crate) fn entry_count(&mut self, now: Millis) -> usize {
        self.fleet.estimate(now).max(self.live_entry_count(now))
    }

    /// The same, except that an entry that has just started and heard of no other assumes many.
    pub(super) fn cautious_entry_count(&mut self, now: Millis) -> usize {
        self.fleet.cautious_estimate(now).max(self.live_entry_count(now))
    }

    /// Stores the recent requests of a peer for services with limited replicas.
    pub(super) fn store_demands(&mut self, peer: Incarnation, told: &[(u32, u32)], now: Millis) {
        self.demands.retain(|_, told| {
            told.retain(|(_, told_at)| now.since(*told_at) < DEMAND_TTL);
            !told.is_empty()
        });
        for (service, requests) in told {
            let told = self.demands.entry((*service, peer)).or_default();
            if told.len() < MAX_TOLD_DEMANDS {
                told.push((*requests, now));
            }
        }
    }

    /// Recent requests for a service, given by its short hash, of each peer that has told them.
    pub(super) fn demands(&self, service: u32, now: Millis) -> Vec<u32> {
        let told = self.recent_demands(service, now);
        told.filter_map(|recent| recent.last().map(|(requests, _)| *requests)).collect()
    }

    /// The most requests for a service that each peer has told lately.
    pub(super) fn highest_demands(&self, service: u32, now: Millis) -> Vec<u32> {
        let told = self.recent_demands(service, now);
        told.filter_map(|recent| recent.iter().map(|(requests, _)| *requests).max()).collect()
    }

    /// What each peer has told lately of its requests for a service.
    fn recent_demands(&self, service: u32, now: Millis) -> impl Iterator<Item = &[(u32, Millis)]> {
        let range = (service, Incarnation(0))..=(service, Incarnation(u64::MAX));
        self.demands.range(range).map(move |(_, told)| {
            let expired = told.partition_point(|(_, told_at)| now.since(*told_at) >= DEMAND_TTL);
            &told[expired..]
        })
    }

    /// Largest number of entries that there may have been within the last minutes, including those
    /// that are cut off from this one.
    pub(super) fn upper_entry_count(&mut self, now: Millis) -> usize {
        let has_seeds = !self.seeds.is_empty();
        self.fleet.upper_estimate(has_seeds, now).max(self.live_entry_count(now))
    }

    /// Some live peers, chosen at random: at most as many as a report is sent to.
    pub(super) fn sample_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let live = self.live_addresses(now);
        live.choose_multiple(&mut rand::rng(), MAX_RECEIVERS).copied().collect()
    }

    /// The sample of entries for peers, in those rounds in which it is sent.
    pub(super) fn due_fleet_sample(&mut self, now: Millis) -> Option<Vec<(u32, u64)>> {
        self.round.is_multiple_of(FLEET_SAMPLE_INTERVAL).then(|| self.fleet_sample(now))
    }

    /// The sample of entries for a peer.
    pub(super) fn fleet_sample(&mut self, now: Millis) -> Vec<(u32, u64)> {
        self.fleet.sample(now)
    }

    /// Adds a peer's sample of entries.
    pub(super) fn merge_fleet_sample(&mut self, sample: &[(u32, u64)], now: Millis) {
        self.fleet.merge(sample, now);
    }

    /// Whether most of the peers known lately are not heard any more, so that this entry is probably
    /// cut off, alone or with some others, while the rest of the fleet serves.
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        2 * self.live(now).count() < self.peers.len()
    }

    /// Number of live entries whose names sort before the name of this one.
    pub(crate) fn rank(&self, now: Millis) -> u64 {
        self.live(now).filter(|(vm, _)| **vm < self.vm).count() as u64
    }

    /// Whether this entry is the reader, the one that polls the store for its peers.
    pub(super) fn is_reader(&self, now: Millis) -> bool {
        self.rank(now) == 0
    }

    /// Whether this run of the entry has lately asked for confirmation at this time.
    pub(super) fn has_asked(&self, to: Incarnation, asked: Millis) -> bool {
        to == self.incarnation && self.asked.contains(&asked)
    }

    /// The latest requests for confirmation of live peers.
    pub(super) fn confirmation_requests(&self, now: Millis) -> Vec<ConfirmationRequest> {
        let request = |(_, peer): (&VmId, &Peer)| ConfirmationRequest {
            requester: peer.report.incarnation,
            asked: peer.report.asked,
            address: peer.address,
        };
        self.live(now).map(request).collect()
    }

    /// Some of these requests, chosen at random, for an entry that reads the store because the reader
    /// has not confirmed: the store may reject the reader and serve this entry.
    pub(super) fn some_confirmation_requests(&self, now: Millis) -> Vec<ConfirmationRequest> {
        let mut requests = self.confirmation_requests(now);
        requests.shuffle(&mut rand::rng());
        requests.truncate(MAX_FALLBACK_CONFIRMATIONS);
        requests
    }

    /// The reports of live peers on the rollout of a service.
    pub(crate) fn rollout_reports(
        &self,
        service: &ServiceId,
        now: Millis,
    ) -> Vec<(Incarnation, RolloutReport)> {
        let reports = self.live(now).flat_map(|(_, peer)| {
            peer.report.rollouts.iter().map(|report| (peer.report.incarnation, report))
        });
        let reports = reports.filter(|(_, report)| report.service == *service);
        reports.map(|(incarnation, report)| (incarnation, report.clone())).collect()
    }

    /// Requests in progress and pending prefill tokens at each replica, by its short hash: the sums
    /// over all peers whose last report is younger than `LOAD_TTL`.
    pub(crate) fn loads(&self, now: Millis) -> BTreeMap<u32, (u32, Tokens)> {
        let mut loads: BTreeMap<u32, (u32, Tokens)> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| now.since(peer.last_seen) < LOAD_TTL) {
            for load in &peer.report.loads {
                let sum = loads.entry(load.replica).or_default();
                sum.0 = sum.0.saturating_add(load.running);
                sum.1.0 = sum.1.0.saturating_add(load.pending_prefill.0);
            }
        }
        loads
    }

    /// Number of peers whose loads count.
    pub(super) fn load_reporter_count(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| now.since(peer.last_seen) < LOAD_TTL).count()
    }

    /// Pending prefill at a replica: the sum over all peers whose last report is younger than
    /// `LOAD_TTL`.
    pub(super) fn pending_prefill(&self, replica: &InstanceId, now: Millis) -> Tokens {
        let hash = replica_hash(replica);
        let recent = self.peers.values().filter(|peer| now.since(peer.last_seen) < LOAD_TTL);
        let loads = recent.flat_map(|peer| &peer.report.loads);
        let here = loads.filter(|load| load.replica == hash);
        Tokens(here.fold(0, |sum, load| sum.saturating_add(load.pending_prefill.0)))
    }

    /// Stores a report; returns whether its sender was not known to be alive. One that has restarted
    /// was not, as it has lost what it was told.
    pub(super) fn store_report(&mut self, report: Report, now: Millis) -> bool {
        let is_new = self.peers.get(&report.vm).is_none_or(|peer| {
            now.since(peer.last_seen) >= PEER_TIMEOUT
                || peer.report.incarnation != report.incarnation
        });
        for contact in &report.contacts {
            if *contact != self.own_address {
                self.contacts.entry(*contact).or_insert(now);
            }
        }
        if is_new {
            self.discovered_at = Some(now);
        }
        self.contacts.insert(report.address, now);
        let peer = Peer { address: report.address, last_seen: now, report };
        self.peers.insert(peer.report.vm.clone(), peer);
        is_new
    }

    /// Starts the next round of reports; returns the addresses to send them to. An entry that waits for
    /// what peers know tries those that are silent in each round.
    pub(super) fn start_round(&mut self, is_waiting: bool, now: Millis) -> Vec<SocketAddr> {
        self.round += 1;
        self.asked.retain(|asked| now.since(*asked) < CONTACT_TTL);
        self.asked.insert(now);
        self.contacts.retain(|_, last_seen| now.since(*last_seen) < CONTACT_TTL);
        self.peers.retain(|_, peer| now.since(peer.last_seen) < CONTACT_TTL);
        let mut receivers: Vec<SocketAddr> = self.live(now).map(|(_, peer)| peer.address).collect();
        if receivers.len() > MAX_RECEIVERS {
            let round = usize::try_from(self.round).unwrap_or_default() * MAX_RECEIVERS;
            let from = round % receivers.len();
            receivers.rotate_left(from);
            receivers.truncate(MAX_RECEIVERS);
        }
        if is_waiting || self.round % SILENT_CONTACT_INTERVAL == 1 {
            let known: BTreeSet<SocketAddr> = receivers.iter().copied().collect();
            let silent = self.seeds.iter().chain(self.contacts.keys());
            let silent: BTreeSet<SocketAddr> =
                silent.filter(|address| !known.contains(address)).copied().collect();
            receivers.extend(silent.into_iter().take(MAX_RECEIVERS));
        }
        receivers
    }

    /// Addresses of live peers, to be passed on in a report; none in most rounds of a fleet whose
    /// entries know each other.
    pub(super) fn contacts(&self, now: Millis) -> Vec<SocketAddr> {
        let is_discovering =
            self.discovered_at.is_some_and(|discovered| now.since(discovered) < DISCOVERY_TIME);
        if !is_discovering && !self.round.is_multiple_of(CONTACT_INTERVAL) {
            return Vec::new();
        }
        self.live(now).map(|(_, peer)| peer.address).take(MAX_CONTACTS).collect()
    }
}
