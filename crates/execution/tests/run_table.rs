//! The run table against a naive version that remembers everything for ever.

use ibissail_core::{ByteSize, ErrorKind, Fault, Incarnation, Millis, RequestId, Revision, Tokens};
use ibissail_execution::{
    Admission, Claim, Digest, FencingToken, RunKey, RunOutcome, RunRequest, RunTable,
    RunTableLimits, TokenCounts, VersionedClaim,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const SEEDS: u64 = 2_000;
const OWN: Incarnation = Incarnation(7);

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

fn claimed(req: RunRequest, number: FencingToken) -> RunRequest {
    let claim = Claim {
        request: RequestId { entry: Incarnation(1), sequence: 0 },
        fingerprint: req.fingerprint,
        vm: "payouts-1".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: req.incarnation,
        fencing_token: number,
        outcome: None,
    };
    RunRequest { claim: Some(VersionedClaim { claim, revision: Revision(1) }), ..req }
}

fn whole() -> RunOutcome {
    RunOutcome::Complete {
        status: 200,
        content_type: String::new(),
        length: 0,
        digest: Digest(0),
        tokens: TokenCounts { input: Tokens(0), output: Tokens(0) },
    }
}

/// Messages sent once each and delivered twice, late and in any order; a key starts at most once,
/// and never under a claim after the table has said that it did not and will not run under it. As
/// in the protocol, the next claim is made only after that.
#[test]
fn a_key_starts_at_most_once_whatever_the_order_of_messages() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = RunTable::new(OWN, limits());
        let mut now = Millis(0);
        let mut starts: BTreeMap<RunKey, u32> = BTreeMap::new();
        let mut denied: BTreeMap<RunKey, FencingToken> = BTreeMap::new();
        let mut numbers: BTreeMap<RunKey, FencingToken> = BTreeMap::new();
        let mut under_way: Vec<RunRequest> = Vec::new();
        for _ in 0..120 {
            now = now.plus(Millis(rng.random_range(0..40_000)));
            let key = keyed(rng.random_range(0..4));
            match rng.random_range(0..9) {
                0..=2 => {
                    let incarnation = if rng.random_bool(0.9) { OWN } else { Incarnation(8) };
                    let number = numbers.get(&key).copied().unwrap_or_default();
                    under_way.push(claimed(request(key, now, incarnation), number));
                }
                3..=5 if !under_way.is_empty() => {
                    let index = rng.random_range(0..under_way.len());
                    let copy = under_way[index].clone();
                    if rng.random_bool(0.5) {
                        under_way.remove(index);
                    }
                    match table.admit(&copy, now) {
                        Admission::Start => {
                            *starts.entry(copy.key.clone()).or_default() += 1;
                            let number = copy.fencing_token();
                            let denied = denied.get(&copy.key);
                            assert!(
                                denied.is_none_or(|denied| number > *denied),
                                "seed {seed}: ran after a denial"
                            );
                        }
                        Admission::Attach => assert!(starts.contains_key(&copy.key)),
                        Admission::Refuse(_) => {}
                    }
                }
                6 => {
                    let number = numbers.get(&key).copied().unwrap_or_default();
                    let found = table.find_or_fence(&key, OWN, Some(number), now);
                    if found.is_err_and(|fault| fault.kind == ErrorKind::UnknownRun) {
                        assert!(!starts.contains_key(&key), "seed {seed}: denied a run that began");
                        numbers.insert(key.clone(), number.next());
                        denied.insert(key, number);
                    }
                }
                7 => {
                    table.end(&key, whole(), now);
                    if rng.random_bool(0.5) {
                        table.settle(&key);
                    }
                }
                _ => {
                    table.expire(now);
                    // A settled outcome is in the claim, from where a retry is answered.
                    let gone = |key: &&RunKey| table.snapshot(key, 0).is_none();
                    let settled: Vec<RunKey> = starts.keys().filter(gone).cloned().collect();
                    for key in settled {
                        starts.remove(&key);
                        under_way.retain(|req| req.key != key);
                    }
                    denied.retain(|key, _| table.snapshot(key, 0).is_some());
                }
            }
            assert!(starts.values().all(|count| *count <= 1), "seed {seed}: started twice");
        }
    }
}

#[test]
fn messages_older_than_the_ticket_age_never_start() {
    let mut table = RunTable::new(OWN, limits());
    let old = request(keyed(1), Millis(0), OWN);
    let refused = table.admit(&old, Millis(60_001));
    assert_eq!(refused, Admission::Refuse(ErrorKind::StaleTicket.into()));
}

#[test]
fn an_outcome_that_is_not_durable_is_never_forgotten() {
    let mut table = RunTable::new(OWN, limits());
    assert_eq!(table.admit(&request(keyed(1), Millis(0), OWN), Millis(0)), Admission::Start);
    table.end(&keyed(1), whole(), Millis(1));
    table.expire(Millis(u64::MAX));
    assert_eq!(table.find_or_fence(&keyed(1), OWN, Some(FencingToken(0)), Millis(0)), Ok(()));
    table.settle(&keyed(1));
    table.expire(Millis(u64::MAX));
    assert_eq!(
        table.find_or_fence(&keyed(1), OWN, Some(FencingToken(0)), Millis(0)),
        Err(ErrorKind::UnknownRun.into())
    );
}

#[test]
fn a_refused_key_stays_refused() {
    let mut table = RunTable::new(OWN, limits());
    table.drain();
    let req = request(keyed(1), Millis(0), OWN);
    assert_eq!(table.admit(&req, Millis(0)), Admission::Refuse(ErrorKind::Draining.into()));
    assert_eq!(table.admit(&req, Millis(1)), Admission::Refuse(ErrorKind::UnknownRun.into()));
}

#[test]
fn a_later_claim_may_begin_what_an_earlier_one_was_refused() {
    let mut table = RunTable::new(OWN, limits());
    let first = claimed(request(keyed(1), Millis(0), OWN), FencingToken(0));
    let denied = table.find_or_fence(&first.key, OWN, Some(FencingToken(0)), Millis(0));
    assert_eq!(denied, Err(ErrorKind::UnknownRun.into()));
    let refused = table.admit(&first, Millis(0));
    assert_eq!(refused, Admission::Refuse(ErrorKind::UnknownRun.into()));
    let second = claimed(first, FencingToken(1));
    assert_eq!(table.admit(&second, Millis(0)), Admission::Start);
    assert_eq!(table.admit(&second, Millis(0)), Admission::Attach);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut table = RunTable::new(OWN, limits());
    let req = request(keyed(1), Millis(0), OWN);
    assert_eq!(table.admit(&req, Millis(0)), Admission::Start);
    let other = RunRequest { fingerprint: 2, ..req };
    assert_eq!(table.admit(&other, Millis(0)), Admission::Refuse(ErrorKind::KeyReused.into()));
}

#[test]
fn attempts_are_bounded_in_number_and_bytes() {
    let small = RunTableLimits { concurrency: 2, memory: ByteSize(8), ..limits() };
    let mut table = RunTable::new(OWN, small);
    let attempt = |sequence| RunKey::Attempt {
        request: RequestId { entry: Incarnation(1), sequence },
        attempt: 0,
    };
    for sequence in 0..2 {
        let req = request(attempt(sequence), Millis(0), OWN);
        assert_eq!(table.admit(&req, Millis(0)), Admission::Start);
    }
    let third = table.admit(&request(attempt(2), Millis(0), OWN), Millis(0));
    assert_eq!(third, Admission::Refuse(ErrorKind::NoReplica.into()));
    assert!(table.append(&attempt(0), b"12345678"));
    assert!(!table.append(&attempt(1), b"9"));
    table.end(&attempt(0), RunOutcome::Failed(Fault::from(ErrorKind::Incomplete)), Millis(1));
    table.remove_delivered(&attempt(0));
    assert!(table.append(&attempt(1), b"9"));
}
