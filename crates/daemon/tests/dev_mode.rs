//! What the development mode shows a newcomer.

use ibissail_platform_standin::{CallerRequest, send_request};
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

struct Dev(Child);

impl Drop for Dev {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _waited = self.0.wait();
    }
}

/// Starts the development mode; returns the address of its direct entry.
fn start() -> (Dev, SocketAddr) {
    // The mode takes the free ports after the one it is given.
    let port = 20_000 + u16::try_from(std::process::id() % 20_000).expect("a small number");
    let mut child = Command::new(env!("CARGO_BIN_EXE_ibissaild"))
        .args(["dev", "--port", &port.to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let lines = BufReader::new(child.stdout.take().expect("its output is piped")).lines();
    let dev = Dev(child);
    let mut addresses = lines
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("direct    http://").map(str::to_owned));
    let address = addresses.next().expect("the address is printed");
    (dev, address.parse().expect("an address"))
}

#[test]
fn plain_route_and_resumed_stream() {
    let (_dev, direct) = start();
    let answer = send_request(direct, &CallerRequest::new("GET", "/lookups/ridge", "lookup-1"));
    assert_eq!(answer.status, 200, "{answer:?}");

    // One of the two replicas breaks off after the third event; both are asked.
    for number in 0..6 {
        let request = CallerRequest::new("POST", "/drafts/ridge", &format!("draft-{number}"));
        let answer = send_request(direct, &CallerRequest { deadline_ms: 5_000, ..request });
        assert!(answer.is_complete, "{answer:?}");
        let events: Vec<String> = (1..=8).map(|event| format!("id: {event}")).collect();
        let ids: Vec<&str> = answer.body.lines().filter(|line| line.starts_with("id: ")).collect();
        assert_eq!(ids, events, "{answer:?}");
    }
}
