//! A head that is no response to a request is not taken for one.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, HeadFault, RouteSpec, ScriptedReplicas,
};

const KINDS: [&str; 4] = ["safe", "unsafe", "resumable", "stream"];
const EVENT: &str = "id: 1\ndata: word 1\n\n";
const RESPONSE: &str = "id: 1\ndata: the response\n\n";

/// Sends a request to an entry whose first replica responds with this head; the second one responds
/// soundly. Returns the response and how many requests the replicas received.
fn send(kind: &str, status: u16, fault: HeadFault) -> (CallerResponse, usize) {
    let route = RouteSpec::new("/records/", kind, "records");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(&format!("{kind}_{status}_{fault:?}"), &configuration);
    let replicas = ScriptedReplicas::new(move |exchange| {
        let (head, body) = match exchange.number {
            0 => (fault.head_start(status, &exchange.id), EVENT),
            _ => (HeadFault::None.head_start(200, &exchange.id), RESPONSE),
        };
        exchange.send(&format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    });
    for id in ["r-1", "r-2"] {
        replicas.add(&fixture.store, id, "records");
        wait_until("the entry knows the replica", || fixture.log().contains(id));
    }
    fixture.wait_ready();
    let mut request = CallerRequest::new("POST", "/records/1", "record-1");
    request.deadline_ms = 6_000;
    (fixture.send(&request), replicas.received_at().len())
}

/// Asserts that no request is answered with one of these heads: it fails with an unknown outcome, or
/// another replica answers it if it may run again.
fn assert_foreign(heads: &[(u16, HeadFault)]) {
    let mut believed = Vec::new();
    for &(status, fault) in heads {
        for kind in KINDS {
            let (response, received) = send(kind, status, fault);
            let is_answered = response.status == 200 && response.body == RESPONSE;
            let is_failed = response.error_kind() == "outcome_unknown" && received == 1;
            let may_run_again = matches!(kind, "safe" | "resumable");
            if !(if may_run_again { is_answered } else { is_failed }) {
                let case = format!("{status}, {fault:?}, {kind}");
                believed.push(format!("{case}: {received} requests, {response:?}"));
            }
        }
    }
    let cases = heads.len() * KINDS.len();
    assert!(believed.is_empty(), "{} of {cases}: {believed:#?}", believed.len());
}

/// Guards against a response without an id that no sound replica gives to this request.
#[test]
fn heads_without_an_id_are_no_responses() {
    assert_foreign(&[200, 204, 302, 404, 500, 503].map(|status| (status, HeadFault::NoId)));
}

/// Guards against a promise that a request has not run, in a response that says that it has.
#[test]
fn only_refusals_say_that_a_request_has_not_run() {
    let statuses = [200, 302, 500, 504];
    let with_id = statuses.map(|status| (status, HeadFault::NotRun));
    assert_foreign(
        &[with_id, statuses.map(|status| (status, HeadFault::NotRunWithoutId))].concat(),
    );
}

/// Guards against a body that is not the replica's, because a caller asks for none that is encoded.
#[test]
fn encoded_bodies_are_not_delivered() {
    let cases = [(200, "gzip"), (200, "identity"), (200, ""), (404, "br"), (500, "gzip")];
    assert_foreign(&cases.map(|(status, coding)| (status, HeadFault::Encoded(coding))));
}

/// Guards against an id or a signature that is one of two, or empty.
#[test]
fn heads_with_two_ids_or_signatures_are_no_responses() {
    assert_foreign(&[
        (200, HeadFault::TwoIds),
        (404, HeadFault::TwoIds),
        (503, HeadFault::NotRunWithTwoIds),
        (200, HeadFault::TwoSignatures),
        (200, HeadFault::EmptySignature),
    ]);
}

#[test]
fn repeated_headers_that_agree_are_believed() {
    let (response, received) = send("unsafe", 200, HeadFault::Repeated);
    assert_eq!((response.status, response.body.as_str(), received), (200, EVENT, 1));
}
