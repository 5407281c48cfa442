//! Responses without a length or chunks that are cut as their replica ends never look complete,
//! whatever the replica is listed as; those of replicas that go on stay whole.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange,
    ScriptedReplicas, StoreStandin, send_request,
};
use std::{
    sync::{Mutex, mpsc},
    thread,
    time::Duration,
};

/// Events of a complete stream, and those before it is cut.
const EVENTS: u64 = 8;
const EVENTS_BEFORE: u64 = 3;
/// Time in which an entry learns what the store lists.
const LISTING_TIME: Duration = Duration::from_millis(400);

/// Time that callers wait, in milliseconds.
const DEADLINE_MS: u64 = 8_000;

/// What happens to a replica while it responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Nothing,
    SaysItLeaves,
    Drains,
    IsRemoved,
    IsEvacuated,
}

/// Troubles in which an entry may connect to the replica.
const REACHABLE: [Trouble; 4] =
    [Trouble::Nothing, Trouble::SaysItLeaves, Trouble::Drains, Trouble::IsRemoved];

/// What a replica does when it is told to end its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// It ends, and has sent a part.
    CutByExit,
    /// It has sent all, and goes on.
    WholeAndRuns,
}

/// A request whose first response ends as the case says; all later ones are complete and framed.
struct Case<'a> {
    test: &'a str,
    path: &'a str,
    trouble: Trouble,
    ending: Ending,
    replicas: &'a [&'a str],
}

struct Played {
    response: CallerResponse,
    requests: usize,
    log: String,
}

fn configuration() -> ConfigurationSpec {
    let mut routes = vec![
        RouteSpec::new("/records/", "unsafe", "writers"),
        RouteSpec::new("/look/", "safe", "writers"),
        RouteSpec::new("/tail/", "stream", "writers"),
        RouteSpec::new("/drafts/", "resumable", "writers"),
    ];
    for route in &mut routes {
        route.request_timeout_ms = DEADLINE_MS;
        // A silence until the listing has been read is none.
        route.objective_ms = DEADLINE_MS;
    }
    ConfigurationSpec { version: 1, routes, organisations: Vec::new() }
}

fn is_stream(path: &str) -> bool {
    path == "/tail/1" || path == "/drafts/1"
}

/// Sends all that comes before the end of the first response.
fn begin(exchange: &mut ScriptedExchange, is_stream: bool, ending: Ending) {
    if is_stream {
        exchange.send_unframed_stream_head();
        let last = if ending == Ending::CutByExit { EVENTS_BEFORE } else { EVENTS };
        exchange.send_unframed_events(1..=last);
    } else {
        exchange.send_unframed_head(200);
        exchange.send(if ending == Ending::CutByExit { "half " } else { "half and half" });
    }
}

fn respond(exchange: &mut ScriptedExchange, is_stream: bool) {
    if is_stream {
        exchange.send_stream_head();
        exchange.send_events(exchange.resume_after + 1..=EVENTS);
        exchange.end_stream();
    } else {
        exchange.send_head(200, 13);
        exchange.send("half and half");
    }
}

fn play(case: &Case<'_>) -> Played {
    let Case { test, path, trouble, ending, replicas } = *case;
    let is_stream = is_stream(path);
    let store = StoreStandin::start();
    configuration().apply(&store);
    let mut fixture = EntryFixture::without_entry(test, store);
    fixture.evacuation_delay_ms = Some(5_000);
    fixture.start_entry();
    let (begun_tx, begun_rx) = mpsc::channel();
    let (end_tx, end_rx) = mpsc::channel::<()>();
    let (begun_tx, end_rx) = (Mutex::new(begun_tx), Mutex::new(end_rx));
    let script = ScriptedReplicas::new(move |exchange| {
        if exchange.number > 0 {
            respond(exchange, is_stream);
            return;
        }
        exchange.is_leaving = trouble == Trouble::SaysItLeaves;
        begin(exchange, is_stream, ending);
        let sent = begun_tx.lock().expect("no test has failed").send(exchange.replica.clone());
        sent.expect("the test waits");
        end_rx.lock().expect("no test has failed").recv().expect("the test goes on");
        if ending == Ending::CutByExit {
            exchange.stop_listening();
        }
    });
    for id in replicas {
        script.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", path, "id-1");
    request.deadline_ms = DEADLINE_MS;
    let callers = fixture.callers;
    let sending = thread::spawn(move || send_request(callers, &request));
    let replica = begun_rx.recv_timeout(Duration::from_secs(10)).expect("the response begins");
    match trouble {
        Trouble::Nothing | Trouble::SaysItLeaves => {}
        Trouble::Drains => fixture.store.start_draining(&replica),
        Trouble::IsRemoved => fixture.store.remove("servers", &replica),
        Trouble::IsEvacuated => {
            fixture.store.evacuate("az-1");
            wait_until("the evacuation is known", || fixture.metric("evacuated_zones") == 1);
        }
    }
    thread::sleep(LISTING_TIME);
    end_tx.send(()).expect("the replica waits");
    let response = sending.join().expect("the entry responds");
    wait_until("the end is logged", || fixture.log().contains("\"request: "));
    Played { response, requests: script.received_at().len(), log: fixture.log() }
}

fn ids(last: u64) -> Vec<u64> {
    (1..=last).collect()
}

fn assert_whole_stream(response: &CallerResponse, case: &str) {
    assert!(response.status == 200 && response.is_complete, "{case}: {response:?}");
    assert_eq!(response.event_ids(), ids(EVENTS), "{case}");
}

#[test]
fn cut_stream_of_an_ended_replica_is_resumed() {
    for trouble in REACHABLE {
        let test = format!("cut_resumed_{trouble:?}");
        let ending = Ending::CutByExit;
        let replicas = ["r-1", "r-2"];
        let played =
            play(&Case { test: &test, path: "/drafts/1", trouble, ending, replicas: &replicas });
        assert_whole_stream(&played.response, &test);
        assert_eq!(played.requests, 2, "{test}");
    }
}

#[test]
fn cut_stream_of_an_ended_replica_is_not_complete() {
    for path in ["/tail/1", "/drafts/1"] {
        for trouble in REACHABLE {
            let test = format!("cut_broken_{}_{trouble:?}", &path[1..5]);
            let ending = Ending::CutByExit;
            let played = play(&Case { test: &test, path, trouble, ending, replicas: &["r-1"] });
            let Played { response, .. } = played;
            assert_eq!((response.status, response.is_complete), (200, false), "{test}");
            assert_eq!(response.event_ids(), ids(EVENTS_BEFORE), "{test}");
        }
    }
}

#[test]
fn cut_stream_in_an_evacuated_zone_is_not_complete() {
    let (trouble, ending) = (Trouble::IsEvacuated, Ending::CutByExit);
    let test = "cut_evacuated";
    let played = play(&Case { test, path: "/tail/1", trouble, ending, replicas: &["r-1"] });
    assert!(!played.response.is_complete, "{:?}", played.response);
    assert!(played.log.contains("its zone is evacuated"), "{}", played.log);
}

#[test]
fn whole_stream_of_a_running_replica_is_complete() {
    for path in ["/tail/1", "/drafts/1"] {
        for trouble in REACHABLE {
            let test = format!("whole_{}_{trouble:?}", &path[1..5]);
            let ending = Ending::WholeAndRuns;
            let replicas = ["r-1", "r-2"];
            let played = play(&Case { test: &test, path, trouble, ending, replicas: &replicas });
            assert_whole_stream(&played.response, &test);
            assert_eq!(played.requests, 1, "{test}");
        }
    }
}

#[test]
fn cut_body_of_an_ended_replica_is_asked_for_elsewhere() {
    for trouble in REACHABLE {
        let test = format!("cut_body_again_{trouble:?}");
        let ending = Ending::CutByExit;
        let replicas = ["r-1", "r-2"];
        let played =
            play(&Case { test: &test, path: "/look/1", trouble, ending, replicas: &replicas });
        let Played { response, requests, .. } = played;
        let seen = (response.status, response.body.as_str(), requests);
        assert_eq!(seen, (200, "half and half", 2), "{test}");
    }
}

#[test]
fn cut_body_of_an_ended_replica_that_runs_once_is_not_complete() {
    for trouble in REACHABLE {
        let test = format!("cut_body_once_{trouble:?}");
        let ending = Ending::CutByExit;
        let replicas = ["r-1", "r-2"];
        let played =
            play(&Case { test: &test, path: "/records/1", trouble, ending, replicas: &replicas });
        let Played { response, requests, .. } = played;
        let seen = (response.status, response.error_kind(), requests);
        assert_eq!(seen, (502, "outcome_unknown".into(), 1), "{test}");
    }
}

#[test]
fn cut_body_in_an_evacuated_zone_is_not_complete() {
    let (trouble, ending) = (Trouble::IsEvacuated, Ending::CutByExit);
    let test = "cut_body_evacuated";
    let played = play(&Case { test, path: "/records/1", trouble, ending, replicas: &["r-1"] });
    assert_eq!(played.response.error_kind(), "outcome_unknown", "{:?}", played.response);
    assert!(played.log.contains("its zone is evacuated"), "{}", played.log);
}

#[test]
fn whole_body_of_a_running_replica_is_complete() {
    for path in ["/records/1", "/look/1"] {
        for trouble in REACHABLE {
            let test = format!("whole_body_{}_{trouble:?}", &path[1..5]);
            let ending = Ending::WholeAndRuns;
            let replicas = ["r-1", "r-2"];
            let played = play(&Case { test: &test, path, trouble, ending, replicas: &replicas });
            let Played { response, requests, .. } = played;
            let seen = (response.status, response.body.as_str(), requests);
            assert_eq!(seen, (200, "half and half", 1), "{test}");
        }
    }
}
