//! A replica that completes its response before it has read a long body still gets the whole body.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    BODY_BYTE, CallerRequest, CallerResponse, ConfigurationSpec, EarlyBehaviour, EarlyReplica,
    EarlyResponse, KeptConnection, KeptResponse, ReceivedBody, RestReading, RouteSpec,
    StoreStandin, send_raw,
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// More than the buffers of two sockets hold.
const BODY_BYTES: usize = 8 << 20;
/// Time for which callers come back.
const COME_BACK_LIMIT: Duration = Duration::from_secs(20);
/// Bytes that the replica has read when it responds.
const READ_FIRST: usize = 4 << 10;
const PAUSE: RestReading = RestReading::After(Duration::from_millis(300));
const OK: EarlyResponse = EarlyResponse::Status(200);
/// Requests of most tests.
const REQUESTS: usize = 3;

fn behaviour(response: EarlyResponse, rest: RestReading) -> EarlyBehaviour {
    EarlyBehaviour { read_first: READ_FIRST, response, rest }
}

/// Starts a store whose configuration allows long bodies, and prepares an entry.
fn prepare(test: &str) -> EntryFixture {
    let route = |prefix, kind, service| RouteSpec {
        request_timeout_ms: 10_000,
        ..RouteSpec::new(prefix, kind, service)
    };
    let routes = vec![
        route("/records/", "unsafe", "records"),
        route("/look/", "safe", "records"),
        route("/drafts/", "stream", "records"),
    ];
    let configuration = ConfigurationSpec { version: 1, routes, organisations: Vec::new() };
    let store = StoreStandin::start();
    configuration.apply_with_body_limit(&store, 2 * BODY_BYTES as u64);
    EntryFixture::without_entry(test, store)
}

fn start(test: &str, behaviour: EarlyBehaviour) -> (EntryFixture, EarlyReplica) {
    let mut fixture = prepare(test);
    let replica = EarlyReplica::start(&fixture.store, "r-1", "records", behaviour);
    fixture.start_entry();
    fixture.wait_ready();
    (fixture, replica)
}

fn request(path: &str, id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", path, id);
    request.deadline_ms = 8_000;
    request.body = vec![BODY_BYTE; BODY_BYTES];
    request
}

fn received(replica: &EarlyReplica, id: &str) -> ReceivedBody {
    replica.received().get(id).copied().unwrap_or_default()
}

/// Fails unless the replica gets the whole body of a request.
fn assert_whole(replica: &EarlyReplica, id: &str) {
    let deadline = Instant::now() + Duration::from_secs(12);
    while !received(replica, id).is_over && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
    let received = received(replica, id);
    assert!(received.is_whole, "of {id} and its {BODY_BYTES} bytes: {received:?}");
}

fn assert_success(response: &CallerResponse) {
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}

/// Sends some requests, one after the other; fails unless each gets this status and its replica the
/// whole body.
fn assert_all_whole(test: &str, path: &str, status: u16, behaviour: EarlyBehaviour) {
    let (fixture, replica) = start(test, behaviour);
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let response = fixture.send(&request(path, &id));
        assert!(response.status == status && response.is_complete, "{response:?}");
        assert_whole(&replica, &id);
    }
}

/// Guards against a body that is cut as soon as its response is complete.
#[test]
fn rest_of_a_body_follows_a_complete_response() {
    assert_all_whole("early_answer", "/records/1", 200, behaviour(OK, PAUSE));
}

/// Guards against a rest that is given up while the replica does something else first.
#[test]
fn rest_of_a_body_is_kept_for_seconds() {
    let rest = RestReading::After(Duration::from_secs(3));
    assert_all_whole("early_pause", "/records/1", 200, behaviour(OK, rest));
}

/// Guards against a rest that is given up because it goes slowly.
#[test]
fn rest_of_a_body_is_read_slowly() {
    let rest = RestReading::Slowly(Duration::from_millis(10));
    assert_all_whole("early_slow", "/records/1", 200, behaviour(OK, rest));
}

/// Guards against a cut where nothing of the body has been read.
#[test]
fn rest_of_a_body_follows_a_response_to_its_head() {
    let behaviour = EarlyBehaviour { read_first: 0, ..behaviour(OK, PAUSE) };
    assert_all_whole("early_head_only", "/records/1", 200, behaviour);
}

/// Guards against a body that is cut at the end of a stream.
#[test]
fn rest_of_a_body_follows_a_complete_stream() {
    assert_all_whole("early_end", "/drafts/1", 200, behaviour(EarlyResponse::Stream, PAUSE));
}

/// Guards against a body that is cut when the replica ends its half of the connection.
#[test]
fn rest_of_a_body_follows_a_response_that_ends_with_its_connection() {
    assert_all_whole("early_half", "/records/1", 200, behaviour(EarlyResponse::UntilClose, PAUSE));
}

/// Guards against a stream that looks cut because its replica ends its half of the connection, and
/// reads on slowly.
#[test]
fn rest_of_a_body_follows_a_stream_that_ends_with_its_connection() {
    for rest in [PAUSE, RestReading::Slowly(Duration::from_millis(10))] {
        let behaviour = behaviour(EarlyResponse::StreamUntilClose, rest);
        assert_all_whole("early_half_stream", "/drafts/1", 200, behaviour);
    }
}

/// Guards against bodies that are cut because the response is an error.
#[test]
fn rest_of_a_body_follows_an_error() {
    for status in [409, 500] {
        let behaviour = behaviour(EarlyResponse::Status(status), PAUSE);
        assert_all_whole(&format!("early_{status}"), "/records/1", status, behaviour);
    }
}

/// Guards against a reset that discards what the replica has not read yet: a connection that is
/// closed with unread bytes is reset.
#[test]
fn bytes_behind_the_response_cut_no_body() {
    let behaviour = behaviour(EarlyResponse::ExtraBytes(200), PAUSE);
    assert_all_whole("early_extra", "/records/1", 200, behaviour);
}

/// Guards against a body that is cut where its caller has sent it in chunks.
#[test]
fn rest_of_a_body_in_chunks_follows() {
    let (fixture, replica) = start("early_chunks", behaviour(OK, PAUSE));
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let response = send_raw(fixture.callers, &request("/records/1", &id).to_chunks());
        assert_success(&response);
        assert_whole(&replica, &id);
    }
}

/// Guards against a body that is cut by the next request of its caller, or mixed with it.
#[test]
fn next_request_on_the_connection_cuts_no_body() {
    let (fixture, replica) = start("early_kept", behaviour(OK, PAUSE));
    let mut connection = KeptConnection::open(fixture.callers);
    for number in 0..REQUESTS {
        match connection.send(&request("/records/1", &format!("id-{number}"))) {
            KeptResponse::Complete(response) => assert_success(&response),
            other => panic!("{other:?}"),
        }
    }
    for number in 0..REQUESTS {
        assert_whole(&replica, &format!("id-{number}"));
    }
}

/// Guards against a body that is cut because its caller has its response and leaves.
#[test]
fn callers_that_leave_cut_no_body() {
    let (fixture, replica) = start("early_leave", behaviour(OK, PAUSE));
    let senders: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let entry = fixture.callers;
            thread::spawn(move || {
                let request = request("/records/1", &format!("id-{number}"));
                let mut connection = KeptConnection::open(entry);
                connection.send(&request)
            })
        })
        .collect();
    for sender in senders {
        let response = sender.join().expect("the caller ends");
        assert!(matches!(response, KeptResponse::Complete(_)), "{response:?}");
    }
    for number in 0..REQUESTS {
        assert_whole(&replica, &format!("id-{number}"));
    }
}

/// Guards against bodies that are cut by a planned stop right after the response.
#[test]
fn planned_stop_cuts_no_body() {
    let rest = RestReading::After(Duration::from_millis(2_800));
    let (mut fixture, replica) = start("early_stop", behaviour(OK, rest));
    assert_success(&fixture.send(&request("/records/1", "id-1")));
    fixture.signal("-TERM");
    assert_whole(&replica, "id-1");
    fixture.wait_for_exit();
}

/// Guards against a body that is cut at the replica that failed early, while another one serves.
#[test]
fn retry_elsewhere_cuts_no_body() {
    let mut fixture = prepare("early_retry");
    let failing = behaviour(EarlyResponse::Status(500), PAUSE);
    let failing = EarlyReplica::start(&fixture.store, "r-1", "records", failing);
    let sound = EarlyReplica::start(&fixture.store, "r-2", "records", behaviour(OK, PAUSE));
    fixture.start_entry();
    fixture.wait_ready();
    for number in 0..6 {
        assert_success(&fixture.send(&request("/look/1", &format!("id-{number}"))));
    }
    assert!(!failing.received().is_empty(), "the failing replica is asked as well");
    for replica in [&failing, &sound] {
        for id in replica.received().into_keys() {
            assert_whole(replica, &id);
        }
    }
}

/// Guards against sending a body that nobody reads: a rejected request has not run.
#[test]
fn rejected_request_is_not_sent_on() {
    let (fixture, replica) = start("early_reject", behaviour(EarlyResponse::NotRun, PAUSE));
    let response = fixture.send(&request("/records/1", "id-1"));
    assert_eq!(response.status, 503, "{response:?}");
    wait_until("the connection ends", || received(&replica, "id-1").is_over);
    assert!(!received(&replica, "id-1").is_whole);
}

/// Guards against a rest that is held for ever, and against a silent loss.
#[test]
fn replica_that_stops_reading_is_given_up() {
    let (fixture, _replica) = start("early_never", behaviour(OK, RestReading::Never));
    assert_success(&fixture.send(&request("/records/1", "id-1")));
    let deadline = Instant::now() + Duration::from_secs(20);
    while !fixture.log().contains("request: rest not sent") && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(100));
    }
    let log = fixture.log();
    let line = log.lines().find(|line| line.contains("request: rest not sent"));
    assert!(line.is_some_and(|line| line.contains("id-1")), "{line:?}");
    wait_until("nothing is held", || fixture.metric("unsent_bytes") == 0);
    assert_eq!(fixture.metric("unsent_requests"), 0);
}

/// Guards against a silent loss where the replica closes the connection instead of reading on.
#[test]
fn replica_that_closes_is_logged() {
    let (fixture, _replica) = start("early_closed", behaviour(OK, RestReading::Closed));
    let response = fixture.send(&request("/records/1", "id-1"));
    // The reset may overtake the response.
    if response.status == 200 {
        wait_until("the loss is logged", || fixture.log().contains("request: rest not sent"));
    } else {
        assert_eq!(response.status, 502, "{response:?}");
    }
}

/// Sends a request, and again when its caller is told to come back because the memory for messages is
/// used up.
fn send_until_accepted(entry: SocketAddr, request: &CallerRequest) -> KeptResponse {
    let started = Instant::now();
    loop {
        let response = KeptConnection::open(entry).send(request);
        match &response {
            KeptResponse::Complete(refusal)
                if refusal.status == 503 && started.elapsed() < COME_BACK_LIMIT =>
            {
                let seconds = refusal.retry_after().expect("when to come back");
                thread::sleep(Duration::from_secs_f64(seconds));
            }
            _ => return response,
        }
    }
}

/// Guards against memory that grows with the callers: beyond the bound a connection waits for its
/// own body, which arrives as well.
#[test]
fn bodies_beyond_the_bound_are_sent_too() {
    const CALLERS: usize = 6;
    let mut fixture = prepare("early_bound");
    let rest = RestReading::After(Duration::from_secs(1));
    let replica = EarlyReplica::start(&fixture.store, "r-1", "records", behaviour(OK, rest));
    fixture.overload_memory_mb = Some(110);
    fixture.start_entry();
    fixture.wait_ready();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let entry = fixture.callers;
            thread::spawn(move || {
                let request = request("/records/1", &format!("id-{number}"));
                send_until_accepted(entry, &request)
            })
        })
        .collect();
    for caller in callers {
        let response = caller.join().expect("the caller ends");
        assert!(
            matches!(&response, KeptResponse::Complete(response) if response.status == 200),
            "{response:?}"
        );
    }
    let log = fixture.log();
    assert!(log.contains("request: its connection waits for its rest"), "the bound is reached");
    for number in 0..CALLERS {
        assert_whole(&replica, &format!("id-{number}"));
    }
}
