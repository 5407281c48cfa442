//! Invalid input gets an error response, and the entry keeps serving with bounded memory.

mod common;

use common::{Cluster, http, wait_until};
use std::{
    fmt::Write as _,
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Upper bound of the resident memory of the entry, in kB of 1,024 bytes as in `/proc`.
const MAX_RESIDENT_KB: u64 = 64 << 10;
const PATH: &str = "/v1/chat/completions";

fn cluster(test: &str) -> Cluster {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.extra_settings.insert("entry-1".to_owned(), "head_timeout: 300ms\n".to_owned());
    cluster.start_all();
    cluster
}

/// Sends raw bytes and reads the response.
fn send_raw(cluster: &Cluster, bytes: &[u8]) -> http::Response {
    let mut stream = TcpStream::connect(cluster.members["entry-1"].listen).expect("connected");
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).expect("a timeout");
    let _closed_early = stream.write_all(bytes);
    let mut received = Vec::new();
    let _reset = stream.read_to_end(&mut received);
    http::parse_response(&received).unwrap_or_else(http::Response::missing)
}

/// Head of a POST request with additional header lines.
fn post_head(extra: &str) -> String {
    format!("POST {PATH} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer demo-key\r\n{extra}\r\n")
}

fn assert_still_serves(cluster: &Cluster) {
    assert_eq!(cluster.send_completion("entry-1", "swift").status, 200);
    let pid = cluster.processes["entry-1"].id();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    assert!(resident.is_some_and(|kb| kb < MAX_RESIDENT_KB), "{resident:?} kB resident");
}

#[test]
fn invalid_keys_tokens_models_and_bodies() {
    let cluster = cluster("bad_requests");
    let listen = cluster.members["entry-1"].listen;
    let unknown_key = [("authorization", "Bearer nobody")];
    let response = http::send(listen, "POST", PATH, &unknown_key, b"{}").expect("a response");
    assert_eq!((response.status, response.error_kind().as_str()), (401, "unauthorized"));
    assert_eq!(response.ran(), "no");
    for (model, status, kind) in [
        ("unknown", 404, "unknown_model"),
        ("swift@9", 404, "unknown_model"),
        ("swi ft", 404, "unknown_model"),
    ] {
        let response = cluster.send_completion("entry-1", model);
        assert_eq!((response.status, response.error_kind().as_str()), (status, kind), "{model}");
    }
    for (headers, status, kind) in [
        (("x-ibissail-session", "ibs1~s1~editors~swift@1~9999999999~00"), 401, "session_invalid"),
        (("x-ibissail-session", "nonsense"), 401, "session_invalid"),
        (("x-ibissail-class", "no such"), 400, "bad_request"),
        (("x-ibissail-deadline-ms", "soon"), 400, "bad_request"),
        (("x-ibissail-deadline-ms", "0"), 503, "deadline_unmet"),
    ] {
        let response = cluster.send_completion_with("entry-1", "swift", &[headers]);
        assert_eq!(
            (response.status, response.error_kind().as_str()),
            (status, kind),
            "{headers:?}"
        );
        assert_eq!(response.ran(), "no");
    }
    for body in ["", "{", "[]", "{\"model\":7}", "\u{0}"] {
        let response = cluster.post("entry-1", PATH, &[], body.as_bytes());
        assert_eq!(
            (response.status, response.error_kind().as_str()),
            (400, "bad_request"),
            "{body}"
        );
    }
    let response = cluster.post("entry-1", "/v1/nothing", &[], b"");
    assert_eq!((response.status, response.error_kind().as_str()), (404, "not_found"));
    assert_eq!(cluster.engine_counts("swift-1").started, 0);
    assert_still_serves(&cluster);
}

#[test]
fn expired_sessions() {
    let cluster = cluster("expired_session");
    let short_ttl = common::ROOT_SETTINGS.replace("session_ttl: 12h", "session_ttl: 1s");
    let revision = cluster.put("config/branches/root", &short_ttl);
    wait_until("the entry has applied the shorter session lifetime", || {
        cluster.status("entry-1")["settings"].to_string().contains(&format!(":{revision}}}"))
    });
    let created = cluster.post("entry-1", "/v1/sessions", &[], b"{}");
    let token = created.json()["session"].as_str().unwrap_or_default().to_owned();
    let headers = [("x-ibissail-session", token.as_str())];
    wait_until("the session has expired", || {
        cluster.send_completion_with("entry-1", "swift", &headers).error_kind() == "session_invalid"
    });
}

#[test]
fn oversized_bodies() {
    let cluster = cluster("oversized_bodies");
    let large = vec![b'x'; 10 << 20];
    let response = cluster.post("entry-1", PATH, &[], &large);
    assert_eq!((response.status, response.error_kind().as_str()), (413, "body_too_large"));
    let mut chunked = post_head("transfer-encoding: chunked\r\nconnection: close\r\n").into_bytes();
    for _ in 0..10 {
        chunked.extend_from_slice(b"100000\r\n");
        chunked.extend_from_slice(&vec![b'x'; 1 << 20]);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    let response = send_raw(&cluster, &chunked);
    assert_eq!((response.status, response.error_kind().as_str()), (413, "body_too_large"));
    assert_still_serves(&cluster);
}

#[test]
fn malformed_framing() {
    let cluster = cluster("malformed_framing");
    let broken =
        post_head("transfer-encoding: chunked\r\nconnection: close\r\n") + "zz\r\nhello\r\n";
    assert_eq!(send_raw(&cluster, broken.as_bytes()).status, 400);
    let both = post_head("transfer-encoding: chunked\r\ncontent-length: 3\r\n") + "abc";
    assert_eq!(send_raw(&cluster, both.as_bytes()).status, 400);
    assert_eq!(send_raw(&cluster, b"NONSENSE\r\n\r\n").status, 400);
    assert_eq!(send_raw(&cluster, b"GET / HTTP/1.1\r\n\r\n").status, 400);
    assert_still_serves(&cluster);
}

#[test]
fn oversized_heads() {
    let cluster = cluster("oversized_heads");
    let mut many = format!("POST {PATH} HTTP/1.1\r\nhost: test\r\n");
    for number in 0..1_000_000 {
        let _infallible = write!(many, "x-{number}: y\r\n");
    }
    assert!(matches!(send_raw(&cluster, many.as_bytes()).status, 0 | 400));
    let long = [b"GET /".to_vec(), vec![b'a'; 32 << 20]].concat();
    assert!(matches!(send_raw(&cluster, &long).status, 0 | 400));
    assert_still_serves(&cluster);
}

#[test]
fn slow_heads() {
    let cluster = cluster("slow_heads");
    let response = send_raw(&cluster, b"POST /v1/chat/completions HTTP/1.1\r\nhost: te");
    assert_eq!((response.status, response.error_kind().as_str()), (408, "head_timeout"));
    let idle = TcpStream::connect(cluster.members["entry-1"].listen).expect("connected");
    std::thread::sleep(Duration::from_millis(10));
    drop(idle);
    assert_still_serves(&cluster);
}
