//! A response of an engine with an invalid status or header field, and what follows it, reach no
//! caller of an entry with sidecars.

mod common;

use common::{Cluster, http};
use ibissail_platform_standin::{LinePlace, ODD_FIELDS, ODD_STATUSES};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

const COMPLETION: &str = r#"{"choices":[{"message":{"role":"assistant","content":"a"}}]}"#;
/// Statuses that end no response.
const INTERIM_STATUSES: [&str; 2] = ["100", "103"];
const STREAM: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";

/// A response with a length.
fn whole(body: &str) -> String {
    let length = body.len();
    let kind = if body == STREAM { "text/event-stream" } else { "application/json" };
    format!("HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads a request; returns the number in its prompt.
fn read_request(stream: &mut TcpStream) -> Option<usize> {
    let (mut request, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut buf).ok().filter(|count| *count > 0)?;
        request.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&request);
        if let Some((_, prompt)) = text.split_once("case ") {
            return prompt.split('.').next()?.parse().ok();
        }
    }
}

fn start_engine(address: SocketAddr, texts: Vec<String>) {
    let listener = TcpListener::bind(address).expect("the port is free");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let texts = texts.clone();
            thread::spawn(move || {
                let Some(number) = read_request(&mut stream) else { return };
                let _sent = stream.write_all(texts[number].as_bytes());
            });
        }
    });
}

/// Fails unless none of these texts is taken for a response of the engine. Each follows a sound one,
/// so that the entry does not eject the engine.
fn assert_refused(test: &str, texts: &[String], is_stream: bool) {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_sidecar_without_upstream("engine-1", "swift@1");
    let address = cluster.members["engine-1"].upstream.as_ref().expect("an upstream").0;
    let sound = whole(if is_stream { STREAM } else { COMPLETION });
    start_engine(address, [texts, &[sound]].concat());
    cluster.start_all();
    cluster.wait_for_upstreams();
    let send = |number: usize| -> http::Response {
        let body = format!(
            r#"{{"model":"swift@1","stream":{is_stream},"messages":[{{"role":"user","content":"case {number}."}}]}}"#
        );
        cluster.post("entry-1", "/v1/chat/completions", &[], body.as_bytes())
    };
    let mut believed = Vec::new();
    for (number, text) in texts.iter().enumerate() {
        let sound = send(texts.len());
        assert_eq!(sound.status, 200, "before {text:?}: {sound:?}");
        let response = send(number);
        if response.status != 502 {
            believed.push(format!("{text:?}: {response:?}"));
        }
    }
    assert!(believed.is_empty(), "{} of {}: {believed:#?}", believed.len(), texts.len());
}

#[test]
fn engine_response_with_an_odd_status() {
    for (is_stream, body) in [(false, COMPLETION), (true, STREAM)] {
        let sound = whole(body);
        let texts = ODD_STATUSES.iter().chain(&INTERIM_STATUSES).flat_map(|status| {
            let odd = sound.replacen("HTTP/1.1 200", &format!("HTTP/1.1 {status}"), 1);
            [odd, format!("HTTP/1.1 {status} X\r\n\r\n{sound}")]
        });
        let texts: Vec<String> = texts.collect();
        assert_refused(&format!("engine_status_{is_stream}"), &texts, is_stream);
    }
}

#[test]
fn engine_head_with_an_odd_field() {
    for (is_stream, body) in [(false, COMPLETION), (true, STREAM)] {
        let sound = whole(body);
        let (head, body) = sound.split_once("\r\n\r\n").expect("a head");
        let texts = ODD_FIELDS
            .iter()
            .flat_map(|line| LinePlace::ALL.map(|place| place.insert(head, line) + body));
        let texts: Vec<String> = texts.collect();
        assert_refused(&format!("engine_field_{is_stream}"), &texts, is_stream);
    }
}
