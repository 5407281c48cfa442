//! An upstream that writes an earlier refusal once more does not refuse a later request with it.

mod common;

use common::{Cluster, http};
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

const SIDECAR: &str = "upstream-1";
const PATH: &str = "/v1/services/routes/run";
/// Requests that are sent one after another.
const REQUESTS: usize = 12;
const SUCCESS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// Answers the requests of one connection: refuses the first, and then writes the refusal once more
/// before it answers each further one.
fn serve(mut stream: TcpStream, refusal: &str, runs: &AtomicUsize) {
    let (mut received, mut buf) = (Vec::new(), [0; 4096]);
    let mut is_first = true;
    while let Ok(count @ 1..) = stream.read(&mut buf) {
        received.extend_from_slice(&buf[..count]);
        while let Some((_request, rest)) = http::parse_head_and_body(&received) {
            received = rest;
            let response = if is_first {
                refusal.to_owned()
            } else {
                runs.fetch_add(1, Ordering::SeqCst);
                format!("{refusal}{SUCCESS}")
            };
            is_first = false;
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Asserts that no request that has run is answered with the refusal.
fn assert_not_refused_again(test: &str, status: u16) {
    let mut cluster = Cluster::with_upstreams(test, &[]);
    cluster.add_sidecar_without_upstream(SIDECAR, "service:routes");
    let address = cluster.members[SIDECAR].upstream.as_ref().expect("an upstream").0;
    let listener = TcpListener::bind(address).expect("the address is free");
    let refusal =
        format!("HTTP/1.1 {status} Refused\r\nretry-after: 1\r\ncontent-length: 4\r\n\r\nbusy");
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (refusal, runs) = (refusal.clone(), Arc::clone(&counted));
            thread::spawn(move || serve(stream, &refusal, &runs));
        }
    });
    cluster.start_all();
    for number in 0..REQUESTS {
        let before = runs.load(Ordering::SeqCst);
        let headers = [("authorization", "Bearer demo-key")];
        let body = format!("request {number}");
        let response = cluster.post("entry-1", PATH, &headers, body.as_bytes());
        let has_run = runs.load(Ordering::SeqCst) > before;
        assert!(response.status != status || !has_run, "{number}: {response:?}");
    }
}

#[test]
fn unavailable_is_not_answered_again() {
    assert_not_refused_again("stale_503", 503);
}

#[test]
fn too_many_requests_is_not_answered_again() {
    assert_not_refused_again("stale_429", 429);
}
