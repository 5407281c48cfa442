//! A response with neither a length nor chunks is not complete if its connection is reset while the
//! request is still being written.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    BODY_BYTE, CallerRequest, CallerResponse, ConfigurationSpec, EarlyBehaviour, EarlyReplica,
    EarlyResponse, RestReading, RouteSpec, StoreStandin, send_raw,
};
use std::time::Duration;

/// More than the buffers of two sockets hold.
const BODY_BYTES: usize = 8 << 20;
/// Bytes that the replica has read when it responds.
const READ_FIRST: usize = 4 << 10;
/// Times, in milliseconds, from a part of a response to the reset.
const PAUSES: [u64; 4] = [0, 2, 20, 300];
/// The same from the end of a response: later the response has been delivered.
const PAUSES_BEHIND_END: [u64; 3] = [0, 2, 20];

/// How the body of a request is sent to the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Upload {
    Length,
    Chunks,
}

fn configuration() -> ConfigurationSpec {
    let route = |prefix, kind| RouteSpec {
        request_timeout_ms: 10_000,
        ..RouteSpec::new(prefix, kind, "records")
    };
    let routes = vec![
        route("/look/", "safe"),
        route("/records/", "unsafe"),
        route("/drafts/", "stream"),
        route("/tail/", "resumable"),
    ];
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

fn prepare(test: &str) -> EntryFixture {
    let store = StoreStandin::start();
    configuration().apply_with_body_limit(&store, 2 * BODY_BYTES as u64);
    EntryFixture::without_entry(test, store)
}

fn send(fixture: &EntryFixture, path: &str, upload: Upload) -> CallerResponse {
    let mut request = CallerRequest::new("POST", path, "id-1");
    request.deadline_ms = 8_000;
    request.body = vec![BODY_BYTE; BODY_BYTES];
    match upload {
        Upload::Length => fixture.send(&request),
        Upload::Chunks => send_raw(fixture.callers, &request.to_chunks()),
    }
}

fn resetting(response: EarlyResponse, pause: u64) -> EarlyBehaviour {
    let rest = RestReading::ClosedAfter(Duration::from_millis(pause));
    EarlyBehaviour { read_first: READ_FIRST, response, rest }
}

/// Sends uploads to a replica that responds in this way and resets the connection after each of the
/// pauses; fails if a response is delivered as complete.
fn assert_never_complete(paths: [&str; 2], response: EarlyResponse, pauses: &[u64]) {
    let mut complete = Vec::new();
    for path in paths {
        for &pause in pauses {
            for upload in [Upload::Length, Upload::Chunks] {
                let test = format!("early_reset_{}_{response:?}_{pause}_{upload:?}", &path[1..5]);
                let mut fixture = prepare(&test);
                let behaviour = resetting(response, pause);
                let _replica = EarlyReplica::start(&fixture.store, "r-1", "records", behaviour);
                fixture.start_entry();
                fixture.wait_ready();
                let response = send(&fixture, path, upload);
                if response.status < 300 && response.is_complete {
                    complete.push(format!("{test}: {response:?}"));
                }
            }
        }
    }
    let cases = paths.len() * pauses.len() * 2;
    assert!(complete.is_empty(), "{} of {cases}: {complete:#?}", complete.len());
}

#[test]
fn part_of_a_body_is_not_complete() {
    assert_never_complete(["/look/1", "/records/1"], EarlyResponse::Part, &PAUSES);
}

#[test]
fn part_of_a_stream_is_not_complete() {
    assert_never_complete(["/drafts/1", "/tail/1"], EarlyResponse::StreamPart, &PAUSES);
}

/// Guards against a replica that closes both halves of its connection, one after the other.
#[test]
fn reset_behind_a_body_leaves_it_incomplete() {
    let response = EarlyResponse::UntilClose;
    assert_never_complete(["/look/1", "/records/1"], response, &PAUSES_BEHIND_END);
}

#[test]
fn reset_behind_a_stream_leaves_it_incomplete() {
    let response = EarlyResponse::StreamUntilClose;
    assert_never_complete(["/drafts/1", "/tail/1"], response, &PAUSES_BEHIND_END);
}

/// Guards against a caller that gets an error though another replica may serve the request.
#[test]
fn other_replica_serves_what_may_run_again() {
    for pause in PAUSES {
        let mut fixture = prepare(&format!("early_reset_again_{pause}"));
        let store = &fixture.store;
        let broken = resetting(EarlyResponse::Part, pause);
        let broken = EarlyReplica::start(store, "r-1", "records", broken);
        let sound = EarlyBehaviour {
            read_first: BODY_BYTES,
            response: EarlyResponse::Status(200),
            rest: RestReading::After(Duration::ZERO),
        };
        let _sound = EarlyReplica::start(store, "r-2", "records", sound);
        fixture.start_entry();
        fixture.wait_ready();
        wait_until("the broken replica is asked", || {
            let response = send(&fixture, "/look/1", Upload::Length);
            let is_whole = response.is_complete && response.body == "accepted\n";
            assert!(response.status == 200 && is_whole, "{pause} ms: {response:?}");
            !broken.received().is_empty()
        });
    }
}
