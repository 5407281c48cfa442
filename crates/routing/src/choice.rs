//! Chooses the least loaded of a few random replicas.

use crate::{Membership, Replica};
use ibissail_core::{Millis, Target, VmId, ZoneId};
use rand::{Rng, seq::index};
use std::collections::BTreeSet;

/// Maximum number of usable replicas among the drawn ones that are compared for one request.
const MAX_COMPARED: usize = 3;
/// Number of replicas that are drawn at random to find those, since some may have been tried
/// already or be ejected.
const SAMPLE_SIZE: usize = 8;
/// Cost of sending a request to another availability zone, as a fraction of a replica's
/// concurrency.
const ZONE_COST: f64 = 0.05;

/// Expected load of a replica as a fraction of its concurrency, plus the cost of another
/// availability zone.
///
/// The load is the one reported by the last probe plus the requests that this entry has sent since,
/// or this entry's own requests in flight if these are more.
#[must_use]
pub fn replica_cost(replica: &Replica, zone: &ZoneId) -> f64 {
    let reported = replica.load.in_flight.saturating_add(replica.sent_since_probe);
    let in_flight = f64::from(reported.max(replica.own_in_flight));
    let concurrency = f64::from(replica.load.concurrency.max(1));
    let zone_cost = if replica.zone == *zone { 0.0 } else { ZONE_COST };
    in_flight / concurrency + zone_cost
}

/// Chooses the replica with the lowest cost among a few random ones, without those ejected or in
/// `tried`; `None` when no replica is usable.
///
/// The time does not depend on the number of replicas, unless all the drawn ones are tried or
/// ejected: then all replicas are compared.
pub fn choose_replica<'m, R>(
    membership: &'m Membership,
    target: &Target,
    zone: &ZoneId,
    tried: &BTreeSet<VmId>,
    now: Millis,
    rng: &mut R,
) -> Option<&'m Replica>
where
    R: Rng,
{
    let ready = membership.ready(target);
    let usable_at = |position: usize| {
        let replica = membership.get(&ready[position])?;
        let is_usable = replica.ejected_until <= now && !tried.contains(&replica.vm);
        is_usable.then_some(replica)
    };
    let drawn = index::sample(rng, ready.len(), SAMPLE_SIZE.min(ready.len()));
    let found = cheapest(drawn.into_iter().filter_map(usable_at).take(MAX_COMPARED), zone);
    if found.is_some() || ready.len() <= SAMPLE_SIZE {
        return found;
    }
    cheapest((0..ready.len()).filter_map(usable_at), zone)
}

fn cheapest<'m, I>(candidates: I, zone: &ZoneId) -> Option<&'m Replica>
where
    I: Iterator<Item = &'m Replica>,
{
    candidates.min_by(|a, b| replica_cost(a, zone).total_cmp(&replica_cost(b, zone)))
}
