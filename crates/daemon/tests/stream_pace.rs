//! Versions whose streams are slow after their first event.

mod direct;

use direct::EntryFixture;
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding, send_and_disconnect,
};
use std::{
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Callers that send streams at the same time.
const CALLERS: u32 = 16;
const EVENTS: u64 = 12;
/// Time between events of the old version.
const INTERVAL: Duration = Duration::from_millis(20);
const ROLLOUT_SECONDS: f64 = 12.0;

fn stream(interval: Duration) -> Behaviour {
    let ending = StreamEnding::Complete;
    Behaviour::Stream { events: EVENTS, sent: EVENTS, interval, ending, confidence: 90 }
}

/// Rolls out a version whose first events come as fast as those of the old one, with this time
/// between the events that follow, while callers `send` drafts; returns the final state and the
/// decisions of the entry.
fn roll_out<F>(test: &str, interval: Duration, send: F) -> (String, String)
where
    F: Fn(&EntryFixture, &CallerRequest) + Sync,
{
    let route = RouteSpec::new("/drafts/", "resumable", "writers");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    fixture.add_version("old-1", "writers", "v1", stream(INTERVAL));
    fixture.add_version("old-2", "writers", "v1", stream(INTERVAL));
    fixture.wait_ready();
    thread::sleep(Duration::from_millis(2_200));
    fixture.add_version("new-1", "writers", "v2", stream(interval));
    fixture.add_version("new-2", "writers", "v2", stream(interval));
    fixture.start_rollout("writers", "v2", ROLLOUT_SECONDS);
    let until = Instant::now() + Duration::from_secs_f64(ROLLOUT_SECONDS + 4.0);
    let is_over =
        || matches!(fixture.rollout_state("writers").as_str(), "succeeded" | "rolled_back");
    let number = AtomicU32::new(0);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !is_over() && Instant::now() < until {
                    let id = format!("draft-{}", number.fetch_add(1, Ordering::Relaxed));
                    send(&fixture, &CallerRequest::new("POST", "/drafts/1", &id));
                }
            });
        }
    });
    (fixture.rollout_state("writers"), fixture.decisions())
}

fn receive(fixture: &EntryFixture, request: &CallerRequest) {
    let response = fixture.send(request);
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}

#[test]
fn version_that_is_slow_after_the_first_event_is_rolled_back() {
    let (state, decisions) = roll_out("slow_pace", INTERVAL * 3, receive);
    assert_eq!(state, "rolled_back", "{decisions}");
}

#[test]
fn version_with_the_same_pace_takes_over() {
    let (state, decisions) = roll_out("same_pace", INTERVAL, receive);
    assert_eq!(state, "succeeded", "{decisions}");
}

/// Streams that their callers leave have no end, and are the slowest.
#[test]
fn version_whose_slow_streams_are_left_by_their_callers_is_rejected() {
    let (state, decisions) = roll_out("left_streams", INTERVAL * 4, |fixture, request| {
        send_and_disconnect(fixture.callers, request, Duration::from_millis(400));
    });
    assert_eq!(state, "rolled_back", "{decisions}");
    assert!(decisions.contains("slower answers"), "{decisions}");
}
