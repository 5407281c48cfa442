//! A non-repeatable call takes effect at most once, and an error with `ran: no` means that it has
//! not run.
//!
//! The tests check the effects that each service has counted. There are two services behind two
//! sidecars, so that a duplicated call could take effect a second time.

mod common;

use common::{
    Cluster,
    fault_proxy::FaultProxy,
    http::{self, Response},
    wait_until,
};
use ibissail_standin::{PlatformFaults, ServiceFaults};
use std::{io::Read, net::TcpStream, thread, time::Duration};

/// The effect takes place after a delay.
const SLOW_EFFECT: ServiceFaults =
    ServiceFaults { before_ms: 1_200, after_ms: 0, fail_after: false, limit: None };
/// The effect takes place at once and the response comes after a delay.
const SLOW_RESPONSE: ServiceFaults =
    ServiceFaults { before_ms: 0, after_ms: 1_200, fail_after: false, limit: None };

fn cluster(test: &str) -> Cluster {
    Cluster::with_upstreams(
        test,
        &[("payouts-1", "service:payouts"), ("payouts-2", "service:payouts")],
    )
}

fn set_all_service_faults(cluster: &Cluster, faults: &ServiceFaults) {
    for name in ["payouts-1", "payouts-2"] {
        cluster.set_service_faults(name, faults);
    }
}

/// Sends a payout request without waiting for its response.
fn start_payout(cluster: &Cluster, entry: &str, key: &str) -> TcpStream {
    let headers = [
        ("authorization", "Bearer demo-key"),
        ("idempotency-key", key),
        ("x-ibissail-deadline-ms", "15000"),
    ];
    let listen = cluster.members[entry].listen;
    let path = "/v1/services/payouts/pay";
    http::start_request(listen, "POST", path, &headers, b"{\"amount\":1}").expect("sent")
}

fn read_response(mut stream: TcpStream) -> Response {
    let mut bytes = Vec::new();
    let _lost = stream.read_to_end(&mut bytes);
    http::parse_response(&bytes).unwrap_or_else(Response::missing)
}

/// Waits until a sidecar runs a call; returns its name.
fn wait_for_running_sidecar(cluster: &Cluster) -> String {
    let mut found = None;
    wait_until("a sidecar runs the call", || {
        let runs = |name: &&&str| cluster.status(name)["running"] == 1;
        found = ["payouts-1", "payouts-2"].iter().find(runs).map(|name| (*name).to_owned());
        found.is_some()
    });
    found.expect("found above")
}

fn wait_for_effect(cluster: &Cluster, key: &str) {
    wait_until("the call has taken effect", || cluster.effect_count(key) > 0);
}

#[test]
fn repeated_key_returns_the_first_outcome() {
    let mut cluster = cluster("repeated_key");
    cluster.start_all();
    let first = cluster.send_payout("entry-1", "k");
    let again = cluster.send_payout("entry-2", "k");
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(cluster.effect_count("k"), 1);
    let other = [("idempotency-key", "k")];
    let reused = cluster.post("entry-1", "/v1/services/payouts/pay", &other, b"{\"amount\":2}");
    assert_eq!((reused.status, reused.error_kind().as_str()), (422, "key_reused"));
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn concurrent_callers_share_one_run() {
    let mut cluster = cluster("two_callers");
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let streams: Vec<TcpStream> = ["entry-1", "entry-2"]
        .repeat(4)
        .iter()
        .map(|entry| start_payout(&cluster, entry, "k"))
        .collect();
    let responses: Vec<Response> = streams.into_iter().map(read_response).collect();
    for response in &responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, responses[0].body);
    }
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn entry_is_killed_while_the_service_runs() {
    let mut cluster = cluster("entry_killed");
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let stream = start_payout(&cluster, "entry-1", "k");
    wait_for_running_sidecar(&cluster);
    cluster.process("entry-1").kill();
    assert_eq!(read_response(stream).status, 0);
    let retry = cluster.send_payout("entry-2", "k");
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn sidecar_is_killed_while_the_service_runs() {
    let mut cluster = cluster("sidecar_killed");
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let stream = start_payout(&cluster, "entry-1", "k");
    let name = wait_for_running_sidecar(&cluster);
    // The sidecar reports the call as running before the service has received it.
    wait_until("the service has received the call", || cluster.service_call_count("k") > 0);
    cluster.process(&name).kill();
    let response = read_response(stream);
    assert_eq!((response.status, response.ran().as_str()), (502, "unknown"), "{response:?}");
    wait_for_effect(&cluster, "k");
    cluster.start(&name);
    cluster.wait_ready(&name);
    for entry in ["entry-1", "entry-2"] {
        let retry = cluster.send_payout(entry, "k");
        assert_eq!(retry.ran(), "unknown", "{retry:?}");
    }
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn sidecar_restarts_while_the_service_runs() {
    let mut cluster = cluster("sidecar_restarts");
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let stream = start_payout(&cluster, "entry-1", "k");
    let name = wait_for_running_sidecar(&cluster);
    wait_until("the service has received the call", || cluster.service_call_count("k") > 0);
    cluster.process(&name).kill();
    // The entry attaches to the restarted sidecar, which refuses it as another incarnation.
    cluster.start(&name);
    let response = read_response(stream);
    assert_eq!((response.status, response.ran().as_str()), (502, "unknown"), "{response:?}");
    wait_for_effect(&cluster, "k");
    cluster.wait_ready(&name);
    for entry in ["entry-1", "entry-2"] {
        let retry = cluster.send_payout(entry, "k");
        assert_eq!(retry.ran(), "unknown", "{retry:?}");
    }
    thread::sleep(Duration::from_millis(SLOW_EFFECT.before_ms + 500));
    assert_eq!((cluster.effect_count("k"), cluster.service_call_count("k")), (1, 1));
}

#[test]
fn outcome_is_returned_after_the_sidecars_were_killed() {
    let mut cluster = cluster("outcome_returned");
    cluster.start_all();
    let first = cluster.send_payout("entry-1", "k");
    wait_until("the outcome is stored in the claim", || {
        let claims = http::get(cluster.platform, "/v1/objects?prefix=claims/");
        claims.is_some_and(|response| response.text().contains("content_type"))
    });
    for name in ["payouts-1", "payouts-2"] {
        cluster.process(name).kill();
    }
    let again = cluster.send_payout("entry-2", "k");
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn response_to_the_claim_is_lost() {
    let mut cluster = cluster("claim_response_lost");
    cluster.start_all();
    let faults = PlatformFaults { lose_answers: 1, ..PlatformFaults::default() };
    cluster.set_faults(&faults);
    let response = cluster.send_payout("entry-1", "k");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(cluster.effect_count("k"), 1);
    assert_eq!(cluster.send_payout("entry-2", "k").body, response.body);
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn call_has_no_effect_while_the_platform_is_down() {
    let mut cluster = cluster("platform_down");
    cluster.start_all();
    cluster.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    let response = cluster.send_payout("entry-1", "k");
    assert_eq!((response.status, response.error_kind().as_str()), (503, "platform_down"));
    assert_eq!(response.header("retry-after"), Some("5"));
    assert_eq!(cluster.effect_count("k"), 0);
    cluster.set_faults(&PlatformFaults::default());
    assert_eq!(cluster.send_payout("entry-2", "k").status, 200);
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn platform_goes_down_while_the_service_runs() {
    let mut cluster = cluster("platform_down_later");
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let stream = start_payout(&cluster, "entry-1", "k");
    wait_for_running_sidecar(&cluster);
    cluster.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    let first = read_response(stream);
    assert_eq!(first.status, 200, "{first:?}");
    let retry = cluster.send_payout("entry-2", "k");
    assert_eq!(retry.ran(), "unknown", "{retry:?}");
    cluster.set_faults(&PlatformFaults::default());
    assert_eq!(cluster.send_payout("entry-2", "k").body, first.body);
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn suspended_entry_resumes_after_another_has_served_the_call() {
    let mut cluster = cluster("suspended_entry");
    cluster.start_all();
    let slow = PlatformFaults { answer_delay_ms: 1_000, ..PlatformFaults::default() };
    cluster.set_faults(&slow);
    let stream = start_payout(&cluster, "entry-1", "k");
    wait_until("the claim is stored in the platform", || {
        let claims = http::get(cluster.platform, "/v1/objects?prefix=claims/");
        claims.is_some_and(|response| response.text().contains("claims/editors"))
    });
    cluster.process("entry-1").suspend();
    cluster.set_faults(&PlatformFaults::default());
    let other = cluster.send_payout("entry-2", "k");
    assert_eq!(other.status, 200, "{other:?}");
    cluster.process("entry-1").resume();
    let resumed = read_response(stream);
    assert_eq!((resumed.status, &resumed.body), (200, &other.body), "{resumed:?}");
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn suspended_sidecar_resumes_after_the_caller_got_an_error() {
    let mut cluster = cluster("suspended_sidecar");
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_RESPONSE);
    let stream = start_payout(&cluster, "entry-1", "k");
    let name = wait_for_running_sidecar(&cluster);
    cluster.process(&name).suspend();
    let response = read_response(stream);
    assert_eq!(response.ran(), "unknown", "{response:?}");
    assert!(cluster.effect_count("k") <= 1);
    cluster.process(&name).resume();
    wait_until("the first outcome is returned", || {
        cluster.send_payout("entry-2", "k").status == 200
    });
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn service_that_fails_after_its_effect_is_not_called_again() {
    let mut cluster = cluster("fails_after");
    cluster.start_all();
    set_all_service_faults(
        &cluster,
        &ServiceFaults { fail_after: true, ..ServiceFaults::default() },
    );
    for entry in ["entry-1", "entry-2", "entry-1"] {
        assert_eq!(cluster.send_payout(entry, "k").status, 500);
    }
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn call_of_an_unreachable_service_has_not_run() {
    let mut cluster = cluster("not_reached");
    cluster.start_all();
    for name in ["payouts-1-upstream", "payouts-2-upstream"] {
        cluster.process(name).kill();
    }
    let response = cluster.send_payout("entry-1", "k");
    assert_eq!(
        (response.status, response.error_kind().as_str()),
        (503, "no_replica"),
        "{response:?}"
    );
    for name in ["payouts-1", "payouts-2"] {
        let listen = cluster.members[name].upstream.as_ref().expect("an upstream").0;
        let args = ["standin", "service", "--listen", &listen.to_string()];
        cluster.spawn(&format!("{name}-upstream"), &args);
        wait_until("the service responds", || http::get(listen, "/control/counts").is_some());
    }
    wait_until("the call runs", || cluster.send_payout("entry-2", "k").status == 200);
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn stalled_connection_is_replaced() {
    let mut cluster = cluster("stalled");
    let proxies = add_proxies(&mut cluster);
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let stream = start_payout(&cluster, "entry-1", "k");
    wait_for_running_sidecar(&cluster);
    for proxy in &proxies {
        proxy.stall();
    }
    let response = read_response(stream);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(cluster.effect_count("k"), 1);
}

#[test]
fn connections_between_entry_and_sidecar_fail() {
    let mut cluster = cluster("connections_closed");
    let proxies = add_proxies(&mut cluster);
    cluster.start_all();
    set_all_service_faults(&cluster, &SLOW_EFFECT);
    let stream = start_payout(&cluster, "entry-1", "k");
    wait_for_running_sidecar(&cluster);
    proxies.iter().for_each(FaultProxy::close);
    let response = read_response(stream);
    assert_eq!(response.ran(), "unknown", "{response:?}");
    proxies.iter().for_each(FaultProxy::restore);
    wait_until("the first outcome is returned", || {
        cluster.send_payout("entry-2", "k").status == 200
    });
    assert_eq!(cluster.effect_count("k"), 1);
}

/// Puts a fault proxy in front of each sidecar.
fn add_proxies(cluster: &mut Cluster) -> Vec<FaultProxy> {
    cluster.add_proxies(&["payouts-1", "payouts-2"])
}
