//! Each answered request is billed once, to the token.
//!
//! The judge compares the sums of all ledgers with what the engines say they have answered.

mod common;

use common::{Cluster, EndOnDrop, http, wait_until};
use ibissail_standin::{EngineFaults, PlatformFaults};
use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
};

/// Tokens of the prompt and the answer of each request of these tests.
const INPUT: u64 = 2;
const OUTPUT: u64 = 8;
const CALLERS: u64 = 6;

fn cluster(test: &str) -> Cluster {
    let upstreams = [("swift-1", "swift@1"), ("swift-2", "swift@1")];
    let mut cluster = Cluster::with_upstreams(test, &upstreams);
    cluster.start_all();
    cluster
}

fn answer(cluster: &Cluster, entry: &str, count: u64) {
    for _ in 0..count {
        assert_eq!(cluster.complete(entry, "swift").status, 200);
    }
}

fn billed(cluster: &Cluster) -> (u64, u64, u64) {
    cluster.ledger().get("swift@1").copied().unwrap_or_default()
}

fn sums(requests: u64) -> (u64, u64, u64) {
    (requests, requests * INPUT, requests * OUTPUT)
}

fn wait_for_bill(cluster: &Cluster, requests: u64) {
    wait_until("the ledgers have every request", || billed(cluster).0 >= requests);
    assert_eq!(billed(cluster), sums(requests));
    let finished = cluster.engine("swift-1").finished + cluster.engine("swift-2").finished;
    assert_eq!(finished, requests);
}

fn down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

#[test]
fn entry_killed_before_it_wrote_its_records() {
    let mut cluster = cluster("bill_entry_killed");
    cluster.platform_faults(&down());
    answer(&cluster, "entry-1", 30);
    cluster.process("entry-1").kill();
    cluster.platform_faults(&PlatformFaults::default());
    wait_for_bill(&cluster, 30);
}

#[test]
fn sidecars_killed_before_the_records_were_written() {
    let mut cluster = cluster("bill_sidecar_killed");
    cluster.platform_faults(&down());
    answer(&cluster, "entry-1", 30);
    for name in ["swift-1", "swift-2"] {
        cluster.process(name).kill();
    }
    cluster.platform_faults(&PlatformFaults::default());
    wait_for_bill(&cluster, 30);
}

#[test]
fn platform_down_for_the_whole_load() {
    let cluster = cluster("bill_platform_down");
    cluster.platform_faults(&down());
    for entry in ["entry-1", "entry-2"] {
        answer(&cluster, entry, 40);
    }
    cluster.platform_faults(&PlatformFaults::default());
    wait_for_bill(&cluster, 80);
}

#[test]
fn answers_of_the_platform_are_lost() {
    let cluster = cluster("bill_answers_lost");
    for _ in 0..6 {
        let faults = PlatformFaults { lose_answers: 2, ..PlatformFaults::default() };
        cluster.platform_faults(&faults);
        answer(&cluster, "entry-1", 5);
        answer(&cluster, "entry-2", 5);
    }
    wait_for_bill(&cluster, 60);
}

#[test]
fn frozen_entry_writes_after_the_sidecars_have() {
    let mut cluster = cluster("bill_frozen_entry");
    cluster.platform_faults(&down());
    answer(&cluster, "entry-1", 20);
    cluster.process("entry-1").freeze();
    cluster.platform_faults(&PlatformFaults::default());
    wait_until("the sidecars have written", || billed(&cluster).0 == 20);
    cluster.process("entry-1").wake();
    answer(&cluster, "entry-1", 5);
    wait_for_bill(&cluster, 25);
}

/// An entry is killed under load. No whole answer goes unbilled, and at most those requests are
/// billed without one whose last bytes were on their way when it died.
#[test]
fn entry_killed_under_load() {
    let mut cluster = cluster("bill_under_load");
    let slow = EngineFaults { slower_ms: 2, ..EngineFaults::default() };
    cluster.engine_faults("swift-1", &slow);
    cluster.engine_faults("swift-2", &slow);
    let (answered, done) = (AtomicU64::new(0), AtomicBool::new(false));
    let listen = cluster.members["entry-1"].listen;
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let headers = [("authorization", "Bearer demo-key")];
                let body =
                    br#"{"model":"swift","messages":[{"role":"user","content":"two words"}]}"#;
                while !done.load(Ordering::Relaxed) {
                    let path = "/v1/chat/completions";
                    if http::send(listen, "POST", path, &headers, body)
                        .is_some_and(|a| a.status == 200)
                    {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        let _end = EndOnDrop(&done);
        wait_until("the load has begun", || answered.load(Ordering::Relaxed) > 100);
        cluster.process("entry-1").kill();
    });
    let answered = answered.load(Ordering::Relaxed);
    wait_until("the sidecars have written what the entry had not", || {
        ["swift-1", "swift-2"].iter().all(|name| cluster.status(name)["records"] == 0)
    });
    let (requests, input, output) = billed(&cluster);
    assert_eq!((input, output), (requests * INPUT, requests * OUTPUT));
    assert!(requests >= answered, "{requests} billed, {answered} answered");
    assert!(requests <= answered + CALLERS, "{requests} billed, {answered} answered");
}
