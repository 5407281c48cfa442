//! A stream that has broken off is resumed by a replica that goes on with it, and by no other response.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange,
    ScriptedReplicas, resume_header,
};

/// Events of the complete stream, and those before it breaks off.
const EVENTS: u64 = 8;
const EVENTS_BEFORE: u64 = 3;

/// Sends a request to an entry with three replicas, which play a script. `extra` are further header
/// lines of the request.
fn send<F>(test: &str, extra: &str, script: F) -> CallerResponse
where
    F: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let route = RouteSpec::new("/drafts/", "resumable", "writers");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    let replicas = ScriptedReplicas::new(script);
    for id in ["r-1", "r-2", "r-3"] {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", "/drafts/1", "draft-1");
    extra.clone_into(&mut request.extra);
    fixture.send(&request)
}

/// Begins a stream and breaks it off.
fn break_off(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(1..=EVENTS_BEFORE);
}

fn resume(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(exchange.resume_after + 1..=EVENTS);
    exchange.end_stream();
}

fn assert_whole(response: &CallerResponse) {
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
}

/// Asserts that the caller sees the begun stream and nothing else, and that it is incomplete.
fn assert_broken_off(response: &CallerResponse, case: &str) {
    assert!(response.status == 200 && !response.is_complete, "{case}: {response:?}");
    assert_eq!(response.event_ids(), (1..=EVENTS_BEFORE).collect::<Vec<u64>>(), "{case}");
    let lines = response.body.lines().filter(|line| !line.is_empty());
    for line in lines {
        let is_known = ["id: ", "data: word", ":"].iter().any(|start| line.starts_with(start));
        assert!(is_known, "{case}: {line}");
    }
}

type Script = fn(&mut ScriptedExchange);

/// Responses of a successor that do not go on with the stream.
const OTHER_RESPONSES: [(&str, Script); 13] = [
    ("error", |exchange| {
        exchange.send_head(500, 6);
        exchange.send("failed");
    }),
    ("error without framing", |exchange| {
        exchange.send_unframed_head(503);
        exchange.send("id: 4\ndata: busy\n\n");
    }),
    ("success of length 0", |exchange| exchange.send_head(200, 0)),
    ("success without framing or bytes", |exchange| exchange.send_unframed_head(200)),
    ("comments without framing", |exchange| {
        exchange.send_unframed_head(200);
        exchange.send(": wait\n\n");
    }),
    ("other body", |exchange| {
        exchange.send_head(200, 8);
        exchange.send("failed\n\n");
    }),
    ("data without id", |exchange| {
        exchange.send_stream_head();
        exchange.send_chunk("data: failed\n\n");
        exchange.end_stream();
    }),
    ("text with an id", |exchange| {
        exchange.send_head(200, 21);
        exchange.send("id: 0\ndata: failed!\n\n");
    }),
    ("second head", |exchange| {
        exchange.send_stream_head();
        exchange.send("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
    }),
    ("second head in a chunk", |exchange| {
        exchange.send_stream_head();
        exchange.send_chunk("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        exchange.end_stream();
    }),
    ("begins again", |exchange| {
        exchange.send_stream_head();
        exchange.send_events(1..=EVENTS);
        exchange.end_stream();
    }),
    ("repeats the last event", |exchange| {
        exchange.send_stream_head();
        exchange.send_events(exchange.resume_after..=EVENTS);
        exchange.end_stream();
    }),
    ("leaves a gap", |exchange| {
        exchange.send_stream_head();
        exchange.send_events(exchange.resume_after + 2..=EVENTS);
        exchange.end_stream();
    }),
];

#[test]
fn other_responses_do_not_continue_a_stream() {
    for (number, (case, other)) in OTHER_RESPONSES.iter().enumerate() {
        let response = send(&format!("other_{number}"), "", move |exchange| {
            if exchange.number == 0 { break_off(exchange) } else { other(exchange) }
        });
        assert_broken_off(&response, case);
    }
}

#[test]
fn stream_is_resumed_after_another_response() {
    for (number, (case, other)) in OTHER_RESPONSES.iter().enumerate() {
        let response =
            send(&format!("after_{number}"), "", move |exchange| match exchange.number {
                0 => break_off(exchange),
                1 => other(exchange),
                _ => resume(exchange),
            });
        assert!(response.is_complete, "{case}: {response:?}");
        assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<u64>>(), "{case}");
    }
}

#[test]
fn stream_that_lacks_only_its_end_is_ended() {
    let response = send("only_end", "", |exchange| {
        exchange.send_stream_head();
        exchange.send_events(exchange.resume_after + 1..=EVENTS);
        if exchange.number > 0 {
            exchange.end_stream();
        }
    });
    assert_whole(&response);
}

#[test]
fn ids_may_have_gaps_of_the_usual_size() {
    let response = send("steps", "", |exchange| {
        exchange.send_stream_head();
        let last = if exchange.number == 0 { 15 } else { 30 };
        exchange.send_events((exchange.resume_after / 5 + 1..=last / 5).map(|event| event * 5));
        if exchange.number > 0 {
            exchange.end_stream();
        }
    });
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), [5, 10, 15, 20, 25, 30]);
}

#[test]
fn stream_without_ids_is_not_delivered() {
    let response = send("no_ids", "", |exchange| {
        exchange.send_stream_head();
        exchange.send_chunk("data: word\n\n");
        if exchange.number > 0 {
            exchange.end_stream();
        }
    });
    assert_eq!(response.error_kind(), "outcome_unknown", "{response:?}");
    assert!(!response.body.contains("data: word"), "{response:?}");
}

#[test]
fn first_response_without_framing_or_events_is_no_stream() {
    let response = send("no_events", "", |exchange| {
        if exchange.number == 0 {
            exchange.send_unframed_head(200);
        } else {
            resume(exchange);
        }
    });
    assert_whole(&response);
}

#[test]
fn stream_that_its_caller_resumes_goes_on() {
    let response = send("by_caller", &resume_header(5), |exchange| {
        exchange.send_stream_head();
        let from = if exchange.number == 0 { 1 } else { exchange.resume_after + 1 };
        exchange.send_events(from..=EVENTS);
        exchange.end_stream();
    });
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), [6, 7, 8]);
}
