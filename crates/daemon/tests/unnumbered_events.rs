//! Bytes that are no event of a run do not reach its caller.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange,
    ScriptedReplicas, VERSION_LINE,
};
use std::{fmt::Write, ops::RangeInclusive, sync::Mutex, thread};

/// Events of a complete stream.
const EVENTS: u64 = 8;

/// Tests that run at the same time.
const THREADS: usize = 4;

/// Bytes that are no event, with a name for the case.
const FOREIGN: [(&str, &str); 12] = [
    ("word", "garbage\n\n"),
    ("control", "\u{1}\u{2}\u{3}\n\n"),
    ("page", "<html>\n<p style=\"a: b\">Bad Gateway</p>\n</html>\n\n"),
    ("json", "{\"error\": \"overloaded\"}\n\n"),
    ("no_id", "data: x\n\n"),
    ("named_no_id", "event: ping\ndata: x\n\n"),
    ("empty_id", "id:\ndata: x\n\n"),
    ("bare_id", "id\ndata: x\n\n"),
    ("odd_id", "id: 5a\ndata: x\n\n"),
    ("no_data", "id: 9\n\n"),
    ("two_ids", "id: 5\nid: 9\ndata: x\n\n"),
    ("joined", "garbage\nid: 9\ndata: x\n\n"),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamFraming {
    UntilClose,
    Chunks,
}

/// A stream with foreign bytes in it.
#[derive(Debug, Clone, Copy)]
struct SpoiledStream {
    kind: &'static str,
    framing: StreamFraming,
    name: &'static str,
    bytes: &'static str,
    /// Events that the bytes follow.
    after: u64,
}

impl SpoiledStream {
    fn send(&self, exchange: &mut ScriptedExchange) {
        let is_cut = !self.bytes.ends_with('\n');
        let rest = if is_cut { String::new() } else { events_text(self.after + 1..=EVENTS) };
        let parts = [events_text(1..=self.after), self.bytes.to_owned(), rest];
        send_parts(exchange, self.framing, &parts);
    }

    /// Returns the caller's response unless it is as it should be.
    fn play(&self) -> Option<CallerResponse> {
        let Self { kind, framing, name, after, .. } = *self;
        let test = format!("foreign_{kind}_{framing:?}_{name}_{after}");
        let spoiled = *self;
        let response = send(&test, kind, move |exchange| match exchange.number {
            0 => spoiled.send(exchange),
            _ => resume(exchange),
        });
        let whole = events_text(1..=EVENTS);
        let is_right = match (kind, response.status) {
            ("resumable", status) => {
                status == 200 && response.is_complete && response.body == whole
            }
            (_, 200) => !response.is_complete && whole.starts_with(&response.body),
            _ => response.error_kind() == "outcome_unknown",
        };
        (!is_right).then_some(response)
    }
}

fn events_text(numbers: RangeInclusive<u64>) -> String {
    numbers.fold(String::new(), |mut text, id| {
        write!(text, "id: {id}\ndata: word {id}\n\n").expect("a string takes any text");
        text
    })
}

/// Sends a stream that consists of these parts.
fn send_parts(exchange: &mut ScriptedExchange, framing: StreamFraming, parts: &[String]) {
    let parts = parts.iter().filter(|part| !part.is_empty());
    match framing {
        StreamFraming::UntilClose => {
            exchange.send_unframed_head(200);
            parts.for_each(|part| exchange.send(part));
        }
        StreamFraming::Chunks => {
            exchange.send_stream_head();
            parts.for_each(|part| exchange.send_chunk(part));
            exchange.end_stream();
        }
    }
}

fn resume(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(exchange.resume_after + 1..=EVENTS);
    exchange.end_stream();
}

/// Sends a request of this kind to an entry whose replicas play a script.
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
    request.deadline_ms = 6_000;
    fixture.send(&request)
}

/// Plays streams, some at a time; none of the responses may be wrong.
fn check_all(streams: Vec<SpoiledStream>) {
    let count = streams.len();
    let (streams, wrong) = (Mutex::new(streams), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let next = streams.lock().expect("no check fails under the lock").pop();
                    let Some(stream) = next else { return };
                    if let Some(response) = stream.play() {
                        let mut wrong = wrong.lock().expect("no check fails under the lock");
                        wrong.push((stream, response));
                    }
                }
            });
        }
    });
    let wrong = wrong.into_inner().expect("no check fails under the lock");
    assert!(wrong.is_empty(), "{} of {count} are wrong, such as {:?}", wrong.len(), wrong[0]);
}

/// Streams of both kinds and framings with these bytes, named, behind so many events.
fn spoiled_streams(
    cases: &[(&'static str, &'static str)],
    positions: &[u64],
) -> Vec<SpoiledStream> {
    let mut streams = Vec::new();
    for kind in ["resumable", "stream"] {
        for framing in [StreamFraming::UntilClose, StreamFraming::Chunks] {
            for (name, bytes) in cases.iter().copied() {
                let positions = positions.iter().copied();
                streams.extend(positions.map(|after| SpoiledStream {
                    kind,
                    framing,
                    name,
                    bytes,
                    after,
                }));
            }
        }
    }
    streams
}

/// Guards against bytes without a numbered event that are delivered because a blank line ends them.
#[test]
fn bytes_that_are_no_event_are_not_delivered() {
    check_all(spoiled_streams(&FOREIGN, &[0, 4, EVENTS]));
}

/// Guards against an id that does not rise, and is taken for the position of the stream.
#[test]
fn event_with_an_earlier_id_is_not_delivered() {
    const EARLIER: [(&str, &str); 2] =
        [("earlier", "id: 2\ndata: word 2\n\n"), ("again", "id: 4\ndata: word 4\n\n")];
    check_all(spoiled_streams(&EARLIER, &[4]));
}

/// Sends a sound stream in parts of this many bytes; the caller must get it as it is.
fn check_delivered(name: &str, text: &str, part_bytes: usize) {
    for kind in ["resumable", "stream"] {
        for framing in [StreamFraming::UntilClose, StreamFraming::Chunks] {
            let case = format!("{name}_{kind}_{framing:?}");
            let bytes = text.as_bytes().chunks(part_bytes);
            let parts: Vec<String> =
                bytes.map(|part| String::from_utf8_lossy(part).into_owned()).collect();
            let response = send(&case, kind, move |exchange| send_parts(exchange, framing, &parts));
            assert_eq!(response.body, text, "{case}: {response:?}");
            assert!(response.status == 200 && response.is_complete, "{case}: {response:?}");
        }
    }
}

/// Guards against sound events that are taken for foreign bytes.
#[test]
fn unusual_events_are_delivered() {
    let lines = [
        ": begin\n\n\nretry: 500\n\n",
        VERSION_LINE,
        "\nid: 1\ndata: a\n\n",
        "data: several\nid:2\ndata:lines\ndata\n\n",
        ": a comment\nevent: note\nid: 7\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 0\nretry: 5\n\n",
        VERSION_LINE,
        "\n: comment\ndata:\nid: 8\n\n",
    ];
    for line_end in ["\n", "\r\n"] {
        let text = lines.concat().replace('\n', line_end);
        check_delivered(&format!("unusual_{}", line_end.len()), &text, 11);
    }
}

/// Guards against a blank line behind the last event that is taken for the start of another.
#[test]
fn stream_may_end_with_blank_lines() {
    check_delivered("blank_end", &(events_text(1..=EVENTS) + "\n"), 1);
}

/// Guards against an event with CRLF line ends among others that is refused for what it quotes.
#[test]
fn event_with_other_line_ends_may_quote_a_response() {
    const MIXED: &str =
        "id: 1\ndata: a\n\nid: 2\r\ndata: HTTP/1.1 200 OK\r\n\r\nid: 3\ndata: b\n\n";
    check_delivered("mixed", MIXED, 11);
}

/// Guards against an id that nobody sent, which becomes the position at which a stream goes on.
#[test]
fn event_that_leaps_ahead_does_not_hide_others() {
    const AHEAD: [(&str, &str); 4] = [
        ("leap", "id: 99\ndata: x\n\n"),
        ("leap_to_last", "id: 8\ndata: word 8\n\n"),
        ("leap_and_cut", "id: 99\ndata: x\n\nid: 5\nda"),
        ("leap_to_last_and_cut", "id: 8\ndata: word 8\n\nid: 5\nda"),
    ];
    check_all(spoiled_streams(&AHEAD, &[0, 4]));
}

/// Guards against sound ids that are refused because their steps differ.
#[test]
fn ids_may_rise_unevenly() {
    let ids = [2, 3, 9, 30, 31];
    let text: String = ids.map(|id| format!("id: {id}\ndata: word {id}\n\n")).concat();
    check_delivered("uneven", &text, 11);
}

/// Guards against an uneven stream that nobody may go on with because its last event was held back.
#[test]
fn uneven_stream_goes_on_elsewhere() {
    const IDS: [u64; 6] = [1, 2, 3, 9, 10, 11];
    let text = |ids: &[u64]| -> String {
        let events: Vec<_> =
            ids.iter().map(|id| format!("id: {id}\ndata: word {id}\n\n")).collect();
        events.concat()
    };
    let response = send("uneven_break", "resumable", move |exchange| {
        exchange.send_stream_head();
        if exchange.number == 0 {
            return exchange.send_chunk(&text(&IDS[..4]));
        }
        let rest: Vec<u64> = IDS.into_iter().filter(|id| *id > exchange.resume_after).collect();
        exchange.send_chunk(&text(&rest));
        exchange.end_stream();
    });
    assert_eq!(response.body, text(&IDS), "{response:?}");
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}
