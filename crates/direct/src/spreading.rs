//! Which entries watch the store themselves, and which learn of changes from a peer.
//!
//! Each watch that returns is a call to the store, and in a fleet each change returns all watches.
//! In larger fleets one entry watches the replicas and sends the changes on. Changes that get lost
//! are found by the digest in its confirmations: an entry whose list differs reads the list itself.

/// Fleets with fewer entries watch without a relay; their watches cost less than its delays.
const MIN_RELAYED_ENTRIES: usize = 8;

/// Whether an entry watches the replicas itself. `rank` is the number of live entries before it in
/// the order of names, `entries` the number of live entries including it.
///
/// # Examples
///
/// ```
/// use ibissail_direct::watches_replicas;
/// assert!(watches_replicas(3, 5), "in a small fleet each entry does");
/// assert!(watches_replicas(0, 60) && !watches_replicas(3, 60));
/// ```
#[must_use]
pub fn watches_replicas(rank: u64, entries: usize) -> bool {
    rank == 0 || entries < MIN_RELAYED_ENTRIES
}
