//! A withdrawn version gets no new requests, also under failures.

mod common;

use async_std::task::block_on;
use common::{Cluster, GUIDES_SETTINGS, WAIT_TIMEOUT, fault_proxy::FaultProxy, http, wait_until};
use ibissail_catalogue::{
    Exchange, ExchangeReply, Generation, LifecycleState, Standing, pending_document,
};
use ibissail_core::{Fault, SigningKey};
use ibissail_execution::paths;
use ibissail_settings::KeyHash;
use ibissail_standin::PlatformFaults;
use ibissail_transport::{Keyring, Pool, PoolOptions, call};
use std::{io::Read, net::TcpStream};

const WITHDRAWN_VERSION: &str = "swift@2";

fn cluster(test: &str) -> Cluster {
    Cluster::with_upstreams(test, &[("swift-1", "swift@1"), ("swift-2", WITHDRAWN_VERSION)])
}

fn platform_down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

/// Sends a completion request without waiting for its response.
fn start_completion(cluster: &Cluster, entry: &str, model: &str) -> TcpStream {
    let body = format!("{{\"model\":\"{model}\",\"messages\":[]}}");
    let headers = [("authorization", "Bearer demo-key")];
    let listen = cluster.members[entry].listen;
    http::start_request(listen, "POST", "/v1/chat/completions", &headers, body.as_bytes())
        .expect("sent")
}

fn read_response(mut stream: TcpStream) -> http::Response {
    let mut bytes = Vec::new();
    let _lost = stream.read_to_end(&mut bytes);
    http::parse_response(&bytes).unwrap_or_else(http::Response::missing)
}

fn wait_for_withdrawal(cluster: &Cluster) {
    for name in cluster.members.keys() {
        let what = format!("{name} has applied the withdrawal");
        wait_until(&what, || cluster.has_withdrawn(name, WITHDRAWN_VERSION));
    }
}

#[test]
fn suspended_entry_resumes_with_stale_settings() {
    let mut cluster = cluster("suspended_entry");
    cluster.start_all();
    cluster.process("entry-1").suspend();
    cluster.withdraw(WITHDRAWN_VERSION);
    wait_until("the sidecar has applied the withdrawal", || {
        cluster.has_withdrawn("swift-2", WITHDRAWN_VERSION)
    });
    let started = cluster.engine_counts("swift-2").started;
    let pinned: Vec<TcpStream> =
        (0..8).map(|_| start_completion(&cluster, "entry-1", WITHDRAWN_VERSION)).collect();
    let unpinned: Vec<TcpStream> =
        (0..8).map(|_| start_completion(&cluster, "entry-1", "swift")).collect();
    cluster.process("entry-1").resume();
    for stream in pinned {
        let response = read_response(stream);
        assert_eq!((response.status, response.error_kind().as_str()), (410, "version_withdrawn"));
        assert_eq!(response.ran(), "no");
    }
    for stream in unpinned {
        let response = read_response(stream);
        assert_eq!((response.status, response.version()), (200, "swift@1"), "{response:?}");
    }
    assert_eq!(cluster.engine_counts("swift-2").started, started);
}

#[test]
fn suspended_sidecar_gets_the_settings_before_it_runs_a_request() {
    let mut cluster = cluster("suspended_sidecar");
    cluster.start_all();
    cluster.process("swift-1").suspend();
    let added = format!(
        "{GUIDES_SETTINGS}  newcomers:\n    keys: [\"{}\"]\n    allow: [swift]\n    default_class: lookup\n",
        KeyHash::of("new-key")
    );
    let revision = cluster.put("config/branches/root/guides", &added);
    wait_until("the entry accepts the key of the new organisation", || {
        let headers = [("authorization", "Bearer new-key")];
        let listen = cluster.members["entry-1"].listen;
        http::send(listen, "GET", "/v1/models", &headers, b"").is_some_and(|a| a.status == 200)
    });
    let headers = [("authorization", "Bearer new-key")];
    let listen = cluster.members["entry-1"].listen;
    let body = br#"{"model":"swift@1","messages":[]}"#;
    let waiting =
        http::start_request(listen, "POST", "/v1/chat/completions", &headers, body).expect("sent");
    cluster.process("swift-1").resume();
    let response = read_response(waiting);
    assert_eq!((response.status, response.version()), (200, "swift@1"), "{response:?}");
    let settings = cluster.status("swift-1")["settings"].to_string();
    assert!(settings.contains(&format!("\"revision\":{revision}")), "{settings}");
}

#[test]
fn platform_goes_down_right_after_the_withdrawal() {
    let mut cluster = cluster("platform_down_after");
    cluster.start_all();
    cluster.withdraw(WITHDRAWN_VERSION);
    let names = ["entry-1", "entry-2", "swift-1", "swift-2"];
    let has_any =
        |cluster: &Cluster| names.iter().any(|name| cluster.has_withdrawn(name, WITHDRAWN_VERSION));
    wait_until("one process has applied the withdrawal", || has_any(&cluster));
    cluster.set_faults(&platform_down());
    wait_for_withdrawal(&cluster);
    let started = cluster.engine_counts("swift-2").started;
    for entry in ["entry-1", "entry-2"].repeat(10) {
        let response = cluster.send_completion(entry, "swift");
        assert_eq!((response.status, response.version()), (200, "swift@1"), "{response:?}");
    }
    assert_eq!(cluster.engine_counts("swift-2").started, started);
}

#[test]
fn process_without_the_platform_gets_the_withdrawal_from_peers() {
    let mut cluster = cluster("without_platform");
    let proxies: Vec<FaultProxy> = ["entry-1", "swift-2"]
        .iter()
        .map(|name| {
            let proxy = FaultProxy::start(cluster.platform);
            cluster.platform_overrides.insert((*name).to_owned(), proxy.address);
            proxy
        })
        .collect();
    cluster.start_all();
    for proxy in &proxies {
        proxy.close();
    }
    cluster.withdraw(WITHDRAWN_VERSION);
    wait_for_withdrawal(&cluster);
    let started = cluster.engine_counts("swift-2").started;
    assert_eq!(
        cluster.send_completion("entry-1", WITHDRAWN_VERSION).error_kind(),
        "version_withdrawn"
    );
    assert_eq!(cluster.engine_counts("swift-2").started, started);
}

#[test]
fn vm_replaced_during_an_outage_has_the_withdrawal_when_ready() {
    let mut cluster = cluster("replaced_during_outage");
    cluster.start_all();
    cluster.withdraw(WITHDRAWN_VERSION);
    wait_for_withdrawal(&cluster);
    let started = cluster.engine_counts("swift-2").started;
    cluster.set_faults(&platform_down());
    for name in ["entry-1", "swift-2", "swift-1"] {
        cluster.process(name).kill();
        cluster.start(name);
        cluster.wait_ready(name);
        assert!(
            cluster.has_withdrawn(name, WITHDRAWN_VERSION),
            "{name} is ready without the withdrawal"
        );
    }
    for entry in ["entry-1", "entry-2"] {
        wait_until("the entry uses the restarted sidecar", || {
            cluster.send_completion(entry, "swift").version() == "swift@1"
        });
    }
    assert_eq!(
        cluster.send_completion("entry-2", WITHDRAWN_VERSION).error_kind(),
        "version_withdrawn"
    );
    assert_eq!(cluster.engine_counts("swift-2").started, started);
}

#[test]
fn running_request_is_cancelled_if_so_configured() {
    let mut cluster = cluster("running_request");
    cluster.put("config/branches/root/guides", &GUIDES_SETTINGS.replace("finish", "cancel"));
    cluster.start_all();
    let slow = ibissail_standin::EngineFaults { slower_ms: 200, ..Default::default() };
    cluster.set_engine_faults("swift-2", &slow);
    let body = br#"{"model":"swift@2","stream":true,"max_tokens":1000,"messages":[]}"#;
    let headers = [("authorization", "Bearer demo-key"), ("x-ibissail-class", "draft")];
    let listen = cluster.members["entry-1"].listen;
    let mut stream =
        http::start_request(listen, "POST", "/v1/chat/completions", &headers, body).expect("sent");
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("the stream has started");
    cluster.withdraw(WITHDRAWN_VERSION);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("the stream ends");
    let rest = String::from_utf8_lossy(&rest).into_owned();
    assert!(rest.contains("\"version_withdrawn\"") && !rest.contains("[DONE]"), "{rest}");
    wait_until("the engine has cancelled the run", || {
        cluster.engine_counts("swift-2").cancelled == 1
    });
}

#[test]
fn withdrawal_sent_to_one_process_during_an_outage_reaches_all_and_the_platform() {
    let mut cluster = cluster("direct_during_outage");
    cluster.start_all();
    cluster.set_faults(&platform_down());
    let response =
        http::send(cluster.platform, "PUT", "/v1/objects/config/withdrawals", &[], b"{}");
    assert_eq!(response.expect("a response").status, 503);
    let standing = Standing { generation: Generation(0), state: LifecycleState::Withdrawn };
    let document = pending_document(&WITHDRAWN_VERSION.parse().expect("a version"), standing);
    let message = Exchange { documents: vec![document], ..Exchange::default() };
    let reply: Result<ExchangeReply, Fault> = block_on(call(
        &Pool::new(PoolOptions::default()),
        &Keyring::new(vec![SigningKey::new("p1".into(), "a-secret-for-tests".into())]),
        cluster.members["entry-2"].peer_listen,
        paths::EXCHANGE,
        &message,
        WAIT_TIMEOUT,
    ))
    .expect("the entry responds");
    assert_eq!(reply.expect("the message is accepted").accepted, 1);
    wait_for_withdrawal(&cluster);
    let started = cluster.engine_counts("swift-2").started;
    assert_eq!(
        cluster.send_completion("entry-1", WITHDRAWN_VERSION).error_kind(),
        "version_withdrawn"
    );
    assert_eq!(cluster.send_completion("entry-1", "swift").version(), "swift@1");
    assert_eq!(cluster.engine_counts("swift-2").started, started);

    cluster.set_faults(&PlatformFaults::default());
    wait_until("the platform has stored the withdrawal", || {
        let object = http::get(cluster.platform, "/v1/objects/config/withdrawals");
        object.is_some_and(|response| response.text().contains("withdrawn"))
    });
    wait_until("no withdrawal is pending", || {
        cluster.members.keys().all(|name| cluster.status(name)["pending"] == serde_json::json!({}))
    });
}
