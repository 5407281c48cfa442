//! Who watches the platform, and to whom news are pushed.

use crate::document::hash;
use ibissail_core::VmId;
use rand::{Rng, seq::IteratorRandom};
use std::{collections::BTreeSet, net::SocketAddr};

/// Peers that a process pushes each news to.
pub const PUSH_FANOUT: usize = 4;

/// Whether a VM is among the `count` watchers of its zone, by rendezvous hashing.
///
/// All processes with the same list agree without a message; a VM that goes moves only its own
/// place.
///
/// # Examples
///
/// ```
/// use ibissail_catalogue::is_watcher;
/// let zone: Vec<ibissail_core::VmId> = vec!["a".parse()?, "b".parse()?, "c".parse()?];
/// let watchers = zone.iter().filter(|vm| is_watcher(vm, &zone, 2)).count();
/// assert_eq!(watchers, 2);
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[must_use]
pub fn is_watcher(vm: &VmId, zone: &[VmId], count: usize) -> bool {
    let mine = rank(vm);
    let ahead = zone.iter().filter(|other| *other != vm && rank(other) > mine).count();
    ahead < count
}

fn rank(vm: &VmId) -> (u64, &str) {
    (hash(&["watcher", vm.as_str()]), vm.as_str())
}

/// Up to `count` peers at random, without those excluded.
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
