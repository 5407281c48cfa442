//! An entry that starts on a restored store accepts no key that was taken away before.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_core::{Epoch, Incarnation};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StoreFault,
};
use serde::Serialize;
use std::{
    net::{SocketAddr, UdpSocket},
    thread,
    time::{Duration, Instant},
};

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);
/// Time for which the settings accept keys after the last confirmation.
const KEY_AGE: Duration = Duration::from_secs(2);
/// Time from a restore until the operators have written again.
const WRITE_TIME: Duration = Duration::from_secs(6);
/// Time in which a change of the configuration must be applied.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

/// The seeds of entries that restart.
#[derive(Debug, Clone, Copy)]
enum Seeds {
    None,
    /// Addresses of VMs that are gone.
    Stale,
    /// The entries that restart.
    Restarted,
}

/// The fields of a notice that tell a configuration.
#[derive(Debug, Serialize)]
struct Notice {
    incarnation: Incarnation,
    epoch: Epoch,
    configuration: u64,
}

#[derive(Debug, Serialize)]
enum Message {
    Notice(Notice),
}

fn configuration(version: u64, keys: &[&str]) -> ConfigurationSpec {
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    ConfigurationSpec { version, routes: vec![members], organisations: vec![("huts".into(), keys)] }
}

fn status(fixture: &EntryFixture, key: &str) -> u16 {
    let mut request = CallerRequest::new("GET", "/members/1", "id-key");
    request.key = Some(key.to_owned());
    fixture.send(&request).status
}

fn stale_seeds() -> Vec<SocketAddr> {
    ["127.255.1.1:4000", "127.255.1.2:4000"].map(|seed| seed.parse().expect("an address")).into()
}

/// Takes a key away, restores the store from a copy with the key while some of three entries restart
/// with these seeds, and asks them with that key until the operators have written again.
fn restart_on_a_restored_store(test: &str, restarted: usize, seeds: Seeds, down: Duration) {
    let keys = ["key-kept", "key-gone"];
    let mut fleet = EntryFixture::start_fleet(test, &configuration(1, &keys));
    let replica = fleet[0].add_replica("r-1", "records", OK_RESPONSE);
    EntryFixture::wait_for_fleet(&fleet);
    let copy = fleet[0].store.copy();
    configuration(2, &["key-kept"]).apply(&fleet[0].store);
    for entry in &fleet {
        wait_until("the key is refused", || status(entry, "key-gone") == 401);
    }
    // Refused everywhere for longer than the settings allow keys to stay in force.
    thread::sleep(KEY_AGE);
    let (remaining, restarting) = fleet.split_at_mut(3 - restarted);
    restarting.iter_mut().for_each(EntryFixture::kill);
    thread::sleep(down);
    let runs = replica.run_count();
    remaining[0].store.restore(&copy);
    let restored = Instant::now();
    let seeds = match seeds {
        Seeds::None => Vec::new(),
        Seeds::Stale => stale_seeds(),
        Seeds::Restarted => restarting.iter().map(|entry| entry.callers).collect(),
    };
    for entry in restarting.iter_mut() {
        entry.set_seeds(seeds.clone());
        entry.start_entry();
    }
    assert_refused_until_written(test, restarting, restored);
    assert_eq!(replica.run_count(), runs, "{test}");
    assert_accepted_once_written(test, restarting);
}

/// Asks entries with a key that was taken away until the operators write again.
fn assert_refused_until_written(test: &str, entries: &[EntryFixture], restored: Instant) {
    while restored.elapsed() < WRITE_TIME {
        for entry in entries {
            let status = status(entry, "key-gone");
            assert!(status == 401 || status == 503, "{test}: {status}, {:?}", restored.elapsed());
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Writes the configuration again that the store has lost.
fn assert_accepted_once_written(test: &str, entries: &[EntryFixture]) {
    configuration(2, &["key-kept"]).apply(&entries[0].store);
    let written = Instant::now();
    for entry in entries {
        wait_until("the kept key is accepted", || status(entry, "key-kept") == 200);
        assert!(written.elapsed() < CONFIGURATION_BOUND, "{test}: {:?}", written.elapsed());
        assert_eq!(status(entry, "key-gone"), 401, "{test}");
    }
}

/// Guards against a key that was taken away and runs at an entry that has started since the restore.
#[test]
fn key_stays_away_at_an_entry_that_restarts() {
    restart_on_a_restored_store("restarted_one", 1, Seeds::Stale, Duration::from_millis(300));
}

/// Guards against restarted entries that take each other's word for what only a third remembers.
#[test]
fn key_stays_away_at_two_entries_that_restart() {
    restart_on_a_restored_store("restarted_two", 2, Seeds::Stale, Duration::from_millis(300));
}

/// Guards against restarted entries that end the wait for each other before the third reports to them.
#[test]
fn key_stays_away_at_two_entries_that_are_their_seeds() {
    let down = Duration::from_millis(300);
    restart_on_a_restored_store("restarted_pair", 2, Seeds::Restarted, down);
}

/// Guards against an entry that believes the store because it has no seeds, though peers know it.
#[test]
fn key_stays_away_at_an_entry_without_seeds_that_restarts() {
    restart_on_a_restored_store("restarted_unseeded", 1, Seeds::None, Duration::from_millis(300));
}

/// Guards against a wait that ends before peers send to an address that has been silent.
#[test]
fn key_stays_away_at_an_entry_that_was_down_for_long() {
    restart_on_a_restored_store("restarted_late", 1, Seeds::Stale, Duration::from_secs(4));
}

/// Guards against a wait for peers that is over when the store returns.
#[test]
fn key_stays_away_at_an_entry_that_starts_while_the_store_is_away() {
    let test = "away_keys";
    let mut fleet = EntryFixture::start_fleet(test, &configuration(1, &["key-kept", "key-gone"]));
    let replica = fleet[0].add_replica("r-1", "records", OK_RESPONSE);
    EntryFixture::wait_for_fleet(&fleet);
    let copy = fleet[0].store.copy();
    configuration(2, &["key-kept"]).apply(&fleet[0].store);
    for entry in &fleet {
        wait_until("the key is refused", || status(entry, "key-gone") == 401);
    }
    fleet[0].store.set_fault(StoreFault::Unavailable);
    fleet[2].kill();
    fleet[2].set_seeds(stale_seeds());
    fleet[2].start_entry();
    thread::sleep(Duration::from_secs(4));
    let runs = replica.run_count();
    fleet[0].store.restore(&copy);
    fleet[0].store.set_fault(StoreFault::None);
    assert_refused_until_written(test, &fleet, Instant::now());
    assert_eq!(replica.run_count(), runs);
    assert_accepted_once_written(test, &fleet);
}

/// Guards against an entry that was suspended while the key was taken away and the store restored.
#[test]
fn key_stays_away_at_an_entry_that_was_suspended() {
    let test = "suspended_keys";
    let fleet = EntryFixture::start_fleet(test, &configuration(1, &["key-kept", "key-gone"]));
    let replica = fleet[0].add_replica("r-1", "records", OK_RESPONSE);
    EntryFixture::wait_for_fleet(&fleet);
    let copy = fleet[0].store.copy();
    fleet[2].signal("-STOP");
    configuration(2, &["key-kept"]).apply(&fleet[0].store);
    for entry in &fleet[..2] {
        wait_until("the key is refused", || status(entry, "key-gone") == 401);
    }
    thread::sleep(KEY_AGE + Duration::from_secs(2));
    let runs = replica.run_count();
    fleet[0].store.restore(&copy);
    let restored = Instant::now();
    fleet[2].signal("-CONT");
    assert_refused_until_written(test, &fleet[2..], restored);
    assert_eq!(replica.run_count(), runs);
    assert_accepted_once_written(test, &fleet[2..]);
}

/// Guards against a confirmation that stays in force when a peer tells of a newer configuration.
#[test]
fn key_is_refused_once_a_peer_has_a_newer_configuration() {
    let fixture = EntryFixture::start("told_newer", &configuration(1, &["key-1"]));
    fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    assert_eq!(status(&fixture, "key-1"), 200);
    let socket = UdpSocket::bind((fixture.peer_address().ip(), 0)).expect("a port");
    let notice = Notice { incarnation: Incarnation(5), epoch: Epoch(1), configuration: 2 };
    let bytes = rmp_serde::to_vec_named(&Message::Notice(notice)).expect("encoded");
    socket.send_to(&bytes, fixture.peer_address()).expect("it is sent");
    wait_until("the notice is read", || fixture.log().contains("told of a newer one"));
    assert_eq!(status(&fixture, "key-1"), 503);
    configuration(2, &["key-1"]).apply(&fixture.store);
    let written = Instant::now();
    wait_until("the key is accepted", || status(&fixture, "key-1") == 200);
    assert!(written.elapsed() < CONFIGURATION_BOUND, "{:?}", written.elapsed());
}

/// Guards against entries that wait for peers that will never come.
#[test]
fn keys_are_accepted_soon_where_no_peer_knows_more() {
    let store = EntryFixture::start("alone_store", &configuration(1, &["key-1"])).store.clone();
    let mut alone = EntryFixture::without_entry("alone", store.clone());
    alone.set_seeds(stale_seeds());
    let mut fleet = ["together_a", "together_b", "together_c"].map(|test| alone.prepare_peer(test));
    alone.add_replica("r-1", "records", OK_RESPONSE);
    let started = Instant::now();
    for entry in fleet.iter_mut().chain([&mut alone]) {
        entry.start_entry();
    }
    for entry in fleet.iter().chain([&alone]) {
        wait_until("the key is accepted", || status(entry, "key-1") == 200);
        assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    }
}
