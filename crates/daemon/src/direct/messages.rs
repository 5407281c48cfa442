//! Messages between entries over UDP: reports, confirmations and notices.
//!
//! A lost report is superseded by the next; nothing durable depends on these messages.

use super::{
    Shared,
    peers::{ConfirmationRequest, LoadReport, Notice, Report, replica_hash},
    spreading::ReplicaChanges,
};
use crate::clock::since_boot;
use async_std::{net::UdpSocket, task};
use derive_more::{Display, From};
use futures_lite::FutureExt;
use ibissail_core::{Epoch, Incarnation, Millis, StoreRevision};
use ibissail_direct::{Confirmation, Confirmed, EpochConfirmation, EpochConfirmed};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

/// Interval between reports. Loads that are older than the prefill time of a prompt would lead to a
/// wrong selection of replicas.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The same while this entry has just begun to wait for what its peers know.
const SEEKING_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest encoded report, in bytes, that fits in one datagram.
const MAX_REPORT_BYTES: usize = 1_400;

/// Receivers of a sample of entries, chosen at random in each round.
const FLEET_SAMPLE_RECEIVERS: usize = 6;

/// A datagram between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    Report(Report),
    Confirmation(Confirmation),
    EpochConfirmation(EpochConfirmation),
    Notice(Box<Notice>),
    ReplicaChanges(ReplicaChanges),
}

impl Message {
    /// Encodes the message. A notice carries the names of its fields, so that later builds can add
    /// some; reports and confirmations keep the form that earlier builds read.
    fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        match self {
            Self::Notice(_) => rmp_serde::to_vec_named(self),
            Self::Report(_)
            | Self::Confirmation(_)
            | Self::EpochConfirmation(_)
            | Self::ReplicaChanges(_) => rmp_serde::to_vec(self),
        }
    }

    /// Decodes a datagram, which holds one message and nothing else.
    fn decode(mut bytes: &[u8]) -> Result<Self, MessageError> {
        let message = rmp_serde::from_read(&mut bytes)?;
        if bytes.is_empty() { Ok(message) } else { Err(MessageError::Trailing(bytes.len())) }
    }
}

/// Why a datagram is not a message.
#[derive(Debug, Display, From)]
enum MessageError {
    #[display("{_0}")]
    Decode(rmp_serde::decode::Error),
    #[display("{_0} bytes follow the message")]
    #[from(skip)]
    Trailing(usize),
}

/// Result of a read from the store that is passed on to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadResult {
    /// The newest configuration.
    Configuration { version: u64, revision: StoreRevision },
    /// Digest of the list of replicas.
    Replicas(u64),
    /// Digest of the list of evacuated zones.
    Evacuations(u64),
    /// Digest of the list of rollouts.
    Rollouts(u64),
}

impl ReadResult {
    /// The confirmation of this result; entries of earlier builds understand it only while the
    /// store reports no epoch.
    fn confirmation(self, to: Incarnation, asked: Millis, epoch: Option<Epoch>) -> Message {
        let Some(epoch) = epoch else {
            let confirmed = match self {
                Self::Configuration { revision, .. } => Confirmed::Configuration(revision.revision),
                Self::Replicas(digest) => Confirmed::Replicas(digest),
                Self::Evacuations(digest) => Confirmed::Evacuations(digest),
                Self::Rollouts(digest) => Confirmed::Rollouts(digest),
            };
            return Message::Confirmation(Confirmation { to, asked, confirmed });
        };
        let confirmed = match self {
            Self::Configuration { version, .. } => EpochConfirmed::Configuration(version),
            Self::Replicas(digest) => EpochConfirmed::Replicas(digest),
            Self::Evacuations(digest) => EpochConfirmed::Evacuations(digest),
            Self::Rollouts(digest) => EpochConfirmed::Rollouts(digest),
        };
        Message::EpochConfirmation(EpochConfirmation { to, asked, epoch, confirmed })
    }
}

impl Shared {
    /// Starts a round of reports; returns the addresses of the receivers.
    fn start_round(&self, now: Millis) -> Vec<SocketAddr> {
        let mut state = self.state();
        // Few entries list the replicas; the others hear that their list is current.
        state.expire_signals(now);
        let live = state.peers.live_entry_count(now) - 1;
        self.metrics.peers.set(i64::try_from(live).unwrap_or(i64::MAX));
        let entries = state.peers.entry_count(now);
        self.metrics.entries.set(i64::try_from(entries).unwrap_or(i64::MAX));
        let is_waiting = !state.told_configurations.is_informed(now);
        state.peers.start_round(is_waiting, now)
    }

    /// The report of this entry.
    pub(super) fn build_report(&self, now: Millis) -> Report {
        let state = self.state();
        let loads = state.loads.iter().filter(|(_, load)| load.running > 0);
        let loads = loads.map(|(id, load)| LoadReport {
            replica: replica_hash(id),
            running: load.running,
            pending_prefill: load.pending_prefill,
        });
        let loads = loads.collect();
        let rollouts = state.rollouts.values().map(|progress| progress.controller.report(now));
        let rollouts = rollouts.collect();
        Report {
            vm: state.peers.vm.clone(),
            incarnation: state.peers.incarnation,
            asked: now,
            address: self.settings.peers,
            contacts: state.peers.contacts(now),
            loads,
            rollouts,
            held_sessions: state.held_sessions(self.settings.session_idle_timeout, now),
        }
    }

    /// Handles a message; returns the address of a peer that was not known to be alive.
    fn handle_message(&self, bytes: &[u8]) -> Option<SocketAddr> {
        match Message::decode(bytes) {
            Ok(Message::Report(report)) => {
                let (vm, address) = (report.vm.clone(), report.address);
                self.hear_rollouts(&report);
                if self.state().peers.store_report(report, since_boot()) {
                    info!(self.log, "peers: discovered"; "vm" => %vm, "address" => %address);
                    return Some(address);
                }
            }
            Ok(Message::Confirmation(confirmation)) => {
                if self.state().peers.has_asked(confirmation.to, confirmation.asked) {
                    self.apply_confirmation(&confirmation);
                }
            }
            Ok(Message::EpochConfirmation(confirmation)) => {
                if self.state().peers.has_asked(confirmation.to, confirmation.asked) {
                    self.apply_epoch_confirmation(&confirmation);
                }
            }
            Ok(Message::ReplicaChanges(changes)) => self.apply_spread_changes(&changes),
            Ok(Message::Notice(notice)) => self.apply_notice(&notice, since_boot()),
            Err(error) => warn!(self.log, "peers: message ignored"; "error" => %error),
        }
        None
    }

    /// Sends the result of a poll, made in this epoch of the store, to the peers that had asked for
    /// confirmation before the poll was sent.
    pub(super) async fn confirm(
        &self,
        requests: Vec<ConfirmationRequest>,
        read: ReadResult,
        epoch: Option<Epoch>,
    ) {
        for ConfirmationRequest { requester, asked, address } in requests {
            // A peer that receives no confirmation polls the store itself.
            self.send(&read.confirmation(requester, asked, epoch), address).await;
        }
    }

    /// Sends a message; one that cannot be sent counts as lost.
    pub(super) async fn send(&self, message: &Message, receiver: SocketAddr) {
        match message.encode() {
            Ok(bytes) => {
                let _lost = self.peer_socket.send_to(&bytes, receiver).await;
            }
            Err(error) => warn!(self.log, "peers: message not encoded"; "error" => %error),
        }
    }
}

/// Sends reports to peers and receives their messages.
pub(super) async fn exchange_messages(shared: Arc<Shared>) {
    let socket = &shared.peer_socket;
    let sending = async {
        loop {
            send_report(&shared, socket).await;
            let is_seeking = shared.state().told_configurations.is_seeking_peers(since_boot());
            let interval = if is_seeking { SEEKING_REPORT_INTERVAL } else { REPORT_INTERVAL };
            task::sleep(interval).await;
        }
    };
    let receiving = async {
        let mut buf = [0; 4 * MAX_REPORT_BYTES];
        loop {
            match socket.recv_from(&mut buf).await {
                Ok((length, _from)) => {
                    if let Some(peer) = shared.handle_message(&buf[..length]) {
                        shared.introduce(peer, since_boot()).await;
                    }
                    shared.spread_evacuations().await;
                }
                // The error concerns an earlier datagram, sent to a closed port; others may still
                // arrive.
                Err(_refused) => task::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    sending.or(receiving).await;
}

async fn send_report(shared: &Shared, socket: &UdpSocket) {
    let now = since_boot();
    shared.review_cold(now);
    shared.measure_reported_load(now);
    shared.review_wait_for_peers(now);
    let receivers = shared.start_round(now);
    if receivers.is_empty() {
        return;
    }
    let notices = [
        shared.build_notice(now),
        shared.build_limits(now),
        shared.build_cold(now),
        shared.build_evidence(now),
        shared.build_held(),
        shared.build_pressure(now),
    ];
    for notice in notices.into_iter().flatten() {
        let message = Message::Notice(Box::new(notice));
        for receiver in &receivers {
            shared.send(&message, *receiver).await;
        }
    }
    if let Some(notice) = shared.build_fleet_notice(now) {
        let sampled = sample_receivers(&receivers);
        for notice in [Some(notice), shared.build_repeated_evacuations(now)].into_iter().flatten() {
            let message = Message::Notice(Box::new(notice));
            for receiver in &sampled {
                shared.send(&message, *receiver).await;
            }
        }
    }
    match encode(shared.build_report(now)) {
        Ok(bytes) => {
            for receiver in receivers {
                // A datagram that cannot be sent counts as lost.
                let _lost = socket.send_to(&bytes, receiver).await;
            }
        }
        Err(error) => warn!(shared.log, "peers: report not encoded"; "error" => %error),
    }
}

/// Chooses the receivers of a sample of entries.
fn sample_receivers(receivers: &[SocketAddr]) -> Vec<SocketAddr> {
    receivers.choose_multiple(&mut rand::rng(), FLEET_SAMPLE_RECEIVERS).copied().collect()
}

/// Encodes a report for one datagram; the smallest loads are left out if not all fit. A report that
/// is too large without any load is encoded nevertheless.
fn encode(mut report: Report) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    report.loads.sort_by_key(|load| Reverse((load.pending_prefill, load.running)));
    let mut message = Message::Report(report);
    loop {
        let bytes = message.encode()?;
        match &mut message {
            Message::Report(report)
                if bytes.len() > MAX_REPORT_BYTES && !report.loads.is_empty() =>
            {
                report.loads.truncate(report.loads.len() * 3 / 4);
            }
            _ => return Ok(bytes),
        }
    }
}
