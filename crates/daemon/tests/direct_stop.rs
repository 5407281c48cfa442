//! Planned stops of a direct entry cut no request.

mod direct;

use direct::{World, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding, send_request,
};
use std::{
    thread,
    time::{Duration, Instant},
};

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "stream", "writers");
    drafts.request_timeout_ms = 20_000;
    ConfigurationSpec {
        version: 1,
        routes: vec![drafts, RouteSpec::new("/look/", "safe", "records")],
        organisations: Vec::new(),
    }
}

fn slow_stream(seconds: u64) -> Behaviour {
    let events = seconds * 20;
    let interval = Duration::from_millis(50);
    Behaviour::Stream {
        events,
        sent: events,
        interval,
        ending: StreamEnding::Complete,
        confidence: 90,
    }
}

fn draft(id: &str) -> CallerRequest {
    let mut ask = CallerRequest::new("POST", "/drafts/1", id);
    ask.deadline_ms = 20_000;
    ask
}

#[test]
fn open_stream_ends_whole() {
    let mut world = World::start("stop_stream", &configuration());
    world.add_replica("r-1", "writers", slow_stream(2));
    world.add_replica("r-2", "records", Behaviour::Respond(200, Duration::ZERO));
    world.wait_ready();
    let entry = world.callers;
    let caller = thread::spawn(move || send_request(entry, &draft("d1")));
    thread::sleep(Duration::from_millis(300));
    world.signal("-TERM");
    thread::sleep(Duration::from_millis(200));
    assert!(!world.is_ready(), "not ready at once");
    let late = world.ask(&CallerRequest::new("GET", "/look/1", "id-1"));
    assert_eq!(late.status, 200, "a request that comes before the balancer knows is served");
    let answer = caller.join().expect("the caller ends");
    assert!(answer.is_complete && answer.event_ids().len() == 40, "{answer:?}");
    wait_until("the entry ends within its grace time", || world.has_ended());
}

#[test]
fn request_that_the_stop_would_cut_is_refused() {
    let world = World::start("stop_late", &configuration());
    let replica = world.add_replica("r-1", "writers", slow_stream(6));
    let other = world.add_replica("r-2", "records", Behaviour::Respond(200, Duration::ZERO));
    world.wait_ready();
    let entry = world.callers;
    // An open stream keeps the process until the end of its grace time of four seconds.
    let _caller = thread::spawn(move || send_request(entry, &draft("d0")));
    thread::sleep(Duration::from_millis(200));
    let stopped = Instant::now();
    world.signal("-TERM");
    thread::sleep(Duration::from_millis(2_900));
    let answer = world.ask(&draft("d1"));
    assert_eq!((answer.status, answer.error_kind().as_str()), (503, "draining"), "{answer:?}");
    assert!(answer.retry_after().is_some());
    assert!(replica.received_requests().iter().all(|arrival| arrival.id != "d1"));
    assert!(stopped.elapsed() < Duration::from_secs(4));
    assert_eq!(other.run_count(), 0);
}

#[test]
fn request_that_comes_as_the_process_ends() {
    for round in 0..3 {
        let mut world = World::start(&format!("stop_end{round}"), &configuration());
        let slow = Behaviour::Respond(200, Duration::from_millis(40));
        let replica = world.add_replica("r-1", "records", slow);
        world.wait_ready();
        let entry = world.callers;
        world.signal("-TERM");
        // The process has nothing to do, and may end once the balancer knows.
        thread::sleep(Duration::from_millis(2_300));
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                thread::spawn(move || {
                    let asks = (0..40).map(|number| {
                        thread::sleep(Duration::from_millis(45));
                        let id = format!("{caller}-{number}");
                        (
                            id.clone(),
                            send_request(entry, &CallerRequest::new("GET", "/look/1", &id)).status,
                        )
                    });
                    asks.collect::<Vec<_>>()
                })
            })
            .collect();
        let answers: Vec<(String, u16)> =
            callers.into_iter().flat_map(|caller| caller.join().expect("it ends")).collect();
        wait_until("the entry ends", || world.has_ended());
        for arrival in replica.received_requests() {
            let status =
                answers.iter().find(|(id, _)| *id == arrival.id).map(|(_, status)| *status);
            assert_eq!(status, Some(200), "{arrival:?}");
        }
    }
}

#[test]
fn hangup_reads_the_settings_again() {
    let mut world = World::start("hangup", &configuration());
    world.add_replica("r-2", "records", Behaviour::Respond(200, Duration::ZERO));
    world.wait_ready();
    for number in 0..5 {
        world.signal("-HUP");
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("id-{number}")));
        assert_eq!(answer.status, 200);
    }
    wait_until("it is logged", || world.log().contains("settings reloaded"));
    assert!(!world.has_ended());
}
