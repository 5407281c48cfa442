//! Requests that come at any moment of the stop of an entry with sidecars are refused or get their whole
//! response.

mod common;

use common::{Cluster, http};
use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Requests that upstreams have received.
type Received = Arc<Mutex<BTreeSet<String>>>;

/// Interval between two requests of a caller, each on a new connection.
const INTERVAL: Duration = Duration::from_millis(40);
/// Longest time that an upstream works on a request, in milliseconds.
const MAX_WORK_MS: u64 = 900;
/// Time for which callers send requests after the signal: longer than the grace time.
const SENDING_TIME: Duration = Duration::from_secs(6);

fn work_time(id: &str) -> Duration {
    let hash = id.bytes().fold(7_u64, |sum, byte| sum * 31 % 65_521 + u64::from(byte));
    Duration::from_millis(hash % MAX_WORK_MS)
}

/// Sends requests with ids of this prefix until the time is over; returns those without a whole
/// response. Each has a thread of its own, so that slow responses delay none.
fn call<F>(prefix: &str, send: F) -> Vec<String>
where
    F: Fn(&str) -> bool + Send + Sync + Clone + 'static,
{
    let ends_at = Instant::now() + SENDING_TIME;
    let mut callers = Vec::new();
    for number in 0.. {
        if Instant::now() >= ends_at {
            break;
        }
        let (id, send) = (format!("{prefix}-{number}-"), send.clone());
        callers.push(thread::spawn(move || (!send(&id)).then_some(id)));
        thread::sleep(INTERVAL);
    }
    let ended = callers.into_iter().map(|caller| caller.join().expect("the caller ends"));
    ended.flatten().collect()
}

/// Starts an upstream service that responds after a while, with the body of the request.
fn start_upstream(address: SocketAddr, received: &Received) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let received = Arc::clone(received);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = Arc::clone(&received);
            thread::spawn(move || serve(stream, &received));
        }
    });
}

fn serve(mut stream: TcpStream, received: &Received) {
    let (mut bytes, mut buf) = (Vec::new(), [0; 4_096]);
    while let Ok(count @ 1..) = stream.read(&mut buf) {
        bytes.extend_from_slice(&buf[..count]);
        let Some((text, rest)) = http::parse_head_and_body(&bytes) else { continue };
        bytes = rest;
        let id = text.lines().last().unwrap_or_default().to_owned();
        received.lock().expect("no upstream panics").insert(id.clone());
        thread::sleep(work_time(&id));
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{id}", id.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn request_late_in_the_stop_of_an_entry_with_sidecars_is_not_cut() {
    let received = Received::default();
    let mut cluster = Cluster::with_upstreams("late_sidecars", &[]);
    for name in ["routes-1", "routes-2"] {
        cluster.add_sidecar_without_upstream(name, "service:routes");
        start_upstream(cluster.members[name].upstream.as_ref().expect("an upstream").0, &received);
    }
    cluster.start_all();
    let entry = cluster.members["entry-1"].listen;
    let callers: Vec<_> = [false, true]
        .into_iter()
        .map(|is_keyed| {
            let send = move |id: &str| {
                let mut headers =
                    vec![("authorization", "Bearer demo-key"), ("x-ibissail-deadline-ms", "1400")];
                headers.extend(is_keyed.then_some(("idempotency-key", id)));
                let path = "/v1/services/routes/run";
                let response = http::send(entry, "POST", path, &headers, id.as_bytes());
                response.is_some_and(|response| response.status == 200 && response.text() == id)
            };
            thread::spawn(move || call(if is_keyed { "keyed" } else { "plain" }, send))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.process("entry-1").terminate(), Some(0));
    let unanswered: Vec<String> =
        callers.into_iter().flat_map(|caller| caller.join().expect("it ends")).collect();
    let received = received.lock().expect("no upstream panics");
    assert!(received.len() > 10, "{} requests reached upstreams", received.len());
    let cut: Vec<&String> = unanswered.iter().filter(|id| received.contains(*id)).collect();
    assert!(cut.is_empty(), "{cut:?}");
}
