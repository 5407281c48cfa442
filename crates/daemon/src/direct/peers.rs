//! The other entries: what each has reported last, and where reports go.

use ibissail_core::{Incarnation, InstanceId, Millis, ServiceId, Tokens, VmId};
use ibissail_direct::{DirectSettings, RolloutReport, stable_hash};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
};

/// Time after which a peer's loads no longer count.
const LOAD_TIME: Millis = Millis(1_500);
/// Time after which a silent peer no longer counts.
const PEER_TIME: Millis = Millis(3_000);
/// Time after which a silent address is no longer tried, unless it is a seed.
const CONTACT_TIME: Millis = Millis(30_000);
/// Reports between two tries of silent addresses.
const SILENT_EVERY: u64 = 4;
/// Most peers that get a report at once; larger fleets take turns.
const MAX_RECEIVERS: usize = 24;
/// Addresses passed on in a report.
const MAX_CONTACTS: usize = 8;
/// Sessions named in a report.
pub(super) const MAX_HELD_SESSIONS: usize = 64;
/// Load that an entry has put on a replica.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct LoadReport {
    pub(super) replica: u32,
    pub(super) running: u32,
    pub(super) unread: Tokens,
}

/// What an entry tells its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    /// When it was sent, by the sender's clock: a question whether what it believes is right.
    pub(super) asked: Millis,
    pub(super) address: SocketAddr,
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) loads: Vec<LoadReport>,
    pub(super) orders: Vec<RolloutReport>,
    /// Short hashes of running sessions that a trial must leave on the old version.
    pub(super) held_sessions: Vec<u32>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard: Millis,
    report: Report,
}

/// A peer's question whether what it believes is right.
#[derive(Debug, Clone)]
pub(super) struct Question {
    pub(super) by: Incarnation,
    pub(super) asked: Millis,
    pub(super) address: SocketAddr,
}

/// The other entries, as far as they have been heard of.
#[derive(Debug)]
pub(crate) struct PeerTable {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    own_address: SocketAddr,
    peers: BTreeMap<VmId, Peer>,
    seeds: BTreeSet<SocketAddr>,
    contacts: BTreeMap<SocketAddr, Millis>,
    turn: u64,
}

/// The short hash by which reports name a replica.
pub(crate) fn replica_hash(id: &InstanceId) -> u32 {
    short(stable_hash(&[id.as_str()]))
}

/// The lower half of a hash.
pub(crate) fn short(hash: u64) -> u32 {
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
            turn: 0,
        };
        table.set_seeds(&settings.seeds);
        table
    }

    /// Replaces the addresses of the first contact; all entries use the same port.
    pub(crate) fn set_seeds(&mut self, seeds: &[IpAddr]) {
        let port = self.own_address.port();
        let own = self.own_address;
        let seeds = seeds.iter().map(|ip| SocketAddr::new(*ip, port));
        self.seeds = seeds.filter(|seed| *seed != own).collect();
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.since(peer.heard) < PEER_TIME)
    }

    /// Entries that are alive, with this one.
    pub(crate) fn entries(&self, now: Millis) -> usize {
        self.live(now).count() + 1
    }

    /// How many live entries come before this one in the order of names.
    pub(crate) fn rank(&self, now: Millis) -> u64 {
        self.live(now).filter(|(vm, _)| **vm < self.vm).count() as u64
    }

    /// Whether this entry reads the store for the others.
    pub(super) fn is_reader(&self, now: Millis) -> bool {
        self.rank(now) == 0
    }

    /// The latest questions of live peers.
    pub(super) fn questions(&self, now: Millis) -> Vec<Question> {
        let question = |(_, peer): (&VmId, &Peer)| Question {
            by: peer.report.incarnation,
            asked: peer.report.asked,
            address: peer.address,
        };
        self.live(now).map(question).collect()
    }

    /// What live peers say of a service's order.
    pub(crate) fn order_reports(
        &self,
        service: &ServiceId,
        now: Millis,
    ) -> Vec<(Incarnation, RolloutReport)> {
        let reports = self.live(now).flat_map(|(_, peer)| {
            peer.report.orders.iter().map(|report| (peer.report.incarnation, report))
        });
        let reports = reports.filter(|(_, report)| report.service == *service);
        reports.map(|(incarnation, report)| (incarnation, report.clone())).collect()
    }

    /// Whether a live peer has the session on the old version.
    pub(crate) fn holds_session(&self, session: u32, now: Millis) -> bool {
        self.live(now).any(|(_, peer)| peer.report.held_sessions.contains(&session))
    }

    /// Requests and unread prompt tokens that peers have at each replica, by its short hash.
    pub(crate) fn loads(&self, now: Millis) -> BTreeMap<u32, (u32, Tokens)> {
        let mut loads: BTreeMap<u32, (u32, Tokens)> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| now.since(peer.heard) < LOAD_TIME) {
            for load in &peer.report.loads {
                let sum = loads.entry(load.replica).or_default();
                sum.0 += load.running;
                sum.1.0 += load.unread.0;
            }
        }
        loads
    }

    /// Takes over a report; returns whether its sender was not known to be alive.
    pub(super) fn learn(&mut self, report: Report, now: Millis) -> bool {
        let is_new =
            self.peers.get(&report.vm).is_none_or(|peer| now.since(peer.heard) >= PEER_TIME);
        for contact in &report.contacts {
            if *contact != self.own_address {
                self.contacts.entry(*contact).or_insert(now);
            }
        }
        self.contacts.insert(report.address, now);
        let peer = Peer { address: report.address, heard: now, report };
        self.peers.insert(peer.report.vm.clone(), peer);
        is_new
    }

    /// Where the next report goes.
    pub(super) fn receivers(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.turn += 1;
        self.contacts.retain(|_, heard| now.since(*heard) < CONTACT_TIME);
        self.peers.retain(|_, peer| now.since(peer.heard) < CONTACT_TIME);
        let mut receivers: Vec<SocketAddr> = self.live(now).map(|(_, peer)| peer.address).collect();
        if receivers.len() > MAX_RECEIVERS {
            let turn = usize::try_from(self.turn).unwrap_or_default() * MAX_RECEIVERS;
            let from = turn % receivers.len();
            receivers.rotate_left(from);
            receivers.truncate(MAX_RECEIVERS);
        }
        if self.turn % SILENT_EVERY == 1 {
            let known: BTreeSet<SocketAddr> = receivers.iter().copied().collect();
            let silent = self.seeds.iter().chain(self.contacts.keys());
            let silent: BTreeSet<SocketAddr> =
                silent.filter(|address| !known.contains(address)).copied().collect();
            receivers.extend(silent.into_iter().take(MAX_RECEIVERS));
        }
        receivers
    }

    pub(super) fn contacts(&self, now: Millis) -> Vec<SocketAddr> {
        self.live(now).map(|(_, peer)| peer.address).take(MAX_CONTACTS).collect()
    }
}
