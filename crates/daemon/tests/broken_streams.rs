//! The caller's text equals the engine's, or an error says that it is not whole.

mod common;

use common::{Cluster, gate::Gate, http, wait_until};
use ibissail_standin::EngineFaults;
use std::{io::Read, net::TcpStream};

const BODY: &[u8] =
    br#"{"model":"swift","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"a b"}]}"#;
const HEADERS: [(&str, &str); 1] = [("authorization", "Bearer demo-key")];
const PATH: &str = "/v1/chat/completions";

struct Bench {
    cluster: Cluster,
    gates: Vec<Gate>,
}

fn bench(test: &str) -> Bench {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.add_upstream("swift-2", "swift@1");
    let gates = cluster.gates_before(&["swift-1", "swift-2"]);
    cluster.start_all();
    Bench { cluster, gates }
}

impl Bench {
    fn slow(&self, slower_ms: u64) {
        for name in ["swift-1", "swift-2"] {
            let faults = EngineFaults { slower_ms, ..EngineFaults::default() };
            self.cluster.engine_faults(name, &faults);
        }
    }

    /// What the engine itself streams for the same request.
    fn engine_text(&self) -> String {
        let engine = self.cluster.members["swift-1"].upstream.as_ref().expect("an upstream").0;
        http::send(engine, "POST", PATH, &[], BODY).expect("an answer").text()
    }

    fn open(&self) -> TcpStream {
        let listen = self.cluster.members["entry-1"].listen;
        http::open(listen, "POST", PATH, &HEADERS, BODY).expect("sent")
    }

    /// Runs one stream and calls `disturb` each time some more bytes have arrived.
    fn stream<D>(&self, mut disturb: D) -> http::Answer
    where
        D: FnMut(usize),
    {
        let mut stream = self.open();
        let mut bytes = Vec::new();
        let mut buf = [0; 512];
        let mut reads = 0;
        loop {
            let count = stream.read(&mut buf).unwrap_or(0);
            if count == 0 {
                return http::parse(&bytes).unwrap_or_else(http::Answer::lost);
            }
            bytes.extend_from_slice(&buf[..count]);
            reads += 1;
            disturb(reads);
        }
    }
}

#[test]
fn connections_cut_again_and_again() {
    let bench = bench("streams_cut");
    let expected = bench.engine_text();
    bench.slow(10);
    let answer = bench.stream(|reads| {
        if reads % 7 == 0 {
            bench.gates.iter().for_each(Gate::shut);
            bench.gates.iter().for_each(Gate::open);
        }
    });
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), expected);
    assert!(bench.cluster.counter("entry-1", "ibissail_reattachments_total") >= 3);
    assert_eq!(bench.cluster.engine("swift-1").cancelled, 0);
}

#[test]
fn connections_go_silent() {
    let bench = bench("streams_silent");
    let expected = bench.engine_text();
    bench.slow(10);
    let answer = bench.stream(|reads| {
        if reads == 5 {
            bench.gates.iter().for_each(Gate::silence);
        }
    });
    assert_eq!(answer.text(), expected);
    assert!(bench.cluster.counter("entry-1", "ibissail_reattachments_total") >= 1);
}

#[test]
fn engine_that_breaks_off_is_told_to_the_caller() {
    let bench = bench("streams_break");
    for name in ["swift-1", "swift-2"] {
        let faults = EngineFaults { break_after: Some(5), ..EngineFaults::default() };
        bench.cluster.engine_faults(name, &faults);
    }
    let answer = bench.stream(|_| {});
    assert!(answer.text().contains("\"incomplete\""), "{}", answer.text());
    assert!(!answer.text().contains("[DONE]"));
    wait_until("nothing waits to be billed", || bench.cluster.status("entry-1")["records"] == 0);
    assert_eq!(bench.cluster.ledger().len(), 0, "what is not whole is not billed");
}

#[test]
fn failing_engine_is_replaced_before_the_first_byte() {
    let bench = bench("streams_failing");
    let faults = EngineFaults { fail: true, ..EngineFaults::default() };
    bench.cluster.engine_faults("swift-1", &faults);
    for _ in 0..10 {
        let answer = bench.stream(|_| {});
        assert!(answer.text().ends_with("data: [DONE]\n\n"), "{answer:?}");
        assert_eq!(bench.cluster.complete("entry-1", "swift").status, 200);
    }
}

#[test]
fn sidecar_killed_in_the_middle() {
    let mut bench = bench("streams_killed");
    bench.slow(20);
    let mut stream = bench.open();
    let mut bytes = vec![0; 300];
    stream.read_exact(&mut bytes).expect("the stream has begun");
    for name in ["swift-1", "swift-2"] {
        bench.cluster.process(name).kill();
    }
    stream.read_to_end(&mut bytes).expect("the stream ends");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(text.contains("\"incomplete\"") && !text.contains("[DONE]"), "{text}");
}

#[test]
fn caller_that_leaves_stops_the_engine() {
    let bench = bench("streams_left");
    bench.slow(100);
    let mut stream = bench.open();
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("the stream has begun");
    drop(stream);
    let cancelled = || {
        let engines = ["swift-1", "swift-2"].map(|name| bench.cluster.engine(name).cancelled);
        engines.iter().sum::<u64>() == 1
    };
    wait_until("the engine has stopped", cancelled);
}
