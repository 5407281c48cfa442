//! Two replicas at one request: the first falls silent, another is asked to take it over.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Longer than the silence after which another replica is asked, 400 ms to 1 s.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest time for which two replicas may work on one request.
const LONGEST_OVERLAP: Duration = Duration::from_millis(400);
/// Largest growth of the memory of an entry while replicas send what it must not keep.
const MAX_GROWTH_KB: u64 = 8 << 10;
/// Events of the complete stream, and those before the silence.
const EVENTS: u64 = 8;
const EVENTS_BEFORE: u64 = 3;

fn fixture(test: &str, kind: &str) -> EntryFixture {
    let mut route = RouteSpec::new("/drafts/", kind, "writers");
    route.request_timeout_ms = 20_000;
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    EntryFixture::start(test, &configuration)
}

fn add_replicas(fixture: &EntryFixture, replicas: &ScriptedReplicas, ids: &[&str]) {
    for id in ids {
        replicas.add(&fixture.store, id, "writers");
    }
    for id in ids {
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
}

fn request(deadline_ms: u64) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", "draft-1");
    request.deadline_ms = deadline_ms;
    request
}

fn start_stream(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(1..=EVENTS_BEFORE);
}

fn finish_stream(exchange: &mut ScriptedExchange) {
    exchange.send_events(EVENTS_BEFORE + 1..=EVENTS);
    exchange.end_stream();
}

fn continue_stream(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(exchange.resume_after + 1..=EVENTS);
    exchange.end_stream();
}

fn whole_stream() -> String {
    (1..=EVENTS).fold(String::new(), |text, id| text + &format!("id: {id}\ndata: word {id}\n\n"))
}

fn assert_whole_stream(response: &CallerResponse) {
    assert_eq!(response.body, whole_stream(), "{response:?}");
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}

#[test]
fn partial_event_of_a_silent_stream_is_not_lost_with_its_successor() {
    let fixture = fixture("partial", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            return exchange.refuse();
        }
        start_stream(exchange);
        exchange.send_chunk("id: 4\nda");
        thread::sleep(SILENCE);
        exchange.send_chunk("ta: word 4\n\n");
        exchange.send_events(5..=EVENTS);
        exchange.end_stream();
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    assert_whole_stream(&fixture.send(&request(10_000)));
    assert!(replicas.received_at().len() > 1, "another replica was asked");
}

#[test]
fn failed_successor_does_not_corrupt_a_silent_stream() {
    let fixture = fixture("corrupt", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            return;
        }
        start_stream(exchange);
        exchange.send_chunk("id: 4\nda");
        thread::sleep(Duration::from_millis(600));
        exchange.send_chunk("ta: word 4\n\n");
        exchange.send_events(5..=EVENTS);
        exchange.end_stream();
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    let response = fixture.send(&request(10_000));
    let whole = whole_stream();
    assert!(whole.starts_with(&response.body), "{response:?}");
    assert!(!response.is_complete || response.body == whole, "{response:?}");
}

#[test]
fn successor_that_breaks_after_its_head_does_not_end_a_silent_stream() {
    let fixture = fixture("broken_head", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            exchange.send_stream_head();
            thread::sleep(Duration::from_millis(50));
            return;
        }
        start_stream(exchange);
        thread::sleep(Duration::from_millis(600));
        finish_stream(exchange);
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    assert_whole_stream(&fixture.send(&request(10_000)));
}

#[test]
fn silent_replica_is_closed_while_its_successor_works() {
    let fixture = fixture("overlap", "resumable");
    let closed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let closed = Arc::clone(&closed_at);
    let replicas = ScriptedReplicas::new(move |exchange| {
        if exchange.number > 0 {
            thread::sleep(Duration::from_secs(1));
            return continue_stream(exchange);
        }
        start_stream(exchange);
        let at = exchange.wait_until_closed();
        *closed.lock().expect("no script panics") = Some(at);
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    assert_whole_stream(&fixture.send(&request(10_000)));
    let closed_at = closed_at.lock().expect("no script panics").expect("the connection is closed");
    let overlap = closed_at.duration_since(replicas.received_at()[1]);
    assert!(overlap < LONGEST_OVERLAP, "{overlap:?}");
}

#[test]
fn silent_replica_is_closed_although_its_successors_fail() {
    let fixture = fixture("overlaps", "resumable");
    let closed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let closed = Arc::clone(&closed_at);
    let replicas = ScriptedReplicas::new(move |exchange| match exchange.number {
        0 => {
            start_stream(exchange);
            let at = exchange.wait_until_closed();
            *closed.lock().expect("no script panics") = Some(at);
        }
        _ => thread::sleep(Duration::from_millis(280)),
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2", "r-3"]);
    let response = fixture.send(&request(4_000));
    assert!(!response.is_complete, "{response:?}");
    let closed_at = closed_at.lock().expect("no script panics").expect("the connection is closed");
    let overlap = closed_at.duration_since(replicas.received_at()[1]);
    assert!(overlap < LONGEST_OVERLAP, "{overlap:?}");
}

#[test]
fn silent_response_to_a_repeatable_request_is_waited_for() {
    let fixture = fixture("repeatable", "safe");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            return exchange.refuse();
        }
        thread::sleep(SILENCE);
        exchange.send_head(200, 2);
        exchange.send("o");
        thread::sleep(SILENCE);
        exchange.send("k");
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    let response = fixture.send(&request(6_000));
    assert_eq!((response.status, response.body.as_str()), (200, "ok"), "{response:?}");
}

#[test]
fn silent_replica_may_speak_again_during_a_handover() {
    let fixture = fixture("speaks", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            thread::sleep(Duration::from_millis(250));
            return continue_stream(exchange);
        }
        start_stream(exchange);
        exchange.send_chunk("id: 4\nda");
        thread::sleep(Duration::from_millis(700));
        exchange.send_chunk("ta: word 4\n\n");
        exchange.send_events(5..=6);
        exchange.wait_until_closed();
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    assert_whole_stream(&fixture.send(&request(6_000)));
}

/// Falls silent for good after the first events.
fn hang_after_start(exchange: &mut ScriptedExchange) {
    start_stream(exchange);
    exchange.wait_until_closed();
}

#[test]
fn replica_that_starts_later_continues_a_silent_stream() {
    let fixture = fixture("later", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| match exchange.number {
        0 => hang_after_start(exchange),
        _ => continue_stream(exchange),
    });
    add_replicas(&fixture, &replicas, &["r-1"]);
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&request(8_000)));
        wait_until("the replica has the request", || !replicas.received_at().is_empty());
        add_replicas(&fixture, &replicas, &["r-2"]);
        sending.join().expect("the caller gets a response")
    });
    assert_whole_stream(&response);
}

#[test]
fn refused_connections_do_not_end_the_search_for_a_successor() {
    let fixture = fixture("dead", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| match exchange.number {
        0 => hang_after_start(exchange),
        _ => continue_stream(exchange),
    });
    add_replicas(&fixture, &replicas, &["r-1"]);
    for number in 0..4 {
        let id = format!("dead-{number}");
        fixture.store.register_dead_replica(&id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(&id));
    }
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&request(9_000)));
        wait_until("the dead replicas have been tried", || {
            fixture.log().matches("attempt: not sent").count() >= 4
        });
        add_replicas(&fixture, &replicas, &["r-2"]);
        sending.join().expect("the caller gets a response")
    });
    assert_whole_stream(&response);
}

#[test]
fn replica_that_refused_once_is_asked_again() {
    let fixture = fixture("again", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| match exchange.number {
        0 => hang_after_start(exchange),
        1 => exchange.refuse(),
        _ => continue_stream(exchange),
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    assert_whole_stream(&fixture.send(&request(6_000)));
}

/// Works on the request for a while and ends without a response.
fn fail_after(time_ms: u64) {
    thread::sleep(Duration::from_millis(time_ms));
}

#[test]
fn failed_successor_does_not_end_a_silent_stream() {
    let fixture = fixture("failed", "resumable");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            return fail_after(50);
        }
        start_stream(exchange);
        thread::sleep(SILENCE);
        finish_stream(exchange);
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2", "r-3"]);
    assert_whole_stream(&fixture.send(&request(10_000)));
    assert_eq!(replicas.received_at().len(), 3, "both successors were asked");
}

#[test]
fn failed_successor_does_not_end_a_silent_response() {
    let fixture = fixture("failed_safe", "safe");
    let replicas = ScriptedReplicas::new(|exchange| {
        if exchange.number > 0 {
            return fail_after(50);
        }
        thread::sleep(SILENCE);
        exchange.send_head(200, 2);
        exchange.send("ok");
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    let response = fixture.send(&request(6_000));
    assert_eq!((response.status, response.body.as_str()), (200, "ok"), "{response:?}");
    assert_eq!(replicas.received_at().len(), 2, "a successor was asked");
}

#[test]
fn silent_stream_that_went_on_is_not_closed_for_its_earlier_successors() {
    let fixture = fixture("went_on", "resumable");
    let has_gone_on = Arc::new(AtomicBool::new(false));
    let goes_on = Arc::clone(&has_gone_on);
    let replicas = ScriptedReplicas::new(move |exchange| {
        if exchange.number > 0 {
            return fail_after(200);
        }
        start_stream(exchange);
        thread::sleep(SILENCE);
        exchange.send_events(4..=5);
        goes_on.store(true, Ordering::SeqCst);
        thread::sleep(SILENCE);
        exchange.send_events(6..=EVENTS);
        exchange.end_stream();
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&request(10_000)));
        wait_until("the stream has gone on", || has_gone_on.load(Ordering::SeqCst));
        add_replicas(&fixture, &replicas, &["r-3"]);
        sending.join().expect("the caller gets a response")
    });
    assert_whole_stream(&response);
    assert_eq!(replicas.received_at().len(), 3, "both successors were asked");
}

/// Lets a silent replica go on with `resume`, 100 ms after a successor has been asked that takes
/// long; asserts that the successor is cancelled, and returns the response to the caller.
fn go_on_during_handover<S, R>(test: &str, kind: &str, start: S, resume: R) -> CallerResponse
where
    S: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
    R: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let fixture = fixture(test, kind);
    let is_asked = Arc::new(AtomicBool::new(false));
    let closed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (asked, closed) = (Arc::clone(&is_asked), Arc::clone(&closed_at));
    let replicas = ScriptedReplicas::new(move |exchange| {
        if exchange.number > 0 {
            asked.store(true, Ordering::SeqCst);
            let at = exchange.wait_until_closed();
            *closed.lock().expect("no script panics") = Some(at);
            return;
        }
        start(exchange);
        wait_until("a successor is asked", || asked.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(100));
        resume(exchange);
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    let response = fixture.send(&request(6_000));
    let closed_at = closed_at.lock().expect("no script panics").expect("the successor is closed");
    let overlap = closed_at.duration_since(replicas.received_at()[1]);
    assert!(overlap < LONGEST_OVERLAP, "{overlap:?}");
    response
}

/// Sends the rest of a stream over a time that is longer than a handover.
fn finish_slowly(exchange: &mut ScriptedExchange) {
    for number in EVENTS_BEFORE + 1..=EVENTS {
        exchange.send_events([number]);
        thread::sleep(Duration::from_millis(150));
    }
    exchange.end_stream();
}

#[test]
fn silent_stream_that_goes_on_is_not_given_up_for_a_slow_successor() {
    let response = go_on_during_handover("goes_on", "resumable", start_stream, finish_slowly);
    assert_whole_stream(&response);
}

#[test]
fn partial_event_is_not_lost_when_a_silent_stream_goes_on() {
    let start = |exchange: &mut ScriptedExchange| {
        start_stream(exchange);
        exchange.send_chunk("id: 4\nda");
    };
    let resume = |exchange: &mut ScriptedExchange| {
        exchange.send_chunk("ta: wo");
        thread::sleep(Duration::from_millis(50));
        exchange.send_chunk("rd 4\n\nid: 5");
        thread::sleep(Duration::from_millis(350));
        exchange.send_chunk("\ndata: word 5\n\n");
        exchange.send_events(6..=EVENTS);
        exchange.end_stream();
    };
    assert_whole_stream(&go_on_during_handover("goes_on_partly", "resumable", start, resume));
}

#[test]
fn unanswered_stream_that_begins_is_not_given_up_for_a_slow_successor() {
    let resume = |exchange: &mut ScriptedExchange| {
        start_stream(exchange);
        finish_slowly(exchange);
    };
    assert_whole_stream(&go_on_during_handover("begins", "resumable", |_| {}, resume));
}

#[test]
fn silent_response_that_arrives_is_not_given_up_for_a_slow_successor() {
    let resume = |exchange: &mut ScriptedExchange| {
        exchange.send_head(200, 2);
        thread::sleep(Duration::from_millis(250));
        exchange.send("ok");
    };
    let response = go_on_during_handover("arrives", "safe", |_| {}, resume);
    assert_eq!((response.status, response.body.as_str()), (200, "ok"), "{response:?}");
}

/// How a replica ends a response.
type Ending = fn(&mut ScriptedExchange);

#[test]
fn silent_replica_that_fails_during_a_handover_does_not_cancel_its_successor() {
    let endings: [(&str, Ending); 4] = [
        ("refuses", ScriptedExchange::refuse),
        ("closes", |_exchange| {}),
        ("fails", |exchange| exchange.send_head(500, 0)),
        ("breaks", |exchange| exchange.send("HTTP/1.1 2x0 OK\r\n\r\n")),
    ];
    for (test, ending) in endings {
        let fixture = fixture(test, "resumable");
        let is_asked = Arc::new(AtomicBool::new(false));
        let replicas = ScriptedReplicas::new(move |exchange| {
            if exchange.number > 0 {
                is_asked.store(true, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(250));
                return continue_stream(exchange);
            }
            wait_until("a successor is asked", || is_asked.load(Ordering::SeqCst));
            thread::sleep(Duration::from_millis(100));
            ending(exchange);
        });
        add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
        assert_whole_stream(&fixture.send(&request(6_000)));
        assert_eq!(replicas.received_at().len(), 2, "the successor serves the request");
    }
}

#[test]
fn events_without_ids_during_a_handover_use_little_memory() {
    let fixture = fixture("no_ids", "resumable");
    let is_asked = Arc::new(AtomicBool::new(false));
    let replicas = ScriptedReplicas::new(move |exchange| {
        if exchange.number > 0 {
            is_asked.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(250));
            return continue_stream(exchange);
        }
        start_stream(exchange);
        wait_until("a successor is asked", || is_asked.load(Ordering::SeqCst));
        let events = format!("data: {}\n\n", "x".repeat(1_000)).repeat(60);
        let until = Instant::now() + LONGEST_OVERLAP;
        while Instant::now() < until {
            exchange.send_chunk(&events);
        }
    });
    add_replicas(&fixture, &replicas, &["r-1", "r-2"]);
    let before = fixture.peak_memory_kb();
    assert_whole_stream(&fixture.send(&request(6_000)));
    let grown = fixture.peak_memory_kb() - before;
    assert!(grown < MAX_GROWTH_KB, "{grown} kB");
}
