//! A request that crashes no replica is not kept from them.

mod direct;

use direct::{
    EntryFixture,
    traffic::{Traffic, assert_never_quarantined, assert_served, sent_after},
    wait_until,
};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, CrashingReplicas, PowerLoss, Reaction, ReceivedRequest,
    RouteSpec,
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Interval between two popular requests; some eleven of them are in progress at any time.
const POPULAR_INTERVAL: Duration = Duration::from_millis(13);
const POPULAR_RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Interval between two other requests, and the time after which replicas answer them.
const OTHER_INTERVAL: Duration = Duration::from_millis(60);
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Time after which a popular request is no longer in progress.
const MAX_TIME_IN_PROGRESS: Duration = Duration::from_millis(600);
/// Time from a loss of power until the popular requests must be served.
const RECOVERY_TIME: Duration = Duration::from_millis(2_400);
/// Time in which requests are served before the first disruption, and after the recovery from the
/// last one.
const LEAD_TIME: Duration = Duration::from_secs(1);
const CALM_TIME: Duration = Duration::from_secs(2);
const REPLICAS: usize = 4;

/// A safe and an at-most-once route of the same service.
fn configuration() -> ConfigurationSpec {
    let routes = vec![
        RouteSpec::new("/guides/", "safe", "guides"),
        RouteSpec::new("/orders/", "unsafe", "guides"),
    ];
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

fn route(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "/guides" } else { "/orders" }
}

/// A request that is the same each time but for its attempt id, on both routes in turn.
fn popular(number: usize) -> CallerRequest {
    let path = format!("{}/popular", route(number));
    let mut request = CallerRequest::new("POST", &path, &format!("popular-{number}"));
    request.body = b"the same each time".to_vec();
    request
}

fn other(number: usize) -> CallerRequest {
    let path = format!("{}/{number}", route(number));
    CallerRequest::new("POST", &path, &format!("other-{number}"))
}

fn is_popular(request: &ReceivedRequest) -> bool {
    request.target.ends_with("/popular")
}

fn start_fleet<F>(test: &str, react: F) -> ([EntryFixture; 3], CrashingReplicas)
where
    F: Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static,
{
    let entries = EntryFixture::start_fleet(test, &configuration());
    let store = &entries[0].store;
    let replicas = CrashingReplicas::start_plain(store, "guides", REPLICAS, react);
    EntryFixture::wait_for_fleet(&entries);
    (entries, replicas)
}

/// Replicas lose power `times` times, at this interval, while a popular request is in progress at
/// each of them.
fn assert_stays_served(test: &str, extent: PowerLoss, times: usize, interval: Duration) {
    let (entries, replicas) = start_fleet(test, |request| {
        let is_popular = is_popular(request);
        Reaction::Respond(if is_popular { POPULAR_RESPONSE_TIME } else { RESPONSE_TIME })
    });
    let entries: [SocketAddr; 3] = entries.each_ref().map(|entry| entry.callers);
    let popular = Traffic::start(&entries, POPULAR_INTERVAL, popular);
    let other = Traffic::start(&entries, OTHER_INTERVAL, other);
    thread::sleep(LEAD_TIME);
    let mut losses = Vec::new();
    for _loss in 0..times {
        losses.push(Instant::now());
        replicas.lose_power(extent);
        thread::sleep(interval);
    }
    thread::sleep(RECOVERY_TIME + CALM_TIME);
    let ended_at = Instant::now();
    let (popular, other) = (popular.stop(), other.stop());

    assert_never_quarantined(&popular);
    assert_never_quarantined(&other);
    let ends = losses.iter().skip(1).copied().chain([ended_at]);
    for (loss, end) in losses.iter().zip(ends) {
        let mut calm = sent_after(&popular, *loss + RECOVERY_TIME);
        calm.retain(|exchange| exchange.sent_at + MAX_TIME_IN_PROGRESS < end);
        assert_served(&calm, 95, 0);
    }
    let last = losses[times - 1] + RECOVERY_TIME;
    assert_served(&sent_after(&popular, last), 95, 50);
}

#[test]
fn popular_request_survives_power_losses_in_quick_succession() {
    let interval = Duration::from_millis(2_500);
    assert_stays_served("popular_quick", PowerLoss::All, 4, interval);
}

#[test]
fn popular_request_is_served_between_power_losses() {
    let interval = RECOVERY_TIME + CALM_TIME;
    assert_stays_served("popular_calm", PowerLoss::All, 4, interval);
}

#[test]
fn popular_request_survives_replicas_that_end_in_turn() {
    let interval = Duration::from_millis(600);
    assert_stays_served("popular_turn", PowerLoss::One, 12, interval);
}

#[test]
fn request_whose_connection_is_reset_is_not_quarantined() {
    let (entries, replicas) = start_fleet("reset_only", |request| {
        if is_popular(request) { Reaction::Reset } else { Reaction::Respond(RESPONSE_TIME) }
    });
    let entries: [SocketAddr; 3] = entries.each_ref().map(|entry| entry.callers);
    let other = Traffic::start(&entries, OTHER_INTERVAL, other);
    thread::sleep(LEAD_TIME);
    let reset = Traffic::start(&entries, Duration::from_millis(100), popular);
    thread::sleep(Duration::from_secs(8));
    let arrived = replicas.arrivals().len();
    wait_until("the request still reaches replicas", || replicas.arrivals().len() > arrived);
    let (reset, other) = (reset.stop(), other.stop());
    assert!(reset.len() >= 40, "{} requests were sent", reset.len());
    assert_never_quarantined(&reset);
    assert_never_quarantined(&other);
}
