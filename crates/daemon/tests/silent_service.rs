//! All replicas of a service fall silent at once for a second or so, and go on.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas, send_request,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Replicas of each service.
const REPLICAS: usize = 2;
/// Callers of each kind of request.
const CALLERS: u64 = 3;
/// How long the replicas are silent, in milliseconds, in turn.
const SILENCES_MS: [u64; 6] = [900, 1_600, 1_200, 1_000, 1_500, 1_300];
/// Time between two silences, and between two configurations.
const TALK_TIME: Duration = Duration::from_millis(700);
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(450);
/// Events of a complete stream, and the time before each.
const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Lets all replicas be silent at once.
#[derive(Debug)]
struct Gate {
    silent_until: Mutex<Instant>,
}

impl Gate {
    fn close_for(&self, time: Duration) {
        *self.silent_until.lock().expect("no script panics") = Instant::now() + time;
    }

    /// Waits for a while, and until the silence is over.
    fn pass_after(&self, time: Duration) {
        thread::sleep(time);
        let ends_at = *self.silent_until.lock().expect("no script panics");
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    }
}

fn configuration(version: u64) -> ConfigurationSpec {
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    let mut routes = vec![
        RouteSpec::new("/look/", "safe", "records"),
        RouteSpec::new("/once/", "unsafe", "records"),
        RouteSpec::new("/tail/", "stream", "writers"),
        RouteSpec::new("/drafts/", "resumable", "writers"),
        members,
    ];
    for route in &mut routes {
        route.request_timeout_ms = 10_000 + version;
    }
    let keys = vec!["key-0".to_owned(), format!("key-{}", 1 + version % 2)];
    ConfigurationSpec { version, routes, organisations: vec![("huts".into(), keys)] }
}

fn respond(exchange: &mut ScriptedExchange, gate: &Gate) {
    gate.pass_after(Duration::from_millis(60));
    exchange.send_head(200, 2);
    exchange.send("o");
    gate.pass_after(Duration::from_millis(60));
    exchange.send("k");
}

fn stream(exchange: &mut ScriptedExchange, gate: &Gate) {
    gate.pass_after(EVENT_INTERVAL);
    exchange.send_stream_head();
    for event in exchange.resume_after + 1..=EVENTS {
        gate.pass_after(EVENT_INTERVAL);
        exchange.send_events([event]);
    }
    exchange.end_stream();
}

fn fixture(test: &str, gate: &Arc<Gate>) -> EntryFixture {
    let fixture = EntryFixture::start(test, &configuration(1));
    let (records, writers) = (Arc::clone(gate), Arc::clone(gate));
    let services = [
        ("records", ScriptedReplicas::new(move |exchange| respond(exchange, &records))),
        ("writers", ScriptedReplicas::new(move |exchange| stream(exchange, &writers))),
    ];
    for (service, replicas) in services {
        for number in 0..REPLICAS {
            let id = format!("{service}-{number}");
            replicas.add(&fixture.store, &id, service);
            wait_until("the entry knows the replica", || fixture.log().contains(&id));
        }
    }
    fixture.wait_ready();
    fixture
}

/// Sends requests of one kind until `is_done`; returns how many were served, and what else the
/// caller got.
fn call(
    fixture: &EntryFixture,
    path: &str,
    caller: u64,
    is_done: &AtomicBool,
) -> (u64, Vec<String>) {
    let (mut served, mut wrong) = (0, Vec::new());
    let is_stream = path == "/tail/1" || path == "/drafts/1";
    for number in 0.. {
        if is_done.load(Ordering::Relaxed) {
            break;
        }
        let mut request = CallerRequest::new("POST", path, &format!("{path}-{caller}-{number}"));
        request.deadline_ms = 10_000;
        request.key = Some(format!("key-{caller}"));
        let response = send_request(fixture.callers, &request);
        // Only the key of the first caller is in all configurations.
        let may_be_unknown = path == "/members/1" && caller > 0;
        let events = if is_stream { EVENTS } else { 0 };
        let is_whole = response.event_ids() == (1..=events).collect::<Vec<u64>>();
        match response.status {
            200 if response.is_complete && is_whole => served += 1,
            401 if may_be_unknown => {}
            _ => wrong.push(format!("{} {response:?}", request.id)),
        }
        thread::sleep(Duration::from_millis(50 + caller * 37));
    }
    (served, wrong)
}

fn assert_served_beside_silences(test: &str, changes_configuration: bool) {
    let gate = Arc::new(Gate { silent_until: Mutex::new(Instant::now()) });
    let fixture = fixture(test, &gate);
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = ["/look/1", "/once/1", "/tail/1", "/drafts/1", "/members/1"]
            .into_iter()
            .flat_map(|path| (0..CALLERS).map(move |caller| (path, caller)))
            .map(|(path, caller)| {
                let (fixture, is_done) = (&fixture, &is_done);
                (path, scope.spawn(move || call(fixture, path, caller, is_done)))
            })
            .collect();
        if changes_configuration {
            scope.spawn(|| {
                for version in 2.. {
                    if is_done.load(Ordering::Relaxed) {
                        return;
                    }
                    thread::sleep(CONFIGURATION_INTERVAL);
                    configuration(version).apply(&fixture.store);
                }
            });
        }
        for silence in SILENCES_MS {
            thread::sleep(TALK_TIME);
            let silence = Duration::from_millis(silence);
            gate.close_for(silence);
            thread::sleep(silence);
        }
        is_done.store(true, Ordering::Relaxed);
        let mut all_wrong = Vec::new();
        for (path, caller) in callers {
            let (served, wrong) = caller.join().expect("the caller ends");
            let needs_other_key = path == "/members/1" && !changes_configuration;
            assert!(served > 0 || needs_other_key, "{path}: none is served, {wrong:#?}");
            all_wrong.extend(wrong);
        }
        assert!(all_wrong.is_empty(), "{all_wrong:#?}");
    });
}

#[test]
fn silence_of_a_whole_service_cuts_no_request() {
    assert_served_beside_silences("service", false);
}

#[test]
fn silence_of_a_whole_service_beside_changes_of_the_configuration_cuts_no_request() {
    assert_served_beside_silences("service_changes", true);
}
