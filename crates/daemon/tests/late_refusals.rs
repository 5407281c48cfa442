//! A successor of a silent replica refuses the request late, after the silent attempt was given up.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};
use std::{thread, time::Duration};

/// Longer than the silence after which another replica is asked, 400 to 600 ms, and than the time
/// for which two replicas may work on one request.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time until the successor, which is silent too, refuses the request or fails.
const SUCCESSOR_SILENCE: Duration = Duration::from_millis(700);
/// Events of the complete stream, and those before the silence.
const EVENTS: u64 = 8;
const EVENTS_BEFORE: u64 = 3;

/// Sends one request to an entry with two replicas, which play a script.
fn send<F>(test: &str, kind: &str, script: F) -> CallerResponse
where
    F: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let mut route = RouteSpec::new("/drafts/", kind, "writers");
    route.request_timeout_ms = 20_000;
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    let replicas = ScriptedReplicas::new(script);
    for id in ["r-1", "r-2"] {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", "/drafts/1", "draft-1");
    request.deadline_ms = 10_000;
    fixture.send(&request)
}

fn respond(exchange: &mut ScriptedExchange) {
    exchange.send_head(200, 2);
    exchange.send("ok");
}

/// Sends the events of a stream, with a silence in the middle of a new one.
fn stream(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    if exchange.resume_after == 0 {
        exchange.send_events(1..=EVENTS_BEFORE);
        thread::sleep(SILENCE);
    }
    exchange.send_events(exchange.resume_after.max(EVENTS_BEFORE) + 1..=EVENTS);
    exchange.end_stream();
}

fn assert_whole_stream(response: &CallerResponse) {
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
}

#[test]
fn late_refusal_of_a_successor_does_not_cut_a_stream() {
    let response = send("refused_stream", "resumable", |exchange| {
        if exchange.number != 1 {
            return stream(exchange);
        }
        thread::sleep(SUCCESSOR_SILENCE);
        exchange.refuse();
    });
    assert_whole_stream(&response);
}

#[test]
fn late_failure_of_a_successor_does_not_cut_a_stream() {
    let response = send("failed_stream", "resumable", |exchange| {
        if exchange.number != 1 {
            return stream(exchange);
        }
        thread::sleep(SUCCESSOR_SILENCE);
    });
    assert_whole_stream(&response);
}

#[test]
fn late_refusal_of_a_successor_does_not_fail_a_repeatable_request() {
    let response = send("refused_safe", "safe", |exchange| match exchange.number {
        0 => {
            thread::sleep(SILENCE);
            respond(exchange);
        }
        1 => {
            // Before this silence is noticed too.
            thread::sleep(Duration::from_millis(450));
            exchange.refuse();
        }
        _ => respond(exchange),
    });
    assert_eq!((response.status, response.body.as_str()), (200, "ok"), "{response:?}");
}
