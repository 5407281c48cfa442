//! An event that is cut and followed by another response is not taken for a complete one.

use ibissail_http1::{EventSplitter, HttpError};

/// Sound events before the cut one.
const SOUND: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Bytes of an event before it is cut.
const CUTS: [&str; 10] = [
    "i",
    "id:",
    "id: 3",
    "id: 3\n",
    "id: 3\ndat",
    "id: 3\ndata: wo",
    "id: 3\ndata: HTTP/1.1 200 OK, HT",
    "id: 3\ndata: HTTP/1.x ",
    "id: 3\ndata: {\"a\": \"b\"}",
    ": comm",
];

/// What follows: heads of responses, of which the last has no header.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody\n\n",
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.0 500 X\nContent-Length: 0\n\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 4\ndata: x\n\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
];

/// Splits a text that arrives in parts of this length, after sound events.
fn split(text: &str, part: usize) -> Result<Vec<u8>, HttpError> {
    let mut splitter = EventSplitter::default();
    let mut events = splitter.push(SOUND.as_bytes())?;
    for bytes in text.as_bytes().chunks(part) {
        events.extend(splitter.push(bytes)?);
    }
    assert!(!splitter.has_partial_event(), "{text:?}");
    Ok(events)
}

#[test]
fn cut_event_does_not_end_with_another_response() {
    for cut in CUTS {
        for head in HEADS {
            for part in [1, 7, 1_000] {
                let error = split(&[cut, head].concat(), part).expect_err("the head is found");
                assert!(matches!(error, HttpError::Malformed(_)), "{cut:?}, {head:?}: {error}");
            }
        }
    }
}

#[test]
fn sound_events_may_quote_a_response() {
    for text in [
        "id: 3\ndata: HTTP/1.1 200 OK\n\n",
        "data: HTTP/1.1 200 OK\nid: 3\nevent: HTTP/1.1 100\n\n",
        "id: 3\ndata: HTTP/1.1 404 Not Found\r\ndata: Content-Length: 0\r\ndata: \r\n\n",
        "id: 3\ndata: HTTP/1.1 404\ndata\n: HTTP/1.1 200 OK\nretry: 7\n\n",
        "id: 3\ndata: {\"t\":\"HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\n\"}\n\n",
        "id: 3\ndata: HTTP/1.x and HTTP/1.\n\nid: 4\ndata: Content-Length: 1\n\n",
        ": HTTP/1.1 200 OK\n\nid: 3\ndata: x\n\n",
        "id: 3\r\ndata: HTTP/1.1 200 OK\r\n\r\nid: 4\ndata: x\n\n",
        "data: HTTP/1.1 200 OK\r\nid: 3\r\n\r\nid: 4\ndata: x\n\n",
    ] {
        for part in [1, 7, 1_000] {
            let events = split(text, part).expect("the events are sound");
            assert_eq!(events, [SOUND, text].concat().into_bytes(), "{text:?}");
        }
    }
    let mut splitter = EventSplitter::default();
    let text = b"id: 1\r\ndata: HTTP/1.1 200 OK\r\n\r\n";
    assert_eq!(splitter.push(text), Ok(text.to_vec()));
}
