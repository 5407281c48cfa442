//! A graceful stop of an entry while replicas are silent: a request that was read gets a response.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Route prefixes with their request kinds.
const ROUTES: [(&str, &str); 4] =
    [("/look/", "safe"), ("/once/", "unsafe"), ("/tail/", "stream"), ("/drafts/", "resumable")];
/// Events of a complete stream.
const EVENTS: u64 = 8;

fn is_stream(kind: &str) -> bool {
    matches!(kind, "stream" | "resumable")
}

/// Starts an entry, with a grace time of four seconds, and replicas of one service for each route,
/// which fall silent at a point of their response until they are all released.
fn fixture(
    test: &str,
    replica_count: usize,
    point: SilencePoint,
    silence: &Arc<Silence>,
) -> EntryFixture {
    let routes = ROUTES.iter().map(|(prefix, kind)| {
        let mut route = RouteSpec::new(prefix, kind, kind);
        route.request_timeout_ms = 20_000;
        route
    });
    let configuration =
        ConfigurationSpec { version: 1, routes: routes.collect(), organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    for (_, kind) in ROUTES {
        let silence = Arc::clone(silence);
        let replicas = ScriptedReplicas::new(move |exchange| {
            if is_stream(kind) {
                stream(exchange, point, &silence);
            } else {
                respond(exchange, point, &silence);
            }
        });
        for number in 0..replica_count {
            let id = format!("{kind}-{number}");
            replicas.add(&fixture.store, &id, kind);
            wait_until("the entry knows the replica", || fixture.log().contains(&id));
        }
    }
    fixture.wait_ready();
    fixture
}

/// Where in its response a replica falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SilencePoint {
    BeforeHead,
    InBody,
}

/// When silent replicas go on; `None` if never.
#[derive(Debug)]
struct Silence {
    ends_at: Option<Instant>,
}

impl Silence {
    fn wait(&self) {
        match self.ends_at {
            Some(ends_at) => thread::sleep(ends_at.saturating_duration_since(Instant::now())),
            None => thread::sleep(Duration::from_secs(30)),
        }
    }
}

fn respond(exchange: &mut ScriptedExchange, point: SilencePoint, silence: &Silence) {
    if point == SilencePoint::BeforeHead {
        silence.wait();
    }
    exchange.send_head(200, 2);
    exchange.send("o");
    if point == SilencePoint::InBody {
        silence.wait();
    }
    exchange.send("k");
}

fn stream(exchange: &mut ScriptedExchange, point: SilencePoint, silence: &Silence) {
    if point == SilencePoint::BeforeHead {
        silence.wait();
    }
    exchange.send_stream_head();
    let middle = EVENTS / 2;
    exchange.send_events(exchange.resume_after + 1..=middle);
    if point == SilencePoint::InBody {
        silence.wait();
    }
    exchange.send_events(exchange.resume_after.max(middle) + 1..=EVENTS);
    exchange.end_stream();
}

/// Sends requests of each kind, then SIGTERM; returns the responses with the kinds.
fn stop_beside(fixture: &mut EntryFixture) -> Vec<(&'static str, CallerResponse)> {
    let callers: Vec<_> = ROUTES
        .iter()
        .flat_map(|route| (0..3).map(move |number| (route, number)))
        .map(|((prefix, kind), number)| {
            let entry = fixture.callers;
            let mut request =
                CallerRequest::new("POST", &format!("{prefix}1"), &format!("{kind}-{number}"));
            request.deadline_ms = 20_000;
            let send = move || ibissail_platform_standin::send_request(entry, &request);
            (*kind, thread::spawn(send))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    fixture.signal("-TERM");
    let join = |(kind, caller): (_, thread::JoinHandle<_>)| {
        (kind, caller.join().expect("the caller ends"))
    };
    let responses = callers.into_iter().map(join).collect();
    wait_until("the entry exits", || fixture.has_exited());
    responses
}

/// Stops entries beside one replica of each service and beside three, silent until three seconds
/// after SIGTERM, within the grace time of four.
fn stop_beside_silence(test: &str, point: SilencePoint) {
    for replica_count in [1, 3] {
        let ends_at = Some(Instant::now() + Duration::from_millis(3_500));
        let silence = Arc::new(Silence { ends_at });
        let test = format!("{test}{replica_count}");
        let mut fixture = fixture(&test, replica_count, point, &silence);
        for (kind, response) in stop_beside(&mut fixture) {
            assert!(response.status == 200 && response.is_complete, "{kind}: {response:?}");
            let events = if is_stream(kind) { EVENTS } else { 0 };
            assert_eq!(response.event_ids(), (1..=events).collect::<Vec<u64>>(), "{kind}");
        }
    }
}

#[test]
fn stop_does_not_cut_requests_that_have_no_response_yet() {
    stop_beside_silence("stop_head", SilencePoint::BeforeHead);
}

#[test]
fn stop_does_not_cut_responses_whose_replica_is_silent() {
    stop_beside_silence("stop_body", SilencePoint::InBody);
}

#[test]
fn request_is_not_closed_without_a_response_when_the_grace_time_ends() {
    let silence = Arc::new(Silence { ends_at: None });
    let mut fixture = fixture("stop_hung", 1, SilencePoint::BeforeHead, &silence);
    for (kind, response) in stop_beside(&mut fixture) {
        assert!(response.status == 502 && response.is_complete, "{kind}: {response:?}");
    }
}
