//! What entries tell each other about requests that crash replicas.

use ibissail_core::Millis;
use ibissail_direct::{
    ContentHash, CrashEvidence, CrashQuarantine, FIRST_REQUEST_QUARANTINE_TIME, LostRun, PartHash,
    QUARANTINE_TIME, QuarantineChange, QuarantineSource, RequestHash, RunHash, Suspect, ToldRun,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde::{Deserialize, Serialize};

/// Most bytes of encoded evidence, which leave room for the rest of a datagram of 1,400.
const MAX_BYTES: usize = 1_250;
const START: u64 = 1_000_000;
const CRASHING: ContentHash = ContentHash(7);

fn at(millis: u64) -> Millis {
    Millis(START + millis)
}

/// A run of the crashing request that ends 50 ms after it began.
fn lost_run(number: u64, ended: u64) -> LostRun {
    LostRun {
        run: RunHash(number),
        request: RequestHash(u32::try_from(number).expect("a small number")),
        content: CRASHING,
        began_at: at(ended - 50),
        ended_at: at(ended),
    }
}

/// Other requests are answered, so that the crashes stand out.
fn answer_others(quarantine: &mut CrashQuarantine) {
    for number in 0..20 {
        quarantine.record_sound_request(ContentHash(100 + number), at(number), at(number + 20));
    }
}

/// A crash with the requests that may have caused it, and their parts.
type EarlierCrash = (RunHash, Millis, Vec<(RequestHash, Vec<PartHash>)>);

/// Evidence as builds have it that know parts of prompts only.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierEvidence {
    crashes: Vec<EarlierCrash>,
    sound: Vec<(PartHash, Millis)>,
    quarantined: Vec<(PartHash, Millis)>,
}

/// A quarantine of the crashing request, which began at 3,000.
fn quarantine() -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::default();
    answer_others(&mut quarantine);
    for number in 1..=3 {
        quarantine.record_lost_run(lost_run(number, number * 200), at(number * 200 + 60));
    }
    let source = QuarantineSource::Own { crashes: 3, requests: 3 };
    let expected = QuarantineChange::Quarantined(Suspect::Request(CRASHING), source);
    assert_eq!(quarantine.review(at(3_000)), [expected]);
    quarantine
}

fn is_refused(quarantine: &CrashQuarantine, now: Millis) -> bool {
    quarantine.quarantined(&[CRASHING], now).is_some()
}

#[test]
fn second_quarantine_begins_with_one_crash_and_lasts_longer() {
    let mut quarantine = quarantine();
    let end = at(3_000).saturating_add(FIRST_REQUEST_QUARANTINE_TIME);
    assert!(is_refused(&quarantine, Millis(end.0 - 1)));
    assert!(!is_refused(&quarantine, end));
    assert_eq!(quarantine.review(end), [QuarantineChange::Released(CRASHING.into())]);
    assert!(!quarantine.may_retry(CRASHING));
    let later = FIRST_REQUEST_QUARANTINE_TIME.0 + 4_000;
    quarantine.record_lost_run(lost_run(9, later), at(later + 60));
    assert_eq!(quarantine.review(at(later + 60)).len(), 1);
    let (_, rest) = quarantine.quarantined(&[CRASHING], at(later + 60)).expect("it is refused");
    assert_eq!(rest, QUARANTINE_TIME);
}

#[test]
fn answer_releases_the_request_at_all_entries() {
    let mut quarantine = quarantine();
    let mut peer = CrashQuarantine::default();
    peer.merge(&quarantine.evidence(at(3_010)).expect("something to tell"), at(3_020));
    assert!(is_refused(&peer, at(3_020)));
    quarantine.record_sound_request(CRASHING, at(2_990), at(3_100));
    assert!(!is_refused(&quarantine, at(3_100)));
    peer.merge(&quarantine.evidence(at(3_110)).expect("the proof is told"), at(3_120));
    assert!(!is_refused(&peer, at(3_120)));
}

#[test]
fn quarantine_passes_over_an_entry_that_has_seen_no_crash() {
    let mut first = quarantine();
    let (mut second, mut third) = (CrashQuarantine::default(), CrashQuarantine::default());
    second.merge(&first.evidence(at(3_100)).expect("something to tell"), at(3_110));
    third.merge(&second.evidence(at(3_500)).expect("something to tell"), at(3_510));
    let (_, rest) = third.quarantined(&[CRASHING], at(3_510)).expect("it is refused");
    assert!(rest.0 > FIRST_REQUEST_QUARANTINE_TIME.0 - 700, "{rest}");
    assert!(rest <= FIRST_REQUEST_QUARANTINE_TIME, "{rest}");
}

#[test]
fn three_crashes_that_each_entry_saw_once_suffice() {
    let mut entries: Vec<CrashQuarantine> = vec![CrashQuarantine::default(); 3];
    for (entry, number) in entries.iter_mut().zip(1..) {
        answer_others(entry);
        entry.record_lost_run(lost_run(number, number * 200), at(number * 200 + 60));
    }
    let told: Vec<CrashEvidence> =
        entries.iter_mut().filter_map(|entry| entry.evidence(at(900))).collect();
    assert_eq!(told.len(), 3);
    for entry in &mut entries {
        for evidence in &told {
            entry.merge(evidence, at(910));
        }
        entry.review(at(1_500));
        assert!(is_refused(entry, at(1_500)));
    }
}

#[test]
fn order_and_repetition_of_lost_runs_change_nothing() {
    let mut results = Vec::new();
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut messages: Vec<CrashEvidence> = (1..=3)
            .map(|number| {
                let age = 4_000 - number * 300;
                let told = ToldRun(
                    RunHash(number),
                    RequestHash(1),
                    CRASHING,
                    Millis(age + 50),
                    Millis(age),
                );
                CrashEvidence { lost_runs: vec![told], ..CrashEvidence::default() }
            })
            .collect();
        messages.shuffle(&mut rng);
        let mut quarantine = CrashQuarantine::default();
        answer_others(&mut quarantine);
        for message in messages.iter().chain(&messages) {
            quarantine.merge(message, at(5_000));
        }
        assert!(!quarantine.may_retry(CRASHING), "seed {seed}");
        quarantine.record_lost_run(lost_run(4, 4_990), at(5_050));
        quarantine.review(at(6_500));
        results.push(is_refused(&quarantine, at(6_500)));
    }
    assert!(results.iter().all(|is_refused| *is_refused), "{results:?}");
}

#[test]
fn earlier_builds_read_evidence_with_requests_and_are_read() {
    let evidence = quarantine().evidence(at(3_010)).expect("something to tell");
    let bytes = rmp_serde::to_vec_named(&evidence).expect("it can be encoded");
    let earlier: EarlierEvidence = rmp_serde::from_slice(&bytes).expect("it can be read");
    assert!(earlier.crashes.is_empty());
    let earlier = EarlierEvidence {
        crashes: vec![(RunHash(1), Millis(9), vec![(RequestHash(2), vec![PartHash(3)])])],
        sound: Vec::new(),
        quarantined: vec![(PartHash(4), Millis(10))],
    };
    let bytes = rmp_serde::to_vec_named(&earlier).expect("it can be encoded");
    let evidence: CrashEvidence = rmp_serde::from_slice(&bytes).expect("it can be read");
    let mut quarantine = CrashQuarantine::default();
    quarantine.merge(&evidence, at(0));
    assert!(quarantine.quarantined(&[PartHash(4)], at(0)).is_some());
}

#[test]
fn evidence_with_requests_fits_in_a_datagram() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut quarantine = CrashQuarantine::default();
    let mut largest = 0;
    for number in 0..400_u64 {
        let now = at(number * 20);
        let contents: Vec<ContentHash> = (0..40).map(|_| ContentHash(rng.random())).collect();
        let parts: Vec<PartHash> = (0..16).map(|_| PartHash(rng.random())).collect();
        let age = Millis(rng.random_range(0..99_999));
        let run = RunHash(rng.random());
        let request = RequestHash(rng.random());
        let told = |content: &ContentHash| ToldRun(run, request, *content, age, age);
        let evidence = CrashEvidence {
            crashes: vec![(run, age, vec![(request, parts.clone()); 50])],
            sound: parts.iter().map(|part| (*part, age)).collect(),
            quarantined: parts.iter().map(|part| (*part, age)).collect(),
            tentative: parts.iter().map(|part| (PartHash(part.0 ^ 1), age, Some(age))).collect(),
            lost_runs: contents.iter().map(told).collect(),
            sound_requests: contents.iter().map(|content| (*content, age)).collect(),
            quarantined_requests: contents.iter().map(|content| (*content, age, age)).collect(),
        };
        quarantine.merge(&evidence, now);
        quarantine.record_lost_run(lost_run(number, number * 20 + 50), now);
        quarantine.record_crash(run, request, &parts, now);
        quarantine.review(now);
        if let Some(evidence) = quarantine.evidence(now) {
            let bytes = rmp_serde::to_vec_named(&evidence).expect("it can be encoded").len();
            largest = bytes.max(largest);
        }
        assert!(quarantine.quarantined_count(now) <= 64);
    }
    assert!((500..=MAX_BYTES).contains(&largest), "{largest} bytes");
}
