//! A stream is handed over while its caller reads slowly.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{ConfigurationSpec, RouteSpec, ScriptedReplicas, head_lines};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const EVENTS: u64 = 300;
/// Events before the silence; the buffers of the two sockets hold some 80.
const EVENTS_BEFORE: u64 = 40;
const EVENT_BYTES: usize = 50_000;
/// Time for which the caller reads nothing.
const PAUSE: Duration = Duration::from_secs(2);
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Starts a stream to a caller that reads nothing for a while; its replica is silent after 40
/// events, a second one breaks off at once, the first goes on, and a third one appears.
fn receive_slowly() -> Vec<u8> {
    let mut route = RouteSpec::new("/drafts/", "resumable", "writers");
    route.request_timeout_ms = 20_000;
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start("slow_caller", &configuration);
    let is_second_asked = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&is_second_asked);
    let replicas = ScriptedReplicas::new(move |exchange| match exchange.number {
        0 => {
            let word = "w".repeat(EVENT_BYTES);
            let event = |id: u64| format!("id: {id}\ndata: {word}\n\n");
            exchange.send_stream_head();
            (1..=EVENTS_BEFORE).for_each(|id| exchange.send_chunk(&event(id)));
            wait_until("the second is asked", || asked.load(Ordering::Relaxed));
            (EVENTS_BEFORE + 1..=EVENTS).for_each(|id| exchange.send_chunk(&event(id)));
            exchange.end_stream();
        }
        1 => asked.store(true, Ordering::Relaxed),
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
    let mut caller = TcpStream::connect(fixture.callers).expect("the entry accepts connections");
    let head = head_lines("POST", "/drafts/1", "draft-1") + "Content-Length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).expect("the request is sent");
    wait_until("the second is asked", || is_second_asked.load(Ordering::Relaxed));
    replicas.add(&fixture.store, "r-3", "writers");
    thread::sleep(PAUSE);
    caller.set_read_timeout(Some(PAUSE)).expect("a timeout can be set");
    let mut bytes = Vec::new();
    let _still_open = caller.read_to_end(&mut bytes);
    bytes
}

/// Size and data of the first chunk; the data are shorter than the size if the chunk is cut off.
fn first_chunk(bytes: &[u8]) -> (usize, &[u8]) {
    let end = bytes.windows(2).position(|window| window == b"\r\n").expect("a line with a size");
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let size = usize::from_str_radix(&line, 16).expect("a size");
    let data = &bytes[end + 2..];
    (size, &data[..size.min(data.len())])
}

#[test]
fn handover_does_not_begin_inside_a_chunk() {
    let bytes = receive_slowly();
    let head = bytes.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD);
    let mut rest = &bytes[head.expect("a head") + END_OF_HEAD.len()..];
    let mut events = 0;
    while !rest.is_empty() {
        let (size, data) = first_chunk(rest);
        // No event contains this, only the line ends around chunks.
        let is_broken = data.windows(2).any(|window| window == b"\r\n");
        assert!(!is_broken, "a chunk of {size} bytes was begun anew after {events} events");
        if size == 0 || data.len() < size {
            break;
        }
        events += data.windows(4).filter(|window| window == b"id: ").count();
        let line_length = rest.windows(2).position(|window| window == b"\r\n").unwrap_or_default();
        rest = rest.get(line_length + size + 4..).unwrap_or_default();
    }
}
