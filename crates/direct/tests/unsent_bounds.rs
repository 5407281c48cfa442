//! What is held for requests that are sent on after their responses is bounded.

use ibissail_core::ByteSize;
use ibissail_direct::UnsentBudget;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MEMORY: ByteSize = ByteSize(110 << 20);
/// Longest body that the operators' configuration allows.
const LONGEST: u64 = 4 << 20;

/// Guards against memory above an eighth of the limit, whatever replicas leave unread.
#[test]
fn memory_stays_below_an_eighth_of_the_limit() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = UnsentBudget::new(Some(MEMORY));
        let mut held = Vec::new();
        let mut refused = 0;
        for _ in 0..5_000 {
            if random.random_bool(0.6) {
                let unsent = ByteSize(random.random_range(0..=LONGEST));
                if budget.try_take(unsent) {
                    held.push(unsent);
                } else {
                    refused += 1;
                }
            } else if !held.is_empty() {
                budget.give_back(held.swap_remove(random.random_range(0..held.len())));
            }
            let bytes: u64 = held.iter().map(|unsent| unsent.0).sum();
            assert!(bytes <= budget.used().0 && budget.used().0 <= MEMORY.0 / 8);
            assert_eq!(budget.requests(), held.len() as u64);
        }
        assert!(refused > 0, "the bound is reached with seed {seed}");
        for unsent in held {
            budget.give_back(unsent);
        }
        assert_eq!((budget.used(), budget.requests()), (ByteSize(0), 0));
    }
}

/// Guards against connections without end: each counts, however few bytes it has left.
#[test]
fn connections_are_bounded_too() {
    let mut budget = UnsentBudget::new(Some(MEMORY));
    let taken = (0..10_000).take_while(|_| budget.try_take(ByteSize(1))).count();
    assert!((100..300).contains(&taken), "{taken}");
}
