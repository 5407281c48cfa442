//! A response of an upstream whose head breaks off never reaches the caller of an entry with sidecars
//! as a success.

mod common;

use common::{Cluster, http};
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener},
    thread,
};

/// What upstreams send before they close the connection: heads that break off, and a head whose body
/// ends early.
const BROKEN_RESPONSES: [&str; 8] = [
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Ty",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 25\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 25\r\n\r\nhalf",
];

/// Starts an upstream that sends this text to each request and closes the connection, with a reset
/// if it leaves bytes of the request unread.
fn start_upstream(listener: TcpListener, text: &'static str, resets: bool) {
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buf = vec![0; if resets { 16 } else { 1 << 16 }];
                let _read = stream.read(&mut buf);
                let _written = stream.write_all(text.as_bytes());
                if !resets {
                    let _closed = stream.shutdown(Shutdown::Both);
                }
            });
        }
    });
}

#[test]
fn broken_head_of_an_upstream_beside_a_sidecar_is_no_success() {
    for (number, text) in BROKEN_RESPONSES.into_iter().enumerate() {
        let resets = number % 2 == 1;
        let mut cluster = Cluster::with_upstreams(&format!("broken_head{number}"), &[]);
        for (name, offers) in [("routes-1", "service:routes"), ("swift-1", "swift@1")] {
            cluster.add_sidecar_without_upstream(name, offers);
            let (address, _) = cluster.members[name].upstream.clone().expect("an upstream");
            let listener = TcpListener::bind(address).expect("the address is free");
            start_upstream(listener, text, resets);
        }
        cluster.start_all();
        let entry = cluster.members["entry-1"].listen;
        let completion =
            |stream: bool| format!("{{\"model\":\"swift@1\",\"stream\":{stream},\"messages\":[]}}");
        let requests = [
            ("/v1/services/routes/run", "read".to_owned()),
            ("/v1/chat/completions", completion(false)),
            ("/v1/chat/completions", completion(true)),
        ];
        for (path, body) in requests {
            let headers =
                [("authorization", "Bearer demo-key"), ("x-ibissail-deadline-ms", "3000")];
            let response = http::send(entry, "POST", path, &headers, body.as_bytes());
            let response = response.unwrap_or_else(http::Response::missing);
            let is_success = response.status == 200
                && (!body.contains("true") || response.text().ends_with("data: [DONE]\n\n"));
            assert!(!is_success, "{text:?} {path} {body}: {response:?}");
        }
    }
}
