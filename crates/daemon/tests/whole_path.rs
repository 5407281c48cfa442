//! Requests from callers through entries and sidecars to engines.

mod common;

use common::{API_KEY, Cluster, http, wait_until};

fn cluster(test: &str) -> Cluster {
    let upstreams = [("swift-1", "swift@1"), ("swift-2", "swift@2"), ("strong-1", "strong@1")];
    let mut cluster = Cluster::with_upstreams(test, &upstreams);
    cluster.start_all();
    cluster
}

#[test]
fn complete_and_streaming_responses_through_both_entries() {
    let cluster = cluster("complete_and_streaming");
    for entry in ["entry-1", "entry-2"] {
        let response = cluster.send_completion(entry, "strong");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.version(), "strong@1");
        assert_eq!(response.json()["usage"]["completion_tokens"], 8);

        let body = br#"{"model":"strong","stream":true,"max_tokens":3,"messages":[]}"#;
        let response = cluster.post(entry, "/v1/chat/completions", &[], body);
        let events: Vec<String> = response.text().lines().map(str::to_owned).collect();
        assert_eq!(response.status, 200);
        assert_eq!(events.iter().filter(|line| line.contains("\"content\"")).count(), 3);
        assert!(response.text().ends_with("data: [DONE]\n\n"), "{}", response.text());
        assert!(!response.text().contains("usage"), "the caller did not ask for usage");
    }
    assert_eq!(cluster.engine_counts("strong-1").finished, 4);
}

#[test]
fn withdrawn_version_gets_no_new_requests() {
    let cluster = cluster("withdrawn_version");
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let response = cluster.send_completion("entry-1", "swift");
        assert_eq!(response.status, 200, "{response:?}");
        seen.insert(response.version().to_owned());
    }
    assert_eq!(seen.len(), 2, "both versions get requests before the withdrawal: {seen:?}");

    cluster.withdraw("swift@2");
    wait_until("one entry has applied the withdrawal", || {
        cluster.has_withdrawn("entry-1", "swift@2")
    });
    let started = cluster.engine_counts("swift-2").started;
    for entry in ["entry-1", "entry-2"].repeat(20) {
        let response = cluster.send_completion(entry, "swift");
        assert_eq!(response.version(), "swift@1", "{response:?}");
    }
    let response = cluster.send_completion("entry-1", "swift@2");
    assert_eq!((response.status, response.error_kind().as_str()), (410, "version_withdrawn"));
    assert_eq!(response.ran(), "no");
    assert_eq!(cluster.engine_counts("swift-2").started, started);
}

#[test]
fn sessions_keep_their_version() {
    let cluster = cluster("sessions");
    let created = cluster.post("entry-1", "/v1/sessions", &[], br#"{"model":"swift"}"#);
    let version = created.json()["model"].as_str().unwrap_or_default().to_owned();
    let token = created.json()["session"].as_str().unwrap_or_default().to_owned();
    let headers = [("x-ibissail-session", token.as_str())];
    for entry in ["entry-1", "entry-2"].repeat(5) {
        assert_eq!(cluster.send_completion_with(entry, "swift", &headers).version(), version);
    }
    cluster.withdraw(&version);
    wait_until("the entry has applied the withdrawal", || {
        cluster.has_withdrawn("entry-2", &version)
    });
    let response = cluster.send_completion_with("entry-2", "swift", &headers);
    assert_eq!((response.status, response.error_kind().as_str()), (410, "version_withdrawn"));
}

#[test]
fn organisations_see_only_models_they_may_use() {
    let cluster = cluster("organisations");
    let listen = cluster.members["entry-1"].listen;
    let models = |key: &str| {
        let headers = [("authorization", key)];
        http::send(listen, "GET", "/v1/models", &headers, b"").expect("a response").text()
    };
    assert!(models(&format!("Bearer {API_KEY}")).contains("strong@1"));
    assert!(!models("Bearer shop-key").contains("strong"));
    assert!(models("Bearer wrong").contains("unauthorized"));
}
