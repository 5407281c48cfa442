//! An event of a stream has an id that rises, data, and nothing that is no field.

use ibissail_http1::{EventSplitter, HttpError, StreamPosition, UsualIds};
use std::time::{Duration, Instant};

const SOUND: &str = "id: 3\ndata: a\n\nid: 4\ndata: b\n\n";

/// Bytes that end like an event and are none, behind event 4.
const FOREIGN: [&str; 20] = [
    "garbage\n\n",
    "\u{1}\n\n",
    "{\"error\": 5}\n\n",
    "<p>\n\n",
    "data: x\n\n",
    "event: x\ndata: x\n\n",
    "id\ndata: x\n\n",
    "id:\ndata: x\n\n",
    "id: +5\ndata: x\n\n",
    "id:  5\ndata: x\n\n",
    "id: 99999999999999999999\ndata: x\n\n",
    "id: 5\n\n",
    "id: 5\nid: 6\ndata: x\n\n",
    "id: 4\ndata: x\n\n",
    "id: 2\ndata: x\n\n",
    "retry: soon\n\n",
    "id: 5\nepoch: 4\ndata: x\n\n",
    "epoch: new\nid: 5\ndata: x\n\n",
    "id: 5\ndata: x\rdata: y\n\n",
    ": x\r\rdata: y\n\n",
];

/// What a splitter returns for a text that arrives in parts of this length, and how it ends.
fn split(text: &str, part: usize) -> (Vec<u8>, Result<(), HttpError>) {
    let mut splitter = EventSplitter::default().with_first_field("epoch");
    let mut events = Vec::new();
    for bytes in text.as_bytes().chunks(part) {
        match splitter.push(bytes) {
            Ok(complete) => events.extend(complete),
            Err(error) => return (events, Err(error)),
        }
        if let Some(error) = splitter.take_error() {
            return (events, Err(error));
        }
    }
    let end = splitter.finish().map(|last| events.extend(last));
    (events, end)
}

#[test]
fn foreign_bytes_end_a_stream() {
    for foreign in FOREIGN {
        for line_end in ["\n", "\r\n"] {
            for part in [1, 7, 1_000] {
                let sound = SOUND.replace('\n', line_end);
                let text = [SOUND, foreign, "id: 7\ndata: c\n\n"].concat().replace('\n', line_end);
                let (events, end) = split(&text, part);
                assert!(matches!(end, Err(HttpError::Malformed(_))), "{foreign:?}: {end:?}");
                assert_eq!(events, sound.into_bytes(), "{foreign:?}");
            }
        }
    }
}

#[test]
fn unusual_events_are_sound() {
    for text in [
        "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
        "id:12\ndata:a\n\nid: 500\ndata\n\n",
        "data: a\ndata: b\nevent: c\nid: 5\nretry: 6\n: d\n\n",
        "\n\nid: 1\ndata: a\n\n\n\r\n\n",
        ": a\n\nretry: 5\n\nid: 1\ndata: b\n\n",
        "\u{feff}id: 1\ndata: a\n\n: end\n",
        "epoch: -4\nid: 1\ndata: a\n\n: b\nepoch: 5\ndata: c\nid: 2\n\n",
    ] {
        for part in [1, 7, 1_000] {
            let (events, end) = split(text, part);
            assert_eq!((events.as_slice(), end), (text.as_bytes(), Ok(())), "{text:?}");
        }
    }
}

#[test]
fn position_stays_at_the_last_event() {
    let mut splitter = EventSplitter::new(StreamPosition::after(Some(3)));
    assert_eq!(splitter.push(b"id: 4\ndata: a\n\ndata: b\n\n").expect("an event").len(), 15);
    assert!(splitter.take_error().is_some());
    assert_eq!((splitter.position().last_id(), splitter.position().event_count()), (Some(4), 1));
}

#[test]
fn first_event_far_ahead_awaits_the_next() {
    for (first, step, after, id, is_returned) in [
        (1, 1, None, 1, true),
        (1, 9, None, 5, false),
        (5, 1, None, 5, true),
        (9, 1, Some(7), 12, false),
        (1, 5, Some(7), 12, true),
    ] {
        let position =
            StreamPosition::after(after).with_usual_ids(UsualIds { first, step, gap: 1 });
        let mut splitter = EventSplitter::new(position);
        let events = splitter.push(format!("id: {id}\ndata: a\n\n").as_bytes());
        assert_eq!(!events.expect("an event").is_empty(), is_returned, "{id} after {after:?}");
    }
}

#[test]
fn event_far_ahead_awaits_the_next() {
    let mut splitter = EventSplitter::default();
    let mut push = |text: &str| {
        let events = splitter.push(text.as_bytes()).map(|events| events.len());
        (events, splitter.position().last_id(), splitter.buffered_bytes())
    };
    assert_eq!(push(SOUND), (Ok(30), Some(4), 0));
    assert_eq!(push("id: 9\ndata: c\n\n"), (Ok(0), Some(4), 15));
    assert_eq!(push(": comment\n\nid: 1"), (Ok(0), Some(4), 31));
    assert_eq!(push("6\ndata: d\n\n"), (Ok(26), Some(9), 16));
    assert_eq!(push("id: 18\ndata: e\n\n"), (Ok(32), Some(18), 0));
    assert_eq!(push("id: 99\ndata: f\n\n"), (Ok(0), Some(18), 16));
    let (events, last_id, _) = push("id: 19\ndata: e\n\n");
    assert!(events.is_err() && last_id == Some(18), "{events:?}");
}

#[test]
fn awaiting_event_is_read_once() {
    let mut splitter = EventSplitter::default();
    splitter.push(SOUND.as_bytes()).expect("sound events");
    let data = "data: x\n".repeat(7_000);
    assert!(splitter.push(format!("id: 9\n{data}\n").as_bytes()).expect("an event").is_empty());
    let started = Instant::now();
    for _ in 0..500 {
        splitter.push(b":\n\n").expect("a comment");
    }
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

#[test]
fn event_that_two_responses_have_is_believed() {
    let mut splitter = EventSplitter::default();
    splitter.push([SOUND, "id: 9\ndata: c\n\n"].concat().as_bytes()).expect("sound events");
    let position = StreamPosition::after(Some(4)).with_signs_of(splitter.position());
    for (id, is_returned) in [(9, true), (8, false)] {
        let mut successor = EventSplitter::new(position);
        let events = successor.push(format!("id: {id}\ndata: c\n\n").as_bytes());
        assert_eq!(!events.expect("an event").is_empty(), is_returned, "{id}");
    }
}

#[test]
fn position_behind_foreign_events_is_doubtful() {
    for (foreign, id, is_doubtful) in [
        ("id: 99\ndata: x\n\nid: 100\ndata: x\n\n", 5, true),
        ("id: 99\ndata: x\n\n", 5, false),
        ("id: 99\ndata: x\n\nid: 100\ndata: x\n\n", 3, false),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push([SOUND, foreign].concat().as_bytes()).expect("events");
        splitter.push(format!("id: {id}\ndata: c\n\n").as_bytes()).expect_err("it goes back");
        assert_eq!(splitter.position().is_doubtful(), is_doubtful, "{foreign:?}, {id}");
    }
}
