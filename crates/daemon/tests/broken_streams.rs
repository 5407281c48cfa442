//! A caller receives the complete response of the engine, or an error event `incomplete`.

mod common;

use common::{Cluster, fault_proxy::FaultProxy, http, wait_until};
use ibissail_standin::EngineFaults;
use std::{io::Read, net::TcpStream};

const BODY: &[u8] =
    br#"{"model":"swift","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"a b"}]}"#;
const HEADERS: [(&str, &str); 1] = [("authorization", "Bearer demo-key")];
const PATH: &str = "/v1/chat/completions";

struct Fixture {
    cluster: Cluster,
    proxies: Vec<FaultProxy>,
}

fn fixture(test: &str) -> Fixture {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.add_upstream("swift-2", "swift@1");
    let proxies = cluster.add_proxies(&["swift-1", "swift-2"]);
    cluster.start_all();
    Fixture { cluster, proxies }
}

impl Fixture {
    /// Delays each token of the engines by this many milliseconds.
    fn slow_engines(&self, slower_ms: u64) {
        for name in ["swift-1", "swift-2"] {
            let faults = EngineFaults { slower_ms, ..EngineFaults::default() };
            self.cluster.set_engine_faults(name, &faults);
        }
    }

    /// Response of the engine to the same request, sent without the daemon.
    fn engine_response_text(&self) -> String {
        let engine = self.cluster.members["swift-1"].upstream.as_ref().expect("an upstream").0;
        http::send(engine, "POST", PATH, &[], BODY).expect("a response").text()
    }

    /// Sends the streaming request without reading the response.
    fn start_stream(&self) -> TcpStream {
        let listen = self.cluster.members["entry-1"].listen;
        http::start_request(listen, "POST", PATH, &HEADERS, BODY).expect("sent")
    }

    /// Reads one stream to its end; calls `on_read` after each read with the number of reads.
    fn run_stream<D>(&self, mut on_read: D) -> http::Response
    where
        D: FnMut(usize),
    {
        let mut stream = self.start_stream();
        let mut bytes = Vec::new();
        let mut buf = [0; 512];
        let mut reads = 0;
        loop {
            let count = stream.read(&mut buf).unwrap_or(0);
            if count == 0 {
                return http::parse_response(&bytes).unwrap_or_else(http::Response::missing);
            }
            bytes.extend_from_slice(&buf[..count]);
            reads += 1;
            on_read(reads);
        }
    }
}

#[test]
fn connections_fail_repeatedly() {
    let fixture = fixture("streams_closed");
    let expected = fixture.engine_response_text();
    fixture.slow_engines(10);
    let response = fixture.run_stream(|reads| {
        if reads % 7 == 0 {
            fixture.proxies.iter().for_each(FaultProxy::close);
            fixture.proxies.iter().for_each(FaultProxy::restore);
        }
    });
    assert_eq!(response.status, 200);
    assert_eq!(response.text(), expected);
    assert!(fixture.cluster.counter("entry-1", "ibissail_reattachments_total") >= 3);
    assert_eq!(fixture.cluster.engine_counts("swift-1").cancelled, 0);
}

#[test]
fn connections_stall() {
    let fixture = fixture("streams_stalled");
    let expected = fixture.engine_response_text();
    fixture.slow_engines(10);
    let response = fixture.run_stream(|reads| {
        if reads == 5 {
            fixture.proxies.iter().for_each(FaultProxy::stall);
        }
    });
    assert_eq!(response.text(), expected);
    assert!(fixture.cluster.counter("entry-1", "ibissail_reattachments_total") >= 1);
}

#[test]
fn stream_truncated_by_the_engine_ends_with_an_error() {
    let fixture = fixture("streams_truncated");
    for name in ["swift-1", "swift-2"] {
        let faults = EngineFaults { break_after: Some(5), ..EngineFaults::default() };
        fixture.cluster.set_engine_faults(name, &faults);
    }
    let response = fixture.run_stream(|_| {});
    assert!(response.text().contains("\"incomplete\""), "{}", response.text());
    assert!(!response.text().contains("[DONE]"));
    wait_until("no record is waiting to be written", || {
        fixture.cluster.status("entry-1")["records"] == 0
    });
    assert_eq!(fixture.cluster.ledger_totals().len(), 0, "an incomplete response is not billed");
}

#[test]
fn failing_engine_is_replaced_before_the_first_byte() {
    let fixture = fixture("streams_failing");
    let faults = EngineFaults { fail: true, ..EngineFaults::default() };
    fixture.cluster.set_engine_faults("swift-1", &faults);
    for _ in 0..10 {
        let response = fixture.run_stream(|_| {});
        assert!(response.text().ends_with("data: [DONE]\n\n"), "{response:?}");
        assert_eq!(fixture.cluster.send_completion("entry-1", "swift").status, 200);
    }
}

#[test]
fn sidecars_are_killed_during_a_stream() {
    let mut fixture = fixture("streams_killed");
    fixture.slow_engines(20);
    let mut stream = fixture.start_stream();
    let mut bytes = vec![0; 300];
    stream.read_exact(&mut bytes).expect("the stream has started");
    for name in ["swift-1", "swift-2"] {
        fixture.cluster.process(name).kill();
    }
    stream.read_to_end(&mut bytes).expect("the stream ends");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(text.contains("\"incomplete\"") && !text.contains("[DONE]"), "{text}");
}

#[test]
fn engine_stops_when_the_caller_disconnects() {
    let fixture = fixture("streams_disconnected");
    fixture.slow_engines(100);
    let mut stream = fixture.start_stream();
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("the stream has started");
    drop(stream);
    let cancelled = || {
        let engines =
            ["swift-1", "swift-2"].map(|name| fixture.cluster.engine_counts(name).cancelled);
        engines.iter().sum::<u64>() == 1
    };
    wait_until("the engine has cancelled the run", cancelled);
}
