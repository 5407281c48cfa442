//! Streams that still run on the old version when a rollout succeeds.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding, send_request,
};
use std::{thread, time::Duration};

/// Events of the stream that outlasts the rollout.
const EVENTS: u64 = 30;
const ROLLOUT_SECONDS: f64 = 8.0;
/// Pause before each event of that stream. Its 20 events take as long as the rollout, whenever they begin.
const STREAM_INTERVAL_MS: u64 = 400;
/// Requests sent at the same time, so that a busy machine too brings the new version enough of them
/// before all go to it.
const PARALLEL_REQUESTS: u32 = 12;

fn configuration() -> ConfigurationSpec {
    let mut route = RouteSpec::new("/drafts/", "resumable", "writers");
    route.request_timeout_ms = 20_000;
    ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() }
}

fn draft(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", id);
    request.deadline_ms = 20_000;
    request
}

fn stream(sent: u64, interval_ms: u64, ending: StreamEnding) -> Behaviour {
    let interval = Duration::from_millis(interval_ms);
    Behaviour::Stream { events: EVENTS, sent, interval, ending, confidence: 90 }
}

/// Runs a stream on `v1` that outlasts the rollout to `v2`, and calls `after_success` when the
/// rollout has succeeded and the replicas of `v1` are gone.
fn stream_over_a_rollout<F>(test: &str, after_success: F)
where
    F: FnOnce(&EntryFixture),
{
    let fixture = EntryFixture::start(test, &configuration());
    let old =
        fixture.add_version("r-1", "writers", "v1", stream(EVENTS, 0, StreamEnding::Complete));
    fixture.wait_ready();
    fixture.wait_for_replica(&old);
    let new =
        fixture.add_version("r-2", "writers", "v2", stream(EVENTS, 0, StreamEnding::Complete));
    fixture.start_rollout("writers", "v2", ROLLOUT_SECONDS);
    fixture.wait_for_replica(&new);
    let mut number = 0;
    while new.run_count() < 8 {
        assert_eq!(fixture.rollout_state("writers").replace("running", ""), "", "too few requests");
        thread::scope(|scope| {
            for _ in 0..PARALLEL_REQUESTS {
                number += 1;
                let request = draft(&format!("short-{number}"));
                let entry = fixture.callers;
                scope.spawn(move || send_request(entry, &request));
            }
        });
        thread::sleep(Duration::from_millis(10));
    }
    // Its replica stops with it, in the middle of an event and without draining.
    old.set_behaviour(stream(20, STREAM_INTERVAL_MS, StreamEnding::Truncated));
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| {
            let mut number = 0;
            loop {
                number += 1;
                assert!(number < 100, "the stream reaches the old version");
                let before = old.run_count();
                let response = fixture.send(&draft(&format!("long-{number}")));
                if old.run_count() > before {
                    return response;
                }
            }
        });
        wait_until("the rollout succeeds", || fixture.rollout_state("writers") == "succeeded");
        fixture.store.remove("servers", "r-1");
        after_success(&fixture);
        sending.join().expect("the caller gets a response")
    });
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
}

#[test]
fn stream_of_a_replaced_version_is_not_cut_when_its_replicas_stop() {
    stream_over_a_rollout("replaced", |_fixture| {});
}

#[test]
fn stream_of_a_replaced_version_is_not_cut_by_the_next_rollout() {
    stream_over_a_rollout("replaced_again", |fixture| {
        fixture.add_version("r-3", "writers", "v3", stream(EVENTS, 0, StreamEnding::Complete));
        fixture.start_rollout("writers", "v3", 20.0);
        wait_until("the entry has received the rollout", || {
            fixture.decisions().contains("\"target\":\"v3\"")
        });
    });
}
