//! Streams whose ids do not rise by one stay whole.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};

/// Streams of a service that may be cut before their last event.
const MAX_CUT: usize = 3;

fn events_text(ids: &[u64]) -> String {
    let events: Vec<_> = ids.iter().map(|id| format!("id: {id}\ndata: word {id}\n\n")).collect();
    events.concat()
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

/// Guards against streams that are cut again and again, as each ends with an id that is far ahead.
#[test]
fn streams_are_not_cut_for_ever_before_their_last_event() {
    for (name, ids) in [
        ("pairs", &[10_u64, 25] as &[u64]),
        ("growing", &[2, 3, 5, 9, 17, 33]),
        ("tail", &[1, 2, 3, 4, 10]),
        ("single", &[40]),
    ] {
        let responses = send_all(&format!("uneven_{name}"), "stream", 8, |exchange| {
            exchange.send_unframed_head(200);
            exchange.send(&events_text(ids));
        });
        let (first, others) = responses.split_at(MAX_CUT);
        for response in first {
            let is_cut = !response.is_complete && events_text(ids).starts_with(&response.body);
            let is_refused = response.error_kind() == "outcome_unknown";
            assert!(is_cut || is_refused || is_whole(response, ids), "{name}: {response:?}");
        }
        for (number, response) in others.iter().enumerate() {
            assert!(is_whole(response, ids), "{name} {number}: {response:?}");
        }
    }
}
