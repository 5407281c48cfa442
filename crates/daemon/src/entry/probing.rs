//! Keeps the membership up to date from the VM list and from probes of sidecars.

use crate::entry::Shared;
use async_std::task;
use ibissail_core::VmId;
use ibissail_execution::{Probe, ProbeReply, paths};
use ibissail_transport::CallError;
use slog::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes of replicas with unknown state in one interval.
const MAX_UNKNOWN_PROBES: usize = 16;
/// Probes of known replicas in one interval, independent of the fleet size.
const MAX_KNOWN_PROBES: usize = 2;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Updates and probes the membership until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut last_list = Arc::default();
    while !shared.node.is_stopping() {
        let vm_list = shared.node.peers.vm_list();
        if !Arc::ptr_eq(&last_list, &vm_list) {
            let now = shared.node.now();
            shared.membership().on_list(&vm_list, now);
            last_list = vm_list;
        }
        let chosen = shared.membership().probe_targets(
            MAX_UNKNOWN_PROBES,
            MAX_KNOWN_PROBES,
            &mut rand::rng(),
        );
        for (vm, address) in chosen {
            task::spawn(probe(Arc::clone(&shared), vm, address));
        }
        task::sleep(probe_interval(&shared)).await;
    }
}

/// Time until the next probes; shorter while no replica is known.
fn probe_interval(shared: &Shared) -> Duration {
    let has_replicas = !shared.membership().is_empty();
    if has_replicas { PROBE_INTERVAL } else { PROBE_INTERVAL / 10 }
}

async fn probe(shared: Arc<Shared>, vm: VmId, address: SocketAddr) {
    let node = &shared.node;
    let reply: Result<ProbeReply, CallError> =
        node.call(address, paths::PROBE, &Probe {}, PROBE_TIMEOUT).await;
    let now = node.now();
    match reply {
        Ok(reply) => shared.membership().on_probe(&reply, now),
        Err(error) => {
            debug!(node.log, "probe: failed"; "vm" => %vm, "error" => %error);
            shared.membership().on_unreachable(&vm, now);
        }
    }
}
