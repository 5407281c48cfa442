//! Seeded workloads with two failures at a time, and with the platform down throughout.
//!
//! The checks count effects by idempotency key, runs of withdrawn versions, complete responses and
//! billed requests.

mod common;

use common::{
    Cluster, GUIDES_SETTINGS, StopOnDrop,
    http::{self, Response},
    wait_until,
};
use ibissail_object_store::VmState;
use ibissail_standin::PlatformFaults;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const SEED: u64 = 7;
const ROUNDS: u32 = 6;
const CALLERS: u64 = 4;
const OUTPUT_TOKENS: u64 = 8;
const MEMBERS: [&str; 6] = ["entry-1", "entry-2", "payouts-1", "payouts-2", "swift-1", "swift-2"];

/// Responses that the callers have received.
#[derive(Debug, Default)]
struct ReceivedResponses {
    /// Number of complete responses to completion requests.
    complete: AtomicU64,
    /// Responses to payout requests by idempotency key.
    payouts: Mutex<BTreeMap<String, Vec<Response>>>,
}

fn cluster(test: &str) -> Cluster {
    let upstreams = [
        ("payouts-1", "service:payouts"),
        ("payouts-2", "service:payouts"),
        ("swift-1", "swift@1"),
        ("swift-2", "swift@1"),
        ("swift-3", "swift@2"),
    ];
    let mut cluster = Cluster::with_upstreams(test, &upstreams);
    // Entry and sidecar may fail together, so a third process, the witness, must keep each record.
    let guides = GUIDES_SETTINGS
        .replace("on_withdrawal: finish", "on_withdrawal: finish\n    witness: true");
    cluster.put("config/branches/root/guides", &guides);
    cluster.start_all();
    cluster
}

fn send_completion(entry: SocketAddr, stream: bool) -> Option<Response> {
    let headers = [("authorization", "Bearer demo-key"), ("x-ibissail-deadline-ms", "4000")];
    let body = format!(
        "{{\"model\":\"swift\",\"stream\":{stream},\"messages\":[{{\"role\":\"user\",\"content\":\"two words\"}}]}}"
    );
    http::send(entry, "POST", "/v1/chat/completions", &headers, body.as_bytes())
}

fn send_payout(entry: SocketAddr, key: &str) -> Response {
    let headers = [
        ("authorization", "Bearer demo-key"),
        ("idempotency-key", key),
        ("x-ibissail-deadline-ms", "4000"),
    ];
    let path = "/v1/services/payouts/pay";
    http::send(entry, "POST", path, &headers, b"{}").unwrap_or_else(Response::missing)
}

/// Sends completions and payouts through random entries until `done` is set. Each payout is tried
/// up to three times with the same key.
fn run_caller(
    number: u64,
    round: u32,
    entries: &[SocketAddr],
    received: &ReceivedResponses,
    done: &AtomicBool,
) {
    let mut rng = StdRng::seed_from_u64(SEED + number + u64::from(round) * CALLERS);
    let mut count = 0_u64;
    while !done.load(Ordering::Relaxed) {
        let mut entry = || *entries.choose(&mut rng).expect("entries");
        let stream = count.is_multiple_of(2);
        if let Some(response) =
            send_completion(entry(), stream).filter(|response| response.status == 200)
        {
            let is_complete = !stream || response.text().ends_with("data: [DONE]\n\n");
            assert!(is_complete || response.text().contains("\"error\""), "{}", response.text());
            received.complete.fetch_add(u64::from(is_complete), Ordering::Relaxed);
        }
        let key = format!("key-{round}-{number}-{count}");
        for _ in 0..3 {
            let response = send_payout(entry(), &key);
            let is_done = response.status == 200;
            let mut keys = received.payouts.lock().expect("not poisoned");
            keys.entry(key.clone()).or_default().push(response);
            if is_done {
                break;
            }
        }
        count += 1;
    }
}

/// Runs the callers while `inject_failures` runs.
fn under_load<D>(
    cluster: &mut Cluster,
    round: u32,
    received: &ReceivedResponses,
    inject_failures: D,
) where
    D: FnOnce(&mut Cluster),
{
    let entries = ["entry-1", "entry-2"].map(|name| cluster.members[name].listen);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let (entries, done) = (&entries, &done);
            scope.spawn(move || run_caller(number, round, entries, received, done));
        }
        let _stop = StopOnDrop(&done);
        inject_failures(cluster);
    });
}

/// Checks that each key has at most one effect, that a key with a 200 response has one, that a key
/// whose last response says `ran: no` has none, and that all 200 responses of a key are equal.
fn check_payouts(cluster: &Cluster, received: &ReceivedResponses) {
    let keys = received.payouts.lock().expect("not poisoned");
    for (key, responses) in keys.iter() {
        let effects = cluster.effect_count(key);
        assert!(effects <= 1, "seed {SEED}: {key} has {effects} effects: {responses:?}");
        let succeeded = responses.iter().any(|response| response.status == 200);
        assert!(
            effects == 1 || !succeeded,
            "seed {SEED}: {key} was answered with 200 without an effect"
        );
        let reported_not_run = responses.last().is_some_and(|response| response.ran() == "no");
        assert!(
            effects == 0 || !reported_not_run,
            "seed {SEED}: {key} ran after `ran: no`: {responses:?}"
        );
        let mut outcomes = responses.iter().filter(|response| response.status == 200);
        let first = outcomes.next().map(|response| &response.body);
        assert!(
            outcomes.all(|response| Some(&response.body) == first),
            "seed {SEED}: {responses:?}"
        );
    }
}

/// Requests of both versions in the ledgers, and their response tokens.
fn billed_totals(cluster: &Cluster) -> (u64, u64) {
    let ledger = cluster.ledger_totals();
    let versions = ["swift@1", "swift@2"].map(|name| ledger.get(name).copied().unwrap_or_default());
    versions.iter().fold((0, 0), |sum, version| (sum.0 + version.0, sum.1 + version.2))
}

fn wait_for_records(cluster: &Cluster) {
    for name in cluster.members.keys() {
        let what = format!("{name} has written its records");
        wait_until(&what, || cluster.status(name)["records"] == 0);
    }
}

/// Checks that each complete response is billed, with its tokens, and no payout without an effect.
fn check_billing(cluster: &Cluster, received: &ReceivedResponses) {
    wait_for_records(cluster);
    let (requests, output) = billed_totals(cluster);
    assert_eq!(output, requests * OUTPUT_TOKENS, "seed {SEED}");
    let complete = received.complete.load(Ordering::Relaxed);
    assert!(requests >= complete, "seed {SEED}: {requests} billed, {complete} answered");
    let effects: u64 = {
        let keys = received.payouts.lock().expect("not poisoned");
        keys.keys().map(|key| cluster.effect_count(key)).sum()
    };
    let payouts = cluster.ledger_totals().get("service:payouts").map_or(0, |sums| sums.0);
    assert!(payouts <= effects, "seed {SEED}: {payouts} payouts billed, {effects} effects");
}

/// Kills (0) or suspends (1) a member, or takes the platform down (any other kind).
fn inject_failure(cluster: &mut Cluster, name: &str, kind: u32) {
    match kind {
        0 => cluster.process(name).kill(),
        1 => cluster.process(name).suspend(),
        _ => cluster.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }),
    }
}

/// Ends a failure that `inject_failure` has injected.
fn recover(cluster: &mut Cluster, name: &str, kind: u32) {
    match kind {
        0 => {
            cluster.start(name);
            cluster.wait_ready(name);
        }
        1 => cluster.process(name).resume(),
        _ => cluster.set_faults(&PlatformFaults::default()),
    }
}

#[test]
fn two_failures_at_a_time() {
    println!("seed {SEED}");
    let mut cluster = cluster("double_failures");
    let received = ReceivedResponses::default();
    cluster.withdraw("swift@2");
    for name in MEMBERS.iter().chain(&["swift-3"]) {
        wait_until("the withdrawal is applied", || cluster.has_withdrawn(name, "swift@2"));
    }
    let started_before = cluster.engine_counts("swift-3").started;
    let mut rng = StdRng::seed_from_u64(SEED);
    for round in 0..ROUNDS {
        // One entry fails, and one sidecar or the platform, so that callers can still reach a
        // working entry and sidecar.
        let first = (MEMBERS[rng.random_range(0..2)], rng.random_range(0..2));
        let second = (MEMBERS[rng.random_range(2..6)], rng.random_range(0..3));
        let pause = Duration::from_millis(rng.random_range(200..900));
        let before = received.complete.load(Ordering::Relaxed);
        under_load(&mut cluster, round, &received, |cluster| {
            wait_until("the load has started", || {
                received.complete.load(Ordering::Relaxed) > before + 20
            });
            inject_failure(cluster, first.0, first.1);
            inject_failure(cluster, second.0, second.1);
            thread::sleep(pause);
            recover(cluster, second.0, second.1);
            recover(cluster, first.0, first.1);
        });
        // Each record is kept by three processes until the platform has stored it, so a third
        // failure before then could lose it.
        wait_for_records(&cluster);
    }
    cluster.wait_for_upstreams();
    assert_eq!(
        cluster.engine_counts("swift-3").started,
        started_before,
        "seed {SEED}: the withdrawn version has run"
    );
    assert!(received.complete.load(Ordering::Relaxed) > 0);
    check_payouts(&cluster, &received);
    check_billing(&cluster, &received);
}

#[test]
fn platform_is_down_during_the_workload() {
    println!("seed {SEED}");
    let mut cluster = cluster("down_throughout");
    let received = ReceivedResponses::default();
    cluster.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    under_load(&mut cluster, 0, &received, |cluster| {
        let mut rng = StdRng::seed_from_u64(SEED);
        for _ in 0..ROUNDS / 2 {
            let name = MEMBERS[rng.random_range(0..6)];
            let kind = rng.random_range(0..2);
            inject_failure(cluster, name, kind);
            thread::sleep(Duration::from_millis(rng.random_range(200..900)));
            if kind == 0 {
                let member = cluster.members[name].clone();
                cluster.register(&member, VmState::Live);
            }
            recover(cluster, name, kind);
        }
    });
    cluster.set_faults(&PlatformFaults::default());
    cluster.wait_for_upstreams();
    let keys: Vec<String> =
        received.payouts.lock().expect("not poisoned").keys().cloned().collect();
    assert_eq!(keys.iter().map(|key| cluster.effect_count(key)).sum::<u64>(), 0, "seed {SEED}");
    check_payouts(&cluster, &received);
    check_billing(&cluster, &received);
}
