//! Responses without a length or chunks reach the caller whole and framed, and cut ones never look
//! complete.

mod direct;

use direct::EntryFixture;
use ibissail_platform_standin::{
    Behaviour, CallerRequest, CallerResponse, ConfigurationSpec, ConnectionEnding, RouteSpec,
    StreamEnding,
};
use std::time::Duration;

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);
/// Events of a complete stream.
const EVENTS: u64 = 12;

fn configuration() -> ConfigurationSpec {
    let routes = vec![
        RouteSpec::new("/records/", "unsafe", "records"),
        RouteSpec::new("/look/", "safe", "records"),
        RouteSpec::new("/tail/", "stream", "writers"),
        RouteSpec::new("/drafts/", "resumable", "writers"),
    ];
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

fn start(test: &str, service: &str, behaviour: Behaviour) -> EntryFixture {
    let fixture = EntryFixture::start(test, &configuration());
    fixture.add_replica("r-1", service, behaviour);
    fixture.wait_ready();
    fixture
}

fn send(fixture: &EntryFixture, path: &str) -> CallerResponse {
    fixture.send(&CallerRequest::new("POST", path, "id-1"))
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Fails unless a request that meets a stream cut at event 5 is resumed at a sound replica.
fn assert_resumed(test: &str, ending: ConnectionEnding) {
    let fixture = EntryFixture::start(test, &configuration());
    let cut = fixture.add_replica("r-1", "writers", Behaviour::UnframedStream(5, ending));
    let ending = StreamEnding::Complete;
    let interval = Duration::ZERO;
    let sound =
        Behaviour::Stream { events: EVENTS, sent: EVENTS, interval, ending, confidence: 90 };
    let sound = fixture.add_replica("r-2", "writers", sound);
    fixture.wait_ready();
    fixture.wait_for_replica(&cut);
    fixture.wait_for_replica(&sound);
    let mut number = 0;
    while cut.run_count() == 0 {
        number += 1;
        let draft = CallerRequest::new("POST", "/drafts/1", &format!("id-{number}"));
        let response = fixture.send(&draft);
        assert!(response.status == 200 && response.is_complete, "{response:?}");
        assert_eq!(response.event_ids(), all_events());
    }
    assert!(sound.received_requests().iter().any(|received| received.resume_after == Some(5)));
}

#[test]
fn body_that_ends_with_its_connection_is_complete() {
    let fixture = start("unframed", "records", Behaviour::Unframed(ConnectionEnding::Closed));
    for path in ["/records/1", "/look/1"] {
        let response = send(&fixture, path);
        assert_eq!((response.status, response.body.as_str()), (200, "answer of r-1 to id-1"));
        assert!(response.is_signed() && response.is_complete, "{response:?}");
        assert_eq!(response.header("Content-Length"), Some("21"));
    }
}

#[test]
fn body_that_ends_with_a_reset_is_not_complete() {
    let reset = Behaviour::Unframed(ConnectionEnding::Reset);
    let fixture = start("unframed_reset", "records", reset);
    let response = send(&fixture, "/records/1");
    assert_eq!((response.status, response.error_kind().as_str()), (502, "outcome_unknown"));
    let sound = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_for_replica(&sound);
    for _ in 0..6 {
        let response = send(&fixture, "/look/1");
        assert_eq!((response.status, response.body.as_str()), (200, "answer of r-2 to id-1"));
    }
}

#[test]
fn stream_that_ends_with_its_connection_is_complete() {
    let behaviour = Behaviour::UnframedStream(EVENTS, ConnectionEnding::Closed);
    let fixture = start("unframed_stream", "writers", behaviour);
    for path in ["/tail/1", "/drafts/1"] {
        let response = send(&fixture, path);
        assert!(response.status == 200 && response.is_complete, "{response:?}");
        assert_eq!(response.header("Transfer-Encoding"), Some("chunked"));
        assert_eq!(response.event_ids(), all_events());
    }
}

#[test]
fn cut_stream_is_not_complete() {
    for ending in [ConnectionEnding::ClosedInsideEvent, ConnectionEnding::Reset] {
        let test = format!("unframed_cut_{ending:?}");
        let fixture = start(&test, "writers", Behaviour::UnframedStream(5, ending));
        let response = send(&fixture, "/tail/1");
        assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    }
}

#[test]
fn cut_stream_is_resumed() {
    assert_resumed("unframed_resumed_cut", ConnectionEnding::ClosedInsideEvent);
    assert_resumed("unframed_resumed_reset", ConnectionEnding::Reset);
}
