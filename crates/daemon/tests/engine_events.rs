//! Only what an engine has made as an event of a completion, or as a completion, is delivered and billed.

mod common;

use common::{Cluster, http, wait_until};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

const EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Blocks that are no event of a completion.
const FOREIGN: [&str; 22] = [
    "garbage\n\n",
    "\u{1}\u{2}\u{3}\n\n",
    "<html>\n<p style=\"a: b\">Bad Gateway</p>\n</html>\n\n",
    "{\"choices\": []}\n\n",
    "id: 4\n\n",
    "event: ping\n\n",
    "data\n\n",
    "data: 5\n\n",
    "data: null\n\n",
    "data: {}\n\n",
    "data: [[], null, null]\n\n",
    "data: {\"choices\": 5}\n\n",
    "data: {\"choices\": [5]}\n\n",
    "data: {\"error\": 5}\n\n",
    "data: [DONE]5\n\n",
    "garbage\ndata: {\"choices\": []}\n\n",
    "garbage\r\n\r\n",
    ": x\r\rdata: foreign\r\r\n\n",
    "event: x\rdata: foreign\ndata: {\"choices\":[{}]}\n\n",
    "id: 4\r\rdata: foreign\r\r\ndata: {\"choices\":[{}]}\n\n",
    "retry:\n\n",
    "data: {\"choices\":[[]]}\n\n",
];

/// Starts an engine that responds with these parts.
fn start_engine(address: SocketAddr, parts: Vec<String>) {
    let listener = TcpListener::bind(address).expect("the port is free");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = Vec::new();
            let mut buf = [0; 4096];
            // A connection that is closed before it has been read to its end may lose its response.
            while !request.ends_with(b"}") {
                let Ok(count @ 1..) = stream.read(&mut buf) else { break };
                request.extend_from_slice(&buf[..count]);
            }
            for part in &parts {
                let _sent = stream.write_all(part.as_bytes());
                thread::sleep(Duration::from_millis(5));
            }
        }
    });
}

/// Response to a completion whose engine sends these parts.
fn send(test: &str, parts: Vec<String>, is_stream: bool) -> (Cluster, http::Response) {
    let mut cluster = Cluster::new(test);
    cluster.add_entry("entry-1");
    cluster.add_sidecar_without_upstream("engine-1", "swift@1");
    let address = cluster.members["engine-1"].upstream.as_ref().expect("an upstream").0;
    start_engine(address, parts);
    cluster.start_all();
    cluster.wait_for_upstreams();
    let body = format!(
        r#"{{"model":"swift","stream":{is_stream},"messages":[{{"role":"user","content":"a"}}]}}"#
    );
    let response = cluster.post("entry-1", "/v1/chat/completions", &[], body.as_bytes());
    (cluster, response)
}

fn send_stream<'t, T>(test: &str, chunks: T) -> (Cluster, http::Response)
where
    T: IntoIterator<Item = &'t [u8]>,
{
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let mut parts = vec![head.to_owned()];
    for chunk in chunks {
        let chunk = String::from_utf8_lossy(chunk);
        parts.push(format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    parts.push("0\r\n\r\n".to_owned());
    send(test, parts, true)
}

fn send_body(test: &str, body: &str) -> (Cluster, http::Response) {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
    let response = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    send(test, vec![response], false)
}

/// Tokens of the only request that the ledgers contain.
fn billed_tokens(cluster: &Cluster) -> (u64, u64) {
    let totals = || cluster.ledger_totals().get("swift@1").copied().unwrap_or_default();
    wait_until("the request is billed", || totals().0 == 1);
    let (_, input, output) = totals();
    (input, output)
}

/// Guards against bytes that are no event, which are delivered and billed.
#[test]
fn bytes_that_are_no_event_break_a_stream_off() {
    let mut wrong = Vec::new();
    for (number, foreign) in FOREIGN.into_iter().enumerate() {
        for after in [0, 2] {
            let before = EVENT.repeat(after);
            let chunks = [&before, foreign, EVENT, DONE].map(str::as_bytes);
            let chunks = chunks.into_iter().filter(|chunk| !chunk.is_empty());
            let (_, response) = send_stream(&format!("engine_foreign_{number}_{after}"), chunks);
            let text = response.text();
            if text.contains("[DONE]") || !foreign.starts_with("data: {") && text.contains(foreign)
            {
                wrong.push((foreign, after));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), 2 * FOREIGN.len());
}

/// Guards against sound streams that are refused, or that end as incomplete.
#[test]
fn unusual_events_of_an_engine_are_delivered() {
    const EVENTS: &str = "\n: begin\n\nretry: 500\n\n: x\nevent: note\nid: a\ndata:{\"choices\":\n\
                          data: [], \"error\":null}\n\n\ndata: {\"error\":{\"code\":5}}\n\n";
    let ends = [DONE, "data:[DONE]\n\n", "data: [DONE]\r\n\r\n", ": x\ndata: [DONE]\n\n"];
    for (number, end) in ends.into_iter().enumerate() {
        for line_end in ["\n", "\r\n"] {
            let events = EVENTS.replace('\n', line_end);
            let text = format!("{events}{end}");
            let case = format!("engine_unusual_{number}_{}", line_end.len());
            let (_, response) = send_stream(&case, text.as_bytes().chunks(7));
            let comment = if end.starts_with(':') { ": x\n" } else { "" };
            assert_eq!(response.text(), format!("{events}{comment}{DONE}"), "{end:?}");
        }
    }
}

/// Guards against events with CRLF line ends that wait for the end of the stream.
#[test]
fn events_with_other_line_ends_are_delivered_before_a_break() {
    let event = EVENT.replace('\n', "\r\n");
    let comments = [": x\r\n\r\n"; 20];
    let chunks = [&[event.as_str()][..], &comments, &["garbage\r\n\r\n"]].concat();
    let chunks = chunks.into_iter().map(str::as_bytes);
    let (_, response) = send_stream("engine_crlf_break", chunks);
    assert!(response.text().starts_with(&event), "{response:?}");
    assert!(response.text().contains("\"incomplete\""), "{response:?}");
}

/// Guards against tokens billed for comments, for errors and as an impossible usage says.
#[test]
fn only_events_with_choices_are_billed_without_a_sound_usage() {
    let usages = ["-1", "{\"prompt_tokens\":1,\"completion_tokens\":-7}", "[1,7]", "{}"];
    for (number, usage) in usages.into_iter().enumerate() {
        let report = format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\n");
        let error = "data: {\"error\":{\"code\":5}}\n\n";
        let chunks = [": x\n\n", EVENT, EVENT, error, &report, DONE].map(str::as_bytes);
        let (cluster, response) = send_stream(&format!("engine_usage_{number}"), chunks);
        assert!(response.text().ends_with(DONE), "{response:?}");
        assert!(!response.text().contains("usage"), "{response:?}");
        assert_eq!(billed_tokens(&cluster), (0, 2), "{usage}");
        assert!(cluster.log("engine-1").contains("upstream: usage not counted"), "{usage}");
    }
}

/// Guards against bodies that are delivered as completions because they are JSON.
#[test]
fn json_that_is_no_completion_is_not_delivered() {
    let bodies = ["5", "null", "[]", "{}", "[{}]", "\"a\"", "{\"choices\":5}", "{\"usage\":{}}"];
    let mut wrong = Vec::new();
    for (number, body) in bodies.into_iter().enumerate() {
        let (_, response) = send_body(&format!("engine_json_{number}"), body);
        if response.status == 200 {
            wrong.push(body);
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), bodies.len());
}

/// Guards against an impossible usage of a completion that nobody hears of.
#[test]
fn impossible_usage_of_a_completion_is_logged() {
    let body = "{\"choices\":[{}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":-7}}";
    let (cluster, response) = send_body("engine_body_usage", body);
    assert_eq!((response.status, response.text()), (200, body.into()), "{response:?}");
    assert_eq!(billed_tokens(&cluster), (0, 0));
    assert!(cluster.log("engine-1").contains("upstream: usage not counted"));
}
