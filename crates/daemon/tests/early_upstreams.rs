//! An upstream beside a sidecar that responds before it has read a long body still gets the whole body.

mod common;

use common::{Cluster, http};
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

/// Nearly the longest body that an entry with sidecars accepts.
const BODY_BYTES: usize = 500 << 10;
/// Bytes of a request that the upstream reads before it responds.
const READ_FIRST: usize = 4 << 10;
/// Time until it reads on.
const PAUSE: Duration = Duration::from_millis(300);
const BODY_BYTE: u8 = b'n';
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const REQUESTS: usize = 3;

/// Serves the requests of one connection; sends the bytes received of each body, 0 if others were
/// among them.
fn serve(mut stream: TcpStream, bodies: &Sender<usize>) {
    let mut unread = Vec::new();
    let mut buf = vec![0; READ_FIRST];
    loop {
        let end = loop {
            let end = unread.windows(END_OF_HEAD.len()).position(|bytes| bytes == END_OF_HEAD);
            if let Some(end) = end {
                break end + END_OF_HEAD.len();
            }
            let Ok(count @ 1..) = stream.read(&mut buf) else { return };
            unread.extend_from_slice(&buf[..count]);
        };
        let mut body: Vec<u8> = unread.split_off(end);
        let head = String::from_utf8_lossy(&unread).to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or_default();
        let response =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\naccepted";
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        if length > READ_FIRST {
            thread::sleep(PAUSE);
        }
        while body.len() < length {
            let Ok(count @ 1..) = stream.read(&mut buf) else { break };
            body.extend_from_slice(&buf[..count]);
        }
        unread = body.split_off(length.min(body.len()));
        let is_same = body.iter().all(|byte| *byte == BODY_BYTE);
        if length > READ_FIRST {
            bodies.send(if is_same { body.len() } else { 0 }).expect("the test runs");
        }
    }
}

fn start_upstream(listener: TcpListener) -> Receiver<usize> {
    let (tx, rx) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tx = tx.clone();
            thread::spawn(move || serve(stream, &tx));
        }
    });
    rx
}

/// Guards against bodies that are cut by an early response, also where the connection is kept.
#[test]
fn body_reaches_an_upstream_that_responds_early() {
    let mut cluster = Cluster::with_upstreams("early_upstream", &[]);
    cluster.add_sidecar_without_upstream("routes-1", "service:routes");
    let (address, _) = cluster.members["routes-1"].upstream.clone().expect("an upstream");
    let bodies = start_upstream(TcpListener::bind(address).expect("the address is free"));
    cluster.start_all();
    let entry = cluster.members["entry-1"].listen;
    let headers = [("authorization", "Bearer demo-key"), ("x-ibissail-deadline-ms", "8000")];
    for _ in 0..REQUESTS {
        let body = vec![BODY_BYTE; BODY_BYTES];
        let response = http::send(entry, "POST", "/v1/services/routes/run", &headers, &body);
        let response = response.unwrap_or_else(http::Response::missing);
        assert_eq!((response.status, response.text().as_str()), (200, "accepted"));
        let received = bodies.recv_timeout(Duration::from_secs(10));
        assert_eq!(received, Ok(BODY_BYTES));
    }
}
