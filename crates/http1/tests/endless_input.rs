//! A peer that sends without end is given up at a limit, and leaves other tasks their turn.

use async_std::{future::timeout, net::TcpListener, task};
use futures_lite::AsyncWriteExt;
use ibissail_http1::{BodyReader, Connection, EventSplitter, Framing, HttpError, dial};
use std::{future::Future, sync::mpsc, thread, time::Duration};

/// Time within which a reader must give up, on a busy machine.
const GIVE_UP_LIMIT: Duration = Duration::from_secs(5);

/// Connects to a peer that sends `first` once and `repeated` until the connection is closed.
async fn connect(first: &'static str, repeated: &str) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let repeated = repeated.repeat((64 << 10) / repeated.len());
    thread::spawn(move || {
        task::block_on(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut next = first.as_bytes();
            while stream.write_all(next).await.is_ok() {
                next = repeated.as_bytes();
            }
        });
    });
    dial(address, Duration::from_secs(1)).await.expect("a connection")
}

/// Result of a future that runs on a thread of its own; fails if it takes too long.
fn within_limit<F, T>(future: F) -> T
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || tx.send(task::block_on(future)));
    rx.recv_timeout(GIVE_UP_LIMIT).expect("the reader gives up in time")
}

/// Error of a response head of which this part is repeated without end.
fn head_error(first: &'static str, repeated: &'static str) -> HttpError {
    let head =
        within_limit(async move { connect(first, repeated).await.read_response_head("GET").await });
    head.expect_err("the head has no end")
}

#[test]
fn interim_responses_are_bounded() {
    let error = head_error("", "HTTP/1.1 102 Processing\r\n\r\n");
    assert!(matches!(error, HttpError::Malformed(_)), "{error}");
}

#[test]
fn some_interim_responses_are_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let sound = [interim, interim, interim, "HTTP/1.1 200 OK\r\n\r\n"].concat();
    let head = within_limit(async move {
        connect("", &sound).await.read_response_head("GET").await.expect("a head")
    });
    assert_eq!(head.status, 200);
}

/// Reads a body until its end.
async fn read_to_end(connection: &mut Connection, framing: Framing) -> Result<(), HttpError> {
    let mut body = BodyReader::new(framing);
    while body.next(connection).await?.is_some() {}
    Ok(())
}

#[test]
fn reader_of_an_endless_body_can_be_stopped() {
    for (framing, repeated) in [
        (Framing::UntilClose, "x"),
        (Framing::Chunked, "1\r\nx\r\n"),
        (Framing::Length(u64::MAX), "x"),
    ] {
        let stopped = within_limit(async move {
            let mut connection = connect("", repeated).await;
            timeout(Duration::from_millis(100), read_to_end(&mut connection, framing)).await
        });
        assert!(stopped.is_err(), "{framing:?}: the limit of time ends the read");
    }
}

#[test]
fn heads_are_bounded() {
    assert_eq!(head_error("HTTP/1.1 200 OK\r\nX: ", "x"), HttpError::HeadTooLarge);
    assert_eq!(head_error("", "\r\n"), HttpError::HeadTooLarge);
    let error = head_error("HTTP/1.1 200 OK\r\n", "X: y\r\n");
    assert!(matches!(error, HttpError::Malformed(_)), "{error}");
}

/// Bytes that a splitter takes, of parts without end, before it fails; `None` without a failure.
fn bytes_until_failure<F>(part: F) -> Option<usize>
where
    F: Fn(usize) -> String,
{
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\n").expect("a short event");
    let mut taken = 0;
    (0..1_000).find_map(|number| {
        let bytes = part(number);
        taken += bytes.len();
        let has_failed =
            splitter.push(bytes.as_bytes()).is_err() || splitter.take_error().is_some();
        has_failed.then_some(taken)
    })
}

#[test]
fn events_and_comments_are_bounded() {
    for repeated in
        ["x", "data: x\n", "data: x\r\n", "id: 2", "retry: 5\n\n", ": x\n\n", ":\r\n\r\n", "\n"]
    {
        let part = repeated.repeat(1_000 / repeated.len());
        let taken = bytes_until_failure(|_number| part.clone()).expect("a failure");
        assert!((64 << 10..66 << 10).contains(&taken), "{repeated:?}: {taken}");
    }
    for comment in ["", ": x\n\n"] {
        let part = |number: usize| {
            let ids = number * 100 + 2..=number * 100 + 101;
            let events: Vec<_> = ids.map(|id| format!("{comment}id: {id}\ndata: x\n\n")).collect();
            events.concat()
        };
        assert_eq!(bytes_until_failure(part), None, "{comment:?}");
    }
}

#[test]
fn chunk_extensions_are_bounded() {
    let line = ["1;", &"x".repeat(1_000), "\r\nx\r\n"].concat();
    let body = within_limit(async move {
        let mut connection = connect("", &line).await;
        read_to_end(&mut connection, Framing::Chunked).await
    });
    assert!(matches!(body, Err(HttpError::Malformed(_))), "{body:?}");
}

#[test]
fn body_declared_too_long_is_not_read() {
    let unread = within_limit(async {
        let mut connection = connect("", "x").await;
        let mut body = BodyReader::new(Framing::Length(1_001));
        assert_eq!(body.read_all(&mut connection, 1_000).await, Err(HttpError::BodyTooLarge));
        connection.unread().len()
    });
    assert_eq!(unread, 0);
}
