//! Streams whose ids do not rise by one stay whole.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::ops::RangeInclusive;

fn events_text(ids: &[u64]) -> String {
    let events: Vec<_> = ids.iter().map(|id| format!("id: {id}\ndata: word {id}\n\n")).collect();
    events.concat()
}

fn send_unframed(exchange: &mut ScriptedExchange, ids: &[u64]) {
    exchange.send_unframed_head(200);
    exchange.send(&events_text(ids));
}

/// Sends so many requests, one after the other, to an entry whose replicas play a script.
fn send_all<F>(
    test: &str,
    kind: &str,
    replica_ids: &[&str],
    count: usize,
    script: F,
) -> Vec<CallerResponse>
where
    F: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    send_in_turn(test, kind, &["/drafts/"], replica_ids, count, script)
}

/// Sends requests like `send_all`, in turn to routes of one service with these prefixes.
fn send_in_turn<F>(
    test: &str,
    kind: &str,
    prefixes: &[&str],
    replica_ids: &[&str],
    count: usize,
    script: F,
) -> Vec<CallerResponse>
where
    F: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let routes = prefixes.iter().map(|prefix| RouteSpec::new(prefix, kind, "writers")).collect();
    let configuration = ConfigurationSpec { version: 1, routes, organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    let replicas = ScriptedReplicas::new(script);
    for id in replica_ids {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let paths = prefixes.iter().map(|prefix| format!("{prefix}1")).cycle().take(count);
    let requests = paths
        .enumerate()
        .map(|(number, path)| CallerRequest::new("POST", &path, &format!("d-{number}")));
    requests.map(|request| fixture.send(&request)).collect()
}

/// Number of the request that a replica responds to.
fn request_number(exchange: &ScriptedExchange) -> usize {
    exchange.id.trim_start_matches("d-").parse().expect("a number")
}

fn is_whole(response: &CallerResponse, ids: &[u64]) -> bool {
    response.status == 200 && response.is_complete && response.body == events_text(ids)
}

/// Draws the ids of streams, all of them increasing.
fn draw_streams(seed: u64, count: usize, events: RangeInclusive<u64>, step: u64) -> Vec<Vec<u64>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut streams = Vec::new();
    for _ in 0..count {
        let mut last = 0;
        let steps = (0..rng.random_range(events.clone())).map(|_| rng.random_range(1..=step));
        let ids = steps.map(|step| {
            last += step;
            last
        });
        streams.push(ids.collect());
    }
    streams
}

/// Guards against sound streams that lose their last event because their ids rise unevenly.
#[test]
fn streams_are_not_cut_before_their_last_event() {
    for kind in ["stream", "resumable"] {
        for (name, streams) in [
            ("pairs", vec![vec![10, 25]; 8]),
            ("growing", vec![vec![2, 3, 5, 9, 17, 33]; 8]),
            ("tail", vec![vec![1, 2, 3, 4, 10]; 8]),
            ("single", vec![vec![40]; 8]),
            ("drawn", draw_streams(1, 40, 2..=6, 9)),
            ("drawn_single", draw_streams(2, 40, 1..=1, 60)),
            ("drawn_wide", draw_streams(3, 40, 2..=6, 200)),
        ] {
            let (count, sent) = (streams.len(), streams.clone());
            let test = format!("uneven_{kind}_{name}");
            let responses = send_all(&test, kind, &["r-1", "r-2"], count, move |exchange| {
                let ids = &sent[request_number(exchange)];
                let rest = ids.iter().position(|id| *id > exchange.resume_after);
                send_unframed(exchange, &ids[rest.unwrap_or(ids.len())..]);
            });
            for (number, (response, ids)) in responses.iter().zip(&streams).enumerate() {
                assert!(is_whole(response, ids), "{kind} {name} {number}: {ids:?} {response:?}");
            }
        }
    }
}

/// Guards against a stream that ends as complete because its replica ends behind an event far ahead.
#[test]
fn uneven_stream_of_a_replica_that_ends_is_not_complete() {
    for kind in ["stream", "resumable"] {
        for ids in [&[40_u64] as &[u64], &[1, 2, 3, 9], &[10, 25]] {
            let test = format!("uneven_ended_{kind}_{}", ids.len());
            let responses = send_all(&test, kind, &["r-1"], 1, move |exchange| {
                send_unframed(exchange, ids);
                exchange.stop_listening();
            });
            let response = &responses[0];
            let is_cut = response.status == 200 && !response.is_complete;
            let is_refused = response.error_kind() == "outcome_unknown";
            assert!(is_cut || is_refused, "{kind} {ids:?}: {response:?}");
            assert!(!response.body.contains(&events_text(&ids[ids.len() - 1..])), "{response:?}");
        }
    }
}

/// Guards against an event far ahead that is taken for the last one though another replica goes on
/// with the events before it.
#[test]
fn another_replica_refutes_a_foreign_last_event() {
    let responses = send_all("uneven_foreign", "resumable", &["r-1", "r-2"], 1, |exchange| {
        match exchange.number {
            0 => send_unframed(exchange, &[1, 2, 3, 4, 99]),
            _ => send_unframed(exchange, &[5, 6, 7, 8]),
        }
    });
    assert!(is_whole(&responses[0], &[1, 2, 3, 4, 5, 6, 7, 8]), "{:?}", responses[0]);
}

/// Guards against an event far ahead that is taken for the last one though another replica, which was
/// asked for what follows the event before, has nothing to send.
#[test]
fn replica_without_further_events_refutes_a_foreign_last_event() {
    let responses = send_all("uneven_refuted", "resumable", &["r-1", "r-2"], 1, |exchange| {
        match exchange.number {
            0 => send_unframed(exchange, &[1, 2, 3, 4, 99]),
            _ => send_unframed(exchange, &[]),
        }
    });
    let response = &responses[0];
    assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
    assert_eq!(response.body, events_text(&[1, 2, 3, 4]));
}

/// Guards against a stream that is cut because no other replica can tell how it ends.
#[test]
fn uneven_stream_that_nobody_confirms_is_whole() {
    const IDS: [u64; 4] = [1, 2, 3, 9];
    type Successor = fn(&mut ScriptedExchange);
    let successors: [(&str, &[&str], Successor); 4] = [
        ("cut", &["r-1", "r-2", "r-3"], |exchange| exchange.send_stream_head()),
        ("alone", &["r-1"], |exchange| exchange.refuse()),
        ("refused", &["r-1", "r-2"], |exchange| exchange.refuse()),
        ("failed", &["r-1", "r-2"], |exchange| exchange.send_head(500, 0)),
    ];
    for (name, replica_ids, successor) in successors {
        let test = format!("uneven_unconfirmed_{name}");
        let responses =
            send_all(&test, "resumable", replica_ids, 1, move |exchange| match exchange.number {
                0 => send_unframed(exchange, &IDS),
                _ => successor(exchange),
            });
        assert!(is_whole(&responses[0], &IDS), "{name}: {:?}", responses[0]);
    }
}

/// Guards against a stream that is cut because the replica that goes on with it begins further behind
/// its last event than its own events were apart.
#[test]
fn uneven_stream_goes_on_after_a_crash() {
    const WARM_UP: usize = 20;
    let mut streams = draw_streams(4, WARM_UP, 5..=6, 9);
    streams.extend(vec![vec![1, 2, 9, 10]; 8]);
    let sent = streams.clone();
    let count = streams.len();
    let responses =
        send_all("uneven_crash", "resumable", &["r-1", "r-2"], count, move |exchange| {
            let stream = request_number(exchange);
            let rest: Vec<u64> =
                sent[stream].iter().copied().filter(|id| *id > exchange.resume_after).collect();
            exchange.send_stream_head();
            if stream >= WARM_UP && exchange.resume_after == 0 {
                return exchange.send_chunk(&events_text(&rest[..2]));
            }
            exchange.send_chunk(&events_text(&rest));
            exchange.end_stream();
        });
    for (number, (response, ids)) in responses.iter().zip(&streams).enumerate() {
        assert!(is_whole(response, ids), "{number}: {ids:?} {response:?}");
    }
}

/// Guards against streams of one route that are judged by the ids of another of the same service.
#[test]
fn routes_of_a_service_may_number_differently() {
    let uneven = draw_streams(5, 15, 2..=6, 200);
    let streams: Vec<Vec<u64>> =
        uneven.into_iter().flat_map(|ids| [vec![1, 2, 3, 4, 5], ids]).collect();
    for kind in ["stream", "resumable"] {
        let (test, sent) = (format!("uneven_routes_{kind}"), streams.clone());
        let prefixes = ["/drafts/", "/notes/"];
        let (ids, count) = (["r-1", "r-2"], streams.len());
        let responses = send_in_turn(&test, kind, &prefixes, &ids, count, move |exchange| {
            let due = sent[request_number(exchange)].iter().copied();
            let rest: Vec<u64> = due.filter(|id| *id > exchange.resume_after).collect();
            send_unframed(exchange, &rest);
        });
        for (number, (response, ids)) in responses.iter().zip(&streams).enumerate() {
            assert!(is_whole(response, ids), "{kind} {number}: {ids:?} {response:?}");
        }
    }
}

/// Guards against a response that leaves out events of a stream whose ids rise by one, because they
/// do not on another route of its service.
#[test]
fn gap_is_found_beside_a_route_with_uneven_ids() {
    const STREAMS: usize = 12;
    let prefixes = ["/drafts/", "/notes/"];
    let ids = ["r-1", "r-2"];
    let responses = send_in_turn("uneven_gap", "resumable", &prefixes, &ids, STREAMS, |exchange| {
        exchange.send_stream_head();
        let number = request_number(exchange);
        let (is_even, is_last) = (number.is_multiple_of(2), number == STREAMS - 2);
        match (is_even, exchange.resume_after) {
            (false, _) => exchange.send_chunk(&events_text(&[60, 150, 200, 390])),
            (true, 0) if is_last => return exchange.send_chunk(&events_text(&[1, 2, 3])),
            (true, 3) => exchange.send_chunk(&events_text(&[5, 6, 7])),
            (true, _) => exchange.send_chunk(&events_text(&[1, 2, 3, 4, 5, 6, 7])),
        }
        exchange.end_stream();
    });
    let response = &responses[STREAMS - 2];
    assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
    assert_eq!(response.body, events_text(&[1, 2, 3]));
}
