//! Chooses among replicas by expected wait.

use crate::{Membership, Replica};
use ibissail_core::{Millis, Target, VmId, ZoneId};
use rand::{Rng, seq::index};
use std::collections::BTreeSet;

/// Replicas compared for one request.
const SAMPLE: usize = 3;
/// Replicas drawn to find those to compare, since some are tried already or ejected.
const DRAWS: usize = 8;
/// What a request to another zone costs, as a share of a replica's places.
const ZONE_COST: f64 = 0.05;

/// Expected load of a replica, as a share of its places, with what this entry has added itself.
#[must_use]
pub fn replica_cost(replica: &Replica, zone: &ZoneId) -> f64 {
    let reported = replica.load.in_flight.saturating_add(replica.sent_since_probe);
    let busy = f64::from(reported.max(replica.own_in_flight));
    let places = f64::from(replica.load.concurrency.max(1));
    let away = if replica.zone == *zone { 0.0 } else { ZONE_COST };
    busy / places + away
}

/// The cheapest of a few random candidates, without those tried already.
///
/// The time does not grow with the number of replicas, unless nearly all are tried or ejected.
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
    let usable = |place: usize| {
        let replica = membership.get(&ready[place])?;
        let is_usable = replica.ejected_until <= now && !tried.contains(&replica.vm);
        is_usable.then_some(replica)
    };
    let drawn = index::sample(rng, ready.len(), DRAWS.min(ready.len()));
    let found = cheapest(drawn.into_iter().filter_map(usable).take(SAMPLE), zone);
    if found.is_some() || ready.len() <= DRAWS {
        return found;
    }
    cheapest((0..ready.len()).filter_map(usable), zone)
}

fn cheapest<'m, I>(candidates: I, zone: &ZoneId) -> Option<&'m Replica>
where
    I: Iterator<Item = &'m Replica>,
{
    candidates.min_by(|a, b| replica_cost(a, zone).total_cmp(&replica_cost(b, zone)))
}
