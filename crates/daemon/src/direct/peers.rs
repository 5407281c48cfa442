//! Messages between entries over UDP: loads on replicas, evidence of roll-outs, confirmations.
//!
//! A lost report is replaced by the next; nothing that must last depends on them.

use super::Direct;
use crate::clock::{since_boot, unix_millis};
use async_std::{net::UdpSocket, task};
use futures_lite::FutureExt;
use ibissail_core::{InstanceId, Millis, ServiceId, Tokens, VmId};
use ibissail_direct::{
    Confirmation, Confirmed, DirectSettings, Incarnation, OrderReport, stable_hash,
};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Time between two reports; loads older than a prompt's reading time would mislead.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
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
/// Largest report that arrives in one datagram.
const MAX_REPORT_BYTES: usize = 1_400;

/// Load that an entry has put on a replica.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct LoadReport {
    replica: u32,
    running: u32,
    unread: Tokens,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Report {
    sender: Incarnation,
    /// When it was sent, by the sender's clock: a question whether what it believes is right.
    asked: Millis,
    address: SocketAddr,
    contacts: Vec<SocketAddr>,
    loads: Vec<LoadReport>,
    orders: Vec<OrderReport>,
    /// Short hashes of running sessions that a trial must leave on the old version.
    held_sessions: Vec<u32>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard: Millis,
    report: Report,
}

/// A datagram between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    Report(Report),
    Confirmation(Confirmation),
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
    own: Incarnation,
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
            own: Incarnation { vm: settings.vm.clone(), started_unix_ms: unix_millis() },
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
        self.live(now).filter(|(vm, _)| **vm < self.own.vm).count() as u64
    }

    /// Whether this entry reads the store for the others.
    pub(super) fn is_reader(&self, now: Millis) -> bool {
        self.rank(now) == 0
    }

    /// The latest questions of live peers.
    pub(super) fn questions(&self, now: Millis) -> Vec<Question> {
        let question = |(_, peer): (&VmId, &Peer)| Question {
            by: peer.report.sender.clone(),
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
    ) -> Vec<(Incarnation, OrderReport)> {
        let reports = self.live(now).flat_map(|(_, peer)| {
            peer.report.orders.iter().map(|report| (&peer.report.sender, report))
        });
        let reports = reports.filter(|(_, report)| report.service == *service);
        reports.map(|(sender, report)| (sender.clone(), report.clone())).collect()
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
    fn learn(&mut self, report: Report, now: Millis) -> bool {
        let is_new =
            self.peers.get(&report.sender.vm).is_none_or(|peer| now.since(peer.heard) >= PEER_TIME);
        for contact in &report.contacts {
            if *contact != self.own_address {
                self.contacts.entry(*contact).or_insert(now);
            }
        }
        self.contacts.insert(report.address, now);
        let peer = Peer { address: report.address, heard: now, report };
        self.peers.insert(peer.report.sender.vm.clone(), peer);
        is_new
    }

    /// Where the next report goes.
    fn receivers(&mut self, now: Millis) -> Vec<SocketAddr> {
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

    fn contacts(&self, now: Millis) -> Vec<SocketAddr> {
        self.live(now).map(|(_, peer)| peer.address).take(MAX_CONTACTS).collect()
    }
}

impl Direct {
    fn report(&self, now: Millis) -> (Vec<SocketAddr>, Report) {
        let mut state = self.state();
        let loads = state.loads.iter().filter(|(_, load)| load.running > 0);
        let loads = loads.map(|(id, load)| LoadReport {
            replica: replica_hash(id),
            running: load.running,
            unread: load.unread,
        });
        let loads = loads.collect();
        let orders = state.orders.values().map(|progress| progress.controller.report(now));
        let orders = orders.collect();
        let receivers = state.peers.receivers(now);
        let report = Report {
            sender: state.peers.own.clone(),
            asked: now,
            address: self.settings.peers,
            contacts: state.peers.contacts(now),
            loads,
            orders,
            held_sessions: state.held_sessions(self.settings.session_pause, now),
        };
        let live = state.peers.live(now).count();
        self.metrics.peers.set(i64::try_from(live).unwrap_or(i64::MAX));
        (receivers, report)
    }

    fn learn_message(&self, bytes: &[u8]) {
        match rmp_serde::from_slice::<Message>(bytes) {
            Ok(Message::Report(report)) => {
                let (vm, address) = (report.sender.vm.clone(), report.address);
                if self.state().peers.learn(report, since_boot()) {
                    info!(self.log, "peers: heard"; "vm" => %vm, "address" => %address);
                }
            }
            Ok(Message::Confirmation(confirmation)) => {
                if confirmation.to == self.state().peers.own {
                    self.learn_confirmation(&confirmation);
                }
            }
            Err(error) => warn!(self.log, "peers: message ignored"; "error" => %error),
        }
    }

    /// Tells peers what an exact read has shown that was sent after their questions.
    pub(super) async fn confirm(&self, questions: Vec<Question>, confirmed: Confirmed) {
        for Question { by, asked, address } in questions {
            let confirmation = Confirmation { to: by, asked, confirmed };
            match rmp_serde::to_vec(&Message::Confirmation(confirmation)) {
                Ok(bytes) => {
                    // A peer that hears nothing reads for itself.
                    let _lost = self.peer_socket.send_to(&bytes, address).await;
                }
                Err(error) => {
                    warn!(self.log, "peers: confirmation not encoded"; "error" => %error);
                }
            }
        }
    }
}

/// Sends and receives reports.
pub(super) async fn exchange_reports(direct: Arc<Direct>) {
    let socket = &direct.peer_socket;
    let sending = async {
        loop {
            send_report(&direct, socket).await;
            task::sleep(REPORT_INTERVAL).await;
        }
    };
    let receiving = async {
        let mut buf = [0; 4 * MAX_REPORT_BYTES];
        loop {
            match socket.recv_from(&mut buf).await {
                Ok((length, _from)) => direct.learn_message(&buf[..length]),
                // An earlier datagram met a closed port; the next may not.
                Err(_refused) => task::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    sending.or(receiving).await;
}

async fn send_report(direct: &Direct, socket: &UdpSocket) {
    let (receivers, report) = direct.report(since_boot());
    if receivers.is_empty() {
        return;
    }
    match encode(report) {
        Ok(bytes) => {
            for receiver in receivers {
                // A datagram that is not sent is like one that is lost.
                let _lost = socket.send_to(&bytes, receiver).await;
            }
        }
        Err(error) => warn!(direct.log, "peers: report not encoded"; "error" => %error),
    }
}

/// Encodes a report for one datagram; the smallest loads are left out where all do not fit.
fn encode(mut report: Report) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    report.loads.sort_by_key(|load| Reverse((load.unread, load.running)));
    loop {
        let message = Message::Report(report);
        let bytes = rmp_serde::to_vec(&message)?;
        let Message::Report(longer) = message else { return Ok(bytes) };
        if bytes.len() <= MAX_REPORT_BYTES || longer.loads.is_empty() {
            return Ok(bytes);
        }
        report = longer;
        report.loads.truncate(report.loads.len() * 3 / 4);
    }
}
