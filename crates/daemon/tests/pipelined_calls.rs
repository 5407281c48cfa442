//! Requests that a caller sends together on one connection.

mod common;

use common::Cluster;
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Longest time between two responses.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn requests_sent_together_all_get_responses() {
    let mut cluster = Cluster::new("pipelined_calls");
    cluster.add_entry("entry-1");
    cluster.start("entry-1");
    cluster.wait_ready("entry-1");
    let listen = cluster.members["entry-1"].listen;
    let mut caller = TcpStream::connect(listen).expect("the entry accepts connections");
    caller.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a timeout can be set");
    let head = "GET /v1/models HTTP/1.1\r\nhost: test\r\nauthorization: Bearer demo-key\r\n\r\n";
    caller.write_all(head.repeat(2).as_bytes()).expect("the requests are sent");
    let mut text = Vec::new();
    let _still_open = caller.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
}
