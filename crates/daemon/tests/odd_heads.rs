//! A response with an invalid status or header field, and what follows it, reach no caller.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, HeadFault, LinePlace, ODD_FIELDS,
    ODD_STATUSES, RouteSpec, ScriptedReplicas,
};

const KINDS: [&str; 4] = ["safe", "unsafe", "resumable", "stream"];
const EVENT: &str = "id: 1\ndata: the event\n\n";
const RESPONSE: &str = "id: 1\ndata: the response\n\n";
/// Stands in a response for the id of the request.
const ID: &str = "<id>";

fn head(status: u16, body: &str) -> String {
    let head = HeadFault::None.head_start(status, ID);
    format!("{head}Content-Length: {}\r\n\r\n", body.len())
}

fn whole(status: u16, body: &str) -> String {
    head(status, body) + body
}

/// Sends a request of this kind for each of the texts. The replicas of each service respond with the
/// text to the first request, and soundly to others. Returns the responses, each with the number of
/// requests that the replicas received.
fn send_all(test: &str, kind: &str, texts: &[String]) -> Vec<(CallerResponse, usize)> {
    let route =
        |number| RouteSpec::new(&format!("/case-{number}/"), kind, &format!("service-{number}"));
    let routes = (0..texts.len()).map(route).collect();
    let configuration = ConfigurationSpec { version: 1, routes, organisations: Vec::new() };
    let fixture = EntryFixture::start(&format!("{test}_{kind}"), &configuration);
    let add_service = |(number, first): (usize, &String)| {
        let first = first.clone();
        let replicas = ScriptedReplicas::new(move |exchange| {
            let answer = if exchange.number == 0 { &first } else { &whole(200, RESPONSE) };
            exchange.send(&answer.replace(ID, &exchange.id));
        });
        for name in ["first", "second"] {
            let id = format!("{name}-{number}");
            replicas.add(&fixture.store, &id, &format!("service-{number}"));
        }
        replicas
    };
    let services: Vec<ScriptedReplicas> = texts.iter().enumerate().map(add_service).collect();
    let count = 2 * i64::try_from(texts.len()).expect("a small number");
    wait_until("the entry knows the replicas", || fixture.metric("replicas") == count);
    fixture.wait_ready();
    let send = |(number, replicas): (usize, &ScriptedReplicas)| {
        let mut request =
            CallerRequest::new("POST", &format!("/case-{number}/1"), &format!("id-{number}"));
        request.deadline_ms = 6_000;
        (fixture.send(&request), replicas.received_at().len())
    };
    services.iter().enumerate().map(send).collect()
}

/// Fails unless none of these texts is taken for a response: the request fails with an unknown
/// outcome, or another replica answers it if it may run again.
fn assert_refused(test: &str, texts: &[String]) {
    let mut believed = Vec::new();
    for kind in KINDS {
        let responses = send_all(test, kind, texts);
        for (text, (response, received)) in texts.iter().zip(responses) {
            let is_answered = response.status == 200 && response.body == RESPONSE;
            let is_failed = response.error_kind() == "outcome_unknown" && received == 1;
            let may_run_again = matches!(kind, "safe" | "resumable");
            if !(if may_run_again { is_answered } else { is_failed }) {
                believed.push(format!("{text:?}, {kind}: {received} requests, {response:?}"));
            }
        }
    }
    let cases = texts.len() * KINDS.len();
    assert!(believed.is_empty(), "{} of {cases}: {believed:#?}", believed.len());
}

#[test]
fn response_with_an_odd_status() {
    let texts = ODD_STATUSES
        .map(|status| whole(200, EVENT).replacen("HTTP/1.1 200", &format!("HTTP/1.1 {status}"), 1));
    assert_refused("odd_status", &texts);
}

/// Guards against an odd response that is skipped like an interim one.
#[test]
fn response_behind_an_odd_status() {
    let behind = whole(200, EVENT);
    let texts = ODD_STATUSES.map(|status| {
        head(200, &behind).replacen("HTTP/1.1 200", &format!("HTTP/1.1 {status}"), 1) + &behind
    });
    let bare = ODD_STATUSES.map(|status| format!("HTTP/1.1 {status} X\r\n\r\n{behind}"));
    assert_refused("odd_skipped", &[texts, bare].concat());
}

#[test]
fn head_with_an_odd_field() {
    let framed = head(200, EVENT);
    let unframed = HeadFault::None.head_start(200, ID) + "\r\n";
    let texts = ODD_FIELDS.iter().flat_map(|line| {
        let with_line = |head: &str| LinePlace::ALL.map(|place| place.insert(head, line) + EVENT);
        [with_line(&framed), with_line(&unframed)].concat()
    });
    assert_refused("odd_field", &texts.collect::<Vec<_>>());
}

/// Guards against a sound response that is refused because of what stands before it.
#[test]
fn interim_responses_are_skipped() {
    let statuses = [100, 102, 103, 110, 199];
    let texts = statuses.map(|status| {
        format!("HTTP/1.1 {status} X\r\nLink: </style.css>\r\n\r\n{}", whole(200, EVENT))
    });
    for kind in KINDS {
        for (response, received) in send_all("interim", kind, &texts) {
            assert_eq!((response.status, response.body.as_str(), received), (200, EVENT, 1));
        }
    }
}

/// Guards against a sound response whose status is merely rare.
#[test]
fn rare_statuses_are_delivered() {
    let statuses = [202, 299, 399, 418, 499, 599];
    let texts = statuses.map(|status| whole(status, EVENT));
    let responses = send_all("rare_status", "unsafe", &texts);
    for (status, (response, received)) in statuses.into_iter().zip(responses) {
        assert_eq!((response.status, response.body.as_str(), received), (status, EVENT, 1));
    }
}
