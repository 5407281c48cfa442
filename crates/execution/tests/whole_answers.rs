//! The text that is passed on equals the text that was sent, or there is an error.

use ibissail_execution::{Digest, Reassembler};
use proptest::{prelude::*, test_runner::RngSeed};

/// The same cases in every run.
fn seeded() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(seeded())]

    /// Pieces cut, repeated, reordered and re-sent from an offset, as connections break.
    #[test]
    fn whatever_arrives_is_a_prefix_and_only_the_whole_is_accepted(
        text in prop::collection::vec(any::<u8>(), 0..400),
        pieces in prop::collection::vec((any::<prop::sample::Index>(), 0..60_usize), 0..60),
    ) {
        let mut sent = Reassembler::default();
        sent.accept(0, &text).expect("no gap at the start");
        let (length, digest) = (sent.length(), sent.digest());
        let mut answer = Reassembler::default();
        let mut passed = Vec::new();
        for (start, size) in pieces {
            let start = if text.is_empty() { 0 } else { start.index(text.len()) };
            let end = (start + size).min(text.len());
            if let Ok(fresh) = answer.accept(start as u64, &text[start..end]) {
                passed.extend_from_slice(fresh);
            }
            prop_assert!(text.starts_with(&passed));
            prop_assert_eq!(answer.check(length, digest).is_ok(), passed.len() == text.len());
        }
        let rest = answer.length();
        let from = usize::try_from(rest).expect("small");
        passed.extend_from_slice(answer.accept(rest, &text[from..]).expect("no gap"));
        prop_assert_eq!(&passed, &text);
        prop_assert!(answer.check(length, digest).is_ok());
    }

    /// A piece of another answer changes the digest.
    #[test]
    fn crossed_bytes_are_seen(text in prop::collection::vec(any::<u8>(), 1..100), at in any::<prop::sample::Index>()) {
        let mut sent = Reassembler::default();
        sent.accept(0, &text).expect("no gap");
        let mut other = text.clone();
        let index = at.index(text.len());
        other[index] ^= 1;
        let mut answer = Reassembler::default();
        answer.accept(0, &other).expect("no gap");
        prop_assert!(answer.check(sent.length(), sent.digest()).is_err());
        prop_assert!(answer.check(sent.length() + 1, Digest(0)).is_err());
    }
}
