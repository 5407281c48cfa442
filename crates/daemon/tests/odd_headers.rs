//! Values of headers that are not ASCII do not keep a response of an upstream beside a sidecar.

mod common;

use common::Cluster;
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

const HEADERS: [&[u8]; 4] = [
    b"X-Name: caf\xc3\xa9",
    b"X-Name: caf\xe9",
    b"Content-Type: text/plain; name=\"caf\xc3\xa9\"",
    b"Content-Type: \xc3\xa9",
];
const BODY: &str = "\n\ncaf\u{e9}";

/// Guards against a run that never ends because of a header.
#[test]
fn response_with_a_header_that_is_not_ascii_is_delivered() {
    let mut wrong = Vec::new();
    for (number, header) in HEADERS.into_iter().enumerate() {
        let mut cluster = Cluster::with_upstreams(&format!("odd_header_{number}"), &[]);
        cluster.add_sidecar_without_upstream("routes-1", "service:routes");
        let (address, _) = cluster.members["routes-1"].upstream.clone().expect("an upstream");
        let listener = TcpListener::bind(address).expect("the address is free");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (mut request, mut buf) = (Vec::new(), [0; 4096]);
                while !request.ends_with(b"read") {
                    let Ok(count @ 1..) = stream.read(&mut buf) else { break };
                    request.extend_from_slice(&buf[..count]);
                }
                let length = format!("\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len());
                let parts = [b"HTTP/1.1 200 OK\r\n", header, length.as_bytes()];
                let _sent = stream.write_all(&parts.concat());
            }
        });
        cluster.start_all();
        let headers = [("x-ibissail-deadline-ms", "2000")];
        let response = cluster.post("entry-1", "/v1/services/routes/run", &headers, b"read");
        if (response.status, response.text()) != (200, BODY.into()) {
            wrong.push((header.escape_ascii().to_string(), response.status));
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), HEADERS.len());
}
