//! A sidecar runs no request with older settings than the entry has. The side with the newer
//! settings sends them to the other: the entry with its request, the sidecar with its refusal.
//!
//! The tests act as an entry and send messages to a sidecar process.

mod common;

use async_std::task::block_on;
use common::{Cluster, WAIT_TIMEOUT, wait_until};
use ibissail_catalogue::{Document, DocumentRevision, WITHDRAWALS_KEY};
use ibissail_core::{ErrorKind, Fault, Incarnation, Millis, RequestId, Revision, SigningKey};
use ibissail_execution::{Probe, ProbeReply, Refusal, RunKey, RunRequest, paths};
use ibissail_transport::{Keyring, Pool, PoolOptions, StreamResponse, call, open_stream};
use std::net::SocketAddr;

const WITHDRAWN_VERSION: &str = "swift@2";

/// Client that sends a sidecar the messages of an entry.
struct FakeEntry {
    pool: Pool,
    keyring: Keyring,
    sidecar: SocketAddr,
}

impl FakeEntry {
    fn new(cluster: &Cluster) -> Self {
        let key = SigningKey::new("p1".to_owned(), "a-secret-for-tests".to_owned());
        Self {
            pool: Pool::new(PoolOptions::default()),
            keyring: Keyring::new(vec![key]),
            sidecar: cluster.members["swift-2"].peer_listen,
        }
    }

    /// Builds a run request with the revisions and documents that the entry claims to have.
    fn request(
        &self,
        known_revisions: Vec<DocumentRevision>,
        documents: Vec<Document>,
    ) -> RunRequest {
        let probe: Result<ProbeReply, Fault> = block_on(call(
            &self.pool,
            &self.keyring,
            self.sidecar,
            paths::PROBE,
            &Probe {},
            WAIT_TIMEOUT,
        ))
        .expect("the sidecar responds");
        let probe = probe.expect("the probe succeeds");
        let request = RequestId { entry: Incarnation(1), sequence: 0 };
        RunRequest {
            key: RunKey::Attempt { request, attempt: 0 },
            incarnation: probe.incarnation,
            ticket: probe.ticket,
            organisation: "editors".parse().expect("a name"),
            target: WITHDRAWN_VERSION.parse().expect("a target"),
            session: false,
            time_left: Millis(10_000),
            fingerprint: 0,
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body: br#"{"messages":[]}"#.to_vec(),
            revisions: known_revisions,
            documents,
            claim: None,
        }
    }

    fn run(&self, req: &RunRequest) -> Result<StreamResponse, Refusal> {
        let path = paths::RUN;
        block_on(open_stream(&self.pool, &self.keyring, self.sidecar, path, req, WAIT_TIMEOUT))
            .expect("the sidecar responds")
    }
}

fn cluster(test: &str) -> Cluster {
    let mut cluster = Cluster::new(test);
    cluster.add_upstream("swift-2", WITHDRAWN_VERSION);
    cluster.start("swift-2");
    cluster.wait_ready("swift-2");
    cluster
}

fn document_revision(revision: u64) -> DocumentRevision {
    DocumentRevision { key: WITHDRAWALS_KEY.to_owned(), revision: Revision(revision) }
}

fn withdrawal_document(revision: u64) -> Document {
    let value = format!("{{\"{WITHDRAWN_VERSION}\":{{\"generation\":0,\"grade\":\"withdrawn\"}}}}");
    let DocumentRevision { key, revision } = document_revision(revision);
    Document { key, revision, value: Some(value) }
}

#[test]
fn sidecar_applies_its_newer_settings_and_returns_them() {
    let cluster = cluster("hop_sidecar_newer");
    let entry = FakeEntry::new(&cluster);
    let revision = cluster.withdraw(WITHDRAWN_VERSION);
    wait_until("the sidecar has applied the withdrawal", || {
        cluster.has_withdrawn("swift-2", WITHDRAWN_VERSION)
    });
    let refusal = entry.run(&entry.request(Vec::new(), Vec::new())).expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::VersionWithdrawn);
    assert!(refusal.newer.contains(&withdrawal_document(revision)), "{refusal:?}");
    assert_eq!(cluster.engine_counts("swift-2").started, 0);
}

#[test]
fn sidecar_does_not_run_with_older_settings_than_the_entry() {
    let cluster = cluster("hop_sidecar_older");
    let entry = FakeEntry::new(&cluster);
    let newer = 1_000;
    let refusal = entry
        .run(&entry.request(vec![document_revision(newer)], Vec::new()))
        .expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::SettingsBehind);
    assert_eq!(refusal.wanted, [WITHDRAWALS_KEY]);
    let with_document =
        entry.request(vec![document_revision(newer)], vec![withdrawal_document(newer)]);
    let refusal = entry.run(&with_document).expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::VersionWithdrawn);
    assert!(cluster.has_withdrawn("swift-2", WITHDRAWN_VERSION));
    let refusal = entry.run(&entry.request(Vec::new(), Vec::new())).expect_err("a refusal");
    assert_eq!(
        refusal.fault.kind,
        ErrorKind::VersionWithdrawn,
        "an older message does not revert the withdrawal"
    );
    assert_eq!(cluster.engine_counts("swift-2").started, 0);
}

#[test]
fn messages_with_an_invalid_signature_are_rejected() {
    let cluster = cluster("hop_invalid_signature");
    let mut entry = FakeEntry::new(&cluster);
    let req = entry.request(Vec::new(), Vec::new());
    let wrong = SigningKey::new("p1".to_owned(), "another-secret-here".to_owned());
    entry.keyring = Keyring::new(vec![wrong]);
    let path = paths::RUN;
    let sent: Result<Result<StreamResponse, Refusal>, _> =
        block_on(open_stream(&entry.pool, &entry.keyring, entry.sidecar, path, &req, WAIT_TIMEOUT));
    assert!(sent.is_err());
    assert_eq!(cluster.engine_counts("swift-2").started, 0);
}
