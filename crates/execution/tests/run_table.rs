//! Rules of the run table: keyed runs start at most once, also when requests are duplicated or
//! reordered; fencing, expiry and limits.

use ibissail_core::{ByteSize, ErrorKind, Fault, Incarnation, Millis, RequestId, Revision, Tokens};
use ibissail_execution::{
    Admission, Claim, Digest, FencingToken, RunKey, RunOutcome, RunRequest, RunTable,
    RunTableLimits, TokenCounts, VersionedClaim,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const SEEDS: u64 = 2_000;
const INCARNATION: Incarnation = Incarnation(7);

fn limits() -> RunTableLimits {
    RunTableLimits {
        concurrency: 4,
        memory: ByteSize(1 << 20),
        retention: Millis(600_000),
        attempt_retention: Millis(30_000),
        max_ticket_age: Millis(60_000),
    }
}

fn keyed(key: u64) -> RunKey {
    RunKey::Keyed { organisation: "huts".parse().expect("a name"), key: key.to_string() }
}

fn request(key: RunKey, ticket: Millis, incarnation: Incarnation) -> RunRequest {
    RunRequest {
        key,
        incarnation,
        ticket,
        organisation: "huts".parse().expect("a name"),
        target: "service:payouts".parse().expect("a target"),
        session: false,
        time_left: Millis(1_000),
        fingerprint: 1,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        content_type: String::new(),
        body: Vec::new(),
        revisions: Vec::new(),
        documents: Vec::new(),
        claim: None,
    }
}

fn with_claim(req: RunRequest, token: FencingToken) -> RunRequest {
    let claim = Claim {
        request: RequestId { entry: Incarnation(1), sequence: 0 },
        fingerprint: req.fingerprint,
        vm: "payouts-1".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: req.incarnation,
        fencing_token: token,
        outcome: None,
    };
    RunRequest { claim: Some(VersionedClaim { claim, revision: Revision(1) }), ..req }
}

fn complete() -> RunOutcome {
    RunOutcome::Complete {
        status: 200,
        content_type: String::new(),
        length: 0,
        digest: Digest(0),
        tokens: TokenCounts { input: Tokens(0), output: Tokens(0) },
    }
}

/// Run requests are duplicated, delayed and reordered. A key must start at most once, and never
/// under a claim after the table has reported that its run did not and will not start under that
/// claim. As in the protocol, the next claim is created only after such a report.
#[test]
fn a_key_starts_at_most_once_under_reordered_duplicates() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = RunTable::new(INCARNATION, limits());
        let mut now = Millis(0);
        let mut start_counts: BTreeMap<RunKey, u32> = BTreeMap::new();
        let mut fenced: BTreeMap<RunKey, FencingToken> = BTreeMap::new();
        let mut tokens: BTreeMap<RunKey, FencingToken> = BTreeMap::new();
        let mut in_flight: Vec<RunRequest> = Vec::new();
        for _ in 0..120 {
            now = now.saturating_add(Millis(rng.random_range(0..40_000)));
            let key = keyed(rng.random_range(0..4));
            match rng.random_range(0..9) {
                0..=2 => {
                    let incarnation =
                        if rng.random_bool(0.9) { INCARNATION } else { Incarnation(8) };
                    let token = tokens.get(&key).copied().unwrap_or_default();
                    in_flight.push(with_claim(request(key, now, incarnation), token));
                }
                3..=5 if !in_flight.is_empty() => {
                    let index = rng.random_range(0..in_flight.len());
                    let duplicate = in_flight[index].clone();
                    if rng.random_bool(0.5) {
                        in_flight.remove(index);
                    }
                    match table.admit(&duplicate, now) {
                        Admission::Start => {
                            *start_counts.entry(duplicate.key.clone()).or_default() += 1;
                            let token = duplicate.fencing_token();
                            let fenced = fenced.get(&duplicate.key);
                            assert!(
                                fenced.is_none_or(|fenced| token > *fenced),
                                "seed {seed}: ran under a fenced claim"
                            );
                        }
                        Admission::Attach => assert!(start_counts.contains_key(&duplicate.key)),
                        Admission::Refuse(_) => {}
                    }
                }
                6 => {
                    let token = tokens.get(&key).copied().unwrap_or_default();
                    let found = table.find_or_fence(&key, INCARNATION, Some(token), now);
                    if found.is_err_and(|fault| fault.kind == ErrorKind::UnknownRun) {
                        assert!(
                            !start_counts.contains_key(&key),
                            "seed {seed}: fenced a run that had started"
                        );
                        tokens.insert(key.clone(), token.next());
                        fenced.insert(key, token);
                    }
                }
                7 => {
                    table.end(&key, complete(), now);
                    if rng.random_bool(0.5) {
                        table.settle(&key);
                    }
                }
                _ => {
                    table.expire(now);
                    // The outcome of a run that has expired is stored in its claim; a retry is
                    // answered from there and does not reach the table.
                    let is_removed = |key: &&RunKey| table.snapshot(key, 0).is_none();
                    let expired: Vec<RunKey> =
                        start_counts.keys().filter(is_removed).cloned().collect();
                    for key in expired {
                        start_counts.remove(&key);
                        in_flight.retain(|req| req.key != key);
                    }
                    fenced.retain(|key, _| table.snapshot(key, 0).is_some());
                }
            }
            assert!(start_counts.values().all(|count| *count <= 1), "seed {seed}: started twice");
        }
    }
}

#[test]
fn requests_with_an_expired_ticket_never_start() {
    let mut table = RunTable::new(INCARNATION, limits());
    let stale = request(keyed(1), Millis(0), INCARNATION);
    let refused = table.admit(&stale, Millis(60_001));
    assert_eq!(refused, Admission::Refuse(ErrorKind::StaleTicket.into()));
}

#[test]
fn an_outcome_that_is_not_durable_never_expires() {
    let mut table = RunTable::new(INCARNATION, limits());
    assert_eq!(
        table.admit(&request(keyed(1), Millis(0), INCARNATION), Millis(0)),
        Admission::Start
    );
    table.end(&keyed(1), complete(), Millis(1));
    table.expire(Millis(u64::MAX));
    assert_eq!(
        table.find_or_fence(&keyed(1), INCARNATION, Some(FencingToken(0)), Millis(0)),
        Ok(())
    );
    table.settle(&keyed(1));
    table.expire(Millis(u64::MAX));
    assert_eq!(
        table.find_or_fence(&keyed(1), INCARNATION, Some(FencingToken(0)), Millis(0)),
        Err(ErrorKind::UnknownRun.into())
    );
}

#[test]
fn a_refused_key_stays_refused() {
    let mut table = RunTable::new(INCARNATION, limits());
    table.drain();
    let req = request(keyed(1), Millis(0), INCARNATION);
    assert_eq!(table.admit(&req, Millis(0)), Admission::Refuse(ErrorKind::Draining.into()));
    assert_eq!(table.admit(&req, Millis(1)), Admission::Refuse(ErrorKind::UnknownRun.into()));
}

#[test]
fn a_later_claim_may_start_a_run_fenced_under_an_earlier_one() {
    let mut table = RunTable::new(INCARNATION, limits());
    let first = with_claim(request(keyed(1), Millis(0), INCARNATION), FencingToken(0));
    let fenced = table.find_or_fence(&first.key, INCARNATION, Some(FencingToken(0)), Millis(0));
    assert_eq!(fenced, Err(ErrorKind::UnknownRun.into()));
    let refused = table.admit(&first, Millis(0));
    assert_eq!(refused, Admission::Refuse(ErrorKind::UnknownRun.into()));
    let second = with_claim(first, FencingToken(1));
    assert_eq!(table.admit(&second, Millis(0)), Admission::Start);
    assert_eq!(table.admit(&second, Millis(0)), Admission::Attach);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut table = RunTable::new(INCARNATION, limits());
    let req = request(keyed(1), Millis(0), INCARNATION);
    assert_eq!(table.admit(&req, Millis(0)), Admission::Start);
    let other = RunRequest { fingerprint: 2, ..req };
    assert_eq!(table.admit(&other, Millis(0)), Admission::Refuse(ErrorKind::KeyReused.into()));
}

#[test]
fn attempts_are_bounded_in_number_and_bytes() {
    let small = RunTableLimits { concurrency: 2, memory: ByteSize(8), ..limits() };
    let mut table = RunTable::new(INCARNATION, small);
    let attempt = |sequence| RunKey::Attempt {
        request: RequestId { entry: Incarnation(1), sequence },
        attempt: 0,
    };
    for sequence in 0..2 {
        let req = request(attempt(sequence), Millis(0), INCARNATION);
        assert_eq!(table.admit(&req, Millis(0)), Admission::Start);
    }
    let third = table.admit(&request(attempt(2), Millis(0), INCARNATION), Millis(0));
    assert_eq!(third, Admission::Refuse(ErrorKind::NoReplica.into()));
    assert!(table.append(&attempt(0), b"12345678"));
    assert!(!table.append(&attempt(1), b"9"));
    table.end(&attempt(0), RunOutcome::Failed(Fault::from(ErrorKind::Incomplete)), Millis(1));
    table.remove_delivered(&attempt(0));
    assert!(table.append(&attempt(1), b"9"));
}
