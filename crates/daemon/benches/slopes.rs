//! Bytes, CPU time and memory as a function of the cluster size, for docs/CAPACITY.md.

#[path = "../tests/common/mod.rs"]
mod common;
mod measure;

use async_std::task::block_on;
use common::{Cluster, GUIDES_SETTINGS, WAIT_TIMEOUT, http};
use ibissail_billing::{Ledger, UsageRecord};
use ibissail_catalogue::{Exchange, ExchangeReply};
use ibissail_core::{Fault, Incarnation, RequestId, SigningKey, Tokens};
use ibissail_execution::{Probe, ProbeReply, paths};
use ibissail_object_store::VmState;
use ibissail_settings::KeyHash;
use ibissail_transport::{Keyring, Pool, PoolOptions, call};
use measure::{Usage, fit_line, loopback_bytes, print_row};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::Write as _,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

const CALLS: u32 = 2_000;
const ORGANISATION_COUNTS: [u32; 4] = [10, 30, 100, 300];
const UPSTREAM_COUNTS: [u32; 4] = [30, 100, 300, 1_000];
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Client that sends messages as a peer of the cluster.
struct PeerClient {
    pool: Pool,
    keyring: Keyring,
}

impl PeerClient {
    fn call<M, A>(&self, address: SocketAddr, path: &str, message: &M) -> A
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let result: Result<A, Fault> =
            block_on(call(&self.pool, &self.keyring, address, path, message, WAIT_TIMEOUT))
                .expect("a response");
        result.expect("the call succeeds")
    }
}

fn main() {
    let mut cluster = Cluster::new("bench_slopes");
    cluster.log_level = "warn";
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.start_all();
    let key = SigningKey::new("p1".to_owned(), "a-secret-for-tests".to_owned());
    let peer =
        PeerClient { pool: Pool::new(PoolOptions::default()), keyring: Keyring::new(vec![key]) };
    measure_messages(&cluster, &peer);
    measure_ledgers();
    measure_organisations(&cluster);
    measure_upstreams(&cluster);
}

/// Bytes of one message with its response, including TCP and IP headers, and CPU time of the
/// receiver.
fn measure_messages(cluster: &Cluster, peer: &PeerClient) {
    let sidecar = cluster.members["swift-1"].peer_listen;
    let process = cluster.processes["swift-1"].id();
    let background = background_rate();
    print_row(&["message", "bytes", "receiver CPU us"]);
    let probe = || drop(peer.call::<Probe, ProbeReply>(sidecar, paths::PROBE, &Probe {}));
    measure_calls("probe", process, background, probe);
    let known: ExchangeReply = peer.call(sidecar, paths::EXCHANGE, &Exchange::default());
    let compare = Exchange { digest: known.digest, ..Exchange::default() };
    let exchange =
        || drop(peer.call::<Exchange, ExchangeReply>(sidecar, paths::EXCHANGE, &compare));
    measure_calls("comparison of settings", process, background, exchange);
}

/// Bytes per second on loopback while the benchmark sends nothing.
fn background_rate() -> f64 {
    thread::sleep(SETTLE_TIME);
    let (before, started) = (loopback_bytes(), Instant::now());
    thread::sleep(SETTLE_TIME);
    (loopback_bytes() - before) / started.elapsed().as_secs_f64()
}

fn measure_calls<C>(name: &str, process: u32, background: f64, mut send_one: C)
where
    C: FnMut(),
{
    let (bytes, cpu, started) = (loopback_bytes(), Usage::for_pid(process).cpu, Instant::now());
    for _ in 0..CALLS {
        send_one();
    }
    let call_bytes = loopback_bytes() - bytes - background * started.elapsed().as_secs_f64();
    let cpu = Usage::for_pid(process).cpu.saturating_sub(cpu).as_secs_f64() * 1e6;
    let bytes = format!("{:.0}", call_bytes / f64::from(CALLS));
    print_row(&[name, &bytes, &format!("{:.0}", cpu / f64::from(CALLS))]);
}

/// Size of a ledger object that contains all requests, and of one that contains every second
/// request, with the time to add one record.
fn measure_ledgers() {
    println!();
    print_row(&["ledger of 65,536 requests", "bytes", "us per record"]);
    for (name, step) in [("all counted", 1), ("every second", 2)] {
        let mut ledger = Ledger::default();
        let started = Instant::now();
        let mut count = 0_u32;
        for sequence in (0..65_536).step_by(step) {
            ledger.count(&record(sequence));
            count += 1;
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(count);
        let size = serde_json::to_string(&ledger).map(|text| text.len()).unwrap_or_default();
        print_row(&[name, &size.to_string(), &format!("{micros:.2}")]);
    }
}

fn record(sequence: u64) -> UsageRecord {
    UsageRecord {
        request: RequestId { entry: Incarnation(1), sequence },
        organisation: format!("organisation-{}", sequence % 10).parse().expect("a name"),
        target: "swift@1".parse().expect("a target"),
        input: Tokens(100),
        output: Tokens(200),
    }
}

/// Memory, and time to apply settings, by the number of organisations in one branch.
fn measure_organisations(cluster: &Cluster) {
    println!();
    print_row(&["organisations", "document bytes", "entry MB", "ms until applied"]);
    let mut points = Vec::new();
    for size in ORGANISATION_COUNTS {
        let mut text = GUIDES_SETTINGS.to_owned();
        for number in 0..size {
            let hash = KeyHash::of(&format!("{size}-{number}"));
            let _infallible = write!(
                text,
                "  o{number}:\n    keys: [\"{hash}\"]\n    allow: [swift]\n    default_class: lookup\n"
            );
        }
        let started = Instant::now();
        let revision = cluster.put("config/branches/root/guides", &text);
        let revision_text = format!(":{revision}}}");
        common::wait_until("the entry has applied the settings", || {
            cluster.status("entry-1")["settings"].to_string().contains(&revision_text)
        });
        let millis = started.elapsed().as_millis().to_string();
        let resident = Usage::for_pid(cluster.processes["entry-1"].id()).resident_mb();
        points.push((f64::from(size), resident));
        print_row(&[
            &size.to_string(),
            &text.len().to_string(),
            &format!("{resident:.2}"),
            &millis,
        ]);
    }
    print_fit("entry MB", "organisation", &points);
}

/// Memory and CPU of an entry and size of the VM list, by the number of upstreams.
fn measure_upstreams(cluster: &Cluster) {
    println!();
    print_row(&["upstreams listed", "bytes of the list", "entry MB", "entry CPU %"]);
    let (mut sizes, mut memory, mut cpu_percents) = (Vec::new(), Vec::new(), Vec::new());
    let mut listed = 0;
    for size in UPSTREAM_COUNTS {
        while listed < size {
            listed += 1;
            let mut member = cluster.members["swift-1"].clone();
            member.name = format!("known-{listed}");
            cluster.register(&member, VmState::Live);
        }
        thread::sleep(SETTLE_TIME);
        let process = cluster.processes["entry-1"].id();
        let (before, started) = (Usage::for_pid(process).cpu, Instant::now());
        thread::sleep(SETTLE_TIME);
        let after = Usage::for_pid(process);
        let cpu = after.cpu.saturating_sub(before).as_secs_f64() * 100.0;
        let cpu = cpu / started.elapsed().as_secs_f64();
        let list = http::get(cluster.platform, "/v1/vms").map(|response| response.body.len());
        let list = u32::try_from(list.unwrap_or_default()).unwrap_or(u32::MAX);
        sizes.push((f64::from(size), f64::from(list)));
        memory.push((f64::from(size), after.resident_mb()));
        cpu_percents.push((f64::from(size), cpu));
        let cells = [format!("{:.2}", after.resident_mb()), format!("{cpu:.2}")];
        print_row(&[&size.to_string(), &list.to_string(), &cells[0], &cells[1]]);
    }
    print_fit("bytes of the list", "upstream", &sizes);
    print_fit("entry MB", "upstream", &memory);
    print_fit("entry CPU %", "upstream", &cpu_percents);
}

fn print_fit(name: &str, each: &str, points: &[(f64, f64)]) {
    let (slope, base) = fit_line(points);
    println!("{name}: {base:.3} + {slope:.6} for each {each}");
}
