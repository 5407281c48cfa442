//! The development mode serves a plain route, resumes an interrupted stream and outlives the reader
//! of its output.

#[path = "common/wait.rs"]
mod wait;

use ibissail_platform_standin::{CallerRequest, send_request};
use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};
use wait::wait_until;

/// Distance between the ports of development modes that start one after another. It has no common
/// divisor with `ALL_PORTS`, so that others rarely share ports either.
const PORT_STRIDE: u32 = 101;
/// First port and number of ports of all development modes; outgoing connections use higher ports.
const FIRST_PORT: u32 = 20_000;
const ALL_PORTS: u32 = 12_000;

static STARTED: AtomicU32 = AtomicU32::new(0);

/// The development mode as a process; prints its log if the test fails.
struct DevProcess {
    child: Child,
    log_path: PathBuf,
}

impl DevProcess {
    fn start() -> Self {
        let id = std::process::id();
        // This process starts two development modes, and copies of it may run beside it.
        let place = 2 * (id % ALL_PORTS) + STARTED.fetch_add(1, Ordering::Relaxed);
        // The development mode uses free ports after the given one.
        let port = FIRST_PORT + place * PORT_STRIDE % ALL_PORTS;
        let log_path = std::env::temp_dir().join(format!("ibissail-dev-{id}-{port}.log"));
        let log = File::create(&log_path).expect("the log can be created");
        let child = Command::new(env!("CARGO_BIN_EXE_ibissaild"))
            .args(["dev", "--port", &port.to_string()])
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Self { child, log_path }
    }

    fn stdout(&mut self) -> ChildStdout {
        self.child.stdout.take().expect("stdout is piped")
    }

    /// Returns the address of the direct entry, which the program prints.
    fn direct_address(&mut self) -> SocketAddr {
        let lines = BufReader::new(self.stdout()).lines();
        let mut addresses = lines
            .map_while(Result::ok)
            .filter_map(|line| line.strip_prefix("direct    http://").map(str::to_owned));
        let address = addresses.next().expect("the address is printed");
        address.parse().expect("an address")
    }

    fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

impl Drop for DevProcess {
    fn drop(&mut self) {
        let exited = self.child.try_wait();
        let _ended = self.child.kill();
        let _waited = self.child.wait();
        if std::thread::panicking() {
            eprintln!("exit of the development mode: {exited:?}; its log:\n{}", self.log());
        }
        let _removed = fs::remove_file(&self.log_path);
    }
}

#[test]
fn plain_route_and_resumed_stream() {
    let mut dev = DevProcess::start();
    let direct = dev.direct_address();
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

#[test]
fn closed_output_does_not_end_the_process() {
    let mut dev = DevProcess::start();
    drop(dev.stdout());
    wait_until("the lost output is logged", || dev.log().contains("usage: not printed"));
    let log = dev.log();
    let found = log.split_once(", callers: ").and_then(|(_, rest)| rest.split_once(", "));
    let direct =
        found.and_then(|(address, _)| address.parse().ok()).expect("its address is logged");
    let response = send_request(direct, &CallerRequest::new("GET", "/lookups/ridge", "lookup-1"));
    assert_eq!(response.status, 200, "{response:?}");
}
