//! The development mode serves a plain route and resumes an interrupted stream.

use ibissail_platform_standin::{CallerRequest, send_request};
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

struct DevProcess(Child);

impl Drop for DevProcess {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _waited = self.0.wait();
    }
}

/// Starts the development mode and returns the address of its direct entry.
fn start() -> (DevProcess, SocketAddr) {
    // The development mode uses free ports after the given one.
    let port = 20_000 + u16::try_from(std::process::id() % 20_000).expect("below 20,000");
    let mut child = Command::new(env!("CARGO_BIN_EXE_ibissaild"))
        .args(["dev", "--port", &port.to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
    let dev = DevProcess(child);
    let mut addresses = lines
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("direct    http://").map(str::to_owned));
    let address = addresses.next().expect("the address is printed");
    (dev, address.parse().expect("an address"))
}

#[test]
fn plain_route_and_resumed_stream() {
    let (_dev, direct) = start();
    let response = send_request(direct, &CallerRequest::new("GET", "/lookups/ridge", "lookup-1"));
    assert_eq!(response.status, 200, "{response:?}");

    // One of the two replicas truncates its stream after the third event. Six requests are sent, so
    // that both replicas get some.
    for number in 0..6 {
        let request = CallerRequest::new("POST", "/drafts/ridge", &format!("draft-{number}"));
        let response = send_request(direct, &CallerRequest { deadline_ms: 5_000, ..request });
        assert!(response.is_complete, "{response:?}");
        let events: Vec<String> = (1..=8).map(|event| format!("id: {event}")).collect();
        let ids: Vec<&str> =
            response.body.lines().filter(|line| line.starts_with("id: ")).collect();
        assert_eq!(ids, events, "{response:?}");
    }
}
