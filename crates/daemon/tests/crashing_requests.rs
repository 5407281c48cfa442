//! A request that crashes replicas is kept from them.

mod direct;

use direct::{
    EntryFixture,
    traffic::{
        Exchange, Traffic, assert_never_quarantined, assert_quarantined, assert_served, sent_after,
    },
    wait_until,
};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, CrashingReplicas, Reaction, ReceivedRequest, RouteSpec,
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Path and body of the request that crashes replicas, and the organisation that sends it.
const CRASHING_PATH: &str = "/guides/bad";
const CRASHING_BODY: &[u8] = b"the same each time";
const CRASHING_ORGANISATION: &str = "huts";
/// Time from the third crash until the request must be kept from replicas.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Most copies that may reach replicas after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Interval between two copies of the request, and between two sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which replicas answer sound requests.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Interval between two popular requests, of which some eleven are in progress at any time.
const POPULAR_INTERVAL: Duration = Duration::from_millis(13);
const POPULAR_RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Time in which sound requests are served before the first copy is sent.
const LEAD_TIME: Duration = Duration::from_secs(1);
const REPLICAS: usize = 4;

fn configuration(kind: &str) -> ConfigurationSpec {
    let guides = RouteSpec::new("/guides/", kind, "guides");
    ConfigurationSpec { version: 1, routes: vec![guides], organisations: Vec::new() }
}

/// A copy of the request that crashes replicas; all are alike but for their attempt id.
fn copy(number: usize) -> CallerRequest {
    let mut request = CallerRequest::new("POST", CRASHING_PATH, &format!("crash-{number}"));
    request.body = CRASHING_BODY.to_vec();
    request
}

fn sound(number: usize) -> CallerRequest {
    CallerRequest::new("POST", &format!("/guides/{number}"), &format!("sound-{number}"))
}

fn crash_on_path(request: &ReceivedRequest) -> Reaction {
    if request.target == CRASHING_PATH { Reaction::Crash } else { Reaction::Respond(RESPONSE_TIME) }
}

/// Three entries, and replicas that crash on the copies.
struct CrashingFleet {
    entries: [EntryFixture; 3],
    replicas: CrashingReplicas,
}

impl CrashingFleet {
    fn start<F>(test: &str, configuration: &ConfigurationSpec, react: F) -> Self
    where
        F: Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static,
    {
        let entries = EntryFixture::start_fleet(test, configuration);
        let store = &entries[0].store;
        let replicas = CrashingReplicas::start_plain(store, "guides", REPLICAS, react);
        EntryFixture::wait_for_fleet(&entries);
        Self { entries, replicas }
    }

    fn addresses(&self) -> [SocketAddr; 3] {
        self.entries.each_ref().map(|entry| entry.callers)
    }

    fn start_sound(&self) -> Traffic {
        let traffic = Traffic::start(&self.addresses(), SOUND_INTERVAL, sound);
        thread::sleep(LEAD_TIME);
        traffic
    }

    /// Waits for the third crash; returns when the request must be known.
    fn wait_for_third_crash(&self) -> Instant {
        wait_until("three replicas have crashed", || self.replicas.crashes().len() >= 3);
        self.replicas.crashes()[2] + STABILITY_WINDOW
    }

    fn assert_few_arrivals_after(&self, bound: Instant) {
        let arrivals = self.replicas.arrivals();
        let late = arrivals.iter().filter(|arrived| arrived.received_at > bound).count();
        let crashes = self.replicas.crashes().len();
        assert!(late <= MAX_LATE_ARRIVALS, "{late} late copies, {crashes} crashes");
    }
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Sends copies to one entry for a second, and asserts that each is refused.
fn assert_refused_at(entry: &EntryFixture) {
    let copies = Traffic::start(&[entry.callers], Duration::from_millis(100), copy);
    thread::sleep(Duration::from_secs(1));
    let copies = copies.stop();
    assert_quarantined(&copies.iter().collect::<Vec<_>>(), "request_quarantined", 5);
}

/// Asserts that a copy that reached a replica is told that it may have run, and that one that is
/// told that it has not run reached none.
fn assert_truth(copies: &[Exchange], replicas: &CrashingReplicas) {
    let arrivals = replicas.arrivals();
    let arrived: BTreeSet<&str> = arrivals.iter().map(|request| request.id.as_str()).collect();
    for Exchange { id, response, .. } in copies {
        let kind = response.error_kind();
        if arrived.contains(id.as_str()) {
            assert_eq!((response.status, kind.as_str()), (502, "outcome_unknown"), "{response:?}");
            assert_eq!(response.retry_after(), None, "{response:?}");
        } else {
            // A request is lost too if its replica ends before it has read it.
            assert!([502, 503].contains(&response.status), "{response:?}");
        }
    }
}

fn assert_kept_from_replicas(test: &str, kind: &str) {
    let fleet = CrashingFleet::start(test, &configuration(kind), crash_on_path);
    let sound = fleet.start_sound();
    let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy);
    let bound = fleet.wait_for_third_crash();
    thread::sleep(STABILITY_WINDOW * 3);
    let (sound, copies) = (sound.stop(), copies.stop());

    assert_truth(&copies, &fleet.replicas);
    fleet.assert_few_arrivals_after(bound);
    assert_quarantined(&sent_after(&copies, bound), "request_quarantined", 10);
    assert_served(&sent_after(&sound, bound), 90, 50);
}

#[test]
fn caller_is_told_whether_the_request_may_have_run() {
    for (test, kind) in [("told_safe", "safe"), ("told_once", "unsafe")] {
        let mut configuration = configuration(kind);
        configuration.routes.push(RouteSpec::new("/closed/", kind, "closed"));
        let fleet = CrashingFleet::start(test, &configuration, crash_on_path);
        let [entry, ..] = &fleet.entries;
        entry.store.register_dead_replica("dead-1", "closed");
        wait_until("the entry knows the replica", || entry.log().contains("dead-1"));
        let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy);
        thread::sleep(STABILITY_WINDOW);
        let copies = copies.stop();
        assert_truth(&copies, &fleet.replicas);
        let lost = copies.iter().filter(|copy| copy.response.status == 502).count();
        assert!(lost >= 3, "{lost} of {} copies may have run", copies.len());

        let unsent = entry.send(&CallerRequest { path: "/closed/1".to_owned(), ..copy(0) });
        assert_eq!(unsent.status, 503, "{unsent:?}");
    }
}

#[test]
fn request_does_not_crash_one_replica_after_another() {
    assert_kept_from_replicas("crashing_safe", "safe");
}

#[test]
fn once_only_request_does_not_crash_one_replica_after_another() {
    assert_kept_from_replicas("crashing_once", "unsafe");
}

#[test]
fn crashes_seen_at_three_entries_count_together() {
    // An entry makes one attempt for a request that may run at most once.
    let fleet = CrashingFleet::start("crash_each", &configuration("unsafe"), crash_on_path);
    let sound = fleet.start_sound();
    for (number, entry) in fleet.entries.iter().enumerate() {
        entry.send(&copy(number));
        thread::sleep(Duration::from_millis(400));
    }
    let bound = fleet.wait_for_third_crash();
    sleep_until(bound);
    let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy);
    thread::sleep(STABILITY_WINDOW);
    let (sound, copies) = (sound.stop(), copies.stop());
    fleet.assert_few_arrivals_after(bound);
    assert_quarantined(&sent_after(&copies, bound), "request_quarantined", 10);
    assert_served(&sent_after(&sound, bound), 90, 40);
}

#[test]
fn entry_that_starts_later_refuses_the_request() {
    let fleet = CrashingFleet::start("crash_new", &configuration("safe"), crash_on_path);
    let sound = fleet.start_sound();
    let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy);
    sleep_until(fleet.wait_for_third_crash());
    copies.stop();
    let started = fleet.entries[0].start_peer("crash_new_d");
    let bound = Instant::now() + STABILITY_WINDOW;
    started.wait_ready();
    sleep_until(bound);
    assert_refused_at(&started);
    sound.stop();
}

#[test]
fn entry_that_was_cut_off_refuses_the_request() {
    let fleet = CrashingFleet::start("crash_cut", &configuration("safe"), crash_on_path);
    let sound = fleet.start_sound();
    let [first, second, cut] = &fleet.entries;
    cut.signal("-STOP");
    let cut_at = Instant::now();
    let copies = Traffic::start(&[first.callers, second.callers], CRASHING_INTERVAL, copy);
    sleep_until(fleet.wait_for_third_crash());
    copies.stop();
    sleep_until(cut_at + Duration::from_secs(5));
    cut.signal("-CONT");
    thread::sleep(STABILITY_WINDOW);
    assert_refused_at(cut);
    sound.stop();
}

#[test]
fn request_that_differs_is_served() {
    let mut configuration = configuration("safe");
    configuration.routes[0].allows_anonymous = false;
    configuration.organisations = vec![
        (CRASHING_ORGANISATION.to_owned(), vec!["key-1".to_owned()]),
        ("inns".to_owned(), vec!["key-2".to_owned()]),
    ];
    let fleet = CrashingFleet::start("crash_differs", &configuration, |request| {
        let is_copy = request.method == "POST"
            && request.target == CRASHING_PATH
            && request.body == CRASHING_BODY
            && request.organisation.as_deref() == Some(CRASHING_ORGANISATION);
        if is_copy { Reaction::Crash } else { Reaction::Respond(RESPONSE_TIME) }
    });
    let copy_with_key = |number| CallerRequest { key: Some("key-1".to_owned()), ..copy(number) };
    let differing: [fn(CallerRequest) -> CallerRequest; 4] = [
        |request| CallerRequest { key: Some("key-2".to_owned()), ..request },
        |request| CallerRequest { body: b"another each time".to_vec(), ..request },
        |request| CallerRequest { path: format!("{CRASHING_PATH}?page=2"), ..request },
        |request| CallerRequest { method: "PUT".to_owned(), ..request },
    ];
    let sound = differing.map(|change| {
        Traffic::start(&fleet.addresses(), SOUND_INTERVAL * 4, move |number| {
            let request = change(copy_with_key(number));
            CallerRequest { id: format!("sound-{}-{number}", request.path), ..request }
        })
    });
    thread::sleep(LEAD_TIME);
    let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy_with_key);
    let bound = fleet.wait_for_third_crash();
    sleep_until(bound + STABILITY_WINDOW);
    let (sound, copies) = (sound.map(Traffic::stop), copies.stop());

    for sound in &sound {
        assert_never_quarantined(sound);
    }
    assert_quarantined(&sent_after(&copies, bound), "request_quarantined", 10);
    for sound in &sound {
        assert_served(&sent_after(sound, bound), 90, 10);
    }
}

#[test]
fn request_is_refused_where_there_are_no_others() {
    for (test, kind) in [("quiet_safe", "safe"), ("quiet_once", "unsafe")] {
        let fleet = CrashingFleet::start(test, &configuration(kind), crash_on_path);
        let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy);
        let bound = fleet.wait_for_third_crash();
        sleep_until(bound + STABILITY_WINDOW);
        let copies = copies.stop();
        assert_truth(&copies, &fleet.replicas);
        fleet.assert_few_arrivals_after(bound);
        assert_quarantined(&sent_after(&copies, bound), "request_quarantined", 10);
    }
}

#[test]
fn request_is_refused_beside_a_popular_one() {
    let fleet = CrashingFleet::start("beside", &configuration("safe"), |request| {
        let is_copy = request.target == CRASHING_PATH;
        if is_copy { Reaction::Crash } else { Reaction::Respond(POPULAR_RESPONSE_TIME) }
    });
    let popular = Traffic::start(&fleet.addresses(), POPULAR_INTERVAL, |number| {
        CallerRequest::new("POST", "/guides/popular", &format!("popular-{number}"))
    });
    thread::sleep(LEAD_TIME);
    let copies = Traffic::start(&fleet.addresses(), CRASHING_INTERVAL, copy);
    let bound = fleet.wait_for_third_crash();
    sleep_until(bound + STABILITY_WINDOW);
    let (popular, copies) = (popular.stop(), copies.stop());
    assert_never_quarantined(&popular);
    fleet.assert_few_arrivals_after(bound);
    assert_quarantined(&sent_after(&copies, bound), "request_quarantined", 10);
    assert_served(&sent_after(&popular, bound), 90, 100);
}

#[test]
fn two_requests_that_crash_replicas_are_refused() {
    let fleet = CrashingFleet::start("two_bad", &configuration("safe"), |request| {
        let is_copy = request.target.starts_with(CRASHING_PATH);
        if is_copy { Reaction::Crash } else { Reaction::Respond(RESPONSE_TIME) }
    });
    let sound = fleet.start_sound();
    let second = |number| CallerRequest { path: format!("{CRASHING_PATH}-too"), ..copy(number) };
    let copies = [
        Traffic::start(&fleet.addresses(), CRASHING_INTERVAL * 2, copy),
        Traffic::start(&fleet.addresses(), CRASHING_INTERVAL * 2, second),
    ];
    wait_until("each has crashed three replicas or more, or is refused", || {
        let arrivals = fleet.replicas.arrivals();
        let count = |path: &str| arrivals.iter().filter(|arrived| arrived.target == path).count();
        let counts = [count(CRASHING_PATH), count(&format!("{CRASHING_PATH}-too"))];
        let is_known = |(copies, count): (&Traffic, usize)| {
            count >= 5 || copies.has_error("request_quarantined")
        };
        copies.iter().zip(counts).all(is_known)
    });
    let bound = Instant::now() + STABILITY_WINDOW;
    sleep_until(bound + STABILITY_WINDOW);
    let (sound, copies) = (sound.stop(), copies.map(Traffic::stop));
    for copies in &copies {
        assert_quarantined(&sent_after(copies, bound), "request_quarantined", 5);
    }
    assert_served(&sent_after(&sound, bound), 90, 40);
}
