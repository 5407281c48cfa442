//! A request that crashes upstreams is kept from them by entries with sidecars.

mod common;

use common::{
    Cluster, StopOnDrop,
    crashing_upstream::{CRASHING_TEXT, CrashingUpstreams, SentBeforeEnd},
    http::{self, Response},
    wait_until,
};
use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const UPSTREAMS: [&str; 4] = ["upstream-1", "upstream-2", "upstream-3", "upstream-4"];
/// Time from the third crash until the request must be kept from upstreams.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Most copies that may reach upstreams after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Interval between two copies of the request, and between two sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);
/// Time in which sound requests are served before the first copy is sent.
const LEAD_TIME: Duration = Duration::from_secs(1);
/// Least `Retry-After` of a refused copy, in seconds.
const MIN_RETRY_AFTER: f64 = 1.0;
/// Fewest copies and sound requests that must have been sent after the bound.
const MIN_LATE_COPIES: usize = 10;
const MIN_LATE_SOUND: usize = 50;
/// Times that all upstreams end at once, and the interval between two popular requests beside that.
const POWER_LOSSES: u64 = 4;
const POPULAR_INTERVAL: Duration = Duration::from_millis(8);
/// Number of sound requests that are sent again and again.
const POPULAR: usize = 5;

/// A request to an entry.
#[derive(Debug, Clone)]
struct CallerRequest {
    path: String,
    /// Tells copies apart at the upstream.
    content_type: String,
    key: Option<String>,
    body: String,
}

impl CallerRequest {
    fn send(&self, entry: SocketAddr) -> Response {
        let mut headers =
            vec![("authorization", "Bearer demo-key"), ("x-ibissail-deadline-ms", "4000")];
        headers.push(("content-type", &self.content_type));
        headers.extend(self.key.as_deref().map(|key| ("idempotency-key", key)));
        let response = http::send(entry, "POST", &self.path, &headers, self.body.as_bytes());
        response.unwrap_or_else(Response::missing)
    }
}

/// A response, with its request and when that was sent.
#[derive(Debug, Clone)]
struct Exchange {
    request: CallerRequest,
    sent_at: Instant,
    response: Response,
}

/// Exchanges of sound requests and of copies.
#[derive(Debug, Default)]
struct Exchanges {
    sound: Mutex<Vec<Exchange>>,
    copies: Mutex<Vec<Exchange>>,
}

/// Two entries, and four sidecars whose upstreams crash.
struct CrashingFleet {
    cluster: Cluster,
    upstreams: CrashingUpstreams,
}

impl CrashingFleet {
    fn start(test: &str, offers: &str) -> Self {
        Self::start_with(test, offers, CrashingUpstreams::default())
    }

    fn start_with(test: &str, offers: &str, upstreams: CrashingUpstreams) -> Self {
        let mut cluster = Cluster::with_upstreams(test, &[]);
        for name in UPSTREAMS {
            cluster.add_sidecar_without_upstream(name, offers);
            upstreams.start(cluster.members[name].upstream.as_ref().expect("an upstream").0);
        }
        cluster.start_all();
        Self { cluster, upstreams }
    }

    fn entries(&self) -> [SocketAddr; 2] {
        ["entry-1", "entry-2"].map(|name| self.cluster.members[name].listen)
    }

    /// Sends copies beside sound requests until some time after the third crash; asserts that few
    /// copies reach upstreams then, that copies are refused, and that sound requests are served.
    /// Returns the exchanges of all copies.
    fn assert_kept_from_upstreams<S, C>(&self, sound: S, copy: C) -> Vec<Exchange>
    where
        S: Fn(usize) -> CallerRequest + Send,
        C: Fn(usize) -> CallerRequest + Send,
    {
        let (exchanges, done) = (Exchanges::default(), AtomicBool::new(false));
        let entries = self.entries();
        let bound = thread::scope(|scope| {
            let _stop = StopOnDrop(&done);
            let (exchanges, done) = (&exchanges, &done);
            scope.spawn(move || send_all(&entries, SOUND_INTERVAL, sound, &exchanges.sound, done));
            thread::sleep(LEAD_TIME);
            scope.spawn(move || {
                send_all(&entries, CRASHING_INTERVAL, copy, &exchanges.copies, done);
            });
            wait_until("three upstreams have crashed", || self.upstreams.crashes().len() >= 3);
            let bound = self.upstreams.crashes()[2] + STABILITY_WINDOW;
            thread::sleep(STABILITY_WINDOW * 3);
            bound
        });
        let sound = exchanges.sound.into_inner().expect("no caller panics");
        let copies = exchanges.copies.into_inner().expect("no caller panics");

        let (late, crashes) =
            (self.upstreams.arrivals_after(bound), self.upstreams.crashes().len());
        let late_sound: Vec<&Exchange> =
            sound.iter().filter(|exchange| exchange.sent_at > bound).collect();
        let served = late_sound.iter().filter(|sound| sound.response.status == 200).count();
        let seen = format!(
            "{late} late copies, {crashes} crashes, {served} of {} sound requests served",
            late_sound.len()
        );
        println!("{seen}");
        assert!(late <= MAX_LATE_ARRIVALS, "{seen}");
        let late_copies: Vec<&Exchange> =
            copies.iter().filter(|exchange| exchange.sent_at > bound).collect();
        assert!(late_copies.len() >= MIN_LATE_COPIES, "{} copies", late_copies.len());
        for copy in late_copies {
            assert_quarantined(&copy.response);
        }
        for sound in &sound {
            let kind = sound.response.error_kind();
            assert_ne!(kind, "request_quarantined", "{sound:?}");
        }
        assert!(late_sound.len() >= MIN_LATE_SOUND, "{seen}");
        assert!(served * 10 >= late_sound.len() * 9, "{seen}");
        copies
    }
}

/// Sends requests to the entries in turn, each from a thread of its own.
fn send_all<F>(
    entries: &[SocketAddr],
    interval: Duration,
    request: F,
    exchanges: &Mutex<Vec<Exchange>>,
    done: &AtomicBool,
) where
    F: Fn(usize) -> CallerRequest,
{
    thread::scope(|scope| {
        for number in 0.. {
            if done.load(Ordering::Relaxed) {
                break;
            }
            let (entry, request) = (entries[number % entries.len()], request(number));
            scope.spawn(move || {
                let sent_at = Instant::now();
                let response = request.send(entry);
                let exchange = Exchange { request, sent_at, response };
                exchanges.lock().expect("no caller panics").push(exchange);
            });
            thread::sleep(interval);
        }
    });
}

fn assert_quarantined(response: &Response) {
    let kind = response.error_kind();
    assert_eq!((response.status, kind.as_str()), (503, "request_quarantined"), "{response:?}");
    assert_eq!(response.ran(), "no", "{response:?}");
    let pause: Option<f64> = response.header("retry-after").and_then(|time| time.parse().ok());
    assert!(pause.is_some_and(|time| time > MIN_RETRY_AFTER), "{response:?}");
}

fn service_request(service: &str, key: Option<String>, body: &str) -> CallerRequest {
    CallerRequest {
        path: format!("/v1/services/{service}/run"),
        content_type: "text/plain".to_owned(),
        key,
        body: body.to_owned(),
    }
}

/// Body of a sound request; every second one is popular.
fn sound_body(number: usize) -> String {
    if number.is_multiple_of(2) {
        format!("sound {number}")
    } else {
        format!("popular {}", number % POPULAR)
    }
}

fn sound_service_request(number: usize) -> CallerRequest {
    service_request("routes", None, &sound_body(number))
}

fn crashing_service_request(number: usize) -> CallerRequest {
    let request = service_request("routes", None, CRASHING_TEXT);
    CallerRequest { content_type: format!("text/copy-{number}"), ..request }
}

fn completion(content: &str) -> CallerRequest {
    let body = format!(
        "{{\"model\":\"swift@1\",\"messages\":[{{\"role\":\"user\",\"content\":\"{content}\"}}]}}"
    );
    CallerRequest {
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        key: None,
        body,
    }
}

#[test]
fn service_request_does_not_crash_one_upstream_after_another() {
    let fleet = CrashingFleet::start("crashing_service", "service:routes");
    let copies = fleet.assert_kept_from_upstreams(sound_service_request, crashing_service_request);
    let (upstreams, cluster) = (&fleet.upstreams, &fleet.cluster);
    let has_run = |copy: &&Exchange| upstreams.has_received(&copy.request.content_type);
    let run: Vec<&Exchange> = copies.iter().filter(has_run).collect();
    assert!(!run.is_empty());
    for Exchange { response, .. } in run {
        assert!(response.status == 502 && response.ran() != "no", "{response:?}");
    }
    assert!(cluster.counter("entry-1", "ibissail_quarantine_refusals_total") > 0);
    assert_eq!(cluster.counter("entry-1", "ibissail_quarantined_requests"), 1);
}

#[test]
fn restarted_entry_refuses_the_request() {
    let mut fleet = CrashingFleet::start("crashing_restarted", "service:routes");
    fleet.assert_kept_from_upstreams(sound_service_request, crashing_service_request);
    fleet.cluster.process("entry-2").kill();
    fleet.cluster.start("entry-2");
    fleet.cluster.wait_ready("entry-2");
    thread::sleep(STABILITY_WINDOW);
    let crashes = fleet.upstreams.crashes().len();
    let [_, restarted] = fleet.entries();
    for number in 0..MIN_LATE_COPIES {
        assert_quarantined(&crashing_service_request(number).send(restarted));
    }
    assert_eq!(fleet.upstreams.crashes().len(), crashes);
}

#[test]
fn popular_requests_are_not_blamed_for_losses_of_power() {
    let fleet = CrashingFleet::start("crashing_power", "service:routes");
    let popular =
        |number: usize| service_request("routes", None, &format!("popular {}", number % POPULAR));
    let (sound, done) = (Mutex::default(), AtomicBool::new(false));
    let entries = fleet.entries();
    thread::scope(|scope| {
        let _stop = StopOnDrop(&done);
        scope.spawn(|| send_all(&entries, POPULAR_INTERVAL, popular, &sound, &done));
        for _ in 0..POWER_LOSSES {
            thread::sleep(LEAD_TIME * 2);
            fleet.upstreams.lose_power();
        }
        thread::sleep(LEAD_TIME * 2);
    });
    let crashes: u64 = ["entry-1", "entry-2"]
        .map(|name| fleet.cluster.counter(name, "ibissail_upstream_crashes_total"))
        .iter()
        .sum();
    println!("{crashes} requests lost");
    assert!(crashes >= POWER_LOSSES, "{crashes} requests were lost");
    for Exchange { request, response, .. } in sound.into_inner().expect("no caller panics") {
        assert_ne!(response.error_kind(), "request_quarantined", "{request:?}");
    }
}

#[test]
fn completion_does_not_crash_one_upstream_after_another() {
    let fleet = CrashingFleet::start("crashing_model", "swift@1");
    fleet.assert_kept_from_upstreams(
        |number| completion(&sound_body(number)),
        |_number| completion(CRASHING_TEXT),
    );
}

#[test]
fn keyed_request_does_not_crash_one_upstream_after_another() {
    let fleet = CrashingFleet::start("crashing_keyed", "service:payouts");
    // A caller that gives up on a key repeats the request with a fresh one.
    let copies = fleet.assert_kept_from_upstreams(
        |number| service_request("payouts", Some(format!("sound-{number}")), &sound_body(number)),
        |number| service_request("payouts", Some(format!("copy-{number}")), CRASHING_TEXT),
    );
    assert_at_most_once(&fleet.upstreams, &copies);
}

#[test]
fn keyed_request_that_crashes_upstreams_runs_at_most_once() {
    const KEYS: usize = 6;
    let fleet = CrashingFleet::start("crashing_once_keyed", "service:payouts");
    let request = |number: usize| {
        service_request("payouts", Some(format!("copy-{}", number % KEYS)), CRASHING_TEXT)
    };
    let (copies, done) = (Mutex::default(), AtomicBool::new(false));
    let entries = fleet.entries();
    thread::scope(|scope| {
        let _stop = StopOnDrop(&done);
        scope.spawn(|| send_all(&entries, CRASHING_INTERVAL, request, &copies, &done));
        thread::sleep(STABILITY_WINDOW * 2);
    });
    assert!(!fleet.upstreams.crashes().is_empty());
    assert_at_most_once(&fleet.upstreams, &copies.into_inner().expect("no caller panics"));
}

/// Asserts that no key has reached an upstream twice, and that a key whose last response says
/// `ran: no` has reached none.
fn assert_at_most_once(upstreams: &CrashingUpstreams, copies: &[Exchange]) {
    for Exchange { request, sent_at, response } in copies {
        let key = request.key.as_deref().expect("a key");
        let arrivals = upstreams.arrivals_of(key);
        assert!(arrivals <= 1, "{key} has run {arrivals} times");
        let is_last =
            |other: &Exchange| other.request.key != request.key || other.sent_at <= *sent_at;
        if response.ran() == "no" && copies.iter().all(is_last) {
            assert_eq!(arrivals, 0, "{key} has run: {response:?}");
        }
    }
}

#[test]
fn request_that_crashes_upstreams_after_an_unframed_head_is_refused() {
    let upstreams = CrashingUpstreams::ending_after(SentBeforeEnd::UnframedHead);
    let fleet = CrashingFleet::start_with("unframed_head", "service:routes", upstreams);
    let copies = fleet.assert_kept_from_upstreams(sound_service_request, crashing_service_request);
    assert_never_successful(&copies);
}

#[test]
fn request_that_crashes_upstreams_inside_an_unframed_body_is_refused() {
    let upstreams = CrashingUpstreams::ending_after(SentBeforeEnd::PartOfUnframedBody);
    let fleet = CrashingFleet::start_with("unframed_body", "service:routes", upstreams);
    let copies = fleet.assert_kept_from_upstreams(sound_service_request, crashing_service_request);
    assert_never_successful(&copies);
}

/// Asserts that no copy was answered with what an upstream had sent before it ended.
fn assert_never_successful(copies: &[Exchange]) {
    for copy in copies {
        assert_ne!(copy.response.status, 200, "{copy:?}");
    }
}
