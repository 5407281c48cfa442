//! Whoever has newer settings gives them to the other before a request may run.
//!
//! The test plays an entry: it speaks the protocol between processes to a real sidecar.

mod common;

use async_std::task::block_on;
use common::{Cluster, PATIENCE, wait_until};
use ibissail_catalogue::{Document, DocumentRevision, WITHDRAWALS_KEY};
use ibissail_core::{ErrorKind, Fault, Incarnation, Millis, RequestId, Revision, SigningKey};
use ibissail_execution::{Probe, ProbeReply, Refusal, RunKey, RunRequest, paths};
use ibissail_transport::{Keyring, Pool, PoolOptions, StreamResponse, call, open_stream};
use std::net::SocketAddr;

const BAD: &str = "swift@2";

struct Entry {
    pool: Pool,
    keyring: Keyring,
    sidecar: SocketAddr,
}

impl Entry {
    fn new(cluster: &Cluster) -> Self {
        let key = SigningKey::new("p1".to_owned(), "a-secret-for-tests".to_owned());
        Self {
            pool: Pool::new(PoolOptions::default()),
            keyring: Keyring::new(vec![key]),
            sidecar: cluster.members["swift-2"].peer,
        }
    }

    fn request(&self, stamps: Vec<DocumentRevision>, documents: Vec<Document>) -> RunRequest {
        let probe: Result<ProbeReply, Fault> = block_on(call(
            &self.pool,
            &self.keyring,
            self.sidecar,
            paths::PROBE,
            &Probe {},
            PATIENCE,
        ))
        .expect("the sidecar answers");
        let probe = probe.expect("a probe is not refused");
        let request = RequestId { entry: Incarnation(1), sequence: 0 };
        RunRequest {
            key: RunKey::Attempt { request, attempt: 0 },
            incarnation: probe.incarnation,
            ticket: probe.ticket,
            organisation: "editors".parse().expect("a name"),
            target: BAD.parse().expect("a target"),
            session: false,
            time_left: Millis(10_000),
            fingerprint: 0,
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body: br#"{"messages":[]}"#.to_vec(),
            revisions: stamps,
            documents,
            claim: None,
        }
    }

    fn run(&self, req: &RunRequest) -> Result<StreamResponse, Refusal> {
        let path = paths::RUN;
        block_on(open_stream(&self.pool, &self.keyring, self.sidecar, path, req, PATIENCE))
            .expect("the sidecar answers")
    }
}

fn cluster(test: &str) -> Cluster {
    let mut cluster = Cluster::new(test);
    cluster.add_upstream("swift-2", BAD);
    cluster.start("swift-2");
    cluster.wait_ready("swift-2");
    cluster
}

fn stamp(revision: u64) -> DocumentRevision {
    DocumentRevision { key: WITHDRAWALS_KEY.to_owned(), revision: Revision(revision) }
}

fn withdrawals(revision: u64) -> Document {
    let value = format!("{{\"{BAD}\":{{\"generation\":0,\"grade\":\"withdrawn\"}}}}");
    let DocumentRevision { key, revision } = stamp(revision);
    Document { key, revision, value: Some(value) }
}

#[test]
fn sidecar_refuses_by_its_newer_settings_and_hands_them_over() {
    let cluster = cluster("hop_sidecar_newer");
    let entry = Entry::new(&cluster);
    let revision = cluster.withdraw(BAD);
    wait_until("the sidecar knows", || cluster.has_withdrawn("swift-2", BAD));
    let refusal = entry.run(&entry.request(Vec::new(), Vec::new())).expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::VersionWithdrawn);
    assert!(refusal.newer.contains(&withdrawals(revision)), "{refusal:?}");
    assert_eq!(cluster.engine("swift-2").started, 0);
}

#[test]
fn sidecar_does_not_run_by_older_settings_than_the_entry_has() {
    let cluster = cluster("hop_sidecar_older");
    let entry = Entry::new(&cluster);
    let newer = 1_000;
    let refusal = entry.run(&entry.request(vec![stamp(newer)], Vec::new())).expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::SettingsBehind);
    assert_eq!(refusal.wanted, [WITHDRAWALS_KEY]);
    let given = entry.request(vec![stamp(newer)], vec![withdrawals(newer)]);
    let refusal = entry.run(&given).expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::VersionWithdrawn);
    assert!(cluster.has_withdrawn("swift-2", BAD));
    let refusal = entry.run(&entry.request(Vec::new(), Vec::new())).expect_err("a refusal");
    assert_eq!(refusal.fault.kind, ErrorKind::VersionWithdrawn, "an old message undoes nothing");
    assert_eq!(cluster.engine("swift-2").started, 0);
}

#[test]
fn messages_of_strangers_are_not_accepted() {
    let cluster = cluster("hop_strangers");
    let mut entry = Entry::new(&cluster);
    let req = entry.request(Vec::new(), Vec::new());
    let wrong = SigningKey::new("p1".to_owned(), "another-secret-here".to_owned());
    entry.keyring = Keyring::new(vec![wrong]);
    let path = paths::RUN;
    let sent: Result<Result<StreamResponse, Refusal>, _> =
        block_on(open_stream(&entry.pool, &entry.keyring, entry.sidecar, path, &req, PATIENCE));
    assert!(sent.is_err());
    assert_eq!(cluster.engine("swift-2").started, 0);
}
