//! The response of a small model is replaced only once a larger model has accepted the request.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange,
    ScriptedReplicas, replica_spec_at, set_models,
};
use std::{
    net::TcpListener,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Longest time for which two replicas may work on one request.
const LONGEST_OVERLAP: Duration = Duration::from_millis(400);
const EVENTS: u64 = 8;

fn fixture(test: &str, kind: &str, replicas: &ScriptedReplicas) -> EntryFixture {
    let mut route = RouteSpec::new("/drafts/", kind, "writers");
    route.request_timeout_ms = 20_000;
    route.models = vec!["small".into(), "large".into()];
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    for id in ["r-1", "r-2"] {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    fixture
}

fn send(fixture: &EntryFixture) -> CallerResponse {
    let mut request = CallerRequest::new("POST", "/drafts/1", "draft-1");
    request.prompt = vec![("shared".into(), 500), ("own".into(), 100)];
    request.deadline_ms = 6_000;
    fixture.send(&request)
}

/// Responds as a small model that is not confident.
fn respond_small(exchange: &mut ScriptedExchange) {
    exchange.confidence = 10;
    exchange.send_stream_head();
    for number in 1..=EVENTS {
        thread::sleep(Duration::from_millis(20));
        exchange.send_chunk(&format!("id: {number}\ndata: small {number}\n\n"));
    }
    exchange.end_stream();
}

fn assert_response(response: &CallerResponse, word: &str) {
    let whole = (1..=EVENTS)
        .fold(String::new(), |text, id| text + &format!("id: {id}\ndata: {word} {id}\n\n"));
    assert_eq!(response.body, whole, "{response:?}");
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}

#[test]
fn small_response_is_not_lost_when_larger_models_refuse() {
    for kind in ["resumable", "stream"] {
        let replicas = ScriptedReplicas::new(|exchange| match exchange.model.as_str() {
            "small" => respond_small(exchange),
            _ => exchange.refuse(),
        });
        let fixture = fixture("refuse", kind, &replicas);
        assert_response(&send(&fixture), "small");
        assert_eq!(replicas.received_at().len(), 3, "both replicas refused the larger model");
    }
}

#[test]
fn small_response_is_not_lost_when_larger_models_accept_no_connection() {
    let replicas = ScriptedReplicas::new(|exchange| match exchange.model.as_str() {
        "small" => respond_small(exchange),
        _ => exchange.refuse(),
    });
    let fixture = fixture("no_connection", "resumable", &replicas);
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let mut spec = replica_spec_at(address, "writers", "v1");
    set_models(&mut spec, &["large"]);
    fixture.store.put("servers", "dead", &spec);
    wait_until("the entry knows the replica", || fixture.log().contains("dead"));
    assert_response(&send(&fixture), "small");
    assert!(fixture.log().contains("attempt: not sent"), "the dead replica was tried");
}

#[test]
fn small_response_is_not_lost_when_a_larger_model_breaks_off() {
    for kind in ["resumable", "stream"] {
        let replicas = ScriptedReplicas::new(|exchange| match exchange.model.as_str() {
            "small" => respond_small(exchange),
            _ => thread::sleep(Duration::from_millis(50)),
        });
        let fixture = fixture("breaks_off", kind, &replicas);
        assert_response(&send(&fixture), "small");
        assert!(replicas.received_at().len() > 1, "a larger model was asked");
    }
}

#[test]
fn small_response_is_not_lost_when_a_larger_model_fails() {
    let replicas = ScriptedReplicas::new(|exchange| match exchange.model.as_str() {
        "small" => respond_small(exchange),
        _ => exchange.send_head(500, 0),
    });
    let fixture = fixture("fails", "resumable", &replicas);
    assert_response(&send(&fixture), "small");
    assert!(replicas.received_at().len() > 1, "a larger model was asked");
}

/// Lets the larger model respond after a time, and returns for how long both models worked.
fn overlap_with_a_larger_model(test: &str, time: Duration) -> Duration {
    let closed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let closed = Arc::clone(&closed_at);
    let replicas = ScriptedReplicas::new(move |exchange| {
        if exchange.model == "small" {
            exchange.confidence = 10;
            exchange.send_stream_head();
            exchange.send_chunk("id: 1\ndata: small 1\n\n");
            let at = exchange.wait_until_closed();
            *closed.lock().expect("no script panics") = Some(at);
        } else {
            thread::sleep(time);
            exchange.send_stream_head();
            exchange.send_events(1..=EVENTS);
            thread::sleep(LONGEST_OVERLAP);
            exchange.end_stream();
        }
    });
    let fixture = fixture(test, "resumable", &replicas);
    assert_response(&send(&fixture), "word");
    let closed_at = closed_at.lock().expect("no script panics").expect("the connection is closed");
    closed_at.duration_since(replicas.received_at()[1])
}

#[test]
fn small_model_is_cancelled_when_the_larger_one_accepts() {
    let overlap = overlap_with_a_larger_model("accepts", Duration::from_millis(50));
    assert!(overlap < Duration::from_millis(200), "{overlap:?}");
}

#[test]
fn small_model_is_cancelled_when_the_larger_one_takes_long() {
    let overlap = overlap_with_a_larger_model("takes_long", Duration::from_secs(1));
    assert!(overlap < LONGEST_OVERLAP, "{overlap:?}");
}
