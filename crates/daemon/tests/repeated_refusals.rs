//! A replica that writes an earlier refusal once more does not refuse a later request with it.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const REQUESTS: usize = 24;
/// Time for which a replica runs a request.
const RUN_TIME: Duration = Duration::from_millis(20);

/// What the replicas have seen.
#[derive(Debug, Default)]
struct Seen {
    /// How often each request has run.
    runs: Mutex<BTreeMap<String, usize>>,
    /// Connections on which more than one request arrived.
    reused: AtomicUsize,
}

/// How a replica writes an earlier refusal once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repetition {
    /// Right behind the refusal, without an id.
    WithoutId,
    /// Right behind the refusal, with its id.
    WithId,
    /// Before the response to a later request, with its id.
    BeforeResponse,
    /// Behind the response to a later request, with and without its id.
    BehindResponse,
}

fn run(exchange: &mut ScriptedExchange, seen: &Seen) {
    *seen.runs.lock().expect("not poisoned").entry(exchange.id.clone()).or_default() += 1;
    thread::sleep(RUN_TIME);
}

fn respond(exchange: &mut ScriptedExchange) {
    exchange.send_head(200, 2);
    exchange.send("ok");
}

/// Refuses every third request, and runs the others.
fn play(exchange: &mut ScriptedExchange, repetition: Repetition, seen: &Seen, refused: &str) {
    let id = exchange.id.clone();
    match (exchange.number % 3, repetition) {
        (0, Repetition::WithoutId) => {
            exchange.refuse();
            exchange.refuse();
        }
        (0, _) => {
            exchange.refuse_attempt(&id);
            exchange.refuse_attempt(&id);
        }
        (_, Repetition::BeforeResponse) => {
            // A replica that has refused a request is not asked again for it.
            if refused != id {
                exchange.refuse_attempt(refused);
            }
            run(exchange, seen);
            respond(exchange);
        }
        (_, Repetition::BehindResponse) => {
            run(exchange, seen);
            respond(exchange);
            exchange.refuse_attempt(refused);
            exchange.refuse();
        }
        _ => {
            run(exchange, seen);
            respond(exchange);
        }
    }
    if exchange.receives_more() {
        seen.reused.fetch_add(1, Ordering::SeqCst);
    }
}

/// Asserts that requests run at most once, that one that is refused has not run, and that one that
/// is answered has.
fn assert_true_refusals(test: &str, kind: &str, repetition: Repetition) {
    let route = RouteSpec::new("/records/", kind, "records");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let entry = EntryFixture::start(test, &configuration);
    let (seen, refused) = (Arc::<Seen>::default(), Arc::<Mutex<String>>::default());
    let (played, last) = (Arc::clone(&seen), Arc::clone(&refused));
    let replicas = ScriptedReplicas::new(move |exchange| {
        let earlier = last.lock().expect("not poisoned").clone();
        if exchange.number.is_multiple_of(3) {
            last.lock().expect("not poisoned").clone_from(&exchange.id);
        }
        play(exchange, repetition, &played, &earlier);
    });
    for id in ["r-1", "r-2"] {
        replicas.add(&entry.store, id, "records");
        wait_until("the entry knows the replica", || entry.log().contains(id));
    }
    entry.wait_ready();
    for number in 0..REQUESTS {
        let id = format!("record-{number}");
        let response = entry.send(&CallerRequest::new("POST", "/records/1", &id));
        let runs = seen.runs.lock().expect("not poisoned").get(&id).copied().unwrap_or_default();
        assert!(runs <= 1, "{id} has run {runs} times");
        match response.status {
            200 => assert_eq!((runs, response.body.as_str()), (1, "ok"), "{response:?}"),
            429 | 503 => assert_eq!(runs, 0, "{id} has run: {response:?}"),
            status => panic!("status {status}: {response:?}"),
        }
    }
    assert_eq!(seen.reused.load(Ordering::SeqCst), 0, "connections were used again");
}

#[test]
fn repeated_refusal_without_id_refuses_no_later_request() {
    assert_true_refusals("again_no_id", "unsafe", Repetition::WithoutId);
}

#[test]
fn repeated_refusal_with_id_refuses_no_later_request() {
    assert_true_refusals("again_id", "unsafe", Repetition::WithId);
}

#[test]
fn refusal_before_a_response_refuses_no_later_request() {
    assert_true_refusals("again_before", "unsafe", Repetition::BeforeResponse);
}

#[test]
fn refusal_behind_a_response_refuses_no_later_request() {
    assert_true_refusals("again_behind", "unsafe", Repetition::BehindResponse);
}

#[test]
fn refusals_of_repeatable_requests_are_true_too() {
    assert_true_refusals("again_safe", "safe", Repetition::BehindResponse);
}
