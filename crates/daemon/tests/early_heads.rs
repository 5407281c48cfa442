//! A replica that sends the head of its response before it has read a long body.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, RouteSpec, StoreStandin, replica_spec_at,
    stream_response_bytes,
};
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// More than the buffers of two sockets hold.
const BODY_BYTES: usize = 8 << 20;
const REST: &[u8] = b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD);
    end.map(|end| end + END_OF_HEAD.len())
}

/// Starts a replica that sends the head of a response at once, and its body after that of the
/// request has arrived.
fn start_replica(store: &StoreStandin) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond_early(stream));
        }
    });
    store.put("servers", "r-1", &replica_spec_at(address, "writers", "v1"));
}

fn respond_early(mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut buf = vec![0; 16 << 10];
    let end = loop {
        let Ok(count @ 1..) = stream.read(&mut buf) else { return };
        request.extend_from_slice(&buf[..count]);
        if let Some(end) = end_of_head(&request) {
            break end;
        }
    };
    let mut head = stream_response_bytes();
    head.truncate(end_of_head(&head).expect("it has a head"));
    let _sent = stream.write_all(&head);
    thread::sleep(Duration::from_millis(300));
    let mut received = request.len() - end;
    while received < BODY_BYTES {
        let Ok(count @ 1..) = stream.read(&mut buf) else { return };
        received += count;
    }
    let _sent = stream.write_all(REST);
}

fn send_long_body(test: &str, kind: &str) {
    let mut route = RouteSpec::new("/drafts/", kind, "writers");
    route.request_timeout_ms = 10_000;
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let store = StoreStandin::start();
    configuration.apply_with_body_limit(&store, 2 * BODY_BYTES as u64);
    start_replica(&store);
    let mut fixture = EntryFixture::without_entry(test, store);
    fixture.start_entry();
    wait_until("the entry knows the replica", || fixture.log().contains("r-1"));
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", "/drafts/1", "odd");
    request.deadline_ms = 4_000;
    request.body = vec![b'a'; BODY_BYTES];
    let sent = Instant::now();
    let response = fixture.send(&request);
    let took = sent.elapsed();
    assert!(response.status == 200 && response.is_complete, "after {took:?}: {response:?}");
}

#[test]
fn rest_of_a_body_follows_an_early_head() {
    send_long_body("early_buffered", "unsafe");
}

#[test]
fn rest_of_a_body_follows_the_early_head_of_a_stream() {
    send_long_body("early_stream", "stream");
}
