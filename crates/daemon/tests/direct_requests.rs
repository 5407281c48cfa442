//! Requests through a direct entry: whole answers, at most once, true refusals.

mod direct;

use direct::{World, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StreamEnding, forged_headers,
    head_lines, send_and_disconnect, send_raw,
};
use std::{io::Write, net::TcpStream, thread, time::Duration};

const AT_ONCE: Behaviour = Behaviour::Respond(200, Duration::ZERO);

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.models = vec!["small".into(), "large".into()];
    drafts.request_timeout_ms = 5_000;
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    let mut hasty = RouteSpec::new("/hasty/", "unsafe", "records");
    hasty.request_timeout_ms = 400;
    ConfigurationSpec {
        version: 3,
        routes: vec![
            RouteSpec::new("/records/", "unsafe", "records"),
            RouteSpec::new("/look/", "safe", "records"),
            RouteSpec::new("/tail/", "stream", "writers"),
            drafts,
            members,
            hasty,
        ],
        organisations: vec![("huts".into(), vec!["key-1".into()])],
    }
}

fn stream(events: u64, sent: u64, ending: StreamEnding, confidence: u8) -> Behaviour {
    Behaviour::Stream { events, sent, interval: Duration::from_millis(5), ending, confidence }
}

fn draft(id: &str) -> CallerRequest {
    let mut ask = CallerRequest::new("POST", "/drafts/1", id);
    ask.prompt = vec![(format!("shared-{id}"), 500), (id.into(), 100)];
    ask.deadline_ms = 5_000;
    ask
}

#[test]
fn answer_of_the_replica_unchanged() {
    let world = World::start("unchanged", &configuration());
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    let mut ask = CallerRequest::new("POST", "/records/new?x=1", "id-1");
    ask.body = b"first ascent".to_vec();
    ask.extra = forged_headers();
    let answer = world.ask(&ask);
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer of r-1 to id-1"));
    assert!(answer.is_signed() && answer.is_complete);
    let arrival = &replica.received_requests()[0];
    assert_eq!(
        (arrival.target.as_str(), arrival.body.as_slice()),
        ("/records/new?x=1", &b"first ascent"[..])
    );
    assert_eq!((arrival.reserved.len(), arrival.organisation.as_deref()), (0, None));
    assert!(arrival.time_left_ms.is_some_and(|rest| rest <= 1_500), "{arrival:?}");
}

#[test]
fn success_without_a_signature_is_none() {
    let world = World::start("unsigned", &configuration());
    world.add_replica("r-1", "records", Behaviour::Unsigned);
    let signed = world.add_replica("r-2", "records", AT_ONCE);
    world.wait_ready();
    world.wait_known(&signed);
    for number in 0..6 {
        let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("look-{number}")));
        assert_eq!((answer.status, answer.is_signed()), (200, true), "{answer:?}");
    }
    signed.set_behaviour(Behaviour::Unsigned);
    for number in 0..4 {
        let answer =
            world.ask(&CallerRequest::new("POST", "/records/new", &format!("once-{number}")));
        assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    }
}

#[test]
fn once_at_most_after_a_lost_answer() {
    let world = World::start("lost_answer", &configuration());
    let replicas = [
        world.add_replica("r-1", "records", Behaviour::CloseWithoutResponse),
        world.add_replica("r-2", "records", Behaviour::CloseWithoutResponse),
    ];
    world.wait_ready();
    for number in 0..6 {
        let answer =
            world.ask(&CallerRequest::new("POST", "/records/new", &format!("id-{number}")));
        assert_eq!(answer.status, 502, "the outcome is unknown: {answer:?}");
        assert_eq!(answer.retry_after(), None);
    }
    assert_eq!(replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>(), 6);
}

#[test]
fn repeated_after_a_refusal_only() {
    let world = World::start("refusal", &configuration());
    let refusing = world.add_replica("r-1", "records", Behaviour::Refuse);
    let sound = world.add_replica("r-2", "records", AT_ONCE);
    world.wait_ready();
    world.wait_known(&sound);
    for number in 0..8 {
        let answer =
            world.ask(&CallerRequest::new("POST", "/records/new", &format!("id-{number}")));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!((refusing.run_count(), sound.run_count()), (0, 8));
    sound.set_behaviour(Behaviour::Refuse);
    let answer = world.ask(&CallerRequest::new("POST", "/records/new", "id-last"));
    assert_eq!((answer.status, answer.error_kind().as_str()), (503, "no_replica"));
    assert!(answer.retry_after().is_some_and(|time| time > 0.0 && time <= 0.5), "{answer:?}");
    assert_eq!(sound.run_count(), 8, "a refused request has not run");
}

#[test]
fn repeatable_goes_on_elsewhere() {
    let broken = [
        Behaviour::CloseWithoutResponse,
        Behaviour::TruncatedBody,
        Behaviour::Respond(500, Duration::ZERO),
        Behaviour::Hang,
    ];
    for (number, broken) in broken.into_iter().enumerate() {
        let world = World::start(&format!("repeatable{number}"), &configuration());
        let bad = world.add_replica("r-1", "records", broken.clone());
        let good = world.add_replica("r-2", "records", AT_ONCE);
        world.wait_ready();
        world.wait_known(&bad);
        world.wait_known(&good);
        for request in 0..12 {
            let answer = world.ask(&CallerRequest::new("GET", "/look/1", &format!("id-{request}")));
            assert_eq!(answer.status, 200, "{broken:?}: {answer:?}");
            assert_eq!(answer.body, format!("answer of r-2 to id-{request}"));
        }
        assert!(!bad.received_requests().is_empty() && good.run_count() == 12, "{broken:?}");
    }
}

#[test]
fn refusal_after_a_lost_answer_promises_nothing() {
    let world = World::start("no_promise", &configuration());
    let replica = world.add_replica("r-1", "records", Behaviour::CloseWithoutResponse);
    world.wait_ready();
    let answer = world.ask(&CallerRequest::new("GET", "/look/1", "id-1"));
    assert_eq!(replica.run_count(), 1);
    assert_eq!((answer.status, answer.retry_after()), (502, None), "{answer:?}");
}

#[test]
fn answer_to_another_request_is_dropped() {
    let world = World::start("crossed", &configuration());
    world.add_replica("r-1", "records", Behaviour::WrongResponseFirst);
    world.wait_ready();
    let answer = world.ask(&CallerRequest::new("POST", "/records/new", "id-1"));
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer of r-1 to id-1"));
}

#[test]
fn address_of_another_replica() {
    let world = World::start("reused_address", &configuration());
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    // The list still names the replica that had this address before.
    let mut entry = ibissail_platform_standin::replica_spec(&replica, "records", "v1", false);
    entry["seq"] = 2.into();
    world.store.put("servers", "r-0", &entry);
    world.store.remove("servers", "r-1");
    wait_until("the old name is used", || {
        world.ask(&CallerRequest::new("GET", "/look/1", "id-1")).status == 503
    });
    let answer = world.ask(&CallerRequest::new("POST", "/records/new", "id-2"));
    assert_eq!(answer.status, 503);
    assert!(replica.received_requests().iter().all(|arrival| arrival.id != "id-2" || !arrival.ran));
}

#[test]
fn time_limit_of_the_route() {
    let world = World::start("time_limit", &configuration());
    let replica = world.add_replica("r-1", "records", Behaviour::Hang);
    world.wait_ready();
    let started = std::time::Instant::now();
    let answer = world.ask(&CallerRequest::new("POST", "/hasty/new", "id-1"));
    assert_eq!((answer.status, answer.error_kind().as_str()), (504, "timeout"));
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
    assert_eq!(replica.received_requests().len(), 1);
}

#[test]
fn stream_goes_on_after_the_last_whole_event() {
    let world = World::start("resumed", &configuration());
    let torn = world.add_replica("r-1", "writers", stream(12, 5, StreamEnding::Truncated, 90));
    let sound = world.add_replica("r-2", "writers", stream(12, 12, StreamEnding::Complete, 90));
    world.wait_ready();
    world.wait_known(&torn);
    world.wait_known(&sound);
    // Each prompt has a replica of its own, until the first is torn.
    for number in 0..20 {
        let answer = world.ask(&draft(&format!("d{number}")));
        assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
        assert_eq!(answer.event_ids(), (1..=12).collect::<Vec<u64>>());
        if !torn.received_requests().is_empty() {
            break;
        }
    }
    assert_eq!(torn.received_requests().len(), 1);
    assert!(sound.received_requests().iter().any(|arrival| arrival.resume_after == Some(5)));
}

#[test]
fn stream_that_may_not_be_repeated_looks_cut() {
    let world = World::start("cut", &configuration());
    let replicas = [
        world.add_replica("r-1", "writers", stream(12, 5, StreamEnding::Truncated, 90)),
        world.add_replica("r-2", "writers", stream(12, 5, StreamEnding::Truncated, 90)),
    ];
    world.wait_ready();
    let answer = world.ask(&CallerRequest::new("POST", "/tail/1", "id-1"));
    assert_eq!((answer.status, answer.is_complete), (200, false), "{answer:?}");
    assert_eq!(answer.event_ids(), vec![1, 2, 3, 4, 5]);
    assert_eq!(replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>(), 1);
}

#[test]
fn unconfident_answer_is_replaced_by_the_largest_model() {
    let world = World::start("cascade", &configuration());
    let replica = world.add_replica("r-1", "writers", stream(6, 6, StreamEnding::Complete, 10));
    world.wait_ready();
    let models = |from: usize| -> Vec<String> {
        replica.received_requests()[from..]
            .iter()
            .filter_map(|arrival| arrival.model.clone())
            .collect()
    };
    let answer = world.ask(&draft("d1"));
    assert!(answer.is_complete, "{answer:?}");
    assert_eq!(answer.event_ids(), (1..=6).collect::<Vec<u64>>());
    assert_eq!(models(0), ["small", "large"], "the same replica may run the larger model");
    replica.set_behaviour(stream(6, 6, StreamEnding::Complete, 95));
    assert!(world.ask(&draft("d2")).is_complete);
    assert_eq!(models(2), ["small"]);
}

#[test]
fn unconfident_answer_is_better_than_none() {
    let world = World::start("budget", &configuration());
    let replica = world.add_replica("r-1", "writers", stream(6, 6, StreamEnding::Complete, 10));
    world.wait_ready();
    // More requests than the retry budget has repeats for.
    for number in 0..60 {
        let answer = world.ask(&draft(&format!("d{number}")));
        assert!(answer.status == 200 && answer.is_complete, "{number}: {answer:?}");
    }
    let repeats = replica.run_count() - 60;
    assert!((20..54).contains(&repeats), "{repeats} repeats for 60 requests");
}

#[test]
fn stream_of_a_caller_that_left_is_cancelled() {
    let world = World::start("left", &configuration());
    let slow = Behaviour::Stream {
        events: 400,
        sent: 400,
        interval: Duration::from_millis(20),
        ending: StreamEnding::Complete,
        confidence: 90,
    };
    let replica = world.add_replica("r-1", "writers", slow);
    world.wait_ready();
    send_and_disconnect(world.callers, &draft("d1"), Duration::from_millis(300));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(replica.cancelled_streams(), 1, "the replica stops within half a second");
}

#[test]
fn keys_are_checked_and_kept() {
    let world = World::start("keys", &configuration());
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    let mut ask = CallerRequest::new("GET", "/members/1", "id-1");
    assert_eq!(world.ask(&ask).status, 401);
    ask.key = Some("forged".into());
    assert_eq!(world.ask(&ask).status, 401);
    ask.key = Some("key-1".into());
    assert_eq!(world.ask(&ask).status, 200);
    let arrival = &replica.received_requests()[0];
    assert_eq!((arrival.organisation.as_deref(), arrival.has_key), (Some("huts"), false));
    assert!(!world.log().contains("key-1"), "keys never reach the log");
}

#[test]
fn bad_input_has_one_clear_answer() {
    let world = World::start("bad_input", &configuration());
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
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
        let answer = send_raw(world.callers, bytes.as_bytes());
        assert_eq!(answer.status, status, "{bytes:.120}");
    }
    assert_eq!(replica.received_requests().len(), 0, "nothing reaches a replica");
    let answer = world.ask(&CallerRequest::new("POST", "/unknown/", "id-2"));
    assert_eq!((answer.status, answer.error_kind().as_str()), (404, "not_found"));
}

/// Limits of the configuration for the head and the body of a request, in kB.
const LIMITS_KB: u64 = 16 + 64;
/// Callers that never finish their request, and callers that never stop sending.
const UNFINISHED: u64 = 100;
const ENDLESS: u64 = 20;

#[test]
fn memory_stays_bounded_under_bad_input() {
    let world = World::start("bad_memory", &configuration());
    let replica = world.add_replica("r-1", "records", AT_ONCE);
    world.wait_ready();
    let head = head_lines("POST", "/records/new", "id-1");
    let before = world.peak_memory_kb();
    let unfinished = format!("{head}Content-Length: 65000\r\n\r\n{}", "a".repeat(64_000));
    let waiting: Vec<TcpStream> = (0..UNFINISHED)
        .map(|_| {
            let mut stream = TcpStream::connect(world.callers).expect("a connection");
            stream.write_all(unfinished.as_bytes()).expect("it is taken");
            stream
        })
        .collect();
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    for _ in 0..ENDLESS {
        let mut stream = TcpStream::connect(world.callers).expect("a connection");
        let begun =
            stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes());
        begun.expect("it is taken");
        // 16 MB at most; the entry closes long before.
        let sent = (0..256).take_while(|_| stream.write_all(chunk.as_bytes()).is_ok()).count();
        assert!(sent < 256, "the entry read all of it");
    }
    // A buffer that grows holds up to twice what is in it.
    let bound = 2 * LIMITS_KB * (UNFINISHED + ENDLESS);
    let grown = world.peak_memory_kb() - before;
    assert!(grown < bound, "{grown} kB more");
    drop(waiting);
    assert_eq!(replica.received_requests().len(), 0, "nothing reaches a replica");
    assert_eq!(world.ask(&CallerRequest::new("POST", "/records/new", "id-2")).status, 200);
}
