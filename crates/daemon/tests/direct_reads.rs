//! One entry polls the store for the others.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StoreFault,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);
/// Longest time until a change is applied, and until a draining replica gets no more requests.
const MAX_APPLY_TIME: Duration = Duration::from_secs(2);

fn configuration(version: u64, prefix: &str) -> ConfigurationSpec {
    ConfigurationSpec {
        version,
        routes: vec![RouteSpec::new(prefix, "safe", "records")],
        organisations: Vec::new(),
    }
}

/// Four entries that have discovered each other.
fn entries(test: &str) -> Vec<EntryFixture> {
    let first = EntryFixture::start(test, &configuration(1, "/old/"));
    first.add_replica("r-1", "records", OK_RESPONSE);
    let mut fixtures = vec![first];
    for number in 0..3 {
        let peer = fixtures[0].start_peer(&format!("{test}-{number}"));
        fixtures.push(peer);
    }
    for fixture in &fixtures {
        fixture.wait_ready();
    }
    thread::sleep(Duration::from_secs(2));
    // The entry with the first name polls for the others.
    fixtures.sort_by_key(|fixture| fixture.callers.ip().to_string());
    fixtures
}

/// Applies a configuration; returns the time until all entries serve its route.
fn apply(fixtures: &[EntryFixture], version: u64, prefix: &str) -> Duration {
    configuration(version, prefix).apply(&fixtures[0].store);
    let applied = Instant::now();
    for fixture in fixtures {
        wait_until("the new route serves", || {
            let request = CallerRequest::new("GET", &format!("{prefix}1"), "id-1");
            fixture.send(&request).status == 200
        });
    }
    applied.elapsed()
}

#[test]
fn four_entries_poll_as_often_as_two_would() {
    let fixtures = entries("share");
    let before = fixtures[0].store.calls();
    thread::sleep(Duration::from_secs(6));
    let calls = fixtures[0].store.calls() - before;
    // One entry alone polls the configuration every 0.9 s and the replicas every 1.2 s: 12 calls.
    assert!(calls <= 24, "{calls} calls in 6 s");
}

#[test]
fn change_is_applied_at_all_entries_despite_stalled_watches() {
    let mut fixtures = entries("deaf");
    let replica = fixtures[0].add_replica("r-2", "records", OK_RESPONSE);
    for fixture in &fixtures {
        fixture.wait_for_replica(&replica);
    }
    fixtures[0].store.set_fault(StoreFault::StalledWatches);
    let took = apply(&fixtures, 2, "/new/");
    assert!(took < MAX_APPLY_TIME, "{took:?}");

    fixtures[0].drain(&replica, "records");
    thread::sleep(Duration::from_millis(1_900));
    let before = replica.received_requests().len();
    for fixture in &fixtures {
        for number in 0..6 {
            let response =
                fixture.send(&CallerRequest::new("GET", "/new/1", &format!("id-{number}")));
            assert_eq!(response.status, 200, "{response:?}");
        }
    }
    assert_eq!(replica.received_requests().len(), before);

    // The others poll for themselves until one of them has taken over.
    fixtures[0].kill();
    let took = apply(&fixtures[1..], 3, "/newer/");
    assert!(took < MAX_APPLY_TIME, "{took:?}");
}

#[test]
fn suspended_reader_delays_no_change() {
    let fixtures = entries("paused");
    fixtures[0].store.set_fault(StoreFault::StalledWatches);
    fixtures[0].signal("-STOP");
    let took = apply(&fixtures[1..], 2, "/new/");
    fixtures[0].signal("-CONT");
    assert!(took < MAX_APPLY_TIME, "{took:?}");
}

/// Guards against an entry that leaves its watches paused after an outage, because its peers
/// confirm its data while its own calls still fail.
#[test]
fn entry_resumes_its_watches_after_an_outage() {
    let fixtures = entries("outage");
    for round in 0..3 {
        let replica = fixtures[0].add_replica(&format!("r-2{round}"), "records", OK_RESPONSE);
        for fixture in &fixtures {
            fixture.wait_for_replica(&replica);
        }
        fixtures[0].store.set_fault(StoreFault::Unavailable);
        thread::sleep(Duration::from_secs(3));
        fixtures[0].store.set_fault(StoreFault::None);
        thread::sleep(Duration::from_secs(3));
        fixtures[0].drain(&replica, "records");
        thread::sleep(MAX_APPLY_TIME);
        let before = replica.received_requests().len();
        for fixture in &fixtures {
            for number in 0..6 {
                let request = CallerRequest::new("GET", "/old/1", &format!("id-{round}-{number}"));
                assert_eq!(fixture.send(&request).status, 200);
            }
        }
        assert_eq!(replica.received_requests().len(), before, "round {round}");
    }
}
