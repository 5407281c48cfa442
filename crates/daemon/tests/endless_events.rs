//! An engine whose event does not end keeps neither its run nor the memory of the sidecar.

mod common;

use common::{Cluster, wait_until};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// Time within which an event without end is given up, on a busy machine.
const GIVE_UP_LIMIT: Duration = Duration::from_secs(4);
/// Largest peak resident memory of the sidecar.
const MAX_MEMORY_KB: u64 = 128 << 10;

/// Starts an engine that sends an event without end; each close of a connection is received.
fn start_engine(address: SocketAddr) -> mpsc::Receiver<()> {
    let listener = TcpListener::bind(address).expect("the port is free");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _request = stream.read(&mut [0; 4096]);
            let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n";
            let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
            let mut next = head;
            while stream.write_all(next.as_bytes()).is_ok() {
                next = &chunk;
            }
            let _sent = tx.send(());
        }
    });
    rx
}

fn peak_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a line VmHWM");
    let digits: String = line.chars().filter(char::is_ascii_digit).collect();
    digits.parse().expect("VmHWM is a number")
}

#[test]
fn event_without_end_fails_its_run() {
    let mut cluster = Cluster::new("endless_event");
    cluster.add_entry("entry-1");
    cluster.add_sidecar_without_upstream("engine-1", "swift@1");
    let address = cluster.members["engine-1"].upstream.as_ref().expect("an upstream").0;
    let closed = start_engine(address);
    cluster.start_all();
    cluster.wait_for_upstreams();
    let body = br#"{"model":"swift","stream":true,"messages":[{"role":"user","content":"a"}]}"#;
    let headers = [("x-ibissail-deadline-ms", "10000")];
    let sent = Instant::now();
    let response = cluster.post("entry-1", "/v1/chat/completions", &headers, body);
    assert!(sent.elapsed() < GIVE_UP_LIMIT, "{:?}: {response:?}", sent.elapsed());
    assert_ne!(response.status, 503, "it has run: {response:?}");
    assert!(!response.text().contains("[DONE]"), "{response:?}");
    closed.recv_timeout(GIVE_UP_LIMIT).expect("the sidecar closes the connection");
    wait_until("the sidecar responds", || cluster.status("engine-1").is_object());
    let memory = peak_memory_kb(cluster.process("engine-1").id());
    assert!(memory < MAX_MEMORY_KB, "{memory} kB");
}
