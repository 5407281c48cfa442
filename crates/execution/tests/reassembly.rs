//! A reassembler delivers exactly the bytes that were sent, or rejects the response.

use ibissail_execution::{Digest, Reassembler};
use proptest::{prelude::*, test_runner::RngSeed};

/// Configuration with a fixed seed, so that every test run uses the same cases.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    /// Chunks are split, repeated, reordered and re-sent from an offset, as after broken
    /// connections.
    #[test]
    fn delivered_bytes_are_a_prefix_and_only_the_complete_response_is_accepted(
        text in prop::collection::vec(any::<u8>(), 0..400),
        chunks in prop::collection::vec((any::<prop::sample::Index>(), 0..60_usize), 0..60),
    ) {
        let mut sent = Reassembler::default();
        sent.accept(0, &text).expect("no gap at the start");
        let (length, digest) = (sent.length(), sent.digest());
        let mut received = Reassembler::default();
        let mut delivered = Vec::new();
        for (start, size) in chunks {
            let start = if text.is_empty() { 0 } else { start.index(text.len()) };
            let end = (start + size).min(text.len());
            if let Ok(new_bytes) = received.accept(start as u64, &text[start..end]) {
                delivered.extend_from_slice(new_bytes);
            }
            prop_assert!(text.starts_with(&delivered));
            prop_assert_eq!(received.check(length, digest).is_ok(), delivered.len() == text.len());
        }
        let resume_at = received.length();
        let from = usize::try_from(resume_at).expect("small");
        delivered.extend_from_slice(received.accept(resume_at, &text[from..]).expect("no gap"));
        prop_assert_eq!(&delivered, &text);
        prop_assert!(received.check(length, digest).is_ok());
    }

    /// Another response has another digest, even if it differs in one bit only.
    #[test]
    fn corrupted_bytes_are_detected(text in prop::collection::vec(any::<u8>(), 1..100), at in any::<prop::sample::Index>()) {
        let mut sent = Reassembler::default();
        sent.accept(0, &text).expect("no gap");
        let mut corrupted = text.clone();
        let index = at.index(text.len());
        corrupted[index] ^= 1;
        let mut received = Reassembler::default();
        received.accept(0, &corrupted).expect("no gap");
        prop_assert!(received.check(sent.length(), sent.digest()).is_err());
        prop_assert!(received.check(sent.length() + 1, Digest(0)).is_err());
    }
}
