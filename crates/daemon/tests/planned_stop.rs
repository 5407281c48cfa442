//! A graceful stop interrupts no request, and a draining upstream gets no new requests.

mod common;

use common::{Cluster, StopOnDrop, http, wait_until};
use ibissail_object_store::VmState;
use ibissail_standin::{EngineFaults, PlatformFaults};
use std::{
    io::Read,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
};

fn cluster(test: &str) -> Cluster {
    let upstreams = [("swift-1", "swift@1"), ("swift-2", "swift@1")];
    let mut cluster = Cluster::with_upstreams(test, &upstreams);
    cluster.start_all();
    let slow = EngineFaults { slower_ms: 5, ..EngineFaults::default() };
    cluster.set_engine_faults("swift-1", &slow);
    cluster.set_engine_faults("swift-2", &slow);
    cluster
}

/// Sends requests through all ready entries, as a load balancer does, while `action` runs; returns
/// the number of requests sent.
fn under_load<A>(cluster: &mut Cluster, action: A) -> u32
where
    A: FnOnce(&mut Cluster),
{
    let entries: Vec<_> =
        ["entry-1", "entry-2"].iter().map(|name| cluster.members[*name].listen).collect();
    let done = AtomicBool::new(false);
    let sent = AtomicU32::new(0);
    thread::scope(|scope| {
        for caller in 0..6 {
            let (entries, done, sent) = (&entries, &done, &sent);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let is_ready = |listen: &&std::net::SocketAddr| {
                        http::get(**listen, "/readyz")
                            .is_some_and(|response| response.status == 200)
                    };
                    let ready: Vec<_> = entries.iter().filter(is_ready).collect();
                    let entry = *ready[caller % ready.len()];
                    send_and_check(entry, caller % 2 == 0);
                    sent.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let _stop = StopOnDrop(&done);
        let has_started = || sent.load(Ordering::Relaxed) > 20;
        wait_until("the load has started", has_started);
        action(cluster);
        let now = sent.load(Ordering::Relaxed);
        wait_until("the load continues", || sent.load(Ordering::Relaxed) > now + 40);
    });
    sent.load(Ordering::Relaxed)
}

fn send_and_check(entry: std::net::SocketAddr, stream: bool) {
    let body = format!("{{\"model\":\"swift\",\"stream\":{stream},\"messages\":[]}}");
    let headers = [("authorization", "Bearer demo-key")];
    let response = http::send(entry, "POST", "/v1/chat/completions", &headers, body.as_bytes());
    let response = response.unwrap_or_else(http::Response::missing);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(!stream || response.text().ends_with("data: [DONE]\n\n"), "{}", response.text());
}

#[test]
fn sidecar_stops_under_load() {
    let mut cluster = cluster("sidecar_stops");
    under_load(&mut cluster, |cluster| {
        assert_eq!(cluster.process("swift-1").terminate(), Some(0));
    });
    let counts = cluster.engine_counts("swift-1");
    assert_eq!((counts.cancelled, counts.started), (0, counts.finished), "{counts:?}");
}

#[test]
fn entry_stops_under_load() {
    let mut cluster = cluster("entry_stops");
    let sent = under_load(&mut cluster, |cluster| {
        assert_eq!(cluster.process("entry-1").terminate(), Some(0));
    });
    wait_until("every response is billed", || {
        cluster.ledger_totals().values().map(|sums| sums.0).sum::<u64>() == u64::from(sent)
    });
}

#[test]
fn draining_upstream_gets_no_new_requests_despite_a_stale_list() {
    let mut cluster = cluster("draining");
    let lag = PlatformFaults { list_lag_ms: 30_000, ..PlatformFaults::default() };
    cluster.set_faults(&lag);
    // Streams in progress keep the draining sidecar running for the whole test.
    let long = br#"{"model":"swift","stream":true,"max_tokens":1500,"messages":[]}"#;
    let headers = [("authorization", "Bearer demo-key")];
    let listen = cluster.members["entry-1"].listen;
    let start = || {
        http::start_request(listen, "POST", "/v1/chat/completions", &headers, long).expect("sent")
    };
    let streams: Vec<_> = (0..8).map(|_| start()).collect();
    wait_until("both engines stream", || {
        ["swift-1", "swift-2"].iter().all(|name| cluster.engine_counts(name).started > 0)
            && cluster.engine_counts("swift-1").started + cluster.engine_counts("swift-2").started
                == 8
    });
    cluster.process("swift-1").signal("-TERM");
    wait_until("the sidecar drains", || {
        http::get(cluster.members["swift-1"].listen, "/readyz").is_some_and(|a| a.status == 503)
    });
    let started = cluster.engine_counts("swift-1").started;
    for entry in ["entry-1", "entry-2"].repeat(20) {
        assert_eq!(cluster.send_completion(entry, "swift").status, 200);
    }
    assert_eq!(cluster.engine_counts("swift-1").started, started);
    assert!(cluster.engine_counts("swift-1").finished < started, "the sidecar still runs");
    for mut stream in streams {
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the stream ends");
        assert!(bytes.ends_with(b"data: [DONE]\n\n\r\n0\r\n\r\n"), "no stream is truncated");
    }
}

#[test]
fn upstream_listed_as_leaving_gets_no_new_requests() {
    let cluster = cluster("listed_leaving");
    let member = cluster.members["swift-1"].clone();
    cluster.register(&member, VmState::Leaving);
    wait_until("both entries have applied the list", || {
        ["entry-1", "entry-2"].iter().all(|name| cluster.status(name)["replicas_ready"] == 1)
    });
    let started = cluster.engine_counts("swift-1").started;
    for entry in ["entry-1", "entry-2"].repeat(10) {
        assert_eq!(cluster.send_completion(entry, "swift").status, 200);
    }
    assert_eq!(cluster.engine_counts("swift-1").started, started);
}
