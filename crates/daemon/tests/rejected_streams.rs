//! A streamed completion that an engine rejects reaches the caller as a rejection.

mod common;

use common::{Cluster, http};
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

const BODIES: [&str; 4] = [
    "{\"error\":{\"message\":\"the prompt is too long\",\"code\":400}}",
    "\n<html>\n\n<p>Bad Request</p>\n</html>\n\n",
    "error: the prompt is too long\n\n",
    "",
];

/// Sends a streamed completion whose engine responds with status 400 and this body.
fn send(test: &str, body: &'static str) -> http::Response {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_sidecar_without_upstream("engine-1", "swift@1");
    let address = cluster.members["engine-1"].upstream.as_ref().expect("an upstream").0;
    let listener = TcpListener::bind(address).expect("the port is free");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (mut request, mut buf) = (Vec::new(), [0; 4096]);
            while !request.ends_with(b"}") {
                let Ok(count @ 1..) = stream.read(&mut buf) else { break };
                request.extend_from_slice(&buf[..count]);
            }
            let length = body.len();
            let head = format!("HTTP/1.1 400 X\r\ncontent-length: {length}\r\n\r\n{body}");
            let _sent = stream.write_all(head.as_bytes());
        }
    });
    cluster.start_all();
    cluster.wait_for_upstreams();
    let request = br#"{"model":"swift","stream":true,"messages":[]}"#;
    cluster.post("entry-1", "/v1/chat/completions", &[], request)
}

/// Guards against a rejection that ends as a complete stream with status 200.
#[test]
fn rejected_stream_is_no_stream() {
    let mut wrong = Vec::new();
    for (number, body) in BODIES.into_iter().enumerate() {
        let response = send(&format!("rejected_stream_{number}"), body);
        if (response.status, response.text()) != (400, body.into()) {
            wrong.push((body, response.status, response.text()));
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), BODIES.len());
}

/// Guards against a rejection that consists of events, and ends as a complete stream.
#[test]
fn rejection_of_events_is_not_complete() {
    let response = send("rejected_stream_events", "data: {\"error\":{\"code\":400}}\n\n");
    assert!(!response.text().contains("[DONE]"), "{response:?}");
}
