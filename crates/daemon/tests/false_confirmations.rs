//! A message of a peer confirms nothing that the entry has not asked, or that is not one message.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_core::{Epoch, Incarnation, Millis, VmId};
use ibissail_direct::{EpochConfirmation, EpochConfirmed};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StoreFault,
};
use serde::Serialize;
use serde_json::Value;
use std::{
    net::{SocketAddr, UdpSocket},
    thread,
    time::{Duration, Instant},
};

/// Time for which the settings accept keys after the last confirmation.
const KEY_AGE: Duration = Duration::from_secs(2);

/// A report without contacts, loads, rollouts and sessions.
type Report = (VmId, Incarnation, Millis, SocketAddr, [(); 0], [(); 0], [(); 0], [(); 0]);

#[derive(Debug, Serialize)]
enum Message {
    Report(Report),
    EpochConfirmation(EpochConfirmation),
}

fn request_with_key() -> CallerRequest {
    let mut request = CallerRequest::new("GET", "/members/1", "id-1");
    request.key = Some("key-1".to_owned());
    request
}

fn start(test: &str) -> EntryFixture {
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    let organisations = vec![("huts".to_owned(), vec!["key-1".to_owned()])];
    let fixture = EntryFixture::start(
        test,
        &ConfigurationSpec { version: 1, routes: vec![members], organisations },
    );
    fixture.add_replica("r-1", "records", Behaviour::Respond(200, Duration::ZERO));
    fixture.wait_ready();
    fixture
}

/// Introduces a peer to the entry; returns its socket and the first report that it receives, without
/// names: run and time of the question.
fn introduce(entry: SocketAddr) -> (UdpSocket, Incarnation, Millis) {
    let socket = UdpSocket::bind((entry.ip(), 0)).expect("a port");
    socket.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    let address = socket.local_addr().expect("an address");
    let vm = "zz".parse().expect("a name");
    let report = (vm, Incarnation(5), Millis(1), address, [], [], [], []);
    let bytes = rmp_serde::to_vec(&Message::Report(report)).expect("encoded");
    let mut buf = [0; 8 << 10];
    loop {
        socket.send_to(&bytes, entry).expect("it is sent");
        let (length, _from) = socket.recv_from(&mut buf).expect("a message");
        let message: Value = rmp_serde::from_slice(&buf[..length]).expect("a message");
        if let Some(report) = message.get("Report") {
            let number = |index: usize| report[index].as_u64().expect("a number");
            return (socket, Incarnation(number(1)), Millis(number(2)));
        }
    }
}

/// Sends confirmations until keys are older than allowed since the store has failed; returns the
/// status of a request with a key.
fn status_after<F>(test: &str, encode: F) -> u16
where
    F: Fn(EpochConfirmation) -> Vec<u8>,
{
    let fixture = start(test);
    let (socket, to, asked) = introduce(fixture.peer_address());
    wait_until("keys are accepted", || fixture.send(&request_with_key()).status == 200);
    fixture.store.set_fault(StoreFault::Unavailable);
    let failed = Instant::now();
    while failed.elapsed() < KEY_AGE + Duration::from_millis(300) {
        let confirmed = EpochConfirmed::Configuration(1);
        let confirmation = EpochConfirmation { to, asked, epoch: Epoch(1), confirmed };
        let bytes = encode(confirmation);
        socket.send_to(&bytes, fixture.peer_address()).expect("it is sent");
        thread::sleep(Duration::from_millis(100));
    }
    fixture.send(&request_with_key()).status
}

fn encode(confirmation: EpochConfirmation) -> Vec<u8> {
    rmp_serde::to_vec(&Message::EpochConfirmation(confirmation)).expect("encoded")
}

#[test]
fn confirmation_of_a_question_that_is_not_asked_yet_keeps_no_key_valid() {
    let status = status_after("false_future", |mut confirmation| {
        confirmation.asked = Millis(u64::MAX);
        encode(confirmation)
    });
    assert_eq!(status, 503);
}

#[test]
fn message_with_bytes_after_it_is_ignored() {
    let fixture = start("false_length");
    let socket = UdpSocket::bind((fixture.peer_address().ip(), 0)).expect("a port");
    for (vm, extra) in [("joined", &[0_u8; 1][..]), ("whole", &[])] {
        let address = socket.local_addr().expect("an address");
        let vm = vm.parse().expect("a name");
        let report = (vm, Incarnation(5), Millis(1), address, [], [], [], []);
        let mut bytes = rmp_serde::to_vec(&Message::Report(report)).expect("encoded");
        bytes.extend(extra);
        socket.send_to(&bytes, fixture.peer_address()).expect("it is sent");
    }
    wait_until("the whole message is read", || fixture.log().contains("\"whole\""));
    let log = fixture.log();
    assert!(log.contains("peers: message ignored") && !log.contains("\"joined\""), "{log}");
}
