//! The connection between an entry and a sidecar is gone for a while during a response.

mod common;

use common::{
    Cluster,
    fault_proxy::FaultProxy,
    http::{self, Response},
    wait_until,
};
use ibissail_standin::{EngineFaults, ServiceFaults};
use std::{io::Read, thread, time::Duration};

const HEADERS: [(&str, &str); 1] = [("authorization", "Bearer demo-key")];
const STREAM: &[u8] =
    br#"{"model":"swift","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"a"}]}"#;
/// Time for which each new connection is closed at once.
const BREAK: Duration = Duration::from_secs(1);

fn cluster(test: &str, name: &str, offers: &str) -> (Cluster, FaultProxy) {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_upstream(name, offers);
    let proxy = cluster.add_proxies(&[name]).remove(0);
    cluster.start_all();
    (cluster, proxy)
}

fn break_link(proxy: &FaultProxy) {
    proxy.close();
    thread::sleep(BREAK);
    proxy.restore();
}

#[test]
fn stream_goes_on_after_its_link_was_broken() {
    let (cluster, proxy) = cluster("link_stream", "swift-1", "swift@1");
    let slow = EngineFaults { slower_ms: 30, ..EngineFaults::default() };
    cluster.set_engine_faults("swift-1", &slow);
    let listen = cluster.members["entry-1"].listen;
    let path = "/v1/chat/completions";
    let mut stream = http::start_request(listen, "POST", path, &HEADERS, STREAM).expect("sent");
    let mut bytes = vec![0; 600];
    stream.read_exact(&mut bytes).expect("the stream has started");
    break_link(&proxy);
    stream.read_to_end(&mut bytes).expect("the stream ends");
    let response = http::parse_response(&bytes).unwrap_or_else(Response::missing);
    let text = response.text();
    assert!(response.status == 200 && text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(cluster.engine_counts("swift-1").cancelled, 0);
}

#[test]
fn keyed_request_is_answered_after_its_link_was_broken() {
    let (cluster, proxy) = cluster("link_keyed", "payouts-1", "service:payouts");
    let slow = ServiceFaults { after_ms: 600, ..ServiceFaults::default() };
    cluster.set_service_faults("payouts-1", &slow);
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| cluster.send_payout("entry-1", "key-1"));
        wait_until("the service has the request", || cluster.service_call_count("key-1") > 0);
        break_link(&proxy);
        sending.join().expect("the caller gets a response")
    });
    assert_eq!(response.status, 200, "{}", response.text());
}

#[test]
fn sidecar_that_stops_waits_for_a_reader_that_comes_back() {
    let (cluster, proxy) = cluster("link_stop", "swift-1", "swift@1");
    let slow = EngineFaults { slower_ms: 30, ..EngineFaults::default() };
    cluster.set_engine_faults("swift-1", &slow);
    let listen = cluster.members["entry-1"].listen;
    let path = "/v1/chat/completions";
    let mut stream = http::start_request(listen, "POST", path, &HEADERS, STREAM).expect("sent");
    let mut bytes = vec![0; 600];
    stream.read_exact(&mut bytes).expect("the stream has started");
    cluster.processes.get("swift-1").expect("it runs").signal("-TERM");
    let mut buf = [0; 512];
    while String::from_utf8_lossy(&bytes).matches("delta").count() < 50 {
        let count = stream.read(&mut buf).expect("the stream goes on");
        bytes.extend_from_slice(&buf[..count]);
    }
    // The run ends while its link is broken.
    break_link(&proxy);
    stream.read_to_end(&mut bytes).expect("the stream ends");
    let response = http::parse_response(&bytes).unwrap_or_else(Response::missing);
    let text = response.text();
    assert!(response.status == 200 && text.ends_with("data: [DONE]\n\n"), "{text}");
}
