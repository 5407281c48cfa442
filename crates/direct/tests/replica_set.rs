//! Which replicas are used, whatever the order in which listings and changes arrive.

use ibissail_core::{Count, Millis, StoreRevision};
use ibissail_direct::{Replica, ReplicaSet, ReplicaState};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

fn replica(id: &str, state: ReplicaState) -> Replica {
    Replica {
        id: id.parse().expect("a valid name"),
        service: "records".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "az-1".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        slots: Count(4),
        state,
        started_unix_ms: None,
        models: Vec::new(),
    }
}

fn ready(set: &ReplicaSet, now: Millis) -> Vec<String> {
    let service = "records".parse().expect("a valid name");
    set.ready(&service, now).map(|replica| replica.id.to_string()).collect()
}

#[test]
fn older_listing_is_ignored() {
    let mut set = ReplicaSet::default();
    let known = vec![(replica("a", ReplicaState::Ready), StoreRevision::new(0, 2))];
    set.apply_listing(known.clone(), StoreRevision::new(0, 2), Millis(0));
    set.apply_change(replica("a", ReplicaState::Draining), StoreRevision::new(0, 5));
    set.advance_to(StoreRevision::new(0, 5));
    assert!(!set.apply_listing(known, StoreRevision::new(0, 4), Millis(10)));
    assert!(ready(&set, Millis(10)).is_empty());
}

#[test]
fn restart_under_the_same_name_is_reported() {
    let started =
        |id: &str, started_unix_ms| Replica { started_unix_ms, ..replica(id, ReplicaState::Ready) };
    let mut set = ReplicaSet::default();
    let listed = vec![
        (started("a", Some(1)), StoreRevision::new(0, 2)),
        (started("b", Some(1)), StoreRevision::new(0, 2)),
    ];
    set.apply_listing(listed, StoreRevision::new(0, 2), Millis(0));
    assert!(set.take_restarted().is_empty(), "no replica was known before");
    set.apply_change(started("a", Some(1)), StoreRevision::new(0, 3));
    set.apply_change(started("b", None), StoreRevision::new(0, 3));
    assert!(set.take_restarted().is_empty(), "the same run, and one without a start time");
    set.apply_change(started("a", Some(9)), StoreRevision::new(0, 4));
    assert_eq!(set.take_restarted(), ["a".parse().expect("a valid name")]);
    set.apply_listing(
        vec![(started("a", Some(10)), StoreRevision::new(0, 5))],
        StoreRevision::new(0, 5),
        Millis(0),
    );
    assert_eq!(set.take_restarted(), ["a".parse().expect("a valid name")]);
    assert!(set.take_restarted().is_empty());
}

#[test]
fn replica_that_expired_in_an_outage_may_return() {
    let mut set = ReplicaSet::default();
    set.apply_listing(
        vec![(replica("a", ReplicaState::Ready), StoreRevision::new(0, 2))],
        StoreRevision::new(0, 2),
        Millis(0),
    );
    set.record_outage(Millis(9_000));
    set.apply_listing(Vec::new(), StoreRevision::new(0, 3), Millis(9_500));
    assert_eq!(ready(&set, Millis(9_600)), ["a"]);
    assert!(ready(&set, Millis(11_100)).is_empty(), "the replica must be gone after two seconds");
    set.apply_listing(Vec::new(), StoreRevision::new(0, 4), Millis(11_200));
    assert!(set.is_empty());
}

#[test]
fn replica_removed_without_an_outage_is_gone() {
    let mut set = ReplicaSet::default();
    set.apply_listing(
        vec![(replica("a", ReplicaState::Ready), StoreRevision::new(0, 2))],
        StoreRevision::new(0, 2),
        Millis(0),
    );
    set.apply_removal(&"a".parse().expect("a valid name"), StoreRevision::new(0, 3), Millis(100));
    assert!(ready(&set, Millis(100)).is_empty());
}

#[test]
fn draining_replica_does_not_return_after_an_outage() {
    let mut set = ReplicaSet::default();
    set.apply_change(replica("a", ReplicaState::Draining), StoreRevision::new(0, 2));
    set.record_outage(Millis(100));
    set.apply_listing(Vec::new(), StoreRevision::new(0, 3), Millis(200));
    assert!(ready(&set, Millis(200)).is_empty() && set.is_empty());
}

/// Replays random store histories: changes may arrive late, twice or not at all, and listings may
/// be of any revision. After a listing of the newest revision, the set must match the store.
#[test]
fn matches_the_store_after_any_history() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store: BTreeMap<String, (ReplicaState, StoreRevision)> = BTreeMap::new();
        let mut history = vec![(store.clone(), StoreRevision::new(0, 0))];
        let mut set = ReplicaSet::default();
        let mut newest = StoreRevision::new(0, 0);
        for step in 1..30_u64 {
            let id = ["a", "b", "c"][rng.random_range(0..3)].to_owned();
            let revision = StoreRevision::new(0, step);
            match rng.random_range(0..4) {
                0 => {
                    store.remove(&id);
                }
                1 => {
                    store.insert(id.clone(), (ReplicaState::Draining, revision));
                }
                _ => {
                    store.insert(id.clone(), (ReplicaState::Ready, revision));
                }
            }
            history.push((store.clone(), revision));
            let now = Millis(step * 100);
            if rng.random_bool(0.5) {
                // The watch delivers this change, and perhaps an earlier one again.
                match store.get(&id) {
                    Some((state, revision)) => set.apply_change(replica(&id, *state), *revision),
                    None => set.apply_removal(&id.parse().expect("a valid name"), revision, now),
                }
            }
            if rng.random_bool(0.3) {
                let (content, at) = &history[rng.random_range(0..history.len())];
                let listing = content.iter();
                let listing =
                    listing.map(|(id, (state, revision))| (replica(id, *state), *revision));
                set.apply_listing(listing.collect(), *at, now);
                assert!(*at >= newest || ready(&set, now).len() <= 3, "seed {seed}");
                newest = newest.max(*at);
            }
        }
        let listing = store.iter().map(|(id, (state, revision))| (replica(id, *state), *revision));
        set.apply_listing(listing.collect(), StoreRevision::new(0, 29), Millis(10_000));
        let expected: Vec<String> = store
            .iter()
            .filter(|(_, (state, _))| *state == ReplicaState::Ready)
            .map(|(id, _)| id.clone())
            .collect();
        assert_eq!(ready(&set, Millis(10_000)), expected, "seed {seed}");
    }
}

#[test]
fn change_sent_on_by_a_peer_outlasts_an_older_listing() {
    let at = |revision| StoreRevision::new(1, revision);
    let ready_replica = |id: &str| (replica(id, ReplicaState::Ready), at(2));
    let listing = vec![ready_replica("a"), ready_replica("b"), ready_replica("c")];
    let mut set = ReplicaSet::default();
    set.apply_listing(listing.clone(), at(2), Millis(0));
    set.apply_change(replica("a", ReplicaState::Draining), at(5));
    set.apply_removal(&"b".parse().expect("a valid name"), at(6), Millis(10));
    set.apply_change(replica("d", ReplicaState::Ready), at(7));
    // The listing was made before these changes, and its response was slow.
    set.apply_listing(listing.clone(), at(4), Millis(20));
    assert_eq!(ready(&set, Millis(20)), ["c", "d"]);
    // Changes that were overtaken change nothing.
    set.apply_change(replica("b", ReplicaState::Ready), at(3));
    set.apply_removal(&"d".parse().expect("a valid name"), at(6), Millis(30));
    assert_eq!(ready(&set, Millis(30)), ["c", "d"]);
    // A newer listing is complete.
    set.apply_listing(listing, at(8), Millis(40));
    assert_eq!(ready(&set, Millis(40)), ["a", "b", "c"]);
}

#[test]
fn silence_of_a_dead_watch_brings_no_departed_replica_back() {
    let mut set = ReplicaSet::default();
    let listed = vec![(replica("a", ReplicaState::Ready), StoreRevision::new(0, 2))];
    set.apply_listing(listed, StoreRevision::new(0, 2), Millis(0));
    set.record_silence(Millis(3_000), Millis(4_000));
    set.record_response(Millis(4_500));
    set.apply_listing(Vec::new(), StoreRevision::new(0, 3), Millis(4_500));
    assert_eq!(ready(&set, Millis(5_900)), ["a"]);
    set.record_silence(Millis(1_000), Millis(5_950));
    assert!(ready(&set, Millis(6_100)).is_empty());
    set.record_silence(Millis(5_200), Millis(6_200));
    assert_eq!(ready(&set, Millis(6_300)), ["a"], "the platform is away again");
}
