//! A run whose response the HTTP library fails on ends.

mod common;

use common::Cluster;
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                          3\r\ncut\r\n0\r\nX-Name: caf\xc3\xa9\r\n\r\n";

/// Guards against a run that keeps its place at the sidecar, and its caller, after its task has ended.
#[test]
fn run_ends_with_its_task() {
    let mut cluster = Cluster::with_upstreams("odd_trailers", &[]);
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
            let _sent = stream.write_all(RESPONSE);
        }
    });
    cluster.start_all();
    let headers = [("x-ibissail-deadline-ms", "2000")];
    let response = cluster.post("entry-1", "/v1/services/routes/run", &headers, b"read");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(cluster.status("routes-1")["running"], 0);
}
