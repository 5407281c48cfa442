//! Cost of the path: the engine called directly, and through entry and sidecar, interleaved.

#[path = "../tests/common/mod.rs"]
mod common;
mod measure;

use async_std::task;
use common::Cluster;
use http_types::{Method, Request, Url};
use ibissail_core::ByteSize;
use ibissail_transport::{Pool, PoolOptions};
use measure::{Samples, Usage, row};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const PAIRS: u32 = 2_000;
const PAUSE: Duration = Duration::from_micros(500);
const CONNECTIONS: u32 = 64;
const SATURATION: Duration = Duration::from_secs(4);
const KNOWN_UPSTREAMS: u32 = 1_000;
const MAX_ANSWER: ByteSize = ByteSize(1 << 20);

#[derive(Debug, Clone)]
struct Target {
    address: SocketAddr,
    pool: Pool,
}

impl Target {
    fn new(address: SocketAddr) -> Self {
        let options = PoolOptions { max_idle_per_peer: 256, ..PoolOptions::default() };
        Self { address, pool: Pool::new(options) }
    }

    /// Time to the first byte, and to the whole answer.
    async fn call(&self) -> (Duration, Duration) {
        let url = Url::parse(&format!("http://{}/v1/chat/completions", self.address));
        let mut req = Request::new(Method::Post, url.expect("a URL"));
        req.insert_header("authorization", "Bearer demo-key");
        req.set_body(r#"{"model":"swift@1","max_tokens":8,"messages":[{"role":"user","content":"one two"}]}"#);
        let started = Instant::now();
        let reply = self.pool.send(self.address, req, TIMEOUT).await.expect("an answer");
        let first = started.elapsed();
        assert!(reply.response.status().is_success(), "{}", reply.response.status());
        reply.read_body(MAX_ANSWER, TIMEOUT).await.expect("a whole answer");
        (first, started.elapsed())
    }

    /// Requests a second with many connections.
    async fn saturate(&self) -> f64 {
        let started = Instant::now();
        let workers: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let target = self.clone();
                task::spawn(async move {
                    let mut count = 0_u32;
                    while started.elapsed() < SATURATION {
                        target.call().await;
                        count += 1;
                    }
                    count
                })
            })
            .collect();
        let mut total = 0;
        for worker in workers {
            total += worker.await;
        }
        f64::from(total) / started.elapsed().as_secs_f64()
    }
}

fn main() {
    let mut cluster = Cluster::new("bench_whole_path");
    cluster.log_level = "info";
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.upstream_concurrency = 256;
    cluster.start_all();
    let engine = cluster.members["swift-1"].upstream.as_ref().expect("an upstream").0;
    let (direct, path) = (Target::new(engine), Target::new(cluster.members["entry-1"].listen));
    task::block_on(async {
        for _ in 0..200 {
            direct.call().await;
            path.call().await;
        }
    });
    interleaved(&direct, &path);
    saturation(&cluster, &direct, &path);
    memory(&mut cluster);
}

fn interleaved(direct: &Target, path: &Target) {
    let mut samples =
        [Samples::default(), Samples::default(), Samples::default(), Samples::default()];
    task::block_on(async {
        for _ in 0..PAIRS {
            let (first, whole) = direct.call().await;
            samples[0].add(first);
            samples[1].add(whole);
            task::sleep(PAUSE).await;
            let (first, whole) = path.call().await;
            samples[2].add(first);
            samples[3].add(whole);
            task::sleep(PAUSE).await;
        }
    });
    let [direct_first, direct_whole, path_first, path_whole] = &mut samples;
    println!("{PAIRS} pairs, one connection, microseconds");
    row(&["", "p50 first", "p99 first", "p50 whole", "p99 whole"]);
    for (name, first, whole) in [
        ("direct", direct_first, direct_whole),
        ("through entry and sidecar", path_first, path_whole),
    ] {
        let cells = [first.micros(50), first.micros(99), whole.micros(50), whole.micros(99)];
        let cells = cells.map(|cell| cell.to_string());
        row(&[name, &cells[0], &cells[1], &cells[2], &cells[3]]);
    }
}

fn saturation(cluster: &Cluster, direct: &Target, path: &Target) {
    println!("\n{CONNECTIONS} connections for {} s each", SATURATION.as_secs());
    row(&["", "requests/s", "entry CPU us/request", "sidecar CPU us/request"]);
    let rate = task::block_on(direct.saturate());
    row(&["direct", &format!("{rate:.0}"), "", ""]);
    let before = [usage(cluster, "entry-1"), usage(cluster, "swift-1")];
    let started = Instant::now();
    let rate = task::block_on(path.saturate());
    let requests = rate * started.elapsed().as_secs_f64();
    let after = [usage(cluster, "entry-1"), usage(cluster, "swift-1")];
    let cpu = |index: usize| {
        after[index].cpu.saturating_sub(before[index].cpu).as_secs_f64() * 1e6 / requests
    };
    let cells = [format!("{rate:.0}"), format!("{:.0}", cpu(0)), format!("{:.0}", cpu(1))];
    row(&["through entry and sidecar", &cells[0], &cells[1], &cells[2]]);
}

fn usage(cluster: &Cluster, name: &str) -> Usage {
    Usage::of(cluster.processes[name].id())
}

fn memory(cluster: &mut Cluster) {
    for number in 0..KNOWN_UPSTREAMS {
        let mut member = cluster.members["swift-1"].clone();
        member.name = format!("known-{number}");
        cluster.register(&member, ibissail_object_store::VmState::Live);
    }
    std::thread::sleep(Duration::from_secs(6));
    println!("\nresident memory with {KNOWN_UPSTREAMS} upstreams known, MB");
    row(&["entry", "sidecar"]);
    let cells =
        ["entry-1", "swift-1"].map(|name| format!("{:.1}", usage(cluster, name).resident_mb()));
    row(&[&cells[0], &cells[1]]);
}
