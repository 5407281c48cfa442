//! One entry reads the store exactly for the others.

mod direct;

use direct::{World, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StoreFault,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const AT_ONCE: Behaviour = Behaviour::Respond(200, Duration::ZERO);
/// Bound on a change in force and on a leaving replica left alone.
const IN_FORCE: Duration = Duration::from_secs(2);

fn configuration(version: u64, prefix: &str) -> ConfigurationSpec {
    ConfigurationSpec {
        version,
        routes: vec![RouteSpec::new(prefix, "safe", "records")],
        organisations: Vec::new(),
    }
}

/// Four entries that have heard of each other.
fn entries(test: &str) -> Vec<World> {
    let first = World::start(test, &configuration(1, "/old/"));
    first.add_replica("r-1", "records", AT_ONCE);
    let mut worlds = vec![first];
    for number in 0..3 {
        let beside = worlds[0].start_beside(&format!("{test}-{number}"));
        worlds.push(beside);
    }
    for world in &worlds {
        world.wait_ready();
    }
    thread::sleep(Duration::from_secs(2));
    // The entry with the first name reads for the others.
    worlds.sort_by_key(|world| world.callers.ip().to_string());
    worlds
}

/// Time until all entries serve the new route.
fn apply(worlds: &[World], version: u64, prefix: &str) -> Duration {
    configuration(version, prefix).apply(&worlds[0].store);
    let applied = Instant::now();
    for world in worlds {
        wait_until("the new route serves", || {
            let ask = CallerRequest::new("GET", &format!("{prefix}1"), "id-1");
            world.ask(&ask).status == 200
        });
    }
    applied.elapsed()
}

#[test]
fn four_entries_read_as_often_as_two_would() {
    let worlds = entries("share");
    let before = worlds[0].store.calls();
    thread::sleep(Duration::from_secs(6));
    let calls = worlds[0].store.calls() - before;
    // One entry alone reads every 0.9 s and lists every 1.2 s: 12 calls.
    assert!(calls <= 24, "{calls} calls in 6 s");
}

#[test]
fn change_in_force_at_all_entries_through_deaf_watches() {
    let mut worlds = entries("deaf");
    let replica = worlds[0].add_replica("r-2", "records", AT_ONCE);
    for world in &worlds {
        world.wait_known(&replica);
    }
    worlds[0].store.set_fault(StoreFault::StalledWatches);
    let took = apply(&worlds, 2, "/new/");
    assert!(took < IN_FORCE, "{took:?}");

    worlds[0].drain(&replica, "records");
    thread::sleep(Duration::from_millis(1_900));
    let before = replica.received_requests().len();
    for world in &worlds {
        for number in 0..6 {
            let answer = world.ask(&CallerRequest::new("GET", "/new/1", &format!("id-{number}")));
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    assert_eq!(replica.received_requests().len(), before);

    // The others read for themselves until one of them has taken over.
    worlds[0].kill();
    let took = apply(&worlds[1..], 3, "/newer/");
    assert!(took < IN_FORCE, "{took:?}");
}

#[test]
fn frozen_reader_delays_no_change() {
    let worlds = entries("frozen");
    worlds[0].store.set_fault(StoreFault::StalledWatches);
    worlds[0].signal("-STOP");
    let took = apply(&worlds[1..], 2, "/new/");
    worlds[0].signal("-CONT");
    assert!(took < IN_FORCE, "{took:?}");
}

/// Peers confirm what an entry believes while its own calls still fail.
#[test]
fn entry_follows_the_store_again_after_an_outage() {
    let worlds = entries("outage");
    for round in 0..3 {
        let replica = worlds[0].add_replica(&format!("r-2{round}"), "records", AT_ONCE);
        for world in &worlds {
            world.wait_known(&replica);
        }
        worlds[0].store.set_fault(StoreFault::Unavailable);
        thread::sleep(Duration::from_secs(3));
        worlds[0].store.set_fault(StoreFault::None);
        thread::sleep(Duration::from_secs(3));
        worlds[0].drain(&replica, "records");
        thread::sleep(IN_FORCE);
        let before = replica.received_requests().len();
        for world in &worlds {
            for number in 0..6 {
                let ask = CallerRequest::new("GET", "/old/1", &format!("id-{round}-{number}"));
                assert_eq!(world.ask(&ask).status, 200);
            }
        }
        assert_eq!(replica.received_requests().len(), before, "round {round}");
    }
}
