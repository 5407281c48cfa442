//! An entry and replicas in availability zones that may be evacuated.

use super::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, ReplicaStandin, RouteSpec, StoreStandin,
    replica_spec, set_zone,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// A response of a replica without delay.
pub const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);
/// Time in which an evacuation must take effect, in milliseconds.
pub const EVACUATION_DELAY_MS: u64 = 5_000;
/// A third of it, within which it is expected to.
pub const EXPECTED_DELAY: Duration = Duration::from_millis(1_700);

pub fn configuration() -> ConfigurationSpec {
    let mut draft = RouteSpec::new("/draft/", "resumable", "writers");
    draft.request_timeout_ms = 10_000;
    let mut south = RouteSpec::new("/south/", "safe", "records");
    south.regions = vec!["south".into()];
    let mut nowhere = RouteSpec::new("/nowhere/", "safe", "records");
    nowhere.regions = vec!["west".into()];
    let routes = vec![RouteSpec::new("/look/", "safe", "records"), draft, south, nowhere];
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

pub fn look(number: usize) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", &format!("id-{number}"))
}

pub fn prepare(test: &str) -> EntryFixture {
    let store = StoreStandin::start();
    configuration().apply(&store);
    let mut fixture = EntryFixture::without_entry(test, store);
    fixture.evacuation_delay_ms = Some(EVACUATION_DELAY_MS);
    fixture
}

pub fn start(test: &str) -> EntryFixture {
    let mut fixture = prepare(test);
    fixture.start_entry();
    fixture
}

pub fn add_replica(
    fixture: &EntryFixture,
    id: &str,
    (service, zone): (&str, &str),
    behaviour: Behaviour,
) -> ReplicaStandin {
    let replica = ReplicaStandin::start(id, behaviour);
    let mut spec = replica_spec(&replica, service, "v1", false);
    set_zone(&mut spec, zone);
    fixture.store.put("servers", id, &spec);
    replica
}

/// Adds a replica of the service `records` in each of the three zones.
pub fn add_zones(fixture: &EntryFixture) -> [ReplicaStandin; 3] {
    ["1", "2", "3"].map(|number| {
        let (id, zone) = (format!("r-{number}"), format!("az-{number}"));
        add_replica(fixture, &id, ("records", &zone), OK_RESPONSE)
    })
}

/// Waits until requests to the entry reach all of these replicas.
pub fn wait_until_used(fixture: &EntryFixture, replicas: &[ReplicaStandin]) {
    let counts: Vec<usize> = replicas.iter().map(received).collect();
    let mut number = 0;
    wait_until("the replicas are used", || {
        number += 1;
        let _response = fixture.send(&look(number));
        replicas.iter().zip(&counts).all(|(replica, before)| received(replica) > *before)
    });
}

pub fn received(replica: &ReplicaStandin) -> usize {
    replica.received_requests().len()
}

/// Asserts that requests are served, and none of them by this replica.
pub fn assert_avoided(fixture: &EntryFixture, replica: &ReplicaStandin, time: Duration) {
    let (started, before) = (Instant::now(), received(replica));
    let mut number = 0;
    while started.elapsed() < time || number < 20 {
        number += 1;
        let response = fixture.send(&look(number));
        assert_eq!(response.status, 200, "{response:?}");
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(received(replica), before, "requests to an evacuated zone");
}

pub fn wait_for_evacuation(fixture: &EntryFixture, zones: i64) {
    wait_until("the evacuation is known", || fixture.metric("evacuated_zones") == zones);
}

/// Waits for a log line, as another thread of the entry writes them.
pub fn wait_for_log(entry: &EntryFixture, text: &str) {
    wait_until("the line is logged", || entry.log().contains(text));
}
