//! Heads, bodies and events, however the bytes are cut.

use async_std::{net::TcpListener, task};
use futures_lite::AsyncWriteExt;
use ibissail_http1::{
    BodyReader, Connection, EventSplitter, Framing, HttpError, dial, parse_request, parse_response,
};
use proptest::prelude::*;
use std::time::Duration;

fn request(lines: &str) -> Result<Framing, HttpError> {
    let bytes = format!("POST /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    parse_request(bytes.as_bytes()).map(|found| found.expect("a whole head").0.framing)
}

#[test]
fn request_with_two_lengths_is_refused() {
    for lines in [
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: 1, 1\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Host: other\r\n",
        "Content-Length : 1\r\n",
    ] {
        assert!(matches!(request(lines), Err(HttpError::Malformed(_))), "{lines}");
    }
    assert_eq!(request("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(request("transfer-encoding: CHUNKED\r\n"), Ok(Framing::Chunked));
    assert_eq!(request(""), Ok(Framing::None));
}

#[test]
fn response_without_a_length_ends_with_its_connection() {
    let head = b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
    let (found, _) = parse_response(head, "GET").expect("a head").expect("whole");
    assert_eq!((found.framing, found.keep_alive), (Framing::UntilClose, false));
    let (found, _) = parse_response(head, "HEAD").expect("a head").expect("whole");
    assert_eq!(found.framing, Framing::None);
}

#[test]
fn headers_of_one_connection_are_not_forwarded() {
    let bytes = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX: 2\r\n\r\n";
    let (head, _) = parse_request(bytes).expect("a head").expect("whole");
    let names: Vec<&str> = head.headers.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(names, ["Host", "X"]);
}

/// Reads a body whose bytes come in pieces; the peer closes after them.
fn read_body(framing: Framing, pieces: Vec<Vec<u8>>) -> Result<Vec<u8>, HttpError> {
    task::block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let writing = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            for piece in pieces {
                stream.write_all(&piece).await.expect("written");
                stream.flush().await.expect("flushed");
            }
        });
        let mut connection: Connection =
            dial(address, Duration::from_secs(1)).await.expect("a connection");
        let body = BodyReader::new(framing).read_all(&mut connection, 1 << 20).await;
        writing.await;
        body
    })
}

#[test]
fn body_that_ends_early_is_no_whole_body() {
    let cases = [
        (Framing::Length(10), b"abc".to_vec()),
        (Framing::Chunked, b"5\r\nabc".to_vec()),
        (Framing::Chunked, b"3\r\nabc\r\n".to_vec()),
        (Framing::Chunked, b"3\r\nabc\r\n0\r\n".to_vec()),
        (Framing::Chunked, b"3".to_vec()),
    ];
    for (framing, bytes) in cases {
        assert_eq!(read_body(framing, vec![bytes.clone()]), Err(HttpError::Truncated), "{bytes:?}");
    }
    assert!(matches!(
        read_body(Framing::Chunked, vec![b"3\r\nabcd\r\n0\r\n\r\n".to_vec()]),
        Err(HttpError::Malformed(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn chunks_in_any_pieces(body in proptest::collection::vec(any::<u8>(), 0..600), cut in 1..40_usize) {
        let mut bytes = Vec::new();
        for chunk in body.chunks(cut * 3) {
            bytes.extend(format!("{:x};ext=1\r\n", chunk.len()).into_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        let pieces = bytes.chunks(cut).map(<[u8]>::to_vec).collect();
        prop_assert_eq!(read_body(Framing::Chunked, pieces), Ok(body));
    }

    #[test]
    fn events_are_whole_however_cut(
        texts in proptest::collection::vec("[a-z]{0,8}", 1..20),
        cut in 1..30_usize,
        line_end in prop_oneof![Just("\n"), Just("\r\n")],
    ) {
        let events: Vec<String> = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}{line_end}data: {text}{line_end}{line_end}"))
            .collect();
        let all = events.concat();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for piece in all.as_bytes().chunks(cut) {
            passed.extend(splitter.push(piece));
            // What has been passed on is always a number of whole events.
            let length = passed.len();
            let mut ends = events.iter().scan(0, |end, event| { *end += event.len(); Some(*end) });
            prop_assert!(length == 0 || ends.any(|end| end == length));
        }
        prop_assert_eq!(passed, all.into_bytes());
        prop_assert_eq!(splitter.last_id(), Some(events.len() as u64 - 1));
        prop_assert_eq!(splitter.event_count(), events.len() as u64);
        prop_assert!(!splitter.has_partial_event());
    }
}
