//! When an entry knows that its list of rollouts is current, and when it has to read it.

use ibissail_core::{Millis, Revision, StoreRevision, VersionId};
use ibissail_direct::{Evidence, Rollout, RolloutList, RolloutReport, RolloutState};

fn rollout(target: &str, state: RolloutState, revision: u64) -> Rollout {
    Rollout {
        service: "records".parse().unwrap(),
        target: target.parse().unwrap(),
        duration: Millis(16_000),
        revision: StoreRevision::new(0, revision),
        state,
        started_unix_ms: None,
    }
}

fn report(target: &str, state: RolloutState) -> RolloutReport {
    let Rollout { service, target, .. } = rollout(target, state, 1);
    RolloutReport {
        service,
        target,
        state,
        elapsed: Millis(500),
        observed_for: Millis(0),
        is_bad: false,
        old_running: 0,
        evidence: Evidence::default(),
    }
}

fn objects(revision: u64) -> Vec<(String, Option<Revision>)> {
    vec![("records".to_owned(), Some(Revision(revision)))]
}

fn announced(list: &RolloutList) -> Option<(VersionId, RolloutState)> {
    let (target, state) = list.announced(&"records".parse().unwrap())?;
    Some((target.clone(), state))
}

/// Guards against an old answer that hides what a watch has delivered.
#[test]
fn older_listing_changes_nothing() {
    let mut list = RolloutList::default();
    assert!(list.apply_listing(objects(5), StoreRevision::new(0, 5), Millis(100)));
    list.apply_written("records", Some(Revision(8)));
    list.advance_to(StoreRevision::new(0, 8));
    let digest = list.digest();
    assert!(!list.apply_listing(objects(5), StoreRevision::new(0, 6), Millis(200)));
    assert_eq!((list.digest(), list.confirmed_at()), (digest, Some(Millis(100))));
    assert!(list.apply_listing(objects(8), StoreRevision::new(0, 9), Millis(300)));
    assert_eq!(list.confirmed_at(), Some(Millis(300)));
}

/// Guards against a confirmation of a list that this entry has not seen, and against a read at each
/// change that the watch delivers a moment later.
#[test]
fn differing_digest_leads_to_a_read_after_a_while() {
    let (mut reader, mut other) = (RolloutList::default(), RolloutList::default());
    for list in [&mut reader, &mut other] {
        list.apply_listing(objects(5), StoreRevision::new(0, 5), Millis(100));
    }
    reader.apply_listing(objects(7), StoreRevision::new(0, 7), Millis(1_000));
    other.confirm(reader.digest(), Millis(900), Millis(1_010));
    assert_eq!(other.confirmed_at(), Some(Millis(100)));
    assert!(!other.needs_read(Millis(1_100)), "the watch may be about to deliver it");
    assert!(other.needs_read(Millis(1_300)));
    other.apply_written("records", Some(Revision(7)));
    assert!(!other.needs_read(Millis(1_300)));
    other.confirm(reader.digest(), Millis(1_200), Millis(1_400));
    assert_eq!(other.confirmed_at(), Some(Millis(1_200)));
}

/// Guards against a report of an unknown rollout that is ignored.
#[test]
fn reported_rollout_leads_to_a_read() {
    let mut list = RolloutList::default();
    list.apply_listing(Vec::new(), StoreRevision::new(0, 5), Millis(100));
    let told = report("v2", RolloutState::Running);
    assert!(list.hear(&told, None, Millis(2_000)));
    assert!(!list.hear(&told, None, Millis(2_400)), "the same from another peer");
    assert_eq!(announced(&list), Some(("v2".parse().unwrap(), RolloutState::Running)));
    assert!(!list.needs_read(Millis(2_100)) && list.needs_read(Millis(2_300)));
    // A listing that was sent before the report proves nothing.
    list.apply_listing(Vec::new(), StoreRevision::new(0, 5), Millis(1_900));
    assert!(list.needs_read(Millis(2_500)));
    list.apply_listing(Vec::new(), StoreRevision::new(0, 6), Millis(2_500));
    assert!(announced(&list).is_none() && !list.needs_read(Millis(2_600)));
}

/// Guards against reads for ever because of a rollout that peers know and the store no longer has.
#[test]
fn removed_rollout_is_looked_up_once() {
    let mut list = RolloutList::default();
    list.apply_listing(Vec::new(), StoreRevision::new(0, 5), Millis(100));
    let told = report("v2", RolloutState::Succeeded);
    list.hear(&told, None, Millis(1_000));
    list.apply_listing(Vec::new(), StoreRevision::new(0, 5), Millis(1_300));
    for now in (1_400..600_000).step_by(400) {
        list.hear(&told, None, Millis(now));
        assert!(!list.needs_read(Millis(now)), "at {now}");
    }
}

/// Guards against reads because of peers that are behind: what this entry has read before is no news.
#[test]
fn peers_that_are_behind_cause_no_read() {
    let mut list = RolloutList::default();
    list.apply_listing(objects(9), StoreRevision::new(0, 9), Millis(100));
    let (first, second) =
        (rollout("v2", RolloutState::Succeeded, 5), rollout("v3", RolloutState::Running, 9));
    list.remember_target(&first);
    list.remember_target(&second);
    for state in [RolloutState::Pending, RolloutState::Running, RolloutState::Succeeded] {
        assert!(!list.hear(&report("v2", state), Some(&second), Millis(1_000)));
    }
    assert!(!list.hear(&report("v3", RolloutState::Pending), Some(&second), Millis(1_000)));
    assert!(!list.needs_read(Millis(9_000)));
}

/// Guards against a change of state that is missed: a peer that is ahead is a reason to read.
#[test]
fn peer_that_is_ahead_leads_to_a_read() {
    let mut list = RolloutList::default();
    list.apply_listing(objects(9), StoreRevision::new(0, 9), Millis(100));
    let known = rollout("v2", RolloutState::Running, 9);
    list.remember_target(&known);
    assert!(list.hear(&report("v2", RolloutState::RolledBack), Some(&known), Millis(1_000)));
    assert!(list.needs_read(Millis(1_300)));
    let known = rollout("v2", RolloutState::RolledBack, 10);
    list.hear(&report("v2", RolloutState::RolledBack), Some(&known), Millis(1_200));
    assert!(!list.needs_read(Millis(1_300)), "the watch has delivered it since");
}

/// Guards against a list that counts as current after the store was restored from an older copy.
#[test]
fn restore_ends_the_confirmation() {
    let mut list = RolloutList::default();
    list.apply_listing(objects(9), StoreRevision::new(1, 9), Millis(100));
    list.reset_confirmation();
    assert_eq!(list.confirmed_at(), None);
    assert!(list.apply_listing(objects(4), StoreRevision::new(2, 4), Millis(500)));
    assert_eq!(list.confirmed_at(), Some(Millis(500)));
}
