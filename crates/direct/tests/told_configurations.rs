//! What peers tell of the configuration decides whether that of the store is believed.

use ibissail_core::{Incarnation, Millis};
use ibissail_direct::{ToldConfiguration, ToldConfigurations};
use rand::{Rng, SeedableRng, rngs::StdRng};

const INFORMED: bool = false;
const PROVISIONAL: bool = true;

fn told(version: u64, is_provisional: bool) -> ToldConfiguration {
    let peer = Incarnation(u64::from(is_provisional));
    ToldConfiguration { peer, version, is_provisional }
}

/// Whether keys may be checked against this version.
fn is_believed(peers: &ToldConfigurations, version: u64, now: u64) -> bool {
    peers.is_informed(Millis(now)) && peers.missing(version, Millis(now)).is_none()
}

#[test]
fn entry_without_seeds_waits_for_a_second() {
    let peers = ToldConfigurations::new(false, Millis(7));
    assert!(!is_believed(&peers, 1, 1_006) && is_believed(&peers, 1, 1_007));
}

#[test]
fn entry_waits_for_a_peer_for_two_seconds() {
    let mut peers = ToldConfigurations::new(true, Millis(100));
    assert!(!is_believed(&peers, 1, 2_099));
    assert_eq!(peers.rest_of_wait(Millis(600)), Millis(1_500));
    assert_eq!(peers.take_end_of_wait(Millis(600)), None);
    assert!(is_believed(&peers, 1, 2_100));
    assert_eq!(peers.take_end_of_wait(Millis(2_100)), Some(false));
    assert_eq!(peers.take_end_of_wait(Millis(2_200)), None);
}

#[test]
fn peer_that_waits_itself_does_not_end_the_wait() {
    let mut peers = ToldConfigurations::new(true, Millis(0));
    peers.record(told(1, PROVISIONAL), 1, Millis(100));
    peers.record(told(0, INFORMED), 1, Millis(100));
    assert!(!is_believed(&peers, 1, 200));
    peers.record(told(1, INFORMED), 1, Millis(300));
    assert!(is_believed(&peers, 1, 300));
}

#[test]
fn first_word_of_a_newer_version_counts_at_once() {
    for at in [100, 5_000] {
        let mut peers = ToldConfigurations::new(true, Millis(0));
        assert!(peers.record(told(6, INFORMED), 3, Millis(at)));
        assert!(!peers.record(told(6, INFORMED), 3, Millis(at + 400)), "it is known");
        assert!(!is_believed(&peers, 3, at));
        assert!(is_believed(&peers, 6, at), "the store shows it");
    }
}

#[test]
fn later_word_counts_once_a_read_has_missed_it() {
    let mut peers = ToldConfigurations::new(true, Millis(0));
    peers.record(told(3, INFORMED), 3, Millis(100));
    peers.record(told(6, INFORMED), 3, Millis(5_000));
    assert!(is_believed(&peers, 3, 5_010), "it may be on its way");
    peers.record_read(3, Millis(4_900));
    assert!(is_believed(&peers, 3, 5_020), "the read was sent before");
    peers.record_read(3, Millis(5_010));
    assert!(!is_believed(&peers, 3, 5_030));
    peers.record_read(6, Millis(6_000));
    assert_eq!(peers.newest(Millis(6_000)), 0);
}

#[test]
fn version_that_the_store_never_shows_is_given_up() {
    let mut peers = ToldConfigurations::new(true, Millis(0));
    for at in (0..90_000).step_by(400) {
        peers.record(told(u64::MAX, INFORMED), 3, Millis(at));
        peers.record_read(3, Millis(at));
        assert_eq!(is_believed(&peers, 3, at), at >= 30_000, "{at}");
    }
}

#[test]
fn wait_begins_anew() {
    let mut peers = ToldConfigurations::new(true, Millis(0));
    peers.record(told(3, INFORMED), 3, Millis(100));
    peers.wait_for_peers(Millis(50_000));
    assert!(!is_believed(&peers, 3, 51_000));
    peers.record(told(6, INFORMED), 3, Millis(51_000));
    assert!(!is_believed(&peers, 3, 53_000));
}

/// Guards against any order of words and reads in which an older version is believed.
#[test]
fn older_version_is_never_believed_after_an_informed_first_word() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut peers = ToldConfigurations::new(true, Millis(0));
        let mut now = 0;
        let heard_at = rng.random_range(1..1_900);
        while now < 25_000 {
            now += rng.random_range(1..200);
            match rng.random_range(0..4) {
                0 => {
                    peers.record(told(3, PROVISIONAL), 3, Millis(now));
                }
                1 => peers.record_read(3, Millis(now - 1)),
                _ if now >= heard_at => {
                    peers.record(told(6, INFORMED), 3, Millis(now));
                    peers.record(told(3, INFORMED), 3, Millis(now));
                }
                _ => {}
            }
            assert!(now >= 2_000 || !is_believed(&peers, 3, now), "seed {seed}, {now}");
            let is_told = peers.newest(Millis(now)) == 6;
            assert!(!is_told || !is_believed(&peers, 3, now), "seed {seed}, {now}");
        }
    }
}

#[test]
fn fleet_that_has_restarted_waits_for_half_a_second() {
    let waiting = Incarnation(1);
    let mut peers = ToldConfigurations::new(true, Millis(0));
    peers.review_peers([], Millis(600));
    assert!(!is_believed(&peers, 1, 600), "nobody is heard");
    peers.record(told(1, PROVISIONAL), 1, Millis(610));
    peers.review_peers([waiting, Incarnation(9)], Millis(620));
    assert!(!is_believed(&peers, 1, 620), "one of them has told nothing");
    peers.review_peers([waiting], Millis(630));
    assert!(is_believed(&peers, 1, 630));

    let mut early = ToldConfigurations::new(true, Millis(0));
    early.record(told(1, PROVISIONAL), 1, Millis(10));
    early.review_peers([waiting], Millis(499));
    assert!(!is_believed(&early, 1, 499));
    assert!(early.is_seeking_peers(Millis(499)) && !early.is_seeking_peers(Millis(500)));
}

/// Guards against a peer's word that is given up because the store was away for long.
#[test]
fn word_counts_from_the_return_of_the_store() {
    let mut peers = ToldConfigurations::new(true, Millis(0));
    peers.record(told(6, INFORMED), 0, Millis(100));
    let back_at = 60_000;
    assert!(!is_believed(&peers, 3, back_at), "the store is back");
    for at in (back_at..100_000).step_by(500) {
        peers.record_read(3, Millis(at));
        assert_eq!(is_believed(&peers, 3, at), at >= back_at + 30_000, "{at}");
    }
}
