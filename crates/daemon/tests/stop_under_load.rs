//! Callers keep using their connections until a stopping entry is gone, beside silent replicas.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, KeptConnection, KeptResponse, RouteSpec, ScriptedExchange,
    ScriptedReplicas,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, ScopedJoinHandle},
    time::{Duration, Instant},
};

/// Routes with their request kinds.
const ROUTES: [(&str, &str); 4] =
    [("/look/", "safe"), ("/once/", "unsafe"), ("/tail/", "stream"), ("/drafts/", "resumable")];
/// Callers of each route.
const CALLERS: u64 = 6;
/// How long all replicas are silent, in milliseconds, in turn, and the time in between.
const SILENCES_MS: [u64; 3] = [1_000, 1_600, 1_300];
const TALK_TIME: Duration = Duration::from_millis(400);
/// Events of a complete stream.
const EVENTS: u64 = 6;

#[derive(Debug)]
struct Gate {
    silent_until: Mutex<Instant>,
}

impl Gate {
    fn pass_after(&self, time: Duration) {
        thread::sleep(time);
        let ends_at = *self.silent_until.lock().expect("no script panics");
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    }

    fn close_in_turn(&self, is_done: &AtomicBool) {
        for silence in SILENCES_MS.into_iter().cycle() {
            if is_done.load(Ordering::Relaxed) {
                return;
            }
            let silence = Duration::from_millis(silence);
            *self.silent_until.lock().expect("no script panics") = Instant::now() + silence;
            thread::sleep(silence + TALK_TIME);
        }
    }
}

fn configuration(version: u64) -> ConfigurationSpec {
    let routes = ROUTES.iter().map(|(prefix, kind)| {
        let mut route = RouteSpec::new(prefix, kind, kind);
        route.request_timeout_ms = 10_000;
        route
    });
    ConfigurationSpec { version, routes: routes.collect(), organisations: Vec::new() }
}

fn serve(exchange: &mut ScriptedExchange, kind: &str, gate: &Gate) {
    gate.pass_after(Duration::from_millis(30));
    if matches!(kind, "safe" | "unsafe") {
        exchange.send_head(200, 2);
        exchange.send("o");
        gate.pass_after(Duration::from_millis(30));
        return exchange.send("k");
    }
    exchange.send_stream_head();
    for event in exchange.resume_after + 1..=EVENTS {
        gate.pass_after(Duration::from_millis(20));
        exchange.send_events([event]);
    }
    exchange.end_stream();
}

/// A request without a complete response: its id, and what the caller got of one.
type Loss = (String, KeptResponse);

/// Sends requests until the entry accepts no connection.
fn call(entry: SocketAddr, prefix: &str, caller: u64) -> Vec<Loss> {
    let mut losses = Vec::new();
    let mut connection = KeptConnection::open(entry);
    for number in 0.. {
        let id = format!("{}{caller}-{number}-", prefix.replace('/', ""));
        let mut request = CallerRequest::new("POST", &format!("{prefix}1"), &id);
        request.deadline_ms = 5_000;
        let response = connection.send(&request);
        let is_kept = match &response {
            KeptResponse::Complete(response) => response.header("Connection") != Some("close"),
            KeptResponse::Cut(_) | KeptResponse::Closed => {
                losses.push((id, response));
                false
            }
        };
        if !is_kept {
            let Some(next) = KeptConnection::try_open(entry) else { break };
            connection = next;
        }
        thread::sleep(Duration::from_millis(10 + (caller * 31 + number * 17) % 200));
    }
    losses
}

#[test]
fn stop_cuts_no_request_that_was_read() {
    let gate = Arc::new(Gate { silent_until: Mutex::new(Instant::now()) });
    let mut fixture = EntryFixture::start("load", &configuration(1));
    for (_, kind) in ROUTES {
        let gate = Arc::clone(&gate);
        let replicas = ScriptedReplicas::new(move |exchange| serve(exchange, kind, &gate));
        for number in 0..2 {
            let id = format!("{kind}-{number}");
            replicas.add(&fixture.store, &id, kind);
            wait_until("the entry knows the replica", || fixture.log().contains(&id));
        }
    }
    fixture.wait_ready();
    let is_done = AtomicBool::new(false);
    let losses = thread::scope(|scope| {
        scope.spawn(|| gate.close_in_turn(&is_done));
        let entry = fixture.callers;
        let callers: Vec<_> = ROUTES
            .iter()
            .flat_map(|(prefix, _)| (0..CALLERS).map(move |caller| (prefix, caller)))
            .map(|(prefix, caller)| scope.spawn(move || call(entry, prefix, caller)))
            .collect();
        // In the second silence; the third ends half a second before the entry has to be idle.
        thread::sleep(Duration::from_millis(1_800));
        configuration(2).apply(&fixture.store);
        fixture.signal("-HUP");
        fixture.signal("-TERM");
        let losses: Vec<_> = callers.into_iter().map(ScopedJoinHandle::join).collect();
        is_done.store(true, Ordering::Relaxed);
        losses
            .into_iter()
            .flat_map(|losses| losses.expect("the caller ends"))
            .collect::<Vec<Loss>>()
    });
    wait_until("the entry exits", || fixture.has_exited());
    let log = fixture.log();
    assert!(log.matches("request: ended").count() > 80, "the callers are served");
    // A request that the log does not name crossed the close of its connection.
    let read: Vec<&Loss> = losses.iter().filter(|(id, _)| log.contains(id)).collect();
    assert!(read.is_empty(), "{read:#?}");
}
