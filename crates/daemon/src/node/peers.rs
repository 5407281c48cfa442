//! Addresses of the other processes, from the local settings and the platform's VM list.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::choose_peers;
use ibissail_core::VmId;
use ibissail_execution::paths;
use ibissail_object_store::{VmRecord, VmRole};
use ibissail_settings::LocalSettings;
use slog::{debug, warn};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Minimum interval between two reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Retry interval while the process has no VM list yet.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(100);
const PEER_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Reads of the VM list per second allowed for all processes together. Since the interval is
/// rounded down to whole seconds, the rate can be up to 1.5 times this value.
const LIST_READS_PER_SECOND: u64 = 500;

#[derive(Debug, Default)]
struct State {
    configured: BTreeSet<SocketAddr>,
    vm_list: Arc<Vec<VmRecord>>,
    /// Peers with which this process has exchanged settings since its start.
    synced: BTreeSet<SocketAddr>,
}

/// Addresses and state of the other processes.
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

    /// Addresses of the other entries in the VM list.
    pub(crate) fn entry_addresses(&self) -> BTreeSet<SocketAddr> {
        let state = self.lock();
        let entries = state.vm_list.iter().filter(|record| record.role == VmRole::Entry);
        let mut addresses: BTreeSet<SocketAddr> = entries.map(|record| record.address).collect();
        addresses.remove(&self.own_address);
        addresses
    }

    /// Number of entries in the VM list.
    pub(crate) fn entry_count(&self) -> usize {
        self.lock().vm_list.iter().filter(|record| record.role == VmRole::Entry).count()
    }

    /// Number of peers that this process has exchanged settings with.
    pub(crate) fn synced_count(&self) -> usize {
        self.lock().synced.len()
    }

    pub(crate) fn mark_synced(&self, peer: SocketAddr) {
        self.lock().synced.insert(peer);
    }

    /// The VM list as last read. Each read makes a new allocation, so that changes can be detected
    /// by pointer.
    pub(crate) fn vm_list(&self) -> Arc<Vec<VmRecord>> {
        Arc::clone(&self.lock().vm_list)
    }

    /// VMs in this process's availability zone.
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

/// Takes the VM list of a random peer if this process has had none since its start.
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

/// Reads the VM list at regular intervals, which grow with the fleet.
pub(crate) async fn refresh_list(node: Arc<Node>) {
    while !node.is_stopping() {
        match node.platform.list_vms().await {
            Ok(list) => {
                for error in &list.unreadable {
                    warn!(node.log, "peers: invalid entry of the VM list ignored"; "error" => error);
                }
                node.peers.set_vm_list(list.vms);
            }
            Err(error) => {
                debug!(node.log, "peers: VM list not read"; "error" => %error);
                fetch_list_from_peer(&node).await;
            }
        }
        task::sleep(list_interval(&node)).await;
    }
}
