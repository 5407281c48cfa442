//! A sidecar or an engine falls silent for a while and goes on.

mod common;

use common::{
    Cluster,
    http::{self, Response},
};
use ibissail_standin::EngineFaults;
use std::{io::Read, thread, time::Duration};

/// Longer than the entry waits for a frame, or for the start of a run.
const SILENCE: Duration = Duration::from_secs(3);
const STREAM: &[u8] =
    br#"{"model":"swift","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"a"}]}"#;

fn cluster(test: &str) -> Cluster {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.start_all();
    cluster
}

/// Suspends a process in the middle of a stream, which is to be completed.
fn suspend_in_a_stream(case: &str, process: &str) {
    let mut cluster = cluster(case);
    let slow = EngineFaults { slower_ms: 30, ..EngineFaults::default() };
    cluster.set_engine_faults("swift-1", &slow);
    let (listen, headers) =
        (cluster.members["entry-1"].listen, [("authorization", "Bearer demo-key")]);
    let path = "/v1/chat/completions";
    let mut stream = http::start_request(listen, "POST", path, &headers, STREAM).expect("sent");
    let mut bytes = vec![0; 600];
    stream.read_exact(&mut bytes).expect("the stream has started");
    cluster.process(process).suspend();
    thread::sleep(SILENCE);
    cluster.process(process).resume();
    stream.read_to_end(&mut bytes).expect("the stream ends");
    let response = http::parse_response(&bytes).unwrap_or_else(Response::missing);
    let text = response.text();
    assert!(response.status == 200 && text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[test]
fn stream_goes_on_after_its_sidecar_was_silent() {
    suspend_in_a_stream("silent_sidecar", "swift-1");
}

#[test]
fn stream_goes_on_after_its_engine_was_silent() {
    suspend_in_a_stream("silent_engine", "swift-1-upstream");
}

#[test]
fn request_is_not_given_up_when_the_only_sidecar_is_silent() {
    let mut cluster = cluster("silent_open");
    assert_eq!(cluster.send_completion("entry-1", "swift").status, 200);
    cluster.process("swift-1").suspend();
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| cluster.send_completion("entry-1", "swift"));
        thread::sleep(SILENCE);
        cluster.processes.get("swift-1").expect("it runs").resume();
        sending.join().expect("the caller gets a response")
    });
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(cluster.engine_counts("swift-1").started, 2, "the request has run once");
}
