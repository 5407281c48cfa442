//! A rollout does not succeed while requests run on the old version and time is left.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec,
};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Long enough for a last phase of 1.2 s, in which no request goes to the old version.
const SECONDS: f64 = 24.0;
const CALLERS: u32 = 10;
const TIME_OF_REQUEST: Duration = Duration::from_millis(700);
/// Longest time after the success in which a response that was on its way arrives.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// Sends requests one after another; returns their responses, and when each was sent and received.
fn keep_sending(
    fixture: &EntryFixture,
    caller: u32,
    done: &AtomicBool,
) -> Vec<(Instant, Instant, CallerResponse)> {
    thread::sleep(TIME_OF_REQUEST * caller / CALLERS);
    let mut responses = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let id = format!("note-{caller}-{}", responses.len());
        let mut request = CallerRequest::new("POST", "/notes/1", &id);
        request.deadline_ms = 5_000;
        let sent_at = Instant::now();
        let response = fixture.send(&request);
        responses.push((sent_at, Instant::now(), response));
    }
    responses
}

/// Runs a rollout under load; returns how many requests still ran on the old version when it
/// succeeded.
fn running_at_success(test: &str, is_busy_before: bool) -> usize {
    let mut route = RouteSpec::new("/notes/", "unsafe", "writers");
    route.request_timeout_ms = 5_000;
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    let behaviour = Behaviour::Respond(200, TIME_OF_REQUEST);
    let old = fixture.add_version("r-old", "writers", "v1", behaviour.clone());
    fixture.wait_for_replica(&old);
    fixture.wait_ready();
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let (fixture, done) = (&fixture, &done);
        let start_callers = || {
            let start = |caller| scope.spawn(move || keep_sending(fixture, caller, done));
            (0..CALLERS).map(start).collect::<Vec<_>>()
        };
        let mut callers = Vec::new();
        if is_busy_before {
            callers = start_callers();
            thread::sleep(2 * TIME_OF_REQUEST);
        }
        let _new = fixture.add_version("r-new", "writers", "v2", behaviour);
        fixture.start_rollout("writers", "v2", SECONDS);
        wait_until("the entry has received the rollout", || {
            fixture.decisions().contains("rollout: received")
        });
        if !is_busy_before {
            callers = start_callers();
        }
        wait_until("the rollout succeeds", || fixture.rollout_state("writers") == "succeeded");
        let succeeded_at = Instant::now();
        done.store(true, Ordering::Relaxed);
        let responses = callers.into_iter().flat_map(|caller| caller.join().expect("it ends"));
        let ran = |(sent_at, received_at, response): &(Instant, Instant, CallerResponse)| {
            *sent_at < succeeded_at
                && *received_at > succeeded_at + DELIVERY_TIME
                && response.body.contains("r-old")
        };
        responses.filter(ran).count()
    })
}

#[test]
fn rollout_waits_for_requests_that_began_after_its_order() {
    assert_eq!(running_at_success("success_after", false), 0);
}

#[test]
fn rollout_waits_for_requests_that_began_before_its_order() {
    assert_eq!(running_at_success("success_before", true), 0);
}
