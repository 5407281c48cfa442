//! Messages between entries over UDP: reports and confirmations.
//!
//! A lost report is replaced by the next; nothing that must last depends on them.

use super::{
    Direct,
    peers::{LoadReport, Question, Report, replica_hash},
};
use crate::clock::since_boot;
use async_std::{net::UdpSocket, task};
use futures_lite::FutureExt;
use ibissail_core::Millis;
use ibissail_direct::{Confirmation, Confirmed};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

/// Time between two reports; loads older than a prompt's reading time would mislead.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Largest report that arrives in one datagram.
const MAX_REPORT_BYTES: usize = 1_400;

/// A datagram between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    Report(Report),
    Confirmation(Confirmation),
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
            vm: state.peers.vm.clone(),
            incarnation: state.peers.incarnation,
            asked: now,
            address: self.settings.peers,
            contacts: state.peers.contacts(now),
            loads,
            orders,
            held_sessions: state.held_sessions(self.settings.session_idle_timeout, now),
        };
        let live = state.peers.entries(now) - 1;
        self.metrics.peers.set(i64::try_from(live).unwrap_or(i64::MAX));
        (receivers, report)
    }

    fn learn_message(&self, bytes: &[u8]) {
        match rmp_serde::from_slice::<Message>(bytes) {
            Ok(Message::Report(report)) => {
                let (vm, address) = (report.vm.clone(), report.address);
                if self.state().peers.learn(report, since_boot()) {
                    info!(self.log, "peers: heard"; "vm" => %vm, "address" => %address);
                }
            }
            Ok(Message::Confirmation(confirmation)) => {
                if confirmation.to == self.state().peers.incarnation {
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

/// Sends reports, and takes what peers send.
pub(super) async fn exchange_messages(direct: Arc<Direct>) {
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
    let mut message = Message::Report(report);
    loop {
        let bytes = rmp_serde::to_vec(&message)?;
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
