//! Requests through a direct entry: complete responses, at-most-once execution, refusals only of
//! requests that have not run.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding, forged_headers,
    head_lines, send_and_disconnect, send_raw,
};
use std::{io::Write, net::TcpStream, thread, time::Duration};

const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::ZERO);

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.models = vec!["small".into(), "large".into()];
    drafts.request_timeout_ms = 5_000;
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    let mut short_timeout = RouteSpec::new("/short/", "unsafe", "records");
    short_timeout.request_timeout_ms = 400;
    ConfigurationSpec {
        version: 3,
        routes: vec![
            RouteSpec::new("/records/", "unsafe", "records"),
            RouteSpec::new("/look/", "safe", "records"),
            RouteSpec::new("/tail/", "stream", "writers"),
            drafts,
            members,
            short_timeout,
        ],
        organisations: vec![("huts".into(), vec!["key-1".into()])],
    }
}

fn stream(events: u64, sent: u64, ending: StreamEnding, confidence: u8) -> Behaviour {
    Behaviour::Stream { events, sent, interval: Duration::from_millis(5), ending, confidence }
}

fn draft(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", id);
    request.prompt = vec![(format!("shared-{id}"), 500), (id.into(), 100)];
    request.deadline_ms = 5_000;
    request
}

#[test]
fn response_of_the_replica_is_forwarded_unchanged() {
    let fixture = EntryFixture::start("unchanged", &configuration());
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", "/records/new?x=1", "id-1");
    request.body = b"first ascent".to_vec();
    request.extra = forged_headers();
    let response = fixture.send(&request);
    assert_eq!((response.status, response.body.as_str()), (200, "answer of r-1 to id-1"));
    assert!(response.is_signed() && response.is_complete);
    let received = &replica.received_requests()[0];
    assert_eq!(
        (received.target.as_str(), received.body.as_slice()),
        ("/records/new?x=1", &b"first ascent"[..])
    );
    assert_eq!((received.reserved.len(), received.organisation.as_deref()), (0, None));
    assert!(received.time_left_ms.is_some_and(|time_left| time_left <= 1_500), "{received:?}");
}

#[test]
fn success_without_a_signature_is_not_forwarded() {
    let fixture = EntryFixture::start("unsigned", &configuration());
    fixture.add_replica("r-1", "records", Behaviour::Unsigned);
    let signed = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_ready();
    fixture.wait_for_replica(&signed);
    for number in 0..6 {
        let response =
            fixture.send(&CallerRequest::new("GET", "/look/1", &format!("look-{number}")));
        assert_eq!((response.status, response.is_signed()), (200, true), "{response:?}");
    }
    signed.set_behaviour(Behaviour::Unsigned);
    for number in 0..4 {
        let response =
            fixture.send(&CallerRequest::new("POST", "/records/new", &format!("once-{number}")));
        assert_eq!(response.status, 502, "it may have run: {response:?}");
    }
}

#[test]
fn request_runs_at_most_once_after_a_lost_response() {
    let fixture = EntryFixture::start("lost_response", &configuration());
    let replicas = [
        fixture.add_replica("r-1", "records", Behaviour::CloseWithoutResponse),
        fixture.add_replica("r-2", "records", Behaviour::CloseWithoutResponse),
    ];
    fixture.wait_ready();
    for number in 0..6 {
        let response =
            fixture.send(&CallerRequest::new("POST", "/records/new", &format!("id-{number}")));
        assert_eq!(response.status, 502, "the outcome is unknown: {response:?}");
        assert_eq!(response.retry_after(), None);
    }
    assert_eq!(replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>(), 6);
}

#[test]
fn non_repeatable_request_is_retried_only_after_a_refusal() {
    let fixture = EntryFixture::start("refusal", &configuration());
    let refusing = fixture.add_replica("r-1", "records", Behaviour::Refuse);
    let healthy = fixture.add_replica("r-2", "records", OK_RESPONSE);
    fixture.wait_ready();
    fixture.wait_for_replica(&healthy);
    for number in 0..8 {
        let response =
            fixture.send(&CallerRequest::new("POST", "/records/new", &format!("id-{number}")));
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!((refusing.run_count(), healthy.run_count()), (0, 8));
    healthy.set_behaviour(Behaviour::Refuse);
    let response = fixture.send(&CallerRequest::new("POST", "/records/new", "id-last"));
    assert_eq!((response.status, response.error_kind().as_str()), (503, "no_replica"));
    assert!(response.retry_after().is_some_and(|time| time > 0.0 && time <= 0.5), "{response:?}");
    assert_eq!(healthy.run_count(), 8, "a refused request has not run");
}

#[test]
fn repeatable_request_is_retried_at_another_replica() {
    let broken = [
        Behaviour::CloseWithoutResponse,
        Behaviour::TruncatedBody,
        Behaviour::Respond(500, Duration::ZERO),
        Behaviour::Hang,
    ];
    for (number, broken) in broken.into_iter().enumerate() {
        let fixture = EntryFixture::start(&format!("repeatable{number}"), &configuration());
        let bad = fixture.add_replica("r-1", "records", broken.clone());
        let good = fixture.add_replica("r-2", "records", OK_RESPONSE);
        fixture.wait_ready();
        fixture.wait_for_replica(&bad);
        fixture.wait_for_replica(&good);
        for request in 0..12 {
            let response =
                fixture.send(&CallerRequest::new("GET", "/look/1", &format!("id-{request}")));
            assert_eq!(response.status, 200, "{broken:?}: {response:?}");
            assert_eq!(response.body, format!("answer of r-2 to id-{request}"));
        }
        assert!(!bad.received_requests().is_empty() && good.run_count() == 12, "{broken:?}");
    }
}

#[test]
fn error_after_a_lost_response_has_no_retry_time() {
    let fixture = EntryFixture::start("no_retry_time", &configuration());
    let replica = fixture.add_replica("r-1", "records", Behaviour::CloseWithoutResponse);
    fixture.wait_ready();
    let response = fixture.send(&CallerRequest::new("GET", "/look/1", "id-1"));
    assert_eq!(replica.run_count(), 1);
    assert_eq!((response.status, response.retry_after()), (502, None), "{response:?}");
}

#[test]
fn response_to_another_request_is_skipped() {
    let fixture = EntryFixture::start("wrong_response", &configuration());
    fixture.add_replica("r-1", "records", Behaviour::WrongResponseFirst);
    fixture.wait_ready();
    let response = fixture.send(&CallerRequest::new("POST", "/records/new", "id-1"));
    assert_eq!((response.status, response.body.as_str()), (200, "answer of r-1 to id-1"));
}

#[test]
fn request_to_a_reused_address_is_refused() {
    let fixture = EntryFixture::start("reused_address", &configuration());
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    // The list still names the replica that used this address before.
    let mut record = ibissail_platform_standin::replica_spec(&replica, "records", "v1", false);
    record["seq"] = 2.into();
    fixture.store.put("servers", "r-0", &record);
    fixture.store.remove("servers", "r-1");
    wait_until("the old name is used", || {
        fixture.send(&CallerRequest::new("GET", "/look/1", "id-1")).status == 503
    });
    let response = fixture.send(&CallerRequest::new("POST", "/records/new", "id-2"));
    assert_eq!(response.status, 503);
    assert!(
        replica.received_requests().iter().all(|received| received.id != "id-2" || !received.ran)
    );
}

#[test]
fn timeout_of_the_route_is_enforced() {
    let fixture = EntryFixture::start("route_timeout", &configuration());
    let replica = fixture.add_replica("r-1", "records", Behaviour::Hang);
    fixture.wait_ready();
    let started = std::time::Instant::now();
    let response = fixture.send(&CallerRequest::new("POST", "/short/new", "id-1"));
    assert_eq!((response.status, response.error_kind().as_str()), (504, "timeout"));
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
    assert_eq!(replica.received_requests().len(), 1);
}

#[test]
fn stream_resumes_after_the_last_complete_event() {
    let fixture = EntryFixture::start("resumed", &configuration());
    let truncated =
        fixture.add_replica("r-1", "writers", stream(12, 5, StreamEnding::Truncated, 90));
    let healthy = fixture.add_replica("r-2", "writers", stream(12, 12, StreamEnding::Complete, 90));
    fixture.wait_ready();
    fixture.wait_for_replica(&truncated);
    fixture.wait_for_replica(&healthy);
    // Each prompt prefers one replica; the loop ends once the one that truncates its stream was
    // used.
    for number in 0..20 {
        let response = fixture.send(&draft(&format!("d{number}")));
        assert!(response.status == 200 && response.is_complete, "{response:?}");
        assert_eq!(response.event_ids(), (1..=12).collect::<Vec<u64>>());
        if !truncated.received_requests().is_empty() {
            break;
        }
    }
    assert_eq!(truncated.received_requests().len(), 1);
    assert!(healthy.received_requests().iter().any(|received| received.resume_after == Some(5)));
}

#[test]
fn non_repeatable_stream_is_truncated() {
    let fixture = EntryFixture::start("truncated", &configuration());
    let replicas = [
        fixture.add_replica("r-1", "writers", stream(12, 5, StreamEnding::Truncated, 90)),
        fixture.add_replica("r-2", "writers", stream(12, 5, StreamEnding::Truncated, 90)),
    ];
    fixture.wait_ready();
    let response = fixture.send(&CallerRequest::new("POST", "/tail/1", "id-1"));
    assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
    assert_eq!(response.event_ids(), vec![1, 2, 3, 4, 5]);
    assert_eq!(replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>(), 1);
}

#[test]
fn unconfident_response_is_replaced_by_the_largest_model() {
    let fixture = EntryFixture::start("cascade", &configuration());
    let replica = fixture.add_replica("r-1", "writers", stream(6, 6, StreamEnding::Complete, 10));
    fixture.wait_ready();
    let models = |from: usize| -> Vec<String> {
        replica.received_requests()[from..]
            .iter()
            .filter_map(|received| received.model.clone())
            .collect()
    };
    let response = fixture.send(&draft("d1"));
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=6).collect::<Vec<u64>>());
    assert_eq!(models(0), ["small", "large"], "the same replica may run the larger model");
    replica.set_behaviour(stream(6, 6, StreamEnding::Complete, 95));
    assert!(fixture.send(&draft("d2")).is_complete);
    assert_eq!(models(2), ["small"]);
}

#[test]
fn unconfident_response_is_kept_without_retry_budget() {
    let fixture = EntryFixture::start("budget", &configuration());
    let replica = fixture.add_replica("r-1", "writers", stream(6, 6, StreamEnding::Complete, 10));
    fixture.wait_ready();
    // More requests than the retry budget has retries for.
    for number in 0..60 {
        let response = fixture.send(&draft(&format!("d{number}")));
        assert!(response.status == 200 && response.is_complete, "{number}: {response:?}");
    }
    let retries = replica.run_count() - 60;
    assert!((20..54).contains(&retries), "{retries} retries for 60 requests");
}

#[test]
fn stream_is_cancelled_when_its_caller_disconnects() {
    let fixture = EntryFixture::start("disconnected", &configuration());
    let slow = Behaviour::Stream {
        events: 400,
        sent: 400,
        interval: Duration::from_millis(20),
        ending: StreamEnding::Complete,
        confidence: 90,
    };
    let replica = fixture.add_replica("r-1", "writers", slow);
    fixture.wait_ready();
    send_and_disconnect(fixture.callers, &draft("d1"), Duration::from_millis(300));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(replica.cancelled_streams(), 1, "the replica stops within half a second");
}

#[test]
fn keys_are_checked_and_not_forwarded() {
    let fixture = EntryFixture::start("keys", &configuration());
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    let mut request = CallerRequest::new("GET", "/members/1", "id-1");
    assert_eq!(fixture.send(&request).status, 401);
    request.key = Some("forged".into());
    assert_eq!(fixture.send(&request).status, 401);
    request.key = Some("key-1".into());
    assert_eq!(fixture.send(&request).status, 200);
    let received = &replica.received_requests()[0];
    assert_eq!((received.organisation.as_deref(), received.has_key), (Some("huts"), false));
    assert!(!fixture.log().contains("key-1"), "keys are never logged");
}

#[test]
fn bad_input_is_refused() {
    let fixture = EntryFixture::start("bad_input", &configuration());
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    let head = head_lines("POST", "/records/new", "id-1");
    let cases = [
        (format!("{head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd"), 400),
        (format!("{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400),
        (format!("{head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 400),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n"), 400),
        (format!("{head}Content-Length: -1\r\n\r\n"), 400),
        (format!("{head}X: {}\r\n\r\n", "a".repeat(20_000)), 431),
        (format!("{head}Content-Length: 70000\r\n\r\n{}", "a".repeat(70_000)), 413),
        ("nonsense\r\n\r\n".to_owned(), 400),
        ("POST /records/new HTTP/1.1\r\nHost: guides.example\r\n\r\n".to_owned(), 400),
        (head.clone(), 408),
    ];
    for (bytes, status) in cases {
        let response = send_raw(fixture.callers, bytes.as_bytes());
        assert_eq!(response.status, status, "{bytes:.120}");
    }
    assert_eq!(replica.received_requests().len(), 0, "nothing reaches a replica");
    let response = fixture.send(&CallerRequest::new("POST", "/unknown/", "id-2"));
    assert_eq!((response.status, response.error_kind().as_str()), (404, "not_found"));
}

/// Limits of the configuration for the head and the body of a request, in kB.
const LIMITS_KB: u64 = 16 + 64;
/// Number of callers that never finish their request.
const UNFINISHED_CALLERS: u64 = 100;
/// Number of callers that never stop sending.
const ENDLESS_CALLERS: u64 = 20;

#[test]
fn memory_stays_bounded_under_bad_input() {
    let fixture = EntryFixture::start("bad_memory", &configuration());
    let replica = fixture.add_replica("r-1", "records", OK_RESPONSE);
    fixture.wait_ready();
    let head = head_lines("POST", "/records/new", "id-1");
    let before = fixture.peak_memory_kb();
    let unfinished = format!("{head}Content-Length: 65000\r\n\r\n{}", "a".repeat(64_000));
    let unfinished_callers: Vec<TcpStream> = (0..UNFINISHED_CALLERS)
        .map(|_| {
            let mut stream = TcpStream::connect(fixture.callers).expect("a connection");
            stream.write_all(unfinished.as_bytes()).expect("the write succeeds");
            stream
        })
        .collect();
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    for _ in 0..ENDLESS_CALLERS {
        let mut stream = TcpStream::connect(fixture.callers).expect("a connection");
        let written =
            stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes());
        written.expect("the write succeeds");
        // 16 MB at most; the entry closes the connection long before.
        let sent = (0..256).take_while(|_| stream.write_all(chunk.as_bytes()).is_ok()).count();
        assert!(sent < 256, "the entry read all of it");
    }
    // A growing buffer allocates up to twice its content.
    let bound = 2 * LIMITS_KB * (UNFINISHED_CALLERS + ENDLESS_CALLERS);
    let grown = fixture.peak_memory_kb() - before;
    assert!(grown < bound, "{grown} kB more");
    drop(unfinished_callers);
    assert_eq!(replica.received_requests().len(), 0, "nothing reaches a replica");
    assert_eq!(fixture.send(&CallerRequest::new("POST", "/records/new", "id-2")).status, 200);
}
