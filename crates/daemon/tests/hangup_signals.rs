//! SIGHUP, which a closed terminal sends as well, interrupts no request.

mod common;

use common::{
    Cluster,
    http::{self, Response},
};
use ibissail_standin::EngineFaults;
use std::io::Read;

const STREAM: &[u8] =
    br#"{"model":"swift","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"a"}]}"#;

fn hang_up_in_a_stream(case: &str, process: &str) {
    let mut cluster = Cluster::new(case);
    cluster.add_entry("entry-1");
    cluster.add_upstream("swift-1", "swift@1");
    cluster.start_all();
    let slow = EngineFaults { slower_ms: 30, ..EngineFaults::default() };
    cluster.set_engine_faults("swift-1", &slow);
    let (listen, headers) =
        (cluster.members["entry-1"].listen, [("authorization", "Bearer demo-key")]);
    let path = "/v1/chat/completions";
    let mut stream = http::start_request(listen, "POST", path, &headers, STREAM).expect("sent");
    let mut bytes = vec![0; 600];
    stream.read_exact(&mut bytes).expect("the stream has started");
    cluster.process(process).signal("-HUP");
    let _cut = stream.read_to_end(&mut bytes);
    let response = http::parse_response(&bytes).unwrap_or_else(Response::missing);
    let text = response.text();
    assert!(response.status == 200 && text.ends_with("data: [DONE]\n\n"), "{response:?}");
}

#[test]
fn hangup_signal_does_not_cut_the_streams_of_an_entry() {
    hang_up_in_a_stream("hangup_entry", "entry-1");
}

#[test]
fn hangup_signal_does_not_cut_the_streams_of_a_sidecar() {
    hang_up_in_a_stream("hangup_sidecar", "swift-1");
}
