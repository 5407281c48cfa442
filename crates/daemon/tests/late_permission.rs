//! A permission that has run out while a request was in progress starts nothing new.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{Behaviour, CallerRequest, ConfigurationSpec, RouteSpec};
use std::{thread, time::Duration};

/// Longer than the settings accept keys after the last confirmation of the configuration.
const FREEZE: Duration = Duration::from_millis(2_500);

fn configuration(version: u64, keys: &[&str]) -> ConfigurationSpec {
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    members.request_timeout_ms = 10_000;
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    ConfigurationSpec { version, routes: vec![members], organisations: vec![("huts".into(), keys)] }
}

fn request(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("GET", "/members/1", id);
    request.key = Some("key-1".to_owned());
    request.deadline_ms = 4_500;
    request
}

#[test]
fn thawed_entry_does_not_retry_with_a_key_taken_away() {
    let fixture = EntryFixture::start("thawed", &configuration(1, &["key-1"]));
    let replicas = ["r-1", "r-2"].map(|id| fixture.add_replica(id, "records", Behaviour::Hang));
    fixture.wait_ready();
    for replica in &replicas {
        fixture.wait_for_replica(replica);
    }
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&request("late")));
        wait_until("a replica runs the request", || {
            replicas.iter().any(|replica| replica.run_count() > 0)
        });
        fixture.signal("-STOP");
        configuration(2, &[]).apply(&fixture.store);
        for replica in &replicas {
            replica.set_behaviour(Behaviour::Respond(200, Duration::ZERO));
        }
        thread::sleep(FREEZE);
        fixture.signal("-CONT");
        sending.join().expect("the caller gets a response")
    });
    let runs: usize = replicas.iter().map(|replica| replica.received_requests().len()).sum();
    assert_eq!(runs, 1, "the key is gone: {response:?}");
    assert_eq!(response.status, 504, "the first replica may have run it: {response:?}");
}
