//! Chooses among replicas by expected wait.

use crate::{Membership, Replica};
use ibissail_core::{Millis, Target, VmId, ZoneId};
use rand::{Rng, seq::IteratorRandom};
use std::collections::BTreeSet;

/// Replicas compared for one request.
const SAMPLE: usize = 3;
/// What a request to another zone costs, in places of a replica.
const ZONE_COST: f64 = 0.05;

/// Expected load of a replica, as a share of its places, with what this entry has added itself.
#[must_use]
pub fn cost(replica: &Replica, zone: &ZoneId) -> f64 {
    let reported = replica.load.in_flight.saturating_add(replica.since_probe);
    let busy = f64::from(reported.max(replica.own));
    let places = f64::from(replica.load.concurrency.max(1));
    let away = if replica.zone == *zone { 0.0 } else { ZONE_COST };
    busy / places + away
}

/// The cheapest of a few random candidates, without those tried already.
pub fn choose<'m, R>(
    membership: &'m Membership,
    target: &'m Target,
    zone: &ZoneId,
    tried: &BTreeSet<VmId>,
    now: Millis,
    rng: &mut R,
) -> Option<&'m Replica>
where
    R: Rng,
{
    let candidates = membership.candidates(target, now).filter(|r| !tried.contains(&r.vm));
    let sample = candidates.choose_multiple(rng, SAMPLE);
    sample.into_iter().min_by(|a, b| cost(a, zone).total_cmp(&cost(b, zone)))
}
