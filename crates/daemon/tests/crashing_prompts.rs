//! A part of a prompt that crashes replicas is kept from them.

mod direct;

use direct::{
    EntryFixture,
    traffic::{Traffic, assert_quarantined, assert_served, sent_after},
    wait_until,
};
use ibissail_platform_standin::{CallerRequest, ConfigurationSpec, CrashingReplicas, RouteSpec};
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

#[test]
fn prompt_part_does_not_crash_one_replica_after_another() {
    let fleet = EntryFixture::start_fleet("crashing", &configuration());
    let replicas = CrashingReplicas::start(&fleet[0].store, "writers", CRASHING_PART, 8);
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
}
