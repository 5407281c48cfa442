//! Keeps the membership fresh: the list of VMs, and probes of sidecars.

use crate::entry::Shared;
use async_std::task;
use ibissail_core::VmId;
use ibissail_execution::{Probe, ProbeReply, paths};
use ibissail_transport::CallError;
use slog::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};

const INTERVAL: Duration = Duration::from_millis(250);
/// Probes of replicas not yet known in one interval.
const UNKNOWN_PROBES: usize = 16;
/// Probes of known replicas in one interval, whatever their number.
const KNOWN_PROBES: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(1);

/// Runs until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut seen = Arc::default();
    while !shared.node.is_stopping() {
        let listed = shared.node.peers.listed();
        if !Arc::ptr_eq(&seen, &listed) {
            let now = shared.node.now();
            shared.membership().on_list(&listed, now);
            seen = listed;
        }
        let chosen =
            shared.membership().probe_targets(UNKNOWN_PROBES, KNOWN_PROBES, &mut rand::rng());
        for (vm, address) in chosen {
            task::spawn(probe(Arc::clone(&shared), vm, address));
        }
        task::sleep(pace(&shared)).await;
    }
}

/// A shorter pause while there is nothing to route to.
fn pace(shared: &Shared) -> Duration {
    let known = !shared.membership().is_empty();
    if known { INTERVAL } else { INTERVAL / 10 }
}

async fn probe(shared: Arc<Shared>, vm: VmId, address: SocketAddr) {
    let node = &shared.node;
    let answered: Result<ProbeReply, CallError> =
        node.call(address, paths::PROBE, &Probe {}, TIMEOUT).await;
    let now = node.now();
    match answered {
        Ok(reply) => shared.membership().on_probe(&reply, now),
        Err(error) => {
            debug!(node.log, "probe: no answer"; "vm" => %vm, "error" => %error);
            shared.membership().on_unreachable(&vm, now);
        }
    }
}
