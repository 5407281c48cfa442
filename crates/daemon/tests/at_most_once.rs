//! A call that may not be repeated takes effect at most once, and `ran: no` is true.
//!
//! The judge is each service's own count of effects. Two services stand behind two sidecars, so
//! that a second effect is possible wherever the system would allow it.

mod common;

use common::{
    Cluster,
    gate::Gate,
    http::{self, Answer},
    wait_until,
};
use ibissail_standin::{PlatformFaults, ServiceFaults};
use std::{io::Read, net::TcpStream};

const SLOW: ServiceFaults = ServiceFaults { before_ms: 1_200, after_ms: 0, fail_after: false };
const SLOW_AFTER: ServiceFaults =
    ServiceFaults { before_ms: 0, after_ms: 1_200, fail_after: false };

fn cluster(test: &str) -> Cluster {
    Cluster::with_upstreams(
        test,
        &[("payouts-1", "service:payouts"), ("payouts-2", "service:payouts")],
    )
}

fn all_services(cluster: &Cluster, faults: &ServiceFaults) {
    for name in ["payouts-1", "payouts-2"] {
        cluster.service_faults(name, faults);
    }
}

/// Begins a payout without waiting for its answer.
fn begin(cluster: &Cluster, entry: &str, key: &str) -> TcpStream {
    let headers = [
        ("authorization", "Bearer demo-key"),
        ("idempotency-key", key),
        ("x-ibissail-deadline-ms", "15000"),
    ];
    let listen = cluster.members[entry].listen;
    let path = "/v1/services/payouts/pay";
    http::open(listen, "POST", path, &headers, b"{\"amount\":1}").expect("sent")
}

fn read(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let _lost = stream.read_to_end(&mut bytes);
    http::parse(&bytes).unwrap_or_else(Answer::lost)
}

/// The sidecar that runs a key now.
fn running_at(cluster: &Cluster) -> String {
    let mut found = None;
    wait_until("a sidecar runs the call", || {
        let runs = |name: &&&str| cluster.status(name)["running"] == 1;
        found = ["payouts-1", "payouts-2"].iter().find(runs).map(|name| (*name).to_owned());
        found.is_some()
    });
    found.expect("found above")
}

fn wait_for_effect(cluster: &Cluster, key: &str) {
    wait_until("the effect has taken place", || cluster.effects(key) > 0);
}

#[test]
fn repeated_key_gets_the_first_outcome() {
    let mut cluster = cluster("repeated_key");
    cluster.start_all();
    let first = cluster.pay("entry-1", "k");
    let again = cluster.pay("entry-2", "k");
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(cluster.effects("k"), 1);
    let other = [("idempotency-key", "k")];
    let reused = cluster.post("entry-1", "/v1/services/payouts/pay", &other, b"{\"amount\":2}");
    assert_eq!((reused.status, reused.kind().as_str()), (422, "key_reused"));
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn two_callers_at_once_share_one_run() {
    let mut cluster = cluster("two_callers");
    cluster.start_all();
    all_services(&cluster, &SLOW);
    let streams: Vec<TcpStream> =
        ["entry-1", "entry-2"].repeat(4).iter().map(|entry| begin(&cluster, entry, "k")).collect();
    let answers: Vec<Answer> = streams.into_iter().map(read).collect();
    for answer in &answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, answers[0].body);
    }
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn entry_killed_while_the_service_works() {
    let mut cluster = cluster("entry_killed");
    cluster.start_all();
    all_services(&cluster, &SLOW);
    let stream = begin(&cluster, "entry-1", "k");
    running_at(&cluster);
    cluster.process("entry-1").kill();
    assert_eq!(read(stream).status, 0);
    let retry = cluster.pay("entry-2", "k");
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn sidecar_killed_while_the_service_works() {
    let mut cluster = cluster("sidecar_killed");
    cluster.start_all();
    all_services(&cluster, &SLOW);
    let stream = begin(&cluster, "entry-1", "k");
    let name = running_at(&cluster);
    // The sidecar counts the call before the service has it.
    wait_until("the service has the call", || cluster.service_arrivals("k") > 0);
    cluster.process(&name).kill();
    let answer = read(stream);
    assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"), "{answer:?}");
    wait_for_effect(&cluster, "k");
    cluster.start(&name);
    cluster.wait_ready(&name);
    for entry in ["entry-1", "entry-2"] {
        let retry = cluster.pay(entry, "k");
        assert_eq!(retry.ran(), "unknown", "{retry:?}");
    }
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn outcome_outlives_the_sidecar() {
    let mut cluster = cluster("outcome_outlives");
    cluster.start_all();
    let first = cluster.pay("entry-1", "k");
    wait_until("the outcome is in the claim", || {
        let claims = http::get(cluster.platform, "/v1/objects?prefix=claims/");
        claims.is_some_and(|answer| answer.text().contains("content_type"))
    });
    for name in ["payouts-1", "payouts-2"] {
        cluster.process(name).kill();
    }
    let again = cluster.pay("entry-2", "k");
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn claim_whose_answer_is_lost() {
    let mut cluster = cluster("claim_lost");
    cluster.start_all();
    let faults = PlatformFaults { lose_answers: 1, ..PlatformFaults::default() };
    cluster.platform_faults(&faults);
    let answer = cluster.pay("entry-1", "k");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.effects("k"), 1);
    assert_eq!(cluster.pay("entry-2", "k").body, answer.body);
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn platform_down_means_no_effect() {
    let mut cluster = cluster("platform_down");
    cluster.start_all();
    cluster.platform_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    let answer = cluster.pay("entry-1", "k");
    assert_eq!((answer.status, answer.kind().as_str()), (503, "platform_down"));
    assert_eq!(answer.header("retry-after"), Some("5"));
    assert_eq!(cluster.effects("k"), 0);
    cluster.platform_faults(&PlatformFaults::default());
    assert_eq!(cluster.pay("entry-2", "k").status, 200);
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn platform_down_while_the_service_works() {
    let mut cluster = cluster("platform_down_later");
    cluster.start_all();
    all_services(&cluster, &SLOW);
    let stream = begin(&cluster, "entry-1", "k");
    running_at(&cluster);
    cluster.platform_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    let first = read(stream);
    assert_eq!(first.status, 200, "{first:?}");
    let retry = cluster.pay("entry-2", "k");
    assert_eq!(retry.ran(), "unknown", "{retry:?}");
    cluster.platform_faults(&PlatformFaults::default());
    assert_eq!(cluster.pay("entry-2", "k").body, first.body);
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn frozen_entry_wakes_after_another_has_taken_over() {
    let mut cluster = cluster("frozen_entry");
    cluster.start_all();
    let slow = PlatformFaults { answer_delay_ms: 1_000, ..PlatformFaults::default() };
    cluster.platform_faults(&slow);
    let stream = begin(&cluster, "entry-1", "k");
    wait_until("the claim is in the platform", || {
        let claims = http::get(cluster.platform, "/v1/objects?prefix=claims/");
        claims.is_some_and(|answer| answer.text().contains("claims/editors"))
    });
    cluster.process("entry-1").freeze();
    cluster.platform_faults(&PlatformFaults::default());
    let other = cluster.pay("entry-2", "k");
    assert_eq!(other.status, 200, "{other:?}");
    cluster.process("entry-1").wake();
    let woken = read(stream);
    assert_eq!((woken.status, &woken.body), (200, &other.body), "{woken:?}");
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn frozen_sidecar_wakes_after_the_caller_was_told() {
    let mut cluster = cluster("frozen_sidecar");
    cluster.start_all();
    all_services(&cluster, &SLOW_AFTER);
    let stream = begin(&cluster, "entry-1", "k");
    let name = running_at(&cluster);
    cluster.process(&name).freeze();
    let answer = read(stream);
    assert_eq!(answer.ran(), "unknown", "{answer:?}");
    assert!(cluster.effects("k") <= 1);
    cluster.process(&name).wake();
    wait_until("the first outcome is told", || cluster.pay("entry-2", "k").status == 200);
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn service_that_fails_after_its_effect_is_not_called_again() {
    let mut cluster = cluster("fails_after");
    cluster.start_all();
    all_services(&cluster, &ServiceFaults { fail_after: true, ..ServiceFaults::default() });
    for entry in ["entry-1", "entry-2", "entry-1"] {
        assert_eq!(cluster.pay(entry, "k").status, 500);
    }
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn service_that_cannot_be_reached_has_not_run() {
    let mut cluster = cluster("not_reached");
    cluster.start_all();
    for name in ["payouts-1-upstream", "payouts-2-upstream"] {
        cluster.process(name).kill();
    }
    let answer = cluster.pay("entry-1", "k");
    assert_eq!((answer.status, answer.kind().as_str()), (503, "no_replica"), "{answer:?}");
    for name in ["payouts-1", "payouts-2"] {
        let listen = cluster.members[name].upstream.as_ref().expect("an upstream").0;
        let args = ["standin", "service", "--listen", &listen.to_string()];
        cluster.spawn(&format!("{name}-upstream"), &args);
        wait_until("the service answers", || http::get(listen, "/control/counts").is_some());
    }
    wait_until("the call runs in the end", || cluster.pay("entry-2", "k").status == 200);
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn silent_connection_is_replaced_and_the_answer_read() {
    let mut cluster = cluster("silent");
    let gates = gates(&mut cluster);
    cluster.start_all();
    all_services(&cluster, &SLOW);
    let stream = begin(&cluster, "entry-1", "k");
    running_at(&cluster);
    for gate in &gates {
        gate.silence();
    }
    let answer = read(stream);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.effects("k"), 1);
}

#[test]
fn cut_between_entry_and_sidecar() {
    let mut cluster = cluster("cut");
    let gates = gates(&mut cluster);
    cluster.start_all();
    all_services(&cluster, &SLOW);
    let stream = begin(&cluster, "entry-1", "k");
    running_at(&cluster);
    gates.iter().for_each(Gate::shut);
    let answer = read(stream);
    assert_eq!(answer.ran(), "unknown", "{answer:?}");
    gates.iter().for_each(Gate::open);
    wait_until("the first outcome is told", || cluster.pay("entry-2", "k").status == 200);
    assert_eq!(cluster.effects("k"), 1);
}

/// Gates in front of both sidecars.
fn gates(cluster: &mut Cluster) -> Vec<Gate> {
    cluster.gates_before(&["payouts-1", "payouts-2"])
}
