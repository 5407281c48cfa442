//! What a direct entry believes of the configuration, the replicas and the orders.

mod direct;

use direct::{World, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StoreFault, StoreStandin, head_lines,
    send_raw, session_header,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const AT_ONCE: Behaviour = Behaviour::Respond(200, Duration::ZERO);

fn configuration(version: u64, prefixes: &[&str], keys: &[&str]) -> ConfigurationSpec {
    let route = |prefix: &&str| RouteSpec::new(prefix, "safe", "records");
    let mut routes: Vec<RouteSpec> = prefixes.iter().map(route).collect();
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    routes.push(members);
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    ConfigurationSpec { version, routes, organisations: vec![("huts".into(), keys)] }
}

fn member(key: &str) -> CallerRequest {
    let mut ask = CallerRequest::new("GET", "/members/1", "id-1");
    ask.key = Some(key.to_owned());
    ask
}

#[test]
fn entry_without_a_configuration_says_so() {
    let world = {
        let mut world = World::without_entry("no_configuration", StoreStandin::start());
        world.start_entry();
        world
    };
    let answer = world.ask(&CallerRequest::new("GET", "/look/1", "id-1"));
    assert_eq!((answer.status, answer.error_kind().as_str()), (503, "settings_missing"));
    assert!(answer.retry_after().is_some());
    assert!(!world.is_ready());
}

#[test]
fn first_request_after_a_start_is_served() {
    let store = StoreStandin::start();
    configuration(1, &["/look/"], &[]).apply(&store);
    let mut world = World::without_entry("first_request", store);
    world.add_replica("r-1", "records", AT_ONCE);
    for number in 0..3 {
        // The first reads fail, as they may while many processes start at once.
        world.store.set_fault(StoreFault::Unavailable);
        world.start_entry();
        let mending = world.store.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(40));
            mending.set_fault(StoreFault::None);
        });
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("id-{number}")));
        assert_eq!(answer.status, 200, "{answer:?}");
        world.kill();
    }
}

#[test]
fn configuration_in_force_through_a_deaf_watch() {
    let world = World::start("deaf_watch", &configuration(1, &["/old/"], &[]));
    world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    world.store.set_fault(StoreFault::StalledWatches);
    configuration(2, &["/new/"], &[]).apply(&world.store);
    let applied = Instant::now();
    wait_until("the new route serves", || {
        world.ask(&CallerRequest::new("GET", "/new/1", "id-1")).status == 200
    });
    assert!(applied.elapsed() < Duration::from_secs(2), "{:?}", applied.elapsed());
    assert_eq!(world.ask(&CallerRequest::new("GET", "/old/1", "id-2")).status, 404);
}

#[test]
fn configuration_after_lost_history() {
    let world = World::start("lost_history", &configuration(1, &["/old/"], &[]));
    world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    world.store.compact();
    configuration(2, &["/new/"], &[]).apply(&world.store);
    world.store.compact();
    let applied = Instant::now();
    wait_until("the new route serves", || {
        world.ask(&CallerRequest::new("GET", "/new/1", "id-1")).status == 200
    });
    assert!(applied.elapsed() < Duration::from_secs(2), "{:?}", applied.elapsed());
}

#[test]
fn key_is_refused_when_the_configuration_is_too_old() {
    let world = World::start("stale_key", &configuration(1, &["/look/"], &["key-1"]));
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    assert_eq!(world.ask(&member("key-1")).status, 200);
    for outage in [StoreFault::Unresponsive, StoreFault::Unavailable] {
        world.store.set_fault(outage);
        // The settings allow keys for two seconds after the last confirmation.
        thread::sleep(Duration::from_secs(2));
        let answer = world.ask(&member("key-1"));
        assert_eq!(
            (answer.status, answer.error_kind().as_str()),
            (503, "settings_stale"),
            "{outage:?}"
        );
        let kept_open = head_lines("GET", "/members/1", "id-3") + "\r\n";
        let asked = Instant::now();
        assert_eq!(send_raw(world.callers, kept_open.as_bytes()).status, 503);
        assert!(asked.elapsed() < Duration::from_secs(1), "the connection leads elsewhere");
        let without_key = world.ask(&CallerRequest::new("GET", "/look/1", "id-2"));
        assert_eq!(without_key.status, 200, "requests without a key go on");
        world.store.set_fault(StoreFault::None);
        wait_until("keys are accepted again", || world.ask(&member("key-1")).status == 200);
    }
    assert!(replica.run_count() >= 3);
}

#[test]
fn suspended_entry_refuses_a_key_first() {
    let world = World::start("suspended", &configuration(1, &["/look/"], &["key-1"]));
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    world.signal("-STOP");
    world.store.set_fault(StoreFault::Unresponsive);
    configuration(2, &["/look/"], &[]).apply(&world.store);
    thread::sleep(Duration::from_millis(2_300));
    let before = replica.run_count();
    world.signal("-CONT");
    let answer = world.ask(&member("key-1"));
    assert_ne!(answer.status, 200, "{answer:?}");
    assert_eq!(replica.run_count(), before);
}

#[test]
fn leaving_replica_gets_nothing_more() {
    let world = World::start("leaving", &configuration(1, &["/look/"], &[]));
    let leaving = world.add_replica("r-1", "records", AT_ONCE);
    let staying = world.add_replica("r-2", "records", AT_ONCE);
    world.wait_ready();
    world.store.set_fault(StoreFault::StalledWatches);
    world.drain(&leaving, "records");
    thread::sleep(Duration::from_millis(1_900));
    let before = leaving.received_requests().len();
    for number in 0..20 {
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("id-{number}")));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(leaving.received_requests().len(), before);
    assert!(staying.run_count() >= 20);
}

#[test]
fn spoilt_entry_names_no_replica() {
    let world = World::start("spoilt", &configuration(1, &["/look/"], &[]));
    let sound = world.add_replica("r-1", "records", AT_ONCE);
    let spoilt = world.add_replica("r-2", "records", AT_ONCE);
    world.wait_ready();
    let mut entry = ibissail_platform_standin::replica_spec(&spoilt, "records", "v1", false);
    entry["state"] = 7.into();
    world.store.put("servers", "r-2", &entry);
    world.store.put("servers", "r-3", &"no object at all".into());
    thread::sleep(Duration::from_millis(300));
    let before = spoilt.received_requests().len();
    for number in 0..20 {
        assert_eq!(
            world.ask(&CallerRequest::new("GET", "/look/1", &format!("id-{number}"))).status,
            200
        );
    }
    assert_eq!(spoilt.received_requests().len(), before);
    assert!(sound.run_count() >= 20);
}

/// Asks some 200 times a second until the order has an end, so that a trial of a thirtieth of the
/// requests has answers enough on a busy machine too.
fn load_until_final(world: &World, service: &str) -> String {
    let until = Instant::now() + Duration::from_secs(20);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("load-{number}")));
        assert!(answer.status == 200 || answer.status == 500, "{answer:?}");
        let state = world.order_state(service);
        if state == "succeeded" || state == "rolled_back" {
            return state;
        }
        thread::sleep(Duration::from_millis(3));
    }
    world.order_state(service)
}

#[test]
fn good_version_takes_over() {
    let world = World::start("good_version", &configuration(1, &["/look/"], &[]));
    world.add_version("old-1", "records", "v1", AT_ONCE);
    world.wait_ready();
    thread::sleep(Duration::from_millis(2_200));
    let new = world.add_version("new-1", "records", "v2", AT_ONCE);
    world.order("records", "v2", 8.0);
    let state = load_until_final(&world, "records");
    assert_eq!(state, "succeeded", "{}", world.decisions());
    let before = new.run_count();
    for number in 0..30 {
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("after-{number}")));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(new.run_count() - before, 30, "all requests go to the new version");
}

#[test]
fn bad_version_is_rolled_back_early() {
    let world = World::start("bad_version", &configuration(1, &["/look/"], &[]));
    world.add_version("old-1", "records", "v1", AT_ONCE);
    world.wait_ready();
    thread::sleep(Duration::from_millis(2_200));
    let bad = Behaviour::Respond(500, Duration::ZERO);
    let new = [
        world.add_version("new-1", "records", "v2", bad.clone()),
        world.add_version("new-2", "records", "v2", bad),
    ];
    world.order("records", "v2", 16.0);
    assert_eq!(load_until_final(&world, "records"), "rolled_back");
    let runs: usize = new.iter().map(ibissail_platform_standin::ReplicaStandin::run_count).sum();
    assert!(runs <= 30, "{runs} requests of the bad version");
    let before = runs;
    for number in 0..30 {
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("after-{number}")));
        assert_eq!(answer.status, 200);
    }
    let after: usize = new.iter().map(ibissail_platform_standin::ReplicaStandin::run_count).sum();
    assert_eq!(after, before);
}

#[test]
fn status_of_an_earlier_order_starts_no_clock() {
    let world = World::start("earlier_order", &configuration(1, &["/look/"], &[]));
    world.add_version("old-1", "records", "v1", AT_ONCE);
    world.wait_ready();
    world.order("records", "v2", 4.0);
    wait_until("the first order is taken up", || world.order_state("records") == "running");
    thread::sleep(Duration::from_secs(3));
    let new = world.add_version("new-1", "records", "v3", AT_ONCE);
    world.order("records", "v3", 30.0);
    thread::sleep(Duration::from_millis(700));
    for number in 0..60 {
        let _answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("id-{number}")));
    }
    assert!(new.run_count() < 20, "a new order begins with its trial: {} of 60", new.run_count());
}

#[test]
fn store_that_is_away_is_asked_seldom() {
    let world = World::start("away", &configuration(1, &["/look/"], &[]));
    world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    world.store.set_fault(StoreFault::Unavailable);
    thread::sleep(Duration::from_secs(1));
    let before = world.store.calls();
    thread::sleep(Duration::from_secs(3));
    let calls = world.store.calls() - before;
    assert!(calls <= 10, "{calls} calls in three seconds");
    let back = Instant::now();
    world.store.set_fault(StoreFault::None);
    configuration(2, &["/new/"], &[]).apply(&world.store);
    wait_until("the new route serves", || {
        world.ask(&CallerRequest::new("GET", "/new/1", "id-1")).status == 200
    });
    assert!(back.elapsed() < Duration::from_secs(2), "{:?}", back.elapsed());
}

#[test]
fn running_session_stays_on_its_version_across_entries() {
    let world = World::start("sessions_a", &configuration(1, &["/look/"], &[]));
    let old = world.add_version("old-1", "records", "v1", AT_ONCE);
    world.wait_ready();
    let beside = world.start_beside("sessions_b");
    beside.wait_ready();
    wait_until("the entries hear of each other", || {
        world.log().contains("peers: discovered") && beside.log().contains("peers: discovered")
    });
    let ask_in_session = |world: &World, session: u32, round: u32| {
        let mut ask = CallerRequest::new("GET", "/look/1", &format!("s{session}-{round}"));
        ask.extra = session_header(&format!("s{session}"));
        assert_eq!(world.ask(&ask).status, 200);
    };
    for session in 0..200 {
        ask_in_session(&world, session, 0);
    }
    let new = world.add_version("new-1", "records", "v2", AT_ONCE);
    world.order("records", "v2", 30.0);
    beside.wait_known(&new);
    // The sessions go on at the other entry, once the trial of the new version has begun.
    thread::sleep(Duration::from_millis(1_500));
    for round in 1..4 {
        for session in 0..200 {
            ask_in_session(&beside, session, round);
        }
    }
    assert!(old.run_count() >= 800);
    let moved: Vec<String> =
        new.received_requests().into_iter().map(|arrival| arrival.id).collect();
    assert!(moved.is_empty(), "sessions that were moved: {moved:?}");
}

#[test]
fn lost_answer_of_a_status_write() {
    let world = World::start("lost_status", &configuration(1, &["/look/"], &[]));
    world.add_version("old-1", "records", "v1", AT_ONCE);
    world.wait_ready();
    world.store.set_fault(StoreFault::LostWriteResponses);
    world.order("records", "v2", 20.0);
    wait_until("the status is there", || world.order_state("records") == "running");
    let calls = world.store.calls();
    thread::sleep(Duration::from_secs(2));
    assert!(world.store.calls() - calls < 15, "a write that took effect is not repeated");
}
