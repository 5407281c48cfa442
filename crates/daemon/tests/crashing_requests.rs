//! A request that crashes replicas is kept from them.

mod direct;

use direct::{
    EntryFixture,
    traffic::{Traffic, assert_mostly_served, assert_quarantined, sent_after},
    wait_until,
};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, CrashingReplicas, Reaction, ReceivedRequest, RouteSpec,
};
use std::{net::SocketAddr, thread, time::Duration};

/// Path of the request that crashes replicas.
const CRASHING_PATH: &str = "/guides/bad";
/// Time from the third crash until the request must be kept from replicas.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Most copies that may reach replicas after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Interval between two copies of the request, and between two sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which replicas answer sound requests.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
const REPLICAS: usize = 4;

fn configuration(kind: &str) -> ConfigurationSpec {
    let guides = RouteSpec::new("/guides/", kind, "guides");
    ConfigurationSpec { version: 1, routes: vec![guides], organisations: Vec::new() }
}

fn crash_on_path(request: &ReceivedRequest) -> Reaction {
    if request.target == CRASHING_PATH { Reaction::Crash } else { Reaction::Respond(RESPONSE_TIME) }
}

/// A copy of the request that crashes replicas; all are alike but for their attempt id.
fn copy(number: usize) -> CallerRequest {
    let mut request = CallerRequest::new("POST", CRASHING_PATH, &format!("crash-{number}"));
    request.body = b"the same each time".to_vec();
    request
}

fn sound(number: usize) -> CallerRequest {
    CallerRequest::new("POST", &format!("/guides/{number}"), &format!("sound-{number}"))
}

fn late_arrivals(replicas: &CrashingReplicas) -> usize {
    let bound = replicas.crashes()[2] + STABILITY_WINDOW;
    replicas.arrivals().iter().filter(|arrived| **arrived > bound).count()
}

fn assert_kept_from_replicas(test: &str, kind: &str) {
    let fleet = EntryFixture::start_fleet(test, &configuration(kind));
    let replicas =
        CrashingReplicas::start_plain(&fleet[0].store, "guides", REPLICAS, crash_on_path);
    EntryFixture::wait_for_fleet(&fleet);
    let entries: [SocketAddr; 3] = fleet.each_ref().map(|entry| entry.callers);
    let sound = Traffic::start(&entries, SOUND_INTERVAL, sound);
    thread::sleep(Duration::from_secs(1));
    let copies = Traffic::start(&entries, CRASHING_INTERVAL, copy);
    wait_until("three replicas have crashed", || replicas.crashes().len() >= 3);
    let bound = replicas.crashes()[2] + STABILITY_WINDOW;
    thread::sleep(STABILITY_WINDOW * 3);
    let (sound, copies) = (sound.stop(), copies.stop());

    let (late, crashes) = (late_arrivals(&replicas), replicas.crashes().len());
    let late_sound = sent_after(&sound, bound);
    let served = late_sound.iter().filter(|exchange| exchange.is_served()).count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late copies, {crashes} crashes, {served} of {} sound requests served",
        late_sound.len()
    );
    assert_quarantined(&sent_after(&copies, bound), "request_quarantined", 10);
    assert_mostly_served(&late_sound, 50);
}

#[test]
fn request_does_not_crash_one_replica_after_another() {
    assert_kept_from_replicas("crashing_safe", "safe");
}

#[test]
fn once_only_request_does_not_crash_one_replica_after_another() {
    assert_kept_from_replicas("crashing_once", "unsafe");
}
