//! Requests go from entries to engines, and a withdrawn version gets no new work.

mod common;

use common::{Cluster, KEY, http, wait_until};

fn cluster(test: &str) -> Cluster {
    let upstreams = [("swift-1", "swift@1"), ("swift-2", "swift@2"), ("strong-1", "strong@1")];
    let mut cluster = Cluster::with_upstreams(test, &upstreams);
    cluster.start_all();
    cluster
}

#[test]
fn whole_and_streaming_answers_through_both_entries() {
    let cluster = cluster("whole_and_streaming");
    for entry in ["entry-1", "entry-2"] {
        let answer = cluster.complete(entry, "strong");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.version(), "strong@1");
        assert_eq!(answer.json()["usage"]["completion_tokens"], 8);

        let body = br#"{"model":"strong","stream":true,"max_tokens":3,"messages":[]}"#;
        let answer = cluster.post(entry, "/v1/chat/completions", &[], body);
        let events: Vec<String> = answer.text().lines().map(str::to_owned).collect();
        assert_eq!(answer.status, 200);
        assert_eq!(events.iter().filter(|line| line.contains("\"content\"")).count(), 3);
        assert!(answer.text().ends_with("data: [DONE]\n\n"), "{}", answer.text());
        assert!(!answer.text().contains("usage"), "the caller did not ask for usage");
    }
    assert_eq!(cluster.engine("strong-1").finished, 4);
}

#[test]
fn withdrawn_version_gets_no_new_work() {
    let cluster = cluster("withdrawn_version");
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let answer = cluster.complete("entry-1", "swift");
        assert_eq!(answer.status, 200, "{answer:?}");
        seen.insert(answer.version().to_owned());
    }
    assert_eq!(seen.len(), 2, "both versions get work before: {seen:?}");

    cluster.withdraw("swift@2");
    wait_until("one entry knows of the withdrawal", || cluster.has_withdrawn("entry-1", "swift@2"));
    let started = cluster.engine("swift-2").started;
    for entry in ["entry-1", "entry-2"].repeat(20) {
        let answer = cluster.complete(entry, "swift");
        assert_eq!(answer.version(), "swift@1", "{answer:?}");
    }
    let answer = cluster.complete("entry-1", "swift@2");
    assert_eq!((answer.status, answer.kind().as_str()), (410, "version_withdrawn"));
    assert_eq!(answer.ran(), "no");
    assert_eq!(cluster.engine("swift-2").started, started);
}

#[test]
fn sessions_keep_their_version() {
    let cluster = cluster("sessions");
    let begun = cluster.post("entry-1", "/v1/sessions", &[], br#"{"model":"swift"}"#);
    let version = begun.json()["model"].as_str().unwrap_or_default().to_owned();
    let token = begun.json()["session"].as_str().unwrap_or_default().to_owned();
    let headers = [("x-ibissail-session", token.as_str())];
    for entry in ["entry-1", "entry-2"].repeat(5) {
        assert_eq!(cluster.complete_with(entry, "swift", &headers).version(), version);
    }
    cluster.withdraw(&version);
    wait_until("the withdrawal is known", || cluster.has_withdrawn("entry-2", &version));
    let answer = cluster.complete_with("entry-2", "swift", &headers);
    assert_eq!((answer.status, answer.kind().as_str()), (410, "version_withdrawn"));
}

#[test]
fn organisations_see_only_what_they_may_use() {
    let cluster = cluster("organisations");
    let listen = cluster.members["entry-1"].listen;
    let models = |key: &str| {
        let headers = [("authorization", key)];
        http::send(listen, "GET", "/v1/models", &headers, b"").expect("an answer").text()
    };
    assert!(models(&format!("Bearer {KEY}")).contains("strong@1"));
    assert!(!models("Bearer shop-key").contains("strong"));
    assert!(models("Bearer wrong").contains("unauthorized"));
}
