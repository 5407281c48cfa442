//! Requests in progress and kept connections while the entry is reloaded, reconfigured or stopped.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, ScriptedReplicas, StoreFault,
    head_lines,
};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

const CALLERS: u64 = 12;
/// Changes of the configuration, and the time between two.
const ROUNDS: u64 = 50;
const ROUND: Duration = Duration::from_millis(100);
/// Longer than the silence after which another replica is asked, 400 ms to 1 s.
const SILENCE: Duration = Duration::from_millis(1_500);

fn configuration(version: u64) -> ConfigurationSpec {
    let route = |prefix, kind, service| {
        let mut route = RouteSpec::new(prefix, kind, service);
        route.request_timeout_ms = 10_000;
        route
    };
    let routes = vec![
        route("/look/", "safe", "records"),
        route("/records/", "unsafe", "records"),
        route("/drafts/", "resumable", "writers"),
        route("/plain/", "stream", "writers"),
        route("/notes/", "unsafe", "writers"),
        route("/reads/", "safe", "writers"),
    ];
    ConfigurationSpec { version, routes, organisations: Vec::new() }
}

/// Sends requests on one connection until `done` is set; returns the first line of each response.
fn keep_sending(fixture: &EntryFixture, caller: u64, done: &AtomicBool) -> Vec<String> {
    let mut stream = TcpStream::connect(fixture.callers).expect("the entry accepts connections");
    let mut responses = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let number = responses.len();
        let path = if number.is_multiple_of(2) { "/look/1" } else { "/records/1" };
        let id = format!("c{caller}-{number}");
        let head = head_lines("POST", path, &id) + "Content-Length: 3\r\n\r\nabc";
        stream.write_all(head.as_bytes()).expect("the connection is open");
        let mut buf = [0; 2048];
        let count = stream.read(&mut buf).expect("the connection is open");
        let text = String::from_utf8_lossy(&buf[..count]).into_owned();
        responses.push(text.lines().next().unwrap_or_default().to_owned());
        thread::sleep(Duration::from_millis(7 * (caller % 4)));
    }
    responses
}

#[test]
fn kept_connections_outlast_reloads_configurations_and_outages() {
    let fixture = EntryFixture::start("busy", &configuration(1));
    for id in ["r-1", "r-2", "r-3"] {
        let slow = Behaviour::Respond(200, Duration::from_millis(20));
        let replica = fixture.add_replica(id, "records", slow);
        fixture.wait_for_replica(&replica);
    }
    fixture.wait_ready();
    let done = AtomicBool::new(false);
    let responses: Vec<String> = thread::scope(|scope| {
        let (fixture, done) = (&fixture, &done);
        let start = |caller| scope.spawn(move || keep_sending(fixture, caller, done));
        let callers: Vec<_> = (0..CALLERS).map(start).collect();
        for round in 0..ROUNDS {
            configuration(2 + round).apply(&fixture.store);
            fixture.signal("-HUP");
            match round {
                20 => fixture.store.restore(&fixture.store.copy()),
                30 => fixture.store.set_fault(StoreFault::Unavailable),
                35 => fixture.store.set_fault(StoreFault::None),
                _ => {}
            }
            thread::sleep(ROUND);
        }
        done.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("it ends")).collect()
    });
    assert!(responses.len() > 500, "{}", responses.len());
    assert!(responses.iter().all(|line| line == "HTTP/1.1 200 OK"), "{responses:?}");
}

/// Stops the entry while the only replica that takes the request is silent.
fn stop_beside_a_silence(test: &str, path: &str, is_stream: bool) {
    let mut fixture = EntryFixture::start(test, &configuration(1));
    let replicas = ScriptedReplicas::new(move |exchange| match exchange.number {
        0 if is_stream => {
            exchange.send_stream_head();
            exchange.send_events(1..=3);
            thread::sleep(SILENCE);
            exchange.send_events(4..=8);
            exchange.end_stream();
        }
        0 => {
            thread::sleep(SILENCE);
            exchange.send_head(200, 2);
            exchange.send("ok");
        }
        _ => exchange.refuse(),
    });
    for id in ["r-1", "r-2"] {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", path, "request-1");
    request.deadline_ms = 8_000;
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&request));
        wait_until("the replica has the request", || !replicas.received_at().is_empty());
        thread::sleep(SILENCE / 3);
        fixture.signal("-TERM");
        sending.join().expect("the caller gets a response")
    });
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    wait_until("the entry exits", || fixture.has_exited());
}

#[test]
fn stop_beside_a_silent_resumable_stream() {
    stop_beside_a_silence("stop_resumable", "/drafts/1", true);
}

#[test]
fn stop_beside_a_silent_plain_stream() {
    stop_beside_a_silence("stop_plain", "/plain/1", true);
}

#[test]
fn stop_beside_a_silent_repeatable_request() {
    stop_beside_a_silence("stop_safe", "/reads/1", false);
}

#[test]
fn stop_beside_a_silent_request_that_runs_once() {
    stop_beside_a_silence("stop_unsafe", "/notes/1", false);
}
