//! A key that moves to another organisation while a request with it is in progress.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, ReplicaStandin, RouteSpec,
};
use std::{thread, time::Duration};

fn configuration(version: u64, owner: &str) -> ConfigurationSpec {
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    members.request_timeout_ms = 10_000;
    let organisations = vec![(owner.to_owned(), vec!["key-1".to_owned()])];
    ConfigurationSpec { version, routes: vec![members], organisations }
}

#[test]
fn request_is_not_sent_again_for_the_former_owner_of_its_key() {
    let fixture = EntryFixture::start("moved_key", &configuration(1, "huts"));
    let replicas = ["r-1", "r-2"].map(|id| fixture.add_replica(id, "records", Behaviour::Hang));
    fixture.wait_ready();
    for replica in &replicas {
        fixture.wait_for_replica(replica);
    }
    let mut request = CallerRequest::new("GET", "/members/1", "moved");
    request.key = Some("key-1".to_owned());
    request.deadline_ms = 4_500;
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&request));
        wait_until("a replica runs the request", || {
            replicas.iter().any(|replica| replica.run_count() > 0)
        });
        configuration(2, "guides").apply(&fixture.store);
        for replica in &replicas {
            replica.set_behaviour(Behaviour::Respond(200, Duration::ZERO));
        }
        sending.join().expect("the caller gets a response")
    });
    assert_eq!(fixture.log().matches("configuration: applied").count(), 2, "{response:?}");
    let received = replicas.iter().flat_map(ReplicaStandin::received_requests);
    let owners: Vec<String> = received.filter_map(|request| request.organisation).collect();
    assert_eq!(owners, ["huts"], "the key belongs to `guides` now: {response:?}");
    assert_eq!(response.status, 504, "the first replica may have run it: {response:?}");
}
