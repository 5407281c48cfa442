//! Each answered request is billed exactly once, with its exact token counts.
//!
//! The tests compare the totals of all ledgers with the requests that the engines have finished.

mod common;

use common::{Cluster, StopOnDrop, http, wait_until};
use ibissail_standin::{EngineFaults, PlatformFaults};
use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
};

/// Prompt and response tokens of each request of these tests.
const INPUT_TOKENS: u64 = 2;
const OUTPUT_TOKENS: u64 = 8;
const CALLERS: u64 = 6;

fn cluster(test: &str) -> Cluster {
    let upstreams = [("swift-1", "swift@1"), ("swift-2", "swift@1")];
    let mut cluster = Cluster::with_upstreams(test, &upstreams);
    cluster.start_all();
    cluster
}

fn send_completions(cluster: &Cluster, entry: &str, count: u64) {
    for _ in 0..count {
        assert_eq!(cluster.send_completion(entry, "swift").status, 200);
    }
}

fn billed_totals(cluster: &Cluster) -> (u64, u64, u64) {
    cluster.ledger_totals().get("swift@1").copied().unwrap_or_default()
}

fn expected_totals(requests: u64) -> (u64, u64, u64) {
    (requests, requests * INPUT_TOKENS, requests * OUTPUT_TOKENS)
}

fn wait_until_billed(cluster: &Cluster, requests: u64) {
    wait_until("the ledgers contain every request", || billed_totals(cluster).0 >= requests);
    assert_eq!(billed_totals(cluster), expected_totals(requests));
    let finished =
        cluster.engine_counts("swift-1").finished + cluster.engine_counts("swift-2").finished;
    assert_eq!(finished, requests);
}

fn platform_down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

#[test]
fn entry_is_killed_before_it_writes_its_records() {
    let mut cluster = cluster("bill_entry_killed");
    cluster.set_faults(&platform_down());
    send_completions(&cluster, "entry-1", 30);
    cluster.process("entry-1").kill();
    cluster.set_faults(&PlatformFaults::default());
    wait_until_billed(&cluster, 30);
}

#[test]
fn sidecars_are_killed_before_the_records_are_written() {
    let mut cluster = cluster("bill_sidecar_killed");
    cluster.set_faults(&platform_down());
    send_completions(&cluster, "entry-1", 30);
    for name in ["swift-1", "swift-2"] {
        cluster.process(name).kill();
    }
    cluster.set_faults(&PlatformFaults::default());
    wait_until_billed(&cluster, 30);
}

#[test]
fn platform_is_down_during_the_load() {
    let cluster = cluster("bill_platform_down");
    cluster.set_faults(&platform_down());
    for entry in ["entry-1", "entry-2"] {
        send_completions(&cluster, entry, 40);
    }
    cluster.set_faults(&PlatformFaults::default());
    wait_until_billed(&cluster, 80);
}

#[test]
fn responses_of_the_platform_are_lost() {
    let cluster = cluster("bill_responses_lost");
    for _ in 0..6 {
        let faults = PlatformFaults { lose_answers: 2, ..PlatformFaults::default() };
        cluster.set_faults(&faults);
        send_completions(&cluster, "entry-1", 5);
        send_completions(&cluster, "entry-2", 5);
    }
    wait_until_billed(&cluster, 60);
}

#[test]
fn suspended_entry_writes_after_the_sidecars_have() {
    let mut cluster = cluster("bill_suspended_entry");
    cluster.set_faults(&platform_down());
    send_completions(&cluster, "entry-1", 20);
    cluster.process("entry-1").suspend();
    cluster.set_faults(&PlatformFaults::default());
    wait_until("the sidecars have written their records", || billed_totals(&cluster).0 == 20);
    cluster.process("entry-1").resume();
    send_completions(&cluster, "entry-1", 5);
    wait_until_billed(&cluster, 25);
}

/// Every complete response is billed. Beyond these, only a request whose last bytes were in transit
/// when the entry was killed may be billed: at most one for each caller.
#[test]
fn entry_is_killed_under_load() {
    let mut cluster = cluster("bill_under_load");
    let slow = EngineFaults { slower_ms: 2, ..EngineFaults::default() };
    cluster.set_engine_faults("swift-1", &slow);
    cluster.set_engine_faults("swift-2", &slow);
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
        let _stop = StopOnDrop(&done);
        wait_until("the load has started", || answered.load(Ordering::Relaxed) > 100);
        cluster.process("entry-1").kill();
    });
    let answered = answered.load(Ordering::Relaxed);
    wait_until("the sidecars have written the records that the entry had not", || {
        ["swift-1", "swift-2"].iter().all(|name| cluster.status(name)["records"] == 0)
    });
    let (requests, input, output) = billed_totals(&cluster);
    assert_eq!((input, output), (requests * INPUT_TOKENS, requests * OUTPUT_TOKENS));
    assert!(requests >= answered, "{requests} billed, {answered} answered");
    assert!(requests <= answered + CALLERS, "{requests} billed, {answered} answered");
}
