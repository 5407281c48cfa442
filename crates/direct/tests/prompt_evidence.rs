//! What entries tell each other about parts of prompts that crash replicas.

use ibissail_core::Millis;
use ibissail_direct::{
    CrashEvidence, CrashQuarantine, PartHash, QUARANTINE_TIME, QuarantineChange, RequestHash,
    RunHash,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Most bytes of encoded evidence, which leave room for the rest of a datagram of 1,400.
const MAX_BYTES: usize = 1_250;
const START: u64 = 1_000_000;

fn at(millis: u64) -> Millis {
    Millis(START + millis)
}

/// A quarantine of this part, after enough crashes and answers on others.
fn quarantine_of(part: PartHash) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::default();
    let common = PartHash(1);
    for number in 0..40 {
        quarantine.record_sound(&[common], at(number * 10), at(number * 10 + 400));
    }
    for number in 0..8 {
        let run = RunHash(number);
        let request = RequestHash(u32::try_from(number).expect("a small number"));
        quarantine.record_crash(run, request, &[common, part], at(500 + number * 100));
        quarantine.record_sound(&[common], at(500 + number * 100), at(900 + number * 100));
    }
    let changes = quarantine.review(at(5_000));
    assert!(
        matches!(changes[..], [QuarantineChange::Quarantined(found, _)] if found == part.into())
    );
    quarantine
}

fn is_refused(quarantine: &CrashQuarantine, part: PartHash, now: Millis) -> bool {
    quarantine.quarantined(&[part], now).is_some()
}

#[test]
fn answer_on_a_quarantined_part_releases_it() {
    let part = PartHash(2);
    let mut quarantine = quarantine_of(part);
    assert!(is_refused(&quarantine, part, at(5_100)));
    quarantine.record_sound(&[part], at(5_050), at(5_500));
    assert_eq!(quarantine.review(at(5_500)), [QuarantineChange::Released(part.into())]);
    let mut peer = quarantine_of(part);
    let evidence = quarantine.evidence(at(5_600)).expect("the proof is told");
    peer.merge(&evidence, at(5_600));
    assert!(!is_refused(&peer, part, at(5_600)));
}

#[test]
fn quarantine_ends_and_one_crash_begins_it_again() {
    let part = PartHash(2);
    let mut quarantine = quarantine_of(part);
    let end = at(5_000).saturating_add(QUARANTINE_TIME);
    assert!(is_refused(&quarantine, part, Millis(end.0 - 1)));
    assert!(!is_refused(&quarantine, part, end));
    assert_eq!(quarantine.review(end), [QuarantineChange::Released(part.into())]);
    quarantine.record_crash(RunHash(99), RequestHash(99), &[PartHash(1), part], end);
    quarantine.record_sound(&[PartHash(1)], end, end);
    quarantine.review(Millis(end.0 + 1_500));
    assert!(is_refused(&quarantine, part, Millis(end.0 + 1_500)));
}

#[test]
fn relayed_quarantine_reaches_an_entry_that_has_seen_no_crash() {
    let part = PartHash(2);
    let mut first = quarantine_of(part);
    let (mut second, mut third) = (CrashQuarantine::default(), CrashQuarantine::default());
    second.merge(&first.evidence(at(5_100)).expect("something to tell"), at(5_110));
    third.merge(&second.evidence(at(5_500)).expect("something to tell"), at(5_510));
    assert!(is_refused(&third, part, at(5_510)));
    let (_, rest) = third.quarantined(&[part], at(5_510)).expect("it is quarantined");
    assert!(rest <= QUARANTINE_TIME && rest.0 >= QUARANTINE_TIME.0 - 600, "{rest}");
}

#[test]
fn order_and_repetition_of_messages_change_nothing() {
    let mut refusals = 0;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut random_parts = |count: u64| -> Vec<PartHash> {
            (0..count).map(|_| PartHash(rng.random_range(1..12))).collect()
        };
        let message = |number: u64| {
            let request = RequestHash(u32::try_from(number % 9).expect("a small number"));
            let age = Millis(number % 7 * 500 + 3_000);
            let dated = |part: PartHash| (part, Millis(40_000 + part.0 * 1_000));
            CrashEvidence {
                crashes: vec![(RunHash(number % 7), age, vec![(request, random_parts(3))])],
                sound: random_parts(number % 2).into_iter().map(dated).collect(),
                ..CrashEvidence::default()
            }
        };
        let mut messages: Vec<CrashEvidence> = (0..30).map(message).collect();
        let mut results = Vec::new();
        for _order in 0..4 {
            messages.shuffle(&mut rng);
            let mut quarantine = CrashQuarantine::default();
            for message in messages.iter().chain(&messages) {
                quarantine.merge(message, at(0));
            }
            quarantine.review(at(0));
            let refused = (1..12).map(|part| is_refused(&quarantine, PartHash(part), at(0)));
            results.push(refused.collect::<Vec<bool>>());
        }
        results.dedup();
        assert_eq!(results.len(), 1, "seed {seed}");
        refusals += usize::from(results[0].contains(&true));
    }
    assert!(refusals > 0, "no history leads to a quarantine");
}

#[test]
fn evidence_fits_in_a_datagram_and_state_is_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut quarantine = CrashQuarantine::default();
    let mut largest = 0;
    for number in 0..150_u64 {
        let now = at(number * 20);
        let parts: Vec<PartHash> = (0..40).map(|_| PartHash(rng.random())).collect();
        let request = RequestHash(rng.random());
        let age = Millis(rng.random_range(0..99_999));
        let told = CrashEvidence {
            crashes: vec![(RunHash(rng.random()), age, vec![(request, parts.clone()); 50])],
            sound: parts.iter().map(|part| (*part, age)).collect(),
            quarantined: parts.iter().map(|part| (*part, age)).collect(),
            ..CrashEvidence::default()
        };
        quarantine.merge(&told, now);
        quarantine.record_crash(RunHash(number / 20), request, &parts[..16], now);
        quarantine.record_sound(&parts[20..], now, now);
        quarantine.review(now);
        if let Some(evidence) = quarantine.evidence(now) {
            let bytes = rmp_serde::to_vec_named(&evidence).expect("it can be encoded").len();
            largest = bytes.max(largest);
        }
        assert!(quarantine.quarantined_count(now) <= 64);
    }
    assert!((500..=MAX_BYTES).contains(&largest), "{largest} bytes");
}
