//! An event reaches the caller as one run made it, or not at all.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, REJECTION, RouteSpec, ScriptedExchange,
    ScriptedReplicas,
};
use std::{
    ops::RangeInclusive,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

/// Events of a complete stream, and those before one is cut.
const EVENTS: u64 = 8;
const EVENTS_BEFORE: u64 = 3;

type Script = fn(&mut ScriptedExchange);

/// Sends a request of this kind to an entry whose replicas play a script.
fn send<F>(test: &str, kind: &str, models: &[&str], script: F) -> CallerResponse
where
    F: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let mut route = RouteSpec::new("/drafts/", kind, "writers");
    route.request_timeout_ms = 20_000;
    route.models = models.iter().map(ToString::to_string).collect();
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
    request.deadline_ms = 6_000;
    if !models.is_empty() {
        request.prompt = vec![("shared".into(), 500), ("own".into(), 100)];
    }
    fixture.send(&request)
}

/// A stream of these events, in the words of a replica.
fn events_text(word: &str, numbers: RangeInclusive<u64>) -> String {
    numbers.fold(String::new(), |text, id| text + &format!("id: {id}\ndata: {word} {id}\n\n"))
}

fn assert_whole(response: &CallerResponse, word: &str, case: &str) {
    assert_eq!(response.body, events_text(word, 1..=EVENTS), "{case}: {response:?}");
    assert!(response.status == 200 && response.is_complete, "{case}: {response:?}");
}

/// Responds as a small model that is not confident.
fn respond_small(exchange: &mut ScriptedExchange) {
    exchange.confidence = 10;
    exchange.send_stream_head();
    for number in 1..=EVENTS {
        thread::sleep(Duration::from_millis(20));
        exchange.send_chunk(&format!("id: {number}\ndata: small {number}\n\n"));
    }
    exchange.end_stream();
}

/// How a run ends inside its first event.
const TORN_RUNS: [(&str, Script); 3] = [
    ("chunked", |exchange| {
        exchange.send_stream_head();
        exchange.send_chunk("id: 1\nda");
    }),
    ("inside a chunk", |exchange| {
        exchange.send_stream_head();
        exchange.send("30\r\nid: 1\nda");
    }),
    ("until close", |exchange| {
        exchange.send_unframed_head(200);
        exchange.send("id: 1\nda");
    }),
];

/// How a larger model does not take a request over.
const LARGER_MODELS: [(&str, Script); 3] = [
    ("refuses", ScriptedExchange::refuse),
    ("fails", |exchange| exchange.send_head(500, 0)),
    ("closes", |_exchange| {}),
];

/// Guards against the bytes of a broken attempt in the first event of a response that is gone back to.
#[test]
fn torn_first_event_is_not_joined_to_a_small_response() {
    for (number, (torn_case, tear)) in TORN_RUNS.into_iter().enumerate() {
        for (large_case, respond_large) in LARGER_MODELS {
            let test = format!("torn_{number}_{large_case}");
            let response = send(&test, "resumable", &["small", "large"], move |exchange| {
                match (exchange.number, exchange.model.as_str()) {
                    (0, _) => tear(exchange),
                    (_, "small") => respond_small(exchange),
                    _ => respond_large(exchange),
                }
            });
            assert_whole(&response, "small", &format!("{torn_case}, {large_case}"));
        }
    }
}

/// Guards against a sound silent stream that is cut because a successor began and broke off.
#[test]
fn successor_does_not_change_how_a_silent_stream_may_go_on() {
    // A response that goes on with a stream may not begin so far behind it.
    const REST: &str = "id: 7\ndata: last\n\n";
    let has_broken_off = AtomicBool::new(false);
    let response = send("going_on", "resumable", &[], move |exchange| {
        exchange.send_stream_head();
        if exchange.number > 0 {
            has_broken_off.store(true, Ordering::SeqCst);
            return;
        }
        exchange.send_events(1..=EVENTS_BEFORE);
        wait_until("a successor was asked", || has_broken_off.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(200));
        exchange.send_chunk(REST);
        exchange.end_stream();
    });
    let whole = events_text("word", 1..=EVENTS_BEFORE) + REST;
    assert!(response.is_complete && response.body == whole, "{response:?}");
}

/// How a stream is framed whose fourth event is cut, with what follows on the connection.
#[derive(Debug, Clone, Copy)]
enum CutStream {
    UntilClose,
    /// The chunk of the event is longer than what was sent of it.
    SameChunk,
    /// The cut event ends its chunk.
    OwnChunk,
}

const CUT_STREAMS: [CutStream; 3] =
    [CutStream::UntilClose, CutStream::SameChunk, CutStream::OwnChunk];

/// Where the fourth event is cut.
const CUT_EVENT: &str = "id: 4\ndata: wo";

/// Bytes that a replica sends instead of the rest of a stream.
type OtherResponse = fn(&ScriptedExchange) -> String;

const OTHER_RESPONSES: [(&str, OtherResponse); 5] = [
    ("success", |exchange| exchange.head_text(200, 8) + "booked\n\n"),
    ("failure", |exchange| exchange.head_text(500, 8) + "failed\n\n"),
    ("rejection", |_exchange| REJECTION.to_owned()),
    ("interim", |_exchange| "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
    ("stream", |exchange| exchange.stream_head_text() + "f\r\nid: 5\ndata: x\n\n\r\n"),
];

/// Begins a stream, cuts its fourth event and sends `other` on the same connection.
fn cut_and_send(exchange: &mut ScriptedExchange, stream: CutStream, other: OtherResponse) {
    let other = other(exchange);
    match stream {
        CutStream::UntilClose => {
            exchange.send_unframed_head(200);
            exchange.send(&events_text("word", 1..=EVENTS_BEFORE));
            exchange.send(&format!("{CUT_EVENT}{other}"));
        }
        CutStream::SameChunk => {
            exchange.send_stream_head();
            exchange.send_events(1..=EVENTS_BEFORE);
            let length = CUT_EVENT.len() + other.len() + 9;
            exchange.send(&format!("{length:x}\r\n{CUT_EVENT}{other}"));
        }
        CutStream::OwnChunk => {
            exchange.send_stream_head();
            exchange.send_events(1..=EVENTS_BEFORE);
            exchange.send_chunk(CUT_EVENT);
            thread::sleep(Duration::from_millis(20));
            exchange.send_chunk(&other);
            exchange.end_stream();
        }
    }
}

fn resume(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(exchange.resume_after + 1..=EVENTS);
    exchange.end_stream();
}

/// Guards against another response on the same connection that completes a cut event.
#[test]
fn cut_event_is_not_joined_to_another_response() {
    for stream in CUT_STREAMS {
        for (name, other) in OTHER_RESPONSES {
            for kind in ["resumable", "stream"] {
                let test = format!("cut_{stream:?}_{kind}_{name}");
                let response = send(&test, kind, &[], move |exchange| match exchange.number {
                    0 => cut_and_send(exchange, stream, other),
                    _ => resume(exchange),
                });
                let case = format!("{stream:?}, {name}, {kind}");
                if kind == "resumable" {
                    assert_whole(&response, "word", &case);
                } else {
                    // Events that arrive together with the other response are not delivered.
                    let is_cut = response.status == 200
                        && !response.is_complete
                        && response.body == events_text("word", 1..=EVENTS_BEFORE);
                    let is_unknown = response.error_kind() == "outcome_unknown";
                    assert!(is_cut || is_unknown, "{case}: {response:?}");
                }
            }
        }
    }
}

/// Guards against the end of a response inside a cut chunk that is taken for the end of an event.
#[test]
fn end_of_a_response_inside_a_chunk_does_not_end_an_event() {
    for kind in ["resumable", "stream"] {
        let response = send(&format!("cut_chunk_{kind}"), kind, &[], |exchange| {
            if exchange.number > 0 {
                return resume(exchange);
            }
            exchange.send_stream_head();
            exchange.send_events(1..=EVENTS_BEFORE);
            exchange.send(&format!("40\r\n{CUT_EVENT}\r\n0\r\n\r\n"));
        });
        if kind == "resumable" {
            assert_whole(&response, "word", kind);
        } else {
            assert_eq!(response.body, events_text("word", 1..=EVENTS_BEFORE), "{response:?}");
            assert!(response.status == 200 && !response.is_complete, "{response:?}");
        }
    }
}

/// Guards against sound events that are taken for another response.
#[test]
fn events_that_quote_a_response_are_delivered() {
    const EVENTS_TEXT: &str = "id: 1\ndata: HTTP/1.1 200 OK\n\nid: 2\ndata: HTTP/1.1 404 Not Found\n\
                               data: Content-Length: 0\ndata:\n\nid: 3\nevent: HTTP/1.1 100\ndata\n\n\
                               data: {\"text\":\"HTTP/1.1 200 OK\\r\\nContent-Length: 1\"}\nid: 4\nretry: 5\n\n";
    for kind in ["resumable", "stream"] {
        let response = send(&format!("quote_{kind}"), kind, &[], |exchange| {
            exchange.send_stream_head();
            for part in EVENTS_TEXT.as_bytes().chunks(7) {
                exchange.send_chunk(&String::from_utf8_lossy(part));
            }
            exchange.end_stream();
        });
        assert_eq!(response.body, EVENTS_TEXT, "{kind}");
        assert!(response.status == 200 && response.is_complete, "{kind}");
    }
}
