//! A replica that says in its responses that it is leaving gets no new requests.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, ReplicaStandin, RouteSpec, StreamEnding,
    replica_spec, set_start_time,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);

fn configuration() -> ConfigurationSpec {
    let routes = vec![
        RouteSpec::new("/look/", "safe", "records"),
        RouteSpec::new("/drafts/", "resumable", "records"),
    ];
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

fn look(number: usize) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", &format!("id-{number}"))
}

/// Sends requests until the replica has answered one.
fn send_until_reached(fixture: &EntryFixture, replica: &ReplicaStandin) {
    let before = replica.received_requests().len();
    let mut number = 0;
    wait_until("the replica has answered", || {
        number += 1;
        let _response = fixture.send(&look(number));
        replica.received_requests().len() > before
    });
}

/// Sends requests and returns how many of them reached the replica.
fn reached_by(fixture: &EntryFixture, replica: &ReplicaStandin, requests: usize) -> usize {
    let before = replica.received_requests().len();
    for number in 0..requests {
        assert_eq!(fixture.send(&look(number + 1_000)).status, 200);
    }
    replica.received_requests().len() - before
}

/// Registers a run of a replica that started at this time.
fn register_run(fixture: &EntryFixture, replica: &ReplicaStandin, started: u64) {
    let mut spec = replica_spec(replica, "records", "v1", false);
    set_start_time(&mut spec, started);
    fixture.store.put("servers", replica.id(), &spec);
}

#[test]
fn leaving_replica_gets_no_new_requests() {
    let fixture = EntryFixture::start("leaving", &configuration());
    let leaving = fixture.add_replica("r-1", "records", OK_RESPONSE);
    let staying = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_ready();
    send_until_reached(&fixture, &staying);
    leaving.set_leaving(true);
    send_until_reached(&fixture, &leaving);
    assert_eq!(reached_by(&fixture, &leaving, 60), 0);
    // The store still lists it as ready, also when it writes itself again.
    fixture.store.register_replica(&leaving, "records", "v1", false);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(reached_by(&fixture, &leaving, 60), 0);
    assert!(fixture.log().contains("replica: leaving"));
}

#[test]
fn peers_learn_that_a_replica_is_leaving() {
    let fixture = EntryFixture::start("leaving_a", &configuration());
    let leaving = fixture.add_replica("r-1", "records", OK_RESPONSE);
    let staying = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_ready();
    let peer = fixture.start_peer("leaving_b");
    peer.wait_ready();
    for entry in [&fixture, &peer] {
        send_until_reached(entry, &staying);
    }
    wait_until("the entries discover each other", || {
        fixture.log().contains("peers: discovered") && peer.log().contains("peers: discovered")
    });
    leaving.set_leaving(true);
    send_until_reached(&fixture, &leaving);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(reached_by(&peer, &leaving, 60), 0);
}

#[test]
fn restart_under_the_same_name_ends_the_leaving() {
    let fixture = EntryFixture::start("leaving_restart", &configuration());
    let replica = ReplicaStandin::start("r-1", OK_RESPONSE);
    register_run(&fixture, &replica, 10);
    let other = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_ready();
    send_until_reached(&fixture, &other);
    replica.set_leaving(true);
    send_until_reached(&fixture, &replica);
    assert_eq!(reached_by(&fixture, &replica, 30), 0);
    replica.set_leaving(false);
    register_run(&fixture, &replica, 20);
    send_until_reached(&fixture, &replica);
}

/// Guards against a replica that gets no requests because its clock was set back while it was down.
#[test]
fn restart_with_an_earlier_start_time_ends_the_leaving_too() {
    let fixture = EntryFixture::start("leaving_clock", &configuration());
    let replica = ReplicaStandin::start("r-1", OK_RESPONSE);
    register_run(&fixture, &replica, 20);
    let other = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_ready();
    send_until_reached(&fixture, &other);
    replica.set_leaving(true);
    send_until_reached(&fixture, &replica);
    assert_eq!(reached_by(&fixture, &replica, 30), 0);
    replica.set_leaving(false);
    register_run(&fixture, &replica, 10);
    let registered = Instant::now();
    while registered.elapsed() < Duration::from_secs(20) {
        if reached_by(&fixture, &replica, 5) > 0 {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the replica gets no requests 20 s after its restart");
}

#[test]
fn stream_of_a_leaving_replica_is_finished() {
    let fixture = EntryFixture::start("leaving_stream", &configuration());
    let behaviour = Behaviour::Stream {
        events: 8,
        sent: 8,
        interval: Duration::from_millis(60),
        ending: StreamEnding::Complete,
        confidence: 90,
    };
    let replica = fixture.add_replica("r-1", "records", behaviour);
    replica.set_leaving(true);
    fixture.wait_ready();
    fixture.wait_for_replica(&replica);
    let response = fixture.send(&CallerRequest::new("POST", "/drafts/1", "draft-1"));
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=8).collect::<Vec<u64>>());
    let next = fixture.send(&CallerRequest::new("POST", "/drafts/1", "draft-2"));
    assert_eq!((next.status, next.error_kind().as_str()), (503, "no_replica"));
    assert!(next.retry_after().is_some());
}

#[test]
fn late_response_of_an_earlier_run_does_not_exclude_the_next() {
    let fixture = EntryFixture::start("leaving_late", &configuration());
    let slow = Behaviour::Respond(200, Duration::from_millis(900));
    let replica = ReplicaStandin::start("r-1", slow);
    register_run(&fixture, &replica, 10);
    fixture.wait_ready();
    fixture.wait_for_replica(&replica);
    let caller = thread::spawn({
        let address = fixture.callers;
        move || ibissail_platform_standin::send_request(address, &look(1))
    });
    wait_until("the request runs", || replica.run_count() == 1);
    replica.set_leaving(true);
    // While the response is under way, the replica has restarted under its name.
    register_run(&fixture, &replica, 20);
    assert_eq!(caller.join().expect("the caller ends").status, 200);
    replica.set_leaving(false);
    replica.set_behaviour(OK_RESPONSE);
    assert_eq!(fixture.send(&look(2)).status, 200);
}
