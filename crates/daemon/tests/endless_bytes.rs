//! A replica whose response does not end keeps neither a request, the processor nor the memory.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, EndlessPart, ReplicaStandin, RouteSpec,
    StreamEnding,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);
/// Time within which a response without end is given up, on a busy machine.
const GIVE_UP_LIMIT: Duration = Duration::from_secs(1);
/// Largest growth of the peak resident memory; most of it is memory that the allocator commits ahead.
const MEMORY_GROWTH_KB: u64 = 16 << 10;
/// Requests served before memory is first read.
const WARM_UP_REQUESTS: u32 = 20;
/// Requests at a time of `many_responses_without_end`.
const PARALLEL_REQUESTS: u64 = 20;
/// Largest growth of the peak resident memory under these requests.
const PARALLEL_MEMORY_GROWTH_KB: u64 = PARALLEL_REQUESTS * (2 << 10);

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.request_timeout_ms = 8_000;
    let mut tail = RouteSpec::new("/tail/", "stream", "writers");
    tail.request_timeout_ms = 8_000;
    let mut records = RouteSpec::new("/records/", "unsafe", "records");
    records.request_timeout_ms = 8_000;
    let routes = vec![
        RouteSpec::new("/look/", "safe", "records"),
        records,
        tail,
        drafts,
        RouteSpec::new("/other/", "safe", "others"),
    ];
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

fn request(path: &str, id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", path, id);
    request.deadline_ms = 8_000;
    request
}

fn complete_stream() -> Behaviour {
    let ending = StreamEnding::Complete;
    Behaviour::Stream { events: 6, sent: 6, interval: Duration::ZERO, ending, confidence: 90 }
}

/// Fails unless a request to a replica of another service is served.
fn assert_serves(fixture: &EntryFixture) {
    let response = fixture.send(&CallerRequest::new("GET", "/other/1", "other"));
    assert_eq!(response.status, 200, "{response:?}");
}

/// An entry with a replica whose responses do not end, and one of another service.
fn start(test: &str, service: &str, part: EndlessPart) -> (EntryFixture, ReplicaStandin) {
    let fixture = EntryFixture::start(test, &configuration());
    let endless = fixture.add_replica("r-endless", service, Behaviour::Endless(part));
    let other = fixture.add_replica("r-other", "others", OK_RESPONSE);
    fixture.wait_ready();
    fixture.wait_for_replica(&endless);
    fixture.wait_for_replica(&other);
    for _ in 0..WARM_UP_REQUESTS {
        assert_serves(&fixture);
    }
    (fixture, endless)
}

/// Fails unless the entry closed the only connection to the replica soon.
fn assert_closed_soon(replica: &ReplicaStandin) {
    wait_until("the entry closes the connection", || !replica.closed_responses().is_empty());
    let closed = replica.closed_responses()[0];
    let took = closed.closed_at - closed.started_at;
    assert!(took < GIVE_UP_LIMIT, "closed after {took:?} and {} bytes", closed.sent_bytes);
}

/// Sends a request to the replica without end, which is the only one of its service, and others
/// meanwhile; the request must fail with an outcome that is unknown.
fn assert_failure(part: EndlessPart) {
    let (fixture, endless) = start(&format!("endless_{part:?}"), "records", part);
    let before = fixture.peak_memory_kb();
    let started = Instant::now();
    thread::scope(|scope| {
        let failing = scope.spawn(|| fixture.send(&request("/records/1", "id-1")));
        while !failing.is_finished() {
            assert_serves(&fixture);
        }
        let response = failing.join().expect("the caller ends");
        let took = started.elapsed();
        assert_eq!((response.status, response.is_complete), (502, true), "{part:?}: {response:?}");
        assert_eq!(response.error_kind(), "outcome_unknown", "{part:?}");
        assert!(took < GIVE_UP_LIMIT, "{part:?}: {took:?}");
    });
    assert_closed_soon(&endless);
    let grown = fixture.peak_memory_kb() - before;
    assert!(grown < MEMORY_GROWTH_KB, "{part:?}: {grown} kB more");
    wait_until("the failure is logged", || fixture.log().contains("attempt: failed"));
}

#[test]
fn interim_responses_without_end_fail_the_attempt() {
    assert_failure(EndlessPart::InterimHeads);
}

#[test]
fn head_without_end_fails_the_attempt() {
    for part in [EndlessPart::Header, EndlessPart::EmptyLines] {
        assert_failure(part);
    }
}

#[test]
fn body_without_end_fails_the_attempt() {
    for part in [
        EndlessPart::Body,
        EndlessPart::ChunkedBody,
        EndlessPart::ChunkSizeLine,
        EndlessPart::Trailers,
        EndlessPart::OtherBody,
    ] {
        assert_failure(part);
    }
}

#[test]
fn chunk_extensions_without_end_fail_the_attempt() {
    assert_failure(EndlessPart::ChunkExtensions);
}

#[test]
fn bytes_after_a_response_are_not_read() {
    let (fixture, endless) = start("endless_after", "records", EndlessPart::AfterResponse);
    let response = fixture.send(&request("/records/1", "id-1"));
    assert_eq!((response.status, response.body.as_str()), (200, "body"), "{response:?}");
    assert!(response.is_complete);
    assert_closed_soon(&endless);
}

#[test]
fn repeatable_request_is_served_by_another_replica() {
    for part in [EndlessPart::InterimHeads, EndlessPart::Header, EndlessPart::Body] {
        let (fixture, endless) = start(&format!("endless_retry_{part:?}"), "records", part);
        let sound = fixture.add_replica("r-sound", "records", OK_RESPONSE);
        fixture.wait_for_replica(&sound);
        let mut number = 0;
        while endless.run_count() == 0 {
            number += 1;
            let id = format!("id-{number}");
            let response = fixture.send(&CallerRequest::new("GET", "/look/1", &id));
            assert_eq!(response.status, 200, "{part:?}: {response:?}");
            assert_eq!(response.body, format!("answer of r-sound to {id}"), "{part:?}");
        }
        assert_closed_soon(&endless);
    }
}

/// Sends a stream to the replica without end, which is the only one; the stream must be broken off
/// after its first event.
fn assert_broken_stream(part: EndlessPart) {
    let (fixture, endless) = start(&format!("endless_{part:?}"), "writers", part);
    let before = fixture.peak_memory_kb();
    thread::scope(|scope| {
        let failing = scope.spawn(|| fixture.send(&request("/tail/1", "id-1")));
        while !failing.is_finished() {
            assert_serves(&fixture);
        }
        let response = failing.join().expect("the caller ends");
        assert_eq!((response.status, response.is_complete), (200, false), "{part:?}");
        assert_eq!(response.event_ids(), vec![1], "{part:?}");
    });
    assert_closed_soon(&endless);
    let grown = fixture.peak_memory_kb() - before;
    assert!(grown < MEMORY_GROWTH_KB, "{part:?}: {grown} kB more");
    wait_until("the failure is logged", || fixture.log().contains("attempt: failed"));
}

#[test]
fn event_without_end_breaks_its_stream() {
    assert_broken_stream(EndlessPart::Event);
    assert_broken_stream(EndlessPart::IdLine);
}

#[test]
fn comments_without_end_break_their_stream() {
    assert_broken_stream(EndlessPart::Comments);
}

#[test]
fn stream_with_an_event_without_end_is_resumed() {
    let (fixture, endless) = start("endless_resumed", "writers", EndlessPart::Event);
    let sound = fixture.add_replica("r-sound", "writers", complete_stream());
    fixture.wait_for_replica(&sound);
    let mut number = 0;
    while endless.run_count() == 0 {
        number += 1;
        let response = fixture.send(&request("/drafts/1", &format!("id-{number}")));
        assert!(response.status == 200 && response.is_complete, "{response:?}");
        assert_eq!(response.event_ids(), (1..=6).collect::<Vec<u64>>());
    }
    assert_closed_soon(&endless);
}

#[test]
fn memory_stays_bounded_under_many_responses_without_end() {
    let (fixture, _endless) = start("endless_many", "records", EndlessPart::Body);
    let before = fixture.peak_memory_kb();
    thread::scope(|scope| {
        for number in 0..PARALLEL_REQUESTS {
            let fixture = &fixture;
            scope.spawn(move || {
                let response = fixture.send(&request("/records/1", &format!("id-{number}")));
                assert_eq!(response.status, 502, "{response:?}");
            });
        }
    });
    let grown = fixture.peak_memory_kb() - before;
    assert!(grown < PARALLEL_MEMORY_GROWTH_KB, "{grown} kB more");
}
