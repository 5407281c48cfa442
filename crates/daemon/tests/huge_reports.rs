//! Loads in the reports of peers, however large, do not end the entry or its service.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_core::{Incarnation, Millis, VmId};
use ibissail_direct::stable_hash;
use ibissail_platform_standin::{Behaviour, CallerRequest, ConfigurationSpec, RouteSpec};
use serde::Serialize;
use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

/// A report with loads: short hash of a replica, requests in progress and pending prefill.
type Report =
    (VmId, Incarnation, Millis, SocketAddr, [(); 0], [(u32, u32, u64); 1], [(); 0], [(); 0]);

#[derive(Debug, Serialize)]
enum Message {
    Report(Report),
}

#[test]
fn loads_of_peers_do_not_overflow() {
    let route = RouteSpec::new("/look/", "safe", "records");
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    let fixture = EntryFixture::start("huge_loads", &configuration);
    fixture.add_replica("r-1", "records", Behaviour::Respond(200, Duration::ZERO));
    fixture.wait_ready();
    let hash = stable_hash(&["r-1"]) & u64::from(u32::MAX);
    let load = [(u32::try_from(hash).expect("32 bits"), u32::MAX, u64::MAX)];
    let socket = UdpSocket::bind((fixture.peer_address().ip(), 0)).expect("a port");
    let address = socket.local_addr().expect("an address");
    for (number, vm) in ["huge-1", "huge-2"].into_iter().enumerate() {
        let vm = vm.parse().expect("a name");
        let incarnation = Incarnation(number as u64);
        let report = (vm, incarnation, Millis(1), address, [], load, [], []);
        let bytes = rmp_serde::to_vec(&Message::Report(report)).expect("encoded");
        socket.send_to(&bytes, fixture.peer_address()).expect("it is sent");
    }
    wait_until("the reports are read", || fixture.log().contains("huge-2"));
    for number in 0..5 {
        let response = fixture.send(&CallerRequest::new("GET", "/look/1", &format!("id-{number}")));
        assert_eq!(response.status, 200, "{response:?}");
    }
}
