//! A withdrawn version gets no new work, whatever has failed meanwhile.

mod common;

use async_std::task::block_on;
use common::{Cluster, GUIDES, PATIENCE, gate::Gate, http, wait_until};
use ibissail_catalogue::{
    Exchange, ExchangeReply, Generation, LifecycleState, Standing, pending_document,
};
use ibissail_core::{Fault, SigningKey};
use ibissail_execution::paths;
use ibissail_settings::KeyHash;
use ibissail_standin::PlatformFaults;
use ibissail_transport::{Keyring, Pool, PoolOptions, call};
use std::{io::Read, net::TcpStream};

const BAD: &str = "swift@2";

fn cluster(test: &str) -> Cluster {
    Cluster::with_upstreams(test, &[("swift-1", "swift@1"), ("swift-2", BAD)])
}

fn down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

/// Sends a request without waiting for its answer.
fn begin(cluster: &Cluster, entry: &str, model: &str) -> TcpStream {
    let body = format!("{{\"model\":\"{model}\",\"messages\":[]}}");
    let headers = [("authorization", "Bearer demo-key")];
    let listen = cluster.members[entry].listen;
    http::open(listen, "POST", "/v1/chat/completions", &headers, body.as_bytes()).expect("sent")
}

fn read(mut stream: TcpStream) -> http::Answer {
    let mut bytes = Vec::new();
    let _lost = stream.read_to_end(&mut bytes);
    http::parse(&bytes).unwrap_or_else(http::Answer::lost)
}

fn wait_for_all(cluster: &Cluster) {
    for name in cluster.members.keys() {
        let what = format!("{name} knows of the withdrawal");
        wait_until(&what, || cluster.has_withdrawn(name, BAD));
    }
}

#[test]
fn frozen_entry_wakes_with_old_settings() {
    let mut cluster = cluster("frozen_entry");
    cluster.start_all();
    cluster.process("entry-1").freeze();
    cluster.withdraw(BAD);
    wait_until("the sidecar knows", || cluster.has_withdrawn("swift-2", BAD));
    let started = cluster.engine("swift-2").started;
    let waiting: Vec<TcpStream> = (0..8).map(|_| begin(&cluster, "entry-1", BAD)).collect();
    let free: Vec<TcpStream> = (0..8).map(|_| begin(&cluster, "entry-1", "swift")).collect();
    cluster.process("entry-1").wake();
    for stream in waiting {
        let answer = read(stream);
        assert_eq!((answer.status, answer.kind().as_str()), (410, "version_withdrawn"));
        assert_eq!(answer.ran(), "no");
    }
    for stream in free {
        let answer = read(stream);
        assert_eq!((answer.status, answer.version()), (200, "swift@1"), "{answer:?}");
    }
    assert_eq!(cluster.engine("swift-2").started, started);
}

#[test]
fn frozen_sidecar_is_given_the_settings_before_it_runs() {
    let mut cluster = cluster("frozen_sidecar");
    cluster.start_all();
    cluster.process("swift-1").freeze();
    let added = format!(
        "{GUIDES}  newcomers:\n    keys: [\"{}\"]\n    allow: [swift]\n    default_class: lookup\n",
        KeyHash::of("new-key")
    );
    let revision = cluster.put("config/branches/root/guides", &added);
    wait_until("the entry knows the new organisation", || {
        let headers = [("authorization", "Bearer new-key")];
        let listen = cluster.members["entry-1"].listen;
        http::send(listen, "GET", "/v1/models", &headers, b"").is_some_and(|a| a.status == 200)
    });
    let headers = [("authorization", "Bearer new-key")];
    let listen = cluster.members["entry-1"].listen;
    let body = br#"{"model":"swift@1","messages":[]}"#;
    let waiting = http::open(listen, "POST", "/v1/chat/completions", &headers, body).expect("sent");
    cluster.process("swift-1").wake();
    let answer = read(waiting);
    assert_eq!((answer.status, answer.version()), (200, "swift@1"), "{answer:?}");
    let settings = cluster.status("swift-1")["settings"].to_string();
    assert!(settings.contains(&format!("\"revision\":{revision}")), "{settings}");
}

#[test]
fn platform_goes_down_right_after_the_withdrawal() {
    let mut cluster = cluster("platform_down_after");
    cluster.start_all();
    cluster.withdraw(BAD);
    let informed = ["entry-1", "entry-2", "swift-1", "swift-2"];
    let knows = |cluster: &Cluster| informed.iter().any(|name| cluster.has_withdrawn(name, BAD));
    wait_until("one process knows", || knows(&cluster));
    cluster.platform_faults(&down());
    wait_for_all(&cluster);
    let started = cluster.engine("swift-2").started;
    for entry in ["entry-1", "entry-2"].repeat(10) {
        let answer = cluster.complete(entry, "swift");
        assert_eq!((answer.status, answer.version()), (200, "swift@1"), "{answer:?}");
    }
    assert_eq!(cluster.engine("swift-2").started, started);
}

#[test]
fn process_cut_off_from_the_platform_learns_from_peers() {
    let mut cluster = cluster("cut_from_platform");
    let gates: Vec<Gate> = ["entry-1", "swift-2"]
        .iter()
        .map(|name| {
            let gate = Gate::before(cluster.platform);
            cluster.platform_for.insert((*name).to_owned(), gate.address);
            gate
        })
        .collect();
    cluster.start_all();
    for gate in &gates {
        gate.shut();
    }
    cluster.withdraw(BAD);
    wait_for_all(&cluster);
    let started = cluster.engine("swift-2").started;
    assert_eq!(cluster.complete("entry-1", BAD).kind(), "version_withdrawn");
    assert_eq!(cluster.engine("swift-2").started, started);
}

#[test]
fn vm_replaced_during_an_outage_does_not_come_back_with_older_settings() {
    let mut cluster = cluster("replaced_during_outage");
    cluster.start_all();
    cluster.withdraw(BAD);
    wait_for_all(&cluster);
    let started = cluster.engine("swift-2").started;
    cluster.platform_faults(&down());
    for name in ["entry-1", "swift-2", "swift-1"] {
        cluster.process(name).kill();
        cluster.start(name);
        cluster.wait_ready(name);
        assert!(cluster.has_withdrawn(name, BAD), "{name} is ready without the withdrawal");
    }
    for entry in ["entry-1", "entry-2"] {
        wait_until("the entry finds the new sidecar", || {
            cluster.complete(entry, "swift").version() == "swift@1"
        });
    }
    assert_eq!(cluster.complete("entry-2", BAD).kind(), "version_withdrawn");
    assert_eq!(cluster.engine("swift-2").started, started);
}

#[test]
fn running_work_is_cancelled_where_the_organisation_asks_for_it() {
    let mut cluster = cluster("running_work");
    cluster.put("config/branches/root/guides", &GUIDES.replace("finish", "cancel"));
    cluster.start_all();
    let slow = ibissail_standin::EngineFaults { slower_ms: 200, ..Default::default() };
    cluster.engine_faults("swift-2", &slow);
    let body = br#"{"model":"swift@2","stream":true,"max_tokens":1000,"messages":[]}"#;
    let headers = [("authorization", "Bearer demo-key"), ("x-ibissail-class", "draft")];
    let listen = cluster.members["entry-1"].listen;
    let mut stream =
        http::open(listen, "POST", "/v1/chat/completions", &headers, body).expect("sent");
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("the stream has begun");
    cluster.withdraw(BAD);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("the stream ends");
    let rest = String::from_utf8_lossy(&rest).into_owned();
    assert!(rest.contains("\"version_withdrawn\"") && !rest.contains("[DONE]"), "{rest}");
    wait_until("the engine has stopped", || cluster.engine("swift-2").cancelled == 1);
}

#[test]
fn withdrawal_given_to_one_process_during_an_outage_reaches_all_and_the_platform() {
    let mut cluster = cluster("direct_during_outage");
    cluster.start_all();
    cluster.platform_faults(&down());
    let answer = http::send(cluster.platform, "PUT", "/v1/objects/config/withdrawals", &[], b"{}");
    assert_eq!(answer.expect("an answer").status, 503);
    let standing = Standing { generation: Generation(0), state: LifecycleState::Withdrawn };
    let document = pending_document(&BAD.parse().expect("a version"), standing);
    let message = Exchange { documents: vec![document], ..Exchange::default() };
    let taken: Result<ExchangeReply, Fault> = block_on(call(
        &Pool::new(PoolOptions::default()),
        &Keyring::new(vec![SigningKey::new("p1".into(), "a-secret-for-tests".into())]),
        cluster.members["entry-2"].peer,
        paths::EXCHANGE,
        &message,
        PATIENCE,
    ))
    .expect("the entry answers");
    assert_eq!(taken.expect("the message is taken").accepted, 1);
    wait_for_all(&cluster);
    let started = cluster.engine("swift-2").started;
    assert_eq!(cluster.complete("entry-1", BAD).kind(), "version_withdrawn");
    assert_eq!(cluster.complete("entry-1", "swift").version(), "swift@1");
    assert_eq!(cluster.engine("swift-2").started, started);

    cluster.platform_faults(&PlatformFaults::default());
    wait_until("the platform has the withdrawal", || {
        let object = http::get(cluster.platform, "/v1/objects/config/withdrawals");
        object.is_some_and(|answer| answer.text().contains("withdrawn"))
    });
    wait_until("nothing is pending any more", || {
        cluster.members.keys().all(|name| cluster.status(name)["pending"] == serde_json::json!({}))
    });
}
