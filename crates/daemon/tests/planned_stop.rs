//! A planned stop cuts no request, and a leaving upstream gets nothing new.

mod common;

use common::{Cluster, EndOnDrop, http, wait_until};
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
    cluster.engine_faults("swift-1", &slow);
    cluster.engine_faults("swift-2", &slow);
    cluster
}

/// Sends requests through every entry that is ready, as a balancer does, while `act` runs.
fn under_load<A>(cluster: &mut Cluster, act: A) -> u32
where
    A: FnOnce(&mut Cluster),
{
    let listens: Vec<_> =
        ["entry-1", "entry-2"].iter().map(|name| cluster.members[*name].listen).collect();
    let done = AtomicBool::new(false);
    let sent = AtomicU32::new(0);
    thread::scope(|scope| {
        for caller in 0..6 {
            let (listens, done, sent) = (&listens, &done, &sent);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let is_ready = |listen: &&std::net::SocketAddr| {
                        http::get(**listen, "/readyz").is_some_and(|answer| answer.status == 200)
                    };
                    let ready: Vec<_> = listens.iter().filter(is_ready).collect();
                    let entry = *ready[caller % ready.len()];
                    call(entry, caller % 2 == 0);
                    sent.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let _end = EndOnDrop(&done);
        let before = || sent.load(Ordering::Relaxed) > 20;
        wait_until("the load has begun", before);
        act(cluster);
        let now = sent.load(Ordering::Relaxed);
        wait_until("the load goes on", || sent.load(Ordering::Relaxed) > now + 40);
    });
    sent.load(Ordering::Relaxed)
}

fn call(entry: std::net::SocketAddr, stream: bool) {
    let body = format!("{{\"model\":\"swift\",\"stream\":{stream},\"messages\":[]}}");
    let headers = [("authorization", "Bearer demo-key")];
    let answer = http::send(entry, "POST", "/v1/chat/completions", &headers, body.as_bytes());
    let answer = answer.unwrap_or_else(http::Answer::lost);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!stream || answer.text().ends_with("data: [DONE]\n\n"), "{}", answer.text());
}

#[test]
fn sidecar_stops_under_load() {
    let mut cluster = cluster("sidecar_stops");
    under_load(&mut cluster, |cluster| {
        assert_eq!(cluster.process("swift-1").stop(), Some(0));
    });
    let counts = cluster.engine("swift-1");
    assert_eq!((counts.cancelled, counts.started), (0, counts.finished), "{counts:?}");
}

#[test]
fn entry_stops_under_load() {
    let mut cluster = cluster("entry_stops");
    let sent = under_load(&mut cluster, |cluster| {
        assert_eq!(cluster.process("entry-1").stop(), Some(0));
    });
    wait_until("every answer is in a ledger", || {
        cluster.ledger().values().map(|sums| sums.0).sum::<u64>() == u64::from(sent)
    });
}

#[test]
fn leaving_upstream_gets_nothing_new_though_the_list_lags() {
    let mut cluster = cluster("leaving");
    let lag = PlatformFaults { list_lag_ms: 30_000, ..PlatformFaults::default() };
    cluster.platform_faults(&lag);
    // Streams in progress keep the leaving sidecar there for the whole test.
    let long = br#"{"model":"swift","stream":true,"max_tokens":1500,"messages":[]}"#;
    let headers = [("authorization", "Bearer demo-key")];
    let listen = cluster.members["entry-1"].listen;
    let open = || http::open(listen, "POST", "/v1/chat/completions", &headers, long).expect("sent");
    let streams: Vec<_> = (0..8).map(|_| open()).collect();
    wait_until("both engines stream", || {
        ["swift-1", "swift-2"].iter().all(|name| cluster.engine(name).started > 0)
            && cluster.engine("swift-1").started + cluster.engine("swift-2").started == 8
    });
    cluster.process("swift-1").signal("-TERM");
    wait_until("the sidecar drains", || {
        http::get(cluster.members["swift-1"].listen, "/readyz").is_some_and(|a| a.status == 503)
    });
    let started = cluster.engine("swift-1").started;
    for entry in ["entry-1", "entry-2"].repeat(20) {
        assert_eq!(cluster.complete(entry, "swift").status, 200);
    }
    assert_eq!(cluster.engine("swift-1").started, started);
    assert!(cluster.engine("swift-1").finished < started, "the sidecar is still there");
    for mut stream in streams {
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the stream ends");
        assert!(bytes.ends_with(b"data: [DONE]\n\n\r\n0\r\n\r\n"), "no stream is cut");
    }
}

#[test]
fn upstream_that_the_list_calls_leaving_gets_nothing_new() {
    let cluster = cluster("listed_leaving");
    let member = cluster.members["swift-1"].clone();
    cluster.register(&member, VmState::Leaving);
    wait_until("both entries have seen the list", || {
        ["entry-1", "entry-2"].iter().all(|name| cluster.status(name)["replicas_ready"] == 1)
    });
    let started = cluster.engine("swift-1").started;
    for entry in ["entry-1", "entry-2"].repeat(10) {
        assert_eq!(cluster.complete(entry, "swift").status, 200);
    }
    assert_eq!(cluster.engine("swift-1").started, started);
}
