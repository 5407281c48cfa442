//! A seeded workload with two failures at a time, and one with the platform down throughout.
//!
//! The judges count: effects by key, work on withdrawn versions, whole answers, billed requests.

mod common;

use common::{
    Cluster, EndOnDrop, GUIDES,
    http::{self, Answer},
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
const OUTPUT: u64 = 8;
const MEMBERS: [&str; 6] = ["entry-1", "entry-2", "payouts-1", "payouts-2", "swift-1", "swift-2"];

/// What callers were told.
#[derive(Debug, Default)]
struct Told {
    whole: AtomicU64,
    keys: Mutex<BTreeMap<String, Vec<Answer>>>,
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
    // Entry and sidecar may fail together, so that a third process must hold each record.
    let guides =
        GUIDES.replace("on_withdrawal: finish", "on_withdrawal: finish\n    witness: true");
    cluster.put("config/branches/root/guides", &guides);
    cluster.start_all();
    cluster
}

fn complete(entry: SocketAddr, stream: bool) -> Option<Answer> {
    let headers = [("authorization", "Bearer demo-key"), ("x-ibissail-deadline-ms", "4000")];
    let body = format!(
        "{{\"model\":\"swift\",\"stream\":{stream},\"messages\":[{{\"role\":\"user\",\"content\":\"two words\"}}]}}"
    );
    http::send(entry, "POST", "/v1/chat/completions", &headers, body.as_bytes())
}

fn pay(entry: SocketAddr, key: &str) -> Answer {
    let headers = [
        ("authorization", "Bearer demo-key"),
        ("idempotency-key", key),
        ("x-ibissail-deadline-ms", "4000"),
    ];
    let path = "/v1/services/payouts/pay";
    http::send(entry, "POST", path, &headers, b"{}").unwrap_or_else(Answer::lost)
}

/// One caller: completions and payouts through either entry, each key tried three times.
fn caller(number: u64, round: u32, entries: &[SocketAddr], told: &Told, done: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(SEED + number + u64::from(round) * CALLERS);
    let mut count = 0_u64;
    while !done.load(Ordering::Relaxed) {
        let mut entry = || *entries.choose(&mut rng).expect("entries");
        let stream = count.is_multiple_of(2);
        if let Some(answer) = complete(entry(), stream).filter(|answer| answer.status == 200) {
            let is_whole = !stream || answer.text().ends_with("data: [DONE]\n\n");
            assert!(is_whole || answer.text().contains("\"error\""), "{}", answer.text());
            told.whole.fetch_add(u64::from(is_whole), Ordering::Relaxed);
        }
        let key = format!("key-{round}-{number}-{count}");
        for _ in 0..3 {
            let answer = pay(entry(), &key);
            let is_done = answer.status == 200;
            let mut keys = told.keys.lock().expect("not poisoned");
            keys.entry(key.clone()).or_default().push(answer);
            if is_done {
                break;
            }
        }
        count += 1;
    }
}

/// Runs the callers while `disturb` does its work.
fn under_load<D>(cluster: &mut Cluster, round: u32, told: &Told, disturb: D)
where
    D: FnOnce(&mut Cluster),
{
    let entries = ["entry-1", "entry-2"].map(|name| cluster.members[name].listen);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let (entries, done) = (&entries, &done);
            scope.spawn(move || caller(number, round, entries, told, done));
        }
        let _end = EndOnDrop(&done);
        disturb(cluster);
    });
}

/// Each key has at most one effect; a key without one was never answered with 200, and a key whose
/// last answer is `ran: no` has none.
fn judge_keys(cluster: &Cluster, told: &Told) {
    let keys = told.keys.lock().expect("not poisoned");
    for (key, answers) in keys.iter() {
        let effects = cluster.effects(key);
        assert!(effects <= 1, "seed {SEED}: {key} has {effects} effects: {answers:?}");
        let succeeded = answers.iter().any(|answer| answer.status == 200);
        assert!(effects == 1 || !succeeded, "seed {SEED}: {key} was answered without an effect");
        let denied = answers.last().is_some_and(|answer| answer.ran() == "no");
        assert!(effects == 0 || !denied, "seed {SEED}: {key} ran after `ran: no`: {answers:?}");
        let mut outcomes = answers.iter().filter(|answer| answer.status == 200);
        let first = outcomes.next().map(|answer| &answer.body);
        assert!(outcomes.all(|answer| Some(&answer.body) == first), "seed {SEED}: {answers:?}");
    }
}

/// Requests of both versions in the ledgers, and tokens of their answers.
fn billed(cluster: &Cluster) -> (u64, u64) {
    let ledger = cluster.ledger();
    let versions = ["swift@1", "swift@2"].map(|name| ledger.get(name).copied().unwrap_or_default());
    versions.iter().fold((0, 0), |sum, version| (sum.0 + version.0, sum.1 + version.2))
}

fn wait_for_records(cluster: &Cluster) {
    for name in cluster.members.keys() {
        let what = format!("{name} has written its records");
        wait_until(&what, || cluster.status(name)["records"] == 0);
    }
}

fn judge_bill(cluster: &Cluster, told: &Told) {
    wait_for_records(cluster);
    let (requests, output) = billed(cluster);
    assert_eq!(output, requests * OUTPUT, "seed {SEED}");
    let whole = told.whole.load(Ordering::Relaxed);
    assert!(requests >= whole, "seed {SEED}: {requests} billed, {whole} answered");
    let effects: u64 = {
        let keys = told.keys.lock().expect("not poisoned");
        keys.keys().map(|key| cluster.effects(key)).sum()
    };
    let payouts = cluster.ledger().get("service:payouts").map_or(0, |sums| sums.0);
    assert!(payouts <= effects, "seed {SEED}: {payouts} payouts billed, {effects} effects");
}

/// Kills or freezes a member, or takes the platform down; gives back what mends it.
fn fail(cluster: &mut Cluster, name: &str, kind: u32) {
    match kind {
        0 => cluster.process(name).kill(),
        1 => cluster.process(name).freeze(),
        _ => cluster.platform_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }),
    }
}

fn mend(cluster: &mut Cluster, name: &str, kind: u32) {
    match kind {
        0 => {
            cluster.start(name);
            cluster.wait_ready(name);
        }
        1 => cluster.process(name).wake(),
        _ => cluster.platform_faults(&PlatformFaults::default()),
    }
}

#[test]
fn two_failures_at_a_time() {
    println!("seed {SEED}");
    let mut cluster = cluster("double_failures");
    let told = Told::default();
    cluster.withdraw("swift@2");
    for name in MEMBERS.iter().chain(&["swift-3"]) {
        wait_until("the withdrawal is known", || cluster.has_withdrawn(name, "swift@2"));
    }
    let begun = cluster.engine("swift-3").started;
    let mut rng = StdRng::seed_from_u64(SEED);
    for round in 0..ROUNDS {
        // One failure on each side of the path, so that callers keep a way through.
        let first = (MEMBERS[rng.random_range(0..2)], rng.random_range(0..2));
        let second = (MEMBERS[rng.random_range(2..6)], rng.random_range(0..3));
        let pause = Duration::from_millis(rng.random_range(200..900));
        let before = told.whole.load(Ordering::Relaxed);
        under_load(&mut cluster, round, &told, |cluster| {
            wait_until("the load has begun", || told.whole.load(Ordering::Relaxed) > before + 20);
            fail(cluster, first.0, first.1);
            fail(cluster, second.0, second.1);
            thread::sleep(pause);
            mend(cluster, second.0, second.1);
            mend(cluster, first.0, first.1);
        });
        // A record has three holders; the next two failures come when each is durable, since a
        // third failure before that would be one too many.
        wait_for_records(&cluster);
    }
    cluster.wait_routes();
    assert_eq!(cluster.engine("swift-3").started, begun, "seed {SEED}: withdrawn work");
    assert!(told.whole.load(Ordering::Relaxed) > 0);
    judge_keys(&cluster, &told);
    judge_bill(&cluster, &told);
}

#[test]
fn platform_down_for_the_whole_workload() {
    println!("seed {SEED}");
    let mut cluster = cluster("down_throughout");
    let told = Told::default();
    cluster.platform_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    under_load(&mut cluster, 0, &told, |cluster| {
        let mut rng = StdRng::seed_from_u64(SEED);
        for _ in 0..ROUNDS / 2 {
            let name = MEMBERS[rng.random_range(0..6)];
            let kind = rng.random_range(0..2);
            fail(cluster, name, kind);
            thread::sleep(Duration::from_millis(rng.random_range(200..900)));
            if kind == 0 {
                let member = cluster.members[name].clone();
                cluster.register(&member, VmState::Live);
            }
            mend(cluster, name, kind);
        }
    });
    cluster.platform_faults(&PlatformFaults::default());
    cluster.wait_routes();
    let keys: Vec<String> = told.keys.lock().expect("not poisoned").keys().cloned().collect();
    assert_eq!(keys.iter().map(|key| cluster.effects(key)).sum::<u64>(), 0, "seed {SEED}");
    judge_keys(&cluster, &told);
    judge_bill(&cluster, &told);
}
