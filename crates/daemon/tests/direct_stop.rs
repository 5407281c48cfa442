//! A graceful stop of a direct entry interrupts no request.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding, head_lines, send_request,
};
use std::{
    io::{Read, Write},
    net::TcpStream,
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
    let mut request = CallerRequest::new("POST", "/drafts/1", id);
    request.deadline_ms = 20_000;
    request
}

#[test]
fn open_stream_completes_during_a_stop() {
    let mut fixture = EntryFixture::start("stop_stream", &configuration());
    fixture.add_replica("r-1", "writers", slow_stream(2));
    fixture.add_replica("r-2", "records", Behaviour::Respond(200, Duration::ZERO));
    fixture.wait_ready();
    let entry = fixture.callers;
    let caller = thread::spawn(move || send_request(entry, &draft("d1")));
    thread::sleep(Duration::from_millis(300));
    fixture.signal("-TERM");
    thread::sleep(Duration::from_millis(200));
    assert!(!fixture.is_ready(), "an entry that is asked to stop is no longer ready");
    let late_response = fixture.send(&CallerRequest::new("GET", "/look/1", "id-1"));
    assert_eq!(
        late_response.status, 200,
        "a request is served before the load balancer has noticed the shutdown"
    );
    let response = caller.join().expect("the caller ends");
    assert!(response.is_complete && response.event_ids().len() == 40, "{response:?}");
    wait_until("the entry exits within its grace time", || fixture.has_exited());
}

#[test]
fn request_that_the_stop_would_interrupt_is_refused() {
    let fixture = EntryFixture::start("stop_late", &configuration());
    let replica = fixture.add_replica("r-1", "writers", slow_stream(6));
    let other = fixture.add_replica("r-2", "records", Behaviour::Respond(200, Duration::ZERO));
    fixture.wait_ready();
    let entry = fixture.callers;
    // An open stream keeps the process running until the end of its grace time of four seconds.
    let _caller = thread::spawn(move || send_request(entry, &draft("d0")));
    thread::sleep(Duration::from_millis(200));
    let stopped = Instant::now();
    fixture.signal("-TERM");
    thread::sleep(Duration::from_millis(2_900));
    let response = fixture.send(&draft("d1"));
    assert_eq!(
        (response.status, response.error_kind().as_str()),
        (503, "draining"),
        "{response:?}"
    );
    assert!(response.retry_after().is_some());
    assert!(replica.received_requests().iter().all(|received| received.id != "d1"));
    assert!(stopped.elapsed() < Duration::from_secs(4));
    assert_eq!(other.run_count(), 0);
}

#[test]
fn requests_that_run_as_the_process_exits_get_responses() {
    for round in 0..3 {
        let mut fixture = EntryFixture::start(&format!("stop_end{round}"), &configuration());
        let slow = Behaviour::Respond(200, Duration::from_millis(40));
        let replica = fixture.add_replica("r-1", "records", slow);
        fixture.wait_ready();
        let entry = fixture.callers;
        fixture.signal("-TERM");
        // The process is idle and may exit once the load balancer has noticed the shutdown.
        thread::sleep(Duration::from_millis(2_300));
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                thread::spawn(move || {
                    let requests = (0..40).map(|number| {
                        thread::sleep(Duration::from_millis(45));
                        let id = format!("{caller}-{number}");
                        (
                            id.clone(),
                            send_request(entry, &CallerRequest::new("GET", "/look/1", &id)).status,
                        )
                    });
                    requests.collect::<Vec<_>>()
                })
            })
            .collect();
        let responses: Vec<(String, u16)> =
            callers.into_iter().flat_map(|caller| caller.join().expect("it ends")).collect();
        wait_until("the entry exits", || fixture.has_exited());
        for received in replica.received_requests() {
            let status =
                responses.iter().find(|(id, _)| *id == received.id).map(|(_, status)| *status);
            assert_eq!(status, Some(200), "{received:?}");
        }
    }
}

#[test]
fn hangup_signal_reloads_the_settings() {
    let mut fixture = EntryFixture::start("hangup", &configuration());
    fixture.add_replica("r-2", "records", Behaviour::Respond(200, Duration::ZERO));
    fixture.wait_ready();
    for number in 0..5 {
        fixture.signal("-HUP");
        let response = fixture.send(&CallerRequest::new("GET", "/look/1", &format!("id-{number}")));
        assert_eq!(response.status, 200);
    }
    wait_until("the reload is logged", || fixture.log().contains("settings reloaded"));
    assert!(!fixture.has_exited());
}

#[test]
fn request_that_crosses_a_stop_does_not_reset_the_response_before_it() {
    let fixture = EntryFixture::start("pipelined", &configuration());
    let replica =
        fixture.add_replica("r-1", "records", Behaviour::Respond(200, Duration::from_millis(300)));
    fixture.wait_ready();
    fixture.wait_for_replica(&replica);
    let mut caller = TcpStream::connect(fixture.callers).expect("the entry accepts connections");
    fixture.signal("-TERM");
    wait_until("the entry is stopping", || !fixture.is_ready());
    let first = head_lines("GET", "/look/1", "look-1") + "\r\n";
    caller.write_all(first.as_bytes()).expect("the request is sent");
    wait_until("the replica runs the request", || replica.run_count() > 0);
    let second = head_lines("GET", "/look/1", "look-2") + "\r\n";
    caller.write_all(second.as_bytes()).expect("the request is sent");
    // The caller reads late, so that a reset would arrive first.
    thread::sleep(Duration::from_millis(600));
    let mut response = String::new();
    caller.read_to_string(&mut response).expect("the connection is closed without a reset");
    assert!(response.ends_with("answer of r-1 to look-1"), "{response}");
}
