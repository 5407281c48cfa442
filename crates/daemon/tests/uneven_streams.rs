//! Streams whose ids do not rise by one stay whole.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange, ScriptedReplicas,
};

/// Sound streams after which the ids of a service are known.
const LEARNED_AFTER: usize = 3;

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
            exchange.send_unframed_head(200);
            exchange.send(&events_text(ids));
        });
        for (number, response) in responses.iter().enumerate().skip(cut) {
            assert!(is_whole(response, ids), "{name} {number}: {response:?}");
        }
    }
}
