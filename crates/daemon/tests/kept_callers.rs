//! A request on a kept connection is answered, or its connection is closed before it is read.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, KeptConnection, KeptResponse, LimitsSpec,
    ReplicaStandin, RouteSpec, StreamEnding,
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);

fn limits(head_bytes: u64, idle_timeout_ms: u64) -> LimitsSpec {
    LimitsSpec { head_bytes, idle_timeout_ms }
}

fn configuration(version: u64) -> ConfigurationSpec {
    let routes = vec![RouteSpec::new("/look/", "safe", "records")];
    ConfigurationSpec { version, routes, organisations: Vec::new() }
}

/// Starts an entry with these limits, and a replica.
fn fixture(test: &str, limits: LimitsSpec) -> EntryFixture {
    let fixture = EntryFixture::start(test, &configuration(1));
    change_limits(&fixture, 2, limits);
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    fixture.wait_for_replica(&replica);
    fixture
}

fn change_limits(fixture: &EntryFixture, version: u64, limits: LimitsSpec) {
    configuration(version).apply_with_limits(&fixture.store, limits);
    wait_until("the entry has the limits", || {
        fixture.log().contains(&format!("\"version\":{version}}}"))
    });
}

fn look(id: &str) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", id)
}

fn assert_served(response: &KeptResponse) {
    assert!(
        matches!(response, KeptResponse::Complete(response) if response.status == 200),
        "{response:?}"
    );
}

#[test]
fn larger_head_is_not_refused_on_a_connection_kept_since_before_the_change() {
    let fixture = fixture("larger_head", limits(1_024, 5_000));
    let mut connection = KeptConnection::open(fixture.callers);
    assert_served(&connection.send(&look("id-1")));
    change_limits(&fixture, 3, limits(16_384, 5_000));
    let mut request = look("id-2");
    request.extra = format!("X: {}\r\n", "a".repeat(4_000));
    assert_served(&connection.send(&request));
}

#[test]
fn connection_is_not_closed_by_an_idle_timeout_that_has_been_lengthened() {
    let fixture = fixture("longer_idle", limits(16_384, 1_000));
    let mut connection = KeptConnection::open(fixture.callers);
    assert_served(&connection.send(&look("id-1")));
    change_limits(&fixture, 3, limits(16_384, 5_000));
    assert!(!connection.is_closed_within(Duration::from_secs(3)), "it may be idle for 5 s");
    assert_served(&connection.send(&look("id-2")));
}

#[test]
fn connection_is_closed_by_an_idle_timeout_that_has_been_shortened() {
    let fixture = fixture("shorter_idle", limits(16_384, 20_000));
    let mut connection = KeptConnection::open(fixture.callers);
    assert_served(&connection.send(&look("id-1")));
    change_limits(&fixture, 3, limits(16_384, 1_000));
    assert!(connection.is_closed_within(Duration::from_secs(5)), "it may be idle for 1 s");
}

/// Callers that keep their connections, and requests of each.
const CALLERS: u64 = 24;
const REQUESTS: u64 = 14;

fn changing_configuration(version: u64) -> (ConfigurationSpec, LimitsSpec) {
    let is_even = version.is_multiple_of(2);
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    let mut routes = vec![
        RouteSpec::new("/look/", "safe", "records"),
        RouteSpec::new("/once/", "unsafe", "records"),
        RouteSpec::new("/drafts/", "resumable", "writers"),
        RouteSpec::new("/tail/", "stream", "writers"),
        members,
    ];
    if is_even {
        routes.push(RouteSpec::new("/extra/", "unsafe", "records"));
    }
    let mut keys = vec!["key-0".to_owned()];
    if is_even {
        keys.push("key-1".into());
    }
    let organisations = vec![("huts".into(), keys)];
    let limits = if is_even { limits(16_384, 1_000) } else { limits(8_192, 600) };
    (ConfigurationSpec { version, routes, organisations }, limits)
}

/// What a caller has seen that is not the complete and expected response to a request.
#[derive(Debug, Default)]
struct Losses {
    /// Requests whose connection was closed without any byte of a response.
    closed: Vec<String>,
    /// Partial and unexpected responses.
    wrong: Vec<String>,
}

/// Sends requests on kept connections, with pauses around the idle timeout.
fn call(fixture: &EntryFixture, caller: u64) -> Losses {
    let mut losses = Losses::default();
    let mut connection = KeptConnection::open(fixture.callers);
    for number in 0..REQUESTS {
        let id = format!("c{caller}-{number}-");
        let paths = ["/look/1", "/once/1", "/drafts/1", "/tail/1", "/members/1", "/extra/1"];
        let path = paths[((caller + number) % 6) as usize];
        let mut request = CallerRequest::new("POST", path, &id);
        request.key = Some(format!("key-{}", number % 2));
        match connection.send(&request) {
            KeptResponse::Complete(response) => {
                let is_closing = response.header("Connection") == Some("close");
                let is_expected = match path {
                    "/members/1" => [200, 401].contains(&response.status),
                    "/extra/1" => [200, 404].contains(&response.status),
                    _ => response.status == 200,
                };
                if !is_expected {
                    losses.wrong.push(format!("{id} {path} {response:?}"));
                }
                if is_closing {
                    connection = KeptConnection::open(fixture.callers);
                }
            }
            KeptResponse::Cut(response) => {
                losses.wrong.push(format!("{id} {path} {response:?}"));
                connection = KeptConnection::open(fixture.callers);
            }
            KeptResponse::Closed => {
                losses.closed.push(id);
                connection = KeptConnection::open(fixture.callers);
            }
        }
        // Spread over the time in which the idle timeouts of 600 and 1,000 ms are noticed.
        thread::sleep(Duration::from_millis(500 + (caller * 53 + number * 97) % 800));
    }
    losses
}

#[test]
fn request_that_crosses_a_change_or_an_idle_timeout_is_answered_or_not_read() {
    let fixture = EntryFixture::start("crossing", &changing_configuration(2).0);
    let running = Behaviour::Respond(200, Duration::from_millis(60));
    let stream = Behaviour::Stream {
        events: 8,
        sent: 8,
        interval: Duration::from_millis(20),
        ending: StreamEnding::Complete,
        confidence: 90,
    };
    let replicas: Vec<ReplicaStandin> = [
        ("r-1", "records", &running),
        ("r-2", "records", &running),
        ("r-3", "writers", &stream),
        ("r-4", "writers", &stream),
    ]
    .into_iter()
    .map(|(id, service, behaviour)| fixture.add_replica(id, service, behaviour.clone()))
    .collect();
    fixture.wait_ready();
    for replica in &replicas {
        fixture.wait_for_replica(replica);
    }
    let is_done = AtomicBool::new(false);
    let losses = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| {
            for version in 3.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let (configuration, limits) = changing_configuration(version);
                configuration.apply_with_limits(&fixture.store, limits);
                thread::sleep(Duration::from_millis(170));
                fixture.signal("-HUP");
                thread::sleep(Duration::from_millis(170));
            }
        });
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (fixture, losses) = (&fixture, &losses);
                scope.spawn(move || {
                    let seen = call(fixture, caller);
                    losses.lock().expect("no caller panics").push(seen);
                })
            })
            .collect();
        let ended = callers.into_iter().map(|caller| caller.join().is_ok()).collect::<Vec<_>>();
        is_done.store(true, Ordering::Relaxed);
        assert!(ended.iter().all(|ended| *ended));
    });
    let losses = losses.into_inner().expect("no caller panics");
    let wrong: Vec<&String> = losses.iter().flat_map(|losses| &losses.wrong).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
    let closed: Vec<&String> = losses.iter().flat_map(|losses| &losses.closed).collect();
    assert!(!closed.is_empty(), "no request has crossed the close of its connection");
    let log = fixture.log();
    let read: Vec<_> = closed.iter().filter(|id| log.contains(id.as_str())).collect();
    assert!(read.is_empty(), "read and not answered: {read:?} of {closed:?}");
    let is_closed = |id: &String| closed.contains(&id);
    for replica in &replicas {
        assert!(!replica.received_requests().iter().any(|received| is_closed(&received.id)));
    }
}
