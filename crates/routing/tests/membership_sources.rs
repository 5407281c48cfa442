//! The state of replicas when the list, probes and refusals arrive in different orders.

use ibissail_core::{Incarnation, Millis, Target, VmId};
use ibissail_execution::{Load, ProbeReply, SidecarState};
use ibissail_object_store::{VmRecord, VmRole, VmState};
use ibissail_routing::{Health, Membership, RequestOutcome, choose_replica};
use rand::{SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

fn vm(name: &str) -> VmId {
    name.parse().expect("a name")
}

fn target() -> Target {
    "swift@1".parse().expect("a target")
}

fn record(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        vm: vm(name),
        zone: "az-1".parse().expect("a zone"),
        role: VmRole::Upstream,
        address: ([127, 0, 0, 1], 1).into(),
        state,
        offers: Some(target()),
    }
}

fn probe(name: &str, incarnation: u64, state: SidecarState, ticket: u64) -> ProbeReply {
    ProbeReply {
        vm: vm(name),
        incarnation: Incarnation(incarnation),
        offers: target(),
        state,
        load: Load { in_flight: 0, concurrency: 16 },
        ticket: Millis(ticket),
        digest: 0,
    }
}

fn health(membership: &Membership, name: &str) -> Option<Health> {
    membership.get(&vm(name)).map(|replica| replica.health)
}

fn ready_membership(names: &[&str]) -> Membership {
    let records: Vec<VmRecord> = names.iter().map(|name| record(name, VmState::Live)).collect();
    let mut membership = Membership::default();
    membership.on_list(&records, Millis(0));
    for name in names {
        membership.on_probe(&probe(name, 1, SidecarState::Ready, 1), Millis(0));
    }
    membership
}

#[test]
fn the_list_never_makes_a_draining_replica_ready() {
    let mut membership = ready_membership(&["a"]);
    membership.on_draining(&vm("a"), Incarnation(1));
    membership.on_list(&[record("a", VmState::Live)], Millis(1));
    assert_eq!(health(&membership, "a"), Some(Health::Draining));
    membership.on_probe(&probe("a", 1, SidecarState::Ready, 2), Millis(2));
    assert_eq!(
        health(&membership, "a"),
        Some(Health::Draining),
        "a probe reply of the same incarnation does not make it ready"
    );
    membership.on_probe(&probe("a", 2, SidecarState::Ready, 1), Millis(3));
    assert_eq!(health(&membership, "a"), Some(Health::Ready), "a new incarnation starts afresh");
}

#[test]
fn refusals_of_an_earlier_incarnation_do_not_drain_the_present_one() {
    let mut membership = ready_membership(&["a"]);
    membership.on_probe(&probe("a", 2, SidecarState::Ready, 1), Millis(1));
    membership.on_draining(&vm("a"), Incarnation(1));
    assert_eq!(health(&membership, "a"), Some(Health::Ready));
}

/// The number of replicas that an entry probes does not grow with the fleet, and the subsets of the
/// entries cover all replicas evenly.
#[test]
fn replicas_are_distributed_evenly_over_entries() {
    let names: Vec<String> = (0..600).map(|number| format!("upstream-{number}")).collect();
    let records: Vec<VmRecord> = names.iter().map(|name| record(name, VmState::Live)).collect();
    let mut entries_of: BTreeMap<VmId, u32> = BTreeMap::new();
    for entry in 0..200 {
        let mut membership = Membership::for_entry(&vm(&format!("entry-{entry}")));
        membership.on_list(&records, Millis(0));
        assert_eq!(membership.len(), 24);
        for replica in membership.iter() {
            *entries_of.entry(replica.vm.clone()).or_default() += 1;
        }
    }
    assert_eq!(entries_of.len(), 600, "each replica is used by some entry");
    assert!(entries_of.values().all(|count| (1..=24).contains(count)), "{entries_of:?}");
}

#[test]
fn an_old_list_does_not_remove_a_replica_that_replies_to_probes() {
    let mut membership = ready_membership(&["a"]);
    membership.on_list(&[], Millis(9_999));
    assert_eq!(health(&membership, "a"), Some(Health::Ready));
    membership.on_list(&[], Millis(10_000));
    assert_eq!(health(&membership, "a"), None);
}

#[test]
fn reordered_probe_replies_are_ignored() {
    let mut membership = ready_membership(&["a"]);
    membership.on_probe(&probe("a", 1, SidecarState::Draining, 9), Millis(1));
    membership.on_probe(&probe("a", 1, SidecarState::Ready, 8), Millis(2));
    assert_eq!(health(&membership, "a"), Some(Health::Draining));
}

/// A replica that fails fast has a low load. It must still not be chosen for most requests.
#[test]
fn failing_replicas_are_ejected_for_increasing_times() {
    let mut membership = ready_membership(&["good", "bad"]);
    let mut rng = StdRng::seed_from_u64(1);
    let target = target();
    let zone = "az-1".parse().expect("a zone");
    let mut chosen: BTreeMap<VmId, u32> = BTreeMap::new();
    for step in 0..1_000 {
        let now = Millis(step * 10);
        let tried = BTreeSet::new();
        let picked = choose_replica(&membership, &target, &zone, &tried, now, &mut rng);
        let name = picked.map(|replica| replica.vm.clone()).expect("one replica always succeeds");
        let outcome =
            if name == vm("bad") { RequestOutcome::Failed } else { RequestOutcome::Answered };
        membership.on_start(&name);
        membership.on_end(&name, outcome, now);
        *chosen.entry(name).or_default() += 1;
    }
    assert!(chosen[&vm("bad")] < 50, "{chosen:?}");
}

/// Choices between two probes are spread over the replicas, although the reported load is
/// unchanged.
#[test]
fn choices_between_probes_do_not_herd() {
    let mut membership = ready_membership(&["a", "b"]);
    let mut rng = StdRng::seed_from_u64(1);
    let target = target();
    let zone = "az-1".parse().expect("a zone");
    let mut chosen: BTreeMap<VmId, u32> = BTreeMap::new();
    for _ in 0..8 {
        let tried = BTreeSet::new();
        let picked = choose_replica(&membership, &target, &zone, &tried, Millis(0), &mut rng);
        let name = picked.map(|replica| replica.vm.clone()).expect("a replica");
        membership.on_choice(&name);
        *chosen.entry(name).or_default() += 1;
    }
    assert_eq!(chosen.values().copied().collect::<Vec<u32>>(), [4, 4]);
}

#[test]
fn choices_follow_load_and_skip_tried_replicas() {
    let mut membership = ready_membership(&["busy", "idle"]);
    let load = Load { in_flight: 16, concurrency: 16 };
    let busy = ProbeReply { load, ..probe("busy", 1, SidecarState::Ready, 2) };
    membership.on_probe(&busy, Millis(1));
    let mut rng = StdRng::seed_from_u64(1);
    let target = target();
    let zone = "az-1".parse().expect("a zone");
    let mut pick = |tried: &BTreeSet<VmId>| {
        let picked = choose_replica(&membership, &target, &zone, tried, Millis(1), &mut rng);
        picked.map(|replica| replica.vm.clone())
    };
    for _ in 0..50 {
        assert_eq!(pick(&BTreeSet::new()), Some(vm("idle")));
    }
    assert_eq!(pick(&BTreeSet::from([vm("idle")])), Some(vm("busy")));
    assert_eq!(pick(&BTreeSet::from([vm("idle"), vm("busy")])), None);
}
