//! What a head says of a replica counts only if the head is the replica's response.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, HeadFault, RouteSpec, SIGNAL_LINES, ScriptedReplicas,
};

/// Messages of the log that the signals cause.
const MESSAGES: [&str; 2] = ["replica: leaving", "replica: limit named"];

/// Sends a request to a replica that responds with this head; returns which of its signals the entry
/// has believed when it has logged `last_message`.
fn believed_signals(status: u16, fault: HeadFault, last_message: &str) -> Vec<&'static str> {
    let route = RouteSpec::new("/records/", "unsafe", "records");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start(&format!("signals_{status}_{fault:?}"), &configuration);
    let replicas = ScriptedReplicas::new(move |exchange| {
        let head = fault.head_start(status, &exchange.id);
        exchange.send(&format!("{head}{SIGNAL_LINES}Content-Length: 4\r\n\r\nbody"));
    });
    replicas.add(&fixture.store, "r-1", "records");
    wait_until("the entry knows the replica", || fixture.log().contains("r-1"));
    fixture.wait_ready();
    let _response = fixture.send(&CallerRequest::new("POST", "/records/1", "record-1"));
    wait_until("the attempt is logged", || fixture.log().contains(last_message));
    let log = fixture.log();
    MESSAGES.into_iter().filter(|message| log.contains(message)).collect()
}

/// Guards against a head that is no response of the replica and makes it get no requests.
#[test]
fn signals_of_foreign_heads_are_not_believed() {
    let faults =
        [HeadFault::Unsigned, HeadFault::NotRun, HeadFault::Encoded("gzip"), HeadFault::OtherId];
    for fault in faults {
        let believed = believed_signals(200, fault, "attempt: failed");
        assert_eq!(believed, [""; 0], "{fault:?}");
    }
}

#[test]
fn signals_of_the_replica_are_believed() {
    let heads = [
        (200, HeadFault::None),
        (503, HeadFault::NotRunWithoutId),
        (429, HeadFault::NotRun),
        (500, HeadFault::Unsigned),
    ];
    for (status, fault) in heads {
        assert_eq!(believed_signals(status, fault, MESSAGES[1]), MESSAGES, "{status}, {fault:?}");
    }
}
