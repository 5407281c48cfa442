//! A request on a kept connection is answered, or its connection is closed before it is read.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, KeptConnection, KeptResponse, LimitsSpec,
    RouteSpec,
};
use std::time::Duration;

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);

fn limits(head_bytes: u64, idle_timeout_ms: u64) -> LimitsSpec {
    LimitsSpec { head_bytes, idle_timeout_ms }
}

fn configuration(version: u64) -> ConfigurationSpec {
    let routes = vec![RouteSpec::new("/look/", "safe", "records")];
    ConfigurationSpec { version, routes, organisations: Vec::new() }
}

/// Starts an entry with these limits, and a replica.
fn fixture(test: &str, limits: LimitsSpec) -> EntryFixture {
    let fixture = EntryFixture::start(test, &configuration(1));
    change_limits(&fixture, 2, limits);
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    fixture.wait_for_replica(&replica);
    fixture
}

fn change_limits(fixture: &EntryFixture, version: u64, limits: LimitsSpec) {
    configuration(version).apply_with_limits(&fixture.store, limits);
    wait_until("the entry has the limits", || {
        fixture.log().contains(&format!("\"version\":{version}}}"))
    });
}

fn look(id: &str) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", id)
}

fn assert_served(response: &KeptResponse) {
    assert!(
        matches!(response, KeptResponse::Complete(response) if response.status == 200),
        "{response:?}"
    );
}

#[test]
fn larger_head_is_not_refused_on_a_connection_kept_since_before_the_change() {
    let fixture = fixture("larger_head", limits(1_024, 5_000));
    let mut connection = KeptConnection::open(fixture.callers);
    assert_served(&connection.send(&look("id-1")));
    change_limits(&fixture, 3, limits(16_384, 5_000));
    let mut request = look("id-2");
    request.extra = format!("X: {}\r\n", "a".repeat(4_000));
    assert_served(&connection.send(&request));
}

#[test]
fn connection_is_not_closed_by_an_idle_timeout_that_has_been_lengthened() {
    let fixture = fixture("longer_idle", limits(16_384, 1_000));
    let mut connection = KeptConnection::open(fixture.callers);
    assert_served(&connection.send(&look("id-1")));
    change_limits(&fixture, 3, limits(16_384, 5_000));
    assert!(!connection.is_closed_within(Duration::from_secs(3)), "it may be idle for 5 s");
    assert_served(&connection.send(&look("id-2")));
}

#[test]
fn connection_is_closed_by_an_idle_timeout_that_has_been_shortened() {
    let fixture = fixture("shorter_idle", limits(16_384, 20_000));
    let mut connection = KeptConnection::open(fixture.callers);
    assert_served(&connection.send(&look("id-1")));
    change_limits(&fixture, 3, limits(16_384, 1_000));
    assert!(connection.is_closed_within(Duration::from_secs(5)), "it may be idle for 1 s");
}
