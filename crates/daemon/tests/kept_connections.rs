//! Requests on a connection that a caller has kept over a change of the configuration.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{Behaviour, ConfigurationSpec, RouteSpec, head_lines};
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Longer than the limit of the first configuration.
const BODY_BYTES: usize = 100_000;

fn configuration(version: u64) -> ConfigurationSpec {
    let route = RouteSpec::new("/records/", "unsafe", "records");
    ConfigurationSpec { version, routes: vec![route], organisations: Vec::new() }
}

/// Sends a request on an open connection and returns the head of the response.
fn send_on(caller: &mut TcpStream, id: &str, body: &[u8]) -> String {
    let length = body.len();
    let head = head_lines("POST", "/records/1", id) + &format!("Content-Length: {length}\r\n\r\n");
    caller.write_all(head.as_bytes()).expect("the head is sent");
    caller.write_all(body).expect("the body is sent");
    let mut buf = [0; 4096];
    let count = caller.read(&mut buf).expect("the entry responds");
    let text = String::from_utf8_lossy(&buf[..count]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn raised_limit_of_bodies_holds_on_a_kept_connection() {
    let fixture = EntryFixture::start("raised", &configuration(1));
    let replica = fixture.add_replica("r-1", "records", Behaviour::Respond(200, Duration::ZERO));
    fixture.wait_ready();
    fixture.wait_for_replica(&replica);
    let mut caller = TcpStream::connect(fixture.callers).expect("the entry accepts connections");
    assert_eq!(send_on(&mut caller, "small", b"a"), "HTTP/1.1 200 OK");
    configuration(2).apply_with_body_limit(&fixture.store, 1 << 20);
    wait_until("the entry has the configuration", || {
        fixture.log().matches("configuration: applied").count() == 2
    });
    let status = send_on(&mut caller, "large", &vec![b'a'; BODY_BYTES]);
    assert_eq!(status, "HTTP/1.1 200 OK");
}
