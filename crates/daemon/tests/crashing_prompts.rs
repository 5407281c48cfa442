//! A part of a prompt that crashes replicas is kept from them.

mod direct;

use direct::{
    EntryFixture,
    traffic::{Traffic, assert_quarantined, assert_served, sent_after},
    wait_until,
};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, CrashingReplicas, RouteSpec,
    SentBeforeCrash::{self, Event, Head, Nothing, PartOfEvent},
    StreamCrash,
    StreamFraming::{self, Chunked, UntilClose},
    StreamTimes,
};
use std::{net::SocketAddr, thread, time::Duration};

/// The part that crashes replicas.
const CRASHING_PART: &str = "bad0bad0";
/// Time from the fifth crash until the part must be kept from replicas.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Interval between two requests with the part, and between two sound ones of the same entry.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.models = vec!["small".into()];
    drafts.request_timeout_ms = 5_000;
    ConfigurationSpec { version: 1, routes: vec![drafts], organisations: Vec::new() }
}

/// A request with the first part that all share, and these further ones.
fn draft(id: &str, parts: &[&str]) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", id);
    request.deadline_ms = 4_000;
    request.prompt = vec![("f1f1".to_owned(), 300)];
    request.prompt.extend(parts.iter().map(|part| ((*part).to_owned(), 40)));
    request
}

/// A crash a short time after a replica has sent this much of a response.
fn crash(framing: StreamFraming, sent: SentBeforeCrash) -> StreamCrash {
    StreamCrash { framing, sent, delay: Duration::from_millis(60) }
}

/// Asserts that a part on which replicas crash in these ways is kept from them in time, and that
/// sound requests are served.
fn assert_kept_from_replicas(test: &str, crashes: &[StreamCrash]) {
    let fleet = EntryFixture::start_fleet(test, &configuration());
    let (store, parts) = (&fleet[0].store, [CRASHING_PART]);
    let times = StreamTimes::default();
    let replicas = CrashingReplicas::start(store, "writers", &parts, 8, crashes, times);
    EntryFixture::wait_for_fleet(&fleet);
    let entries: [SocketAddr; 3] = fleet.each_ref().map(|entry| entry.callers);
    let sound = Traffic::start(&entries, SOUND_INTERVAL, |number| {
        draft(&format!("sound-{number}"), &["5e5e", &format!("a{number:x}")])
    });
    thread::sleep(Duration::from_secs(1));
    let crashing = Traffic::start(&entries, CRASHING_INTERVAL, |number| {
        draft(&format!("crash-{number}"), &[CRASHING_PART, "5e5e", &format!("c{number:x}")])
    });
    wait_until("five replicas have crashed", || replicas.crashes().len() >= 5);
    let bound = replicas.crashes()[4] + STABILITY_WINDOW;
    thread::sleep(STABILITY_WINDOW * 3);
    let (sound, crashing) = (sound.stop(), crashing.stop());

    let late = replicas.arrivals().iter().filter(|arrived| arrived.received_at > bound).count();
    assert!(late <= 3, "{late} requests with the part, {} crashes", replicas.crashes().len());
    assert_quarantined(&sent_after(&crashing, bound), "prompt_quarantined", 10);
    assert_served(&sent_after(&sound, bound), 90, 50);
    // No stream that a crash has cut off looks complete.
    let events: Vec<u64> = (1..=CrashingReplicas::EVENTS).collect();
    for exchange in sound.iter().filter(|exchange| exchange.is_served()) {
        assert_eq!(exchange.response.event_ids(), events, "{}", exchange.id);
    }
}

#[test]
fn prompt_part_does_not_crash_one_replica_after_another() {
    assert_kept_from_replicas("crashing", &[crash(Chunked, Head)]);
}

#[test]
fn prompt_part_that_crashes_replicas_before_the_head_is_quarantined() {
    assert_kept_from_replicas("crash_before_head", &[crash(Chunked, Nothing)]);
}

#[test]
fn prompt_part_that_crashes_replicas_after_an_unframed_head_is_quarantined() {
    assert_kept_from_replicas("crash_unframed_head", &[crash(UntilClose, Head)]);
}

#[test]
fn prompt_part_that_crashes_replicas_inside_an_event_is_quarantined() {
    let crashes = [Chunked, UntilClose].map(|framing| crash(framing, PartOfEvent));
    assert_kept_from_replicas("crash_inside", &crashes);
}

#[test]
fn prompt_part_that_crashes_replicas_after_an_unframed_event_is_quarantined() {
    let sent = Event(Duration::from_millis(20));
    assert_kept_from_replicas("crash_unframed_event", &[crash(UntilClose, sent)]);
}

#[test]
fn prompt_part_that_crashes_slow_replicas_after_an_event_is_quarantined() {
    let sent = Event(Duration::from_millis(450));
    assert_kept_from_replicas("crash_slow", &[crash(Chunked, sent)]);
}

#[test]
fn prompt_part_that_crashes_replicas_after_a_silence_is_quarantined() {
    // The entries ask another replica after 1.5 s without a head.
    let crash = StreamCrash { delay: Duration::from_millis(1_900), ..crash(Chunked, Nothing) };
    assert_kept_from_replicas("crash_silent", &[crash]);
}

#[test]
fn prompt_part_that_crashes_replicas_in_several_ways_is_quarantined() {
    let crashes = [
        crash(Chunked, Nothing),
        crash(UntilClose, Head),
        crash(Chunked, PartOfEvent),
        crash(UntilClose, Event(Duration::from_millis(20))),
    ];
    assert_kept_from_replicas("crash_mixed", &crashes);
}
