//! The id of the first event of a response does not hide the other events of its stream.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedReplicas, resume_header,
    run_events,
};

/// Events of a complete stream.
const EVENTS: u64 = 8;

/// Sends a request for the events after `from`, whose first response consists of these bytes.
fn send(test: &str, from: u64, is_framed: bool, bytes: &'static str) -> CallerResponse {
    let route = RouteSpec::new("/drafts/", "resumable", "writers");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    let replicas = ScriptedReplicas::new(move |exchange| match (exchange.number, is_framed) {
        (0, false) => {
            exchange.send_unframed_head(200);
            exchange.send(bytes);
        }
        (0, true) => {
            exchange.send_stream_head();
            exchange.send_chunk(bytes);
            exchange.end_stream();
        }
        _ => {
            exchange.send_stream_head();
            exchange.send_events(exchange.resume_after + 1..=EVENTS);
            exchange.end_stream();
        }
    });
    for id in ["r-1", "r-2"] {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", "/drafts/1", "draft-1");
    if from > 0 {
        request.extra = resume_header(from);
    }
    fixture.send(&request)
}

/// Guards against a stream that ends as complete behind an id that no run has sent.
#[test]
fn first_event_far_ahead_does_not_hide_others() {
    let mut wrong = Vec::new();
    for from in [0, 4] {
        for (name, bytes) in [
            ("leap", "id: 99\ndata: x\n\nid: 5\ndata: word 5\n\n"),
            ("leap_to_last", "id: 8\ndata: x\n\nid: 5\ndata: word 5\n\n"),
            ("leap_and_cut", "id: 99\ndata: x\n\nid: 5\nda"),
        ] {
            for is_framed in [false, true] {
                let test = format!("first_{from}_{name}_{is_framed}");
                let response = send(&test, from, is_framed, bytes);
                let is_whole = response.body == run_events("word", from + 1..=EVENTS);
                if response.status == 200 && response.is_complete && !is_whole {
                    wrong.push((test, response));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} of 12 end as complete, such as {:?}", wrong.len(), wrong[0]);
}
