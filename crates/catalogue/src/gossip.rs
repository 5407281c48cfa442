//! Selection of the processes that watch the platform, and of the peers that changed documents are
//! pushed to.

use crate::document::hash;
use ibissail_core::VmId;
use rand::{Rng, seq::IteratorRandom};
use std::{collections::BTreeSet, net::SocketAddr};

/// Number of peers to which a process pushes each changed document.
pub const PUSH_FANOUT: usize = 4;

/// Whether a VM is among the `count` watchers of its availability zone, by rendezvous hashing.
///
/// All processes with the same list agree without communication. When a VM leaves, only its own
/// place is reassigned.
///
/// # Examples
///
/// ```
/// use ibissail_catalogue::is_watcher;
/// let zone: Vec<ibissail_core::VmId> = vec!["a".parse()?, "b".parse()?, "c".parse()?];
/// let watchers = zone.iter().filter(|vm| is_watcher(vm, &zone, 2)).count();
/// assert_eq!(watchers, 2);
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[must_use]
pub fn is_watcher(vm: &VmId, zone: &[VmId], count: usize) -> bool {
    let own_rank = rank(vm);
    let higher_ranked = zone.iter().filter(|other| *other != vm && rank(other) > own_rank).count();
    higher_ranked < count
}

fn rank(vm: &VmId) -> (u64, &str) {
    (hash(&["watcher", vm.as_str()]), vm.as_str())
}

/// Chooses up to `count` peers at random, without `exclude`.
pub fn choose_peers<R>(
    peers: &BTreeSet<SocketAddr>,
    exclude: Option<SocketAddr>,
    count: usize,
    rng: &mut R,
) -> Vec<SocketAddr>
where
    R: Rng,
{
    let others = peers.iter().copied().filter(|peer| Some(*peer) != exclude);
    others.choose_multiple(rng, count)
}
