//! The other processes, from the settings and the platform's list of VMs.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::choose_peers;
use ibissail_core::VmId;
use ibissail_execution::paths;
use ibissail_object_store::{VmRecord, VmRole};
use ibissail_settings::LocalSettings;
use slog::debug;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Time between two reads of the list in a small fleet.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Pause before another try of a process that has no list yet.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(100);
const PEER_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Reads of the list a second that all processes together may make.
const LIST_READS_PER_SECOND: u64 = 500;

#[derive(Debug, Default)]
struct State {
    configured: BTreeSet<SocketAddr>,
    vm_list: Arc<Vec<VmRecord>>,
    synced: BTreeSet<SocketAddr>,
}

/// The other processes.
#[derive(Debug)]
pub(crate) struct Peers {
    own_address: SocketAddr,
    state: Mutex<State>,
}

impl Peers {
    pub(crate) fn new(local: &LocalSettings) -> Self {
        let configured = local.peers.iter().copied().filter(|peer| *peer != local.peer_listen);
        let state = State { configured: configured.collect(), ..State::default() };
        Self { own_address: local.peer_listen, state: Mutex::new(state) }
    }

    /// Addresses of all other processes.
    pub(crate) fn addresses(&self) -> BTreeSet<SocketAddr> {
        let state = self.lock();
        let vm_list = state.vm_list.iter().map(|record| record.address);
        let mut addresses: BTreeSet<SocketAddr> = vm_list.collect();
        addresses.extend(&state.configured);
        addresses.remove(&self.own_address);
        addresses
    }

    pub(crate) fn len(&self) -> usize {
        self.addresses().len()
    }

    /// How many entries the list has.
    pub(crate) fn entry_count(&self) -> usize {
        self.lock().vm_list.iter().filter(|record| record.role == VmRole::Entry).count()
    }

    /// How many peers have compared settings with this process.
    pub(crate) fn synced_count(&self) -> usize {
        self.lock().synced.len()
    }

    pub(crate) fn mark_synced(&self, peer: SocketAddr) {
        self.lock().synced.insert(peer);
    }

    /// The list as it was last read; another allocation after each reading.
    pub(crate) fn vm_list(&self) -> Arc<Vec<VmRecord>> {
        Arc::clone(&self.lock().vm_list)
    }

    /// VMs of this process's zone, by the list.
    pub(crate) fn zone_vms(&self, local: &LocalSettings) -> Vec<VmId> {
        let state = self.lock();
        let in_zone = state.vm_list.iter().filter(|record| record.zone == local.identity.zone);
        in_zone.map(|record| record.vm.clone()).collect()
    }

    fn set_vm_list(&self, vm_list: Vec<VmRecord>) {
        self.lock().vm_list = Arc::new(vm_list);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn list_interval(node: &Node) -> Duration {
    if node.peers.vm_list().is_empty() {
        return INITIAL_LIST_INTERVAL;
    }
    let interval_secs = node.peers.len() as u64 / LIST_READS_PER_SECOND;
    LIST_INTERVAL.max(Duration::from_secs(interval_secs))
}

/// Takes the list of a peer, if this process has had none since its start.
async fn fetch_list_from_peer(node: &Node) {
    if !node.peers.vm_list().is_empty() {
        return;
    }
    let peer = choose_peers(&node.peers.addresses(), None, 1, &mut rand::rng()).pop();
    let Some(peer) = peer else { return };
    if let Ok(vms) = node.call(peer, paths::VMS, &(), PEER_LIST_TIMEOUT).await {
        node.peers.set_vm_list(vms);
    }
}

/// Reads the list of VMs, less often in a large fleet.
pub(crate) async fn refresh_list(node: Arc<Node>) {
    while !node.is_stopping() {
        match node.platform.vms().await {
            Ok(vms) => node.peers.set_vm_list(vms),
            Err(error) => {
                debug!(node.log, "peers: no list of VMs"; "error" => %error);
                fetch_list_from_peer(&node).await;
            }
        }
        task::sleep(list_interval(&node)).await;
    }
}
