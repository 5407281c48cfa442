//! Streams whose ids do not rise by one stay whole; an event far ahead among even ones is refused.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};

/// Sound streams after which the ids of a service are known.
const LEARNED_AFTER: usize = 3;

/// Events of a stream with even ids.
const EVENTS: u64 = 8;

fn events_text(ids: &[u64]) -> String {
    let events: Vec<_> = ids.iter().map(|id| format!("id: {id}\ndata: word {id}\n\n")).collect();
    events.concat()
}

fn send_text(exchange: &mut ScriptedExchange, is_framed: bool, text: &str) {
    if is_framed {
        exchange.send_stream_head();
        exchange.send_chunk(text);
        exchange.end_stream();
    } else {
        exchange.send_unframed_head(200);
        exchange.send(text);
    }
}

/// Sends so many requests, one after the other, to an entry whose replicas play a script.
fn send_all<F>(test: &str, kind: &str, count: usize, script: F) -> Vec<CallerResponse>
where
    F: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let route = RouteSpec::new("/drafts/", kind, "writers");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(test, &configuration);
    let replicas = ScriptedReplicas::new(script);
    for id in ["r-1", "r-2"] {
        replicas.add(&fixture.store, id, "writers");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let requests = (0..count).map(|n| CallerRequest::new("POST", "/drafts/1", &format!("d-{n}")));
    requests.map(|request| fixture.send(&request)).collect()
}

fn is_whole(response: &CallerResponse, ids: &[u64]) -> bool {
    response.status == 200 && response.is_complete && response.body == events_text(ids)
}

/// Guards against sound streams without framing that are cut because their last step is the largest.
#[test]
fn last_event_of_an_uneven_stream_is_delivered() {
    for (name, cut, ids) in [
        ("pairs", 0, &[10_u64, 25] as &[u64]),
        ("growing", 0, &[2, 3, 5, 9, 17, 33]),
        ("tail", LEARNED_AFTER, &[1, 2, 3, 4, 10]),
        ("single", LEARNED_AFTER, &[40]),
    ] {
        let responses = send_all(&format!("uneven_{name}"), "stream", 8, |exchange| {
            send_text(exchange, false, &events_text(ids));
        });
        for (number, response) in responses.iter().enumerate().skip(cut) {
            assert!(is_whole(response, ids), "{name} {number}: {response:?}");
        }
    }
}

/// Plays even streams, and then one whose first response has these ids and others go on with `ids`.
fn play_after_even(
    test: &str,
    kind: &str,
    is_framed: bool,
    first: &[u64],
    ids: &[u64],
) -> CallerResponse {
    let (first, ids) = (first.to_owned(), ids.to_owned());
    let mut responses = send_all(test, kind, LEARNED_AFTER + 1, move |exchange| {
        let rest = |ids: &[u64]| -> Vec<u64> {
            ids.iter().copied().filter(|id| *id > exchange.resume_after).collect()
        };
        let (is_framed, sent) = match exchange.number {
            number if number < LEARNED_AFTER => (true, (1..=EVENTS).collect()),
            LEARNED_AFTER => (is_framed, first.clone()),
            _ => (true, rest(&ids)),
        };
        send_text(exchange, is_framed, &events_text(&sent));
    });
    responses.pop().expect("each request has a response")
}

/// Guards against an id that no run has made, far ahead in a service whose streams are even.
#[test]
fn event_far_ahead_of_even_streams_is_not_delivered() {
    const FOREIGN: [(&str, usize, &[u64]); 3] =
        [("last", 8, &[99]), ("pair", 4, &[98, 99]), ("first_pair", 0, &[98, 99])];
    let ids: Vec<u64> = (1..=EVENTS).collect();
    for (name, after, foreign) in FOREIGN {
        for is_framed in [true, false] {
            let test = format!("even_{name}_{is_framed}");
            let (before, behind) = ids.split_at(after);
            let first = [before, foreign, behind].concat();
            let response = play_after_even(&test, "resumable", is_framed, &first, &ids);
            assert!(is_whole(&response, &ids), "{test}: {response:?}");
        }
    }
}

/// Guards against a sound stream that is cut because the others of its service are even.
#[test]
fn uneven_stream_among_even_ones_is_delivered() {
    let last: &[u64] = &[1, 2, 3, 4, 20];
    let middle: &[u64] = &[1, 2, 3, 20, 21];
    for (kind, is_framed, ids) in [
        ("resumable", true, last),
        ("resumable", false, last),
        ("resumable", true, middle),
        ("resumable", false, middle),
        ("stream", true, last),
        ("stream", true, middle),
        ("stream", false, middle),
    ] {
        let test = format!("leap_{kind}_{is_framed}_{}", ids[3]);
        let response = play_after_even(&test, kind, is_framed, ids, ids);
        assert!(is_whole(&response, ids), "{test}: {response:?}");
    }
}
