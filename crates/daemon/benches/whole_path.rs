//! Overhead of entry and sidecar: latency and throughput of an engine called directly and through
//! them, with interleaved requests.

#[path = "../tests/common/mod.rs"]
mod common;
mod measure;

use async_std::task;
use common::Cluster;
use http_types::{Method, Request, Url};
use ibissail_core::ByteSize;
use ibissail_transport::{Pool, PoolOptions};
use measure::{Samples, Usage, print_row};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_PAIRS: u32 = 2_000;
const REQUEST_INTERVAL: Duration = Duration::from_micros(500);
const CONNECTIONS: u32 = 64;
const SATURATION_TIME: Duration = Duration::from_secs(4);
const KNOWN_UPSTREAMS: u32 = 1_000;
const MAX_RESPONSE_BODY: ByteSize = ByteSize(1 << 20);

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

    /// Sends one request; returns the time to the first byte and to the complete response.
    async fn call(&self) -> (Duration, Duration) {
        let url = Url::parse(&format!("http://{}/v1/chat/completions", self.address));
        let mut req = Request::new(Method::Post, url.expect("a URL"));
        req.insert_header("authorization", "Bearer demo-key");
        req.set_body(r#"{"model":"swift@1","max_tokens":8,"messages":[{"role":"user","content":"one two"}]}"#);
        let started = Instant::now();
        let pooled = self.pool.send(self.address, req, TIMEOUT).await.expect("a response");
        let first = started.elapsed();
        assert!(pooled.response.status().is_success(), "{}", pooled.response.status());
        pooled.read_body(MAX_RESPONSE_BODY, TIMEOUT).await.expect("a complete response");
        (first, started.elapsed())
    }

    /// Requests per second over many connections.
    async fn saturate(&self) -> f64 {
        let started = Instant::now();
        let workers: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let target = self.clone();
                task::spawn(async move {
                    let mut count = 0_u32;
                    while started.elapsed() < SATURATION_TIME {
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
    measure_latency(&direct, &path);
    measure_throughput(&cluster, &direct, &path);
    measure_memory(&mut cluster);
}

fn measure_latency(direct: &Target, path: &Target) {
    let mut samples =
        [Samples::default(), Samples::default(), Samples::default(), Samples::default()];
    task::block_on(async {
        for _ in 0..REQUEST_PAIRS {
            let (first, complete) = direct.call().await;
            samples[0].add(first);
            samples[1].add(complete);
            task::sleep(REQUEST_INTERVAL).await;
            let (first, complete) = path.call().await;
            samples[2].add(first);
            samples[3].add(complete);
            task::sleep(REQUEST_INTERVAL).await;
        }
    });
    let [direct_first, direct_complete, path_first, path_complete] = &mut samples;
    println!("{REQUEST_PAIRS} pairs, one connection, microseconds");
    print_row(&["", "p50 first", "p99 first", "p50 complete", "p99 complete"]);
    for (name, first, complete) in [
        ("direct", direct_first, direct_complete),
        ("through entry and sidecar", path_first, path_complete),
    ] {
        let cells = [
            first.percentile_micros(50),
            first.percentile_micros(99),
            complete.percentile_micros(50),
            complete.percentile_micros(99),
        ];
        let cells = cells.map(|cell| cell.to_string());
        print_row(&[name, &cells[0], &cells[1], &cells[2], &cells[3]]);
    }
}

fn measure_throughput(cluster: &Cluster, direct: &Target, path: &Target) {
    println!("\n{CONNECTIONS} connections for {} s each", SATURATION_TIME.as_secs());
    print_row(&["", "requests/s", "entry CPU us/request", "sidecar CPU us/request"]);
    let rate = task::block_on(direct.saturate());
    print_row(&["direct", &format!("{rate:.0}"), "", ""]);
    let before = [usage(cluster, "entry-1"), usage(cluster, "swift-1")];
    let started = Instant::now();
    let rate = task::block_on(path.saturate());
    let requests = rate * started.elapsed().as_secs_f64();
    let after = [usage(cluster, "entry-1"), usage(cluster, "swift-1")];
    let cpu = |index: usize| {
        after[index].cpu.saturating_sub(before[index].cpu).as_secs_f64() * 1e6 / requests
    };
    let cells = [format!("{rate:.0}"), format!("{:.0}", cpu(0)), format!("{:.0}", cpu(1))];
    print_row(&["through entry and sidecar", &cells[0], &cells[1], &cells[2]]);
}

fn usage(cluster: &Cluster, name: &str) -> Usage {
    Usage::for_pid(cluster.processes[name].id())
}

fn measure_memory(cluster: &mut Cluster) {
    for number in 0..KNOWN_UPSTREAMS {
        let mut member = cluster.members["swift-1"].clone();
        member.name = format!("known-{number}");
        cluster.register(&member, ibissail_object_store::VmState::Live);
    }
    std::thread::sleep(Duration::from_secs(6));
    println!("\nresident memory with {KNOWN_UPSTREAMS} upstreams known, MB");
    print_row(&["entry", "sidecar"]);
    let cells =
        ["entry-1", "swift-1"].map(|name| format!("{:.1}", usage(cluster, name).resident_mb()));
    print_row(&[&cells[0], &cells[1]]);
}
