//! A replica, in a process of its own.
//!
//! `standin replica ADDRESS ID WORDS...`, where the words change how it answers:
//! `unframed` (answers have neither a length nor chunks and end with their connection), `events=N`
//! (events of a stream), `interval=MS` (time before each event), `failing=PERCENT` (requests that are
//! answered 500), `early` (a long record is answered
//! before it has been read whole, and read on after that), `late-503=PERCENT` (requests that are run and then answered 503 without `Not-Run`).
//! It prints a line for each request that it runs, and one when the run has ended.

use crate::http::{Head, Reader};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Events of a stream.
pub const EVENTS: u64 = 55;
/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Lines of a response that is no stream.
pub const LINES: usize = 8;
/// Time between two lines.
pub const LINE_INTERVAL: Duration = Duration::from_millis(60);

/// How a replica answers.
#[derive(Debug, Clone, Copy)]
struct Manner {
    is_unframed: bool,
    events: u64,
    interval: Duration,
    failing: u64,
    late_503: u64,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(0)
}

pub fn serve(address: &str, id: &str, words: &[&str]) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let number = |name: &str| {
        let value = words.iter().find_map(|word| word.strip_prefix(name));
        value.and_then(|value| value.parse::<u64>().ok())
    };
    let is_early = words.contains(&"early");
    let manner = Manner {
        is_unframed: words.contains(&"unframed"),
        events: number("events=").unwrap_or(EVENTS),
        interval: number("interval=").map_or(EVENT_INTERVAL, Duration::from_millis),
        failing: number("failing=").unwrap_or(0),
        late_503: number("late-503=").unwrap_or(0),
    };
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            stream.set_nodelay(true).ok();
            let mut reader = Reader::new(stream);
            while let Ok(Some(head)) = reader.head() {
                if is_early && head.target().starts_with("/records/") {
                    if answer_early(&mut reader, &head, &id).is_err() {
                        return;
                    }
                    continue;
                }
                if reader.request_body(&head).is_err() {
                    return;
                }
                match answer(&mut reader.stream, &head, &id, manner) {
                    Ok(true) => {}
                    Ok(false) | Err(_) => return,
                }
            }
        });
    }
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// The lines of the response to a request that is no stream.
pub fn lines(attempt: &str) -> Vec<String> {
    (1..=LINES).map(|line| format!("record {attempt} line {line} of {LINES}\n")).collect()
}

/// Answers a request; returns whether the connection goes on.
fn answer(stream: &mut TcpStream, head: &Head, id: &str, manner: Manner) -> std::io::Result<bool> {
    let Manner { is_unframed, events, interval, failing, late_503 } = manner;
    if head.target() == "/health" {
        write!(stream, "HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n")?;
        return Ok(true);
    }
    let attempt = head.header("Attempt-Id").unwrap_or("").to_owned();
    if head.header("Expect-Instance").is_some_and(|wanted| wanted != id) {
        write!(
            stream,
            "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    let after: u64 = head.header("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let session = head.header("Session").unwrap_or("-");
    let time = unix_ms();
    println!("{time} {id} runs {attempt} session {session} {} after event {after}", head.target());
    // Spread evenly: the given part of any hundred requests fails.
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    if (number * late_503 + 55) % 100 + late_503 >= 100 {
        thread::sleep(LINE_INTERVAL);
        println!("{} {id} has ended {attempt}, and then fails", unix_ms());
        write!(
            stream,
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    if (number * failing) % 100 + failing >= 100 {
        write!(
            stream,
            "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {attempt}\r\n\
             Response-Seal: {id}.{attempt}\r\nContent-Length: 0\r\n\r\n"
        )?;
        println!("{} {id} has failed {attempt}", unix_ms());
        return Ok(true);
    }
    let is_stream = head.target().starts_with("/drafts/");
    let (kind, framing) = match (is_stream, is_unframed) {
        (true, true) => ("text/event-stream", "Connection: close\r\n"),
        (true, false) => ("text/event-stream", "Transfer-Encoding: chunked\r\n"),
        (false, true) => ("text/plain", "Connection: close\r\n"),
        (false, false) => ("text/plain", ""),
    };
    let whole: usize = lines(&attempt).iter().map(String::len).sum();
    let length =
        if framing.is_empty() { format!("Content-Length: {whole}\r\n") } else { String::new() };
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\nConfidence: 95\r\n\
         Content-Type: {kind}\r\n{framing}{length}\r\n"
    )?;
    if is_stream {
        for event in after + 1..=events {
            thread::sleep(interval);
            let text = format!("id: {event}\ndata: piece {event} of {events}\n\n");
            if is_unframed {
                stream.write_all(text.as_bytes())?;
            } else {
                write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            }
        }
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
    } else {
        for line in lines(&attempt) {
            stream.write_all(line.as_bytes())?;
            thread::sleep(LINE_INTERVAL);
        }
    }
    println!("{} {id} has ended {attempt}", unix_ms());
    Ok(!is_unframed)
}

/// Bytes of a long record that are read before it is answered.
const READ_BEFORE_ANSWER: usize = 4 << 10;
/// Time until the rest is read.
const TIME_BEFORE_REST: Duration = Duration::from_millis(300);

/// Answers a record with success once its beginning has been read, keeps the connection, and reads on.
fn answer_early(reader: &mut Reader, head: &Head, id: &str) -> std::io::Result<()> {
    let attempt = head.header("Attempt-Id").unwrap_or("").to_owned();
    let length: usize =
        head.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    println!("{} {id} runs {attempt}, {length} bytes", unix_ms());
    let first = length.min(READ_BEFORE_ANSWER);
    let mut body = reader.exactly(first)?;
    let text = format!("record {attempt} accepted\n");
    write!(
        reader.stream,
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )?;
    thread::sleep(TIME_BEFORE_REST);
    while body.len() < length {
        match reader.up_to(length - body.len()) {
            Ok(bytes) if !bytes.is_empty() => body.extend(bytes),
            ended => {
                let how = if ended.is_ok() { "closed" } else { "reset" };
                println!(
                    "{} {id} got {} of {length} bytes of {attempt}, {how}",
                    unix_ms(),
                    body.len()
                );
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    let is_same = body.iter().all(|byte| *byte == b'n');
    println!(
        "{} {id} got {} of {length} bytes of {attempt}, as sent: {is_same}",
        unix_ms(),
        body.len()
    );
    Ok(())
}
