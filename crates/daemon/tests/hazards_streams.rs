//! Slow sound streams are not cut, and stalled ones that send a byte now and then are replaced.

mod direct;

use direct::EntryFixture;
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding,
};
use std::time::{Duration, Instant};

fn configuration() -> ConfigurationSpec {
    let mut route = RouteSpec::new("/drafts/", "resumable", "writers");
    route.request_timeout_ms = 20_000;
    ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() }
}

fn draft(number: usize) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", &format!("draft-{number}"));
    request.deadline_ms = 20_000;
    request
}

fn stream(events: u64, interval: Duration) -> Behaviour {
    let ending = StreamEnding::Complete;
    Behaviour::Stream { events, sent: events, interval, ending, confidence: 90 }
}

#[test]
fn slow_sound_stream_is_not_cut() {
    let fixture = EntryFixture::start("slow_stream", &configuration());
    // The route allows gaps of 400 ms.
    let slow = stream(12, Duration::from_millis(390));
    let replicas = ["r-1", "r-2"].map(|id| fixture.add_replica(id, "writers", slow.clone()));
    fixture.wait_ready();
    for replica in &replicas {
        fixture.wait_for_replica(replica);
    }
    let response = fixture.send(&draft(1));
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=12).collect::<Vec<u64>>());
    let runs: usize = replicas.iter().map(|replica| replica.received_requests().len()).sum();
    assert_eq!(runs, 1, "the stream was not resumed elsewhere");
}

/// Fails unless a stream that stalls while these bytes arrive is resumed at another replica.
fn assert_resumed(test: &str, bytes: &'static str) {
    let fixture = EntryFixture::start(test, &configuration());
    let trickle = Behaviour::Trickle(3, bytes, Duration::from_millis(150));
    let stalled = fixture.add_replica("r-1", "writers", trickle);
    let sound = fixture.add_replica("r-2", "writers", stream(12, Duration::from_millis(10)));
    fixture.wait_ready();
    fixture.wait_for_replica(&stalled);
    fixture.wait_for_replica(&sound);
    let mut number = 0;
    while stalled.run_count() == 0 {
        number += 1;
        let sent = Instant::now();
        let response = fixture.send(&draft(number));
        assert!(response.status == 200 && response.is_complete, "{response:?}");
        assert_eq!(response.event_ids(), (1..=12).collect::<Vec<u64>>());
        assert!(sent.elapsed() < Duration::from_secs(4), "{:?}", sent.elapsed());
    }
}

#[test]
fn trickling_stream_is_resumed_at_another_replica() {
    assert_resumed("trickle", "x");
}

#[test]
fn stream_of_comments_is_resumed_at_another_replica() {
    assert_resumed("trickling_comments", ": x\n\n");
}
