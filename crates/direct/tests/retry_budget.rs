//! All entries together keep within the operators' retry budget.
#![expect(clippy::cast_precision_loss, reason = "small numbers")]

use ibissail_core::Millis;
use ibissail_direct::{RetryBudget, RetryBudgetLimits};
use rand::{Rng, SeedableRng, rngs::StdRng};

const LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.9, allowance: 56.0, window: Millis(10_000) };

/// The load: callers that repeat at once, on up to eight entries with unlike shares of them.
#[test]
fn sum_over_entries_in_any_window() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries = rng.random_range(1..9);
        let mut budgets = vec![RetryBudget::new(LIMITS); entries];
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        for at in (0..30_000_u64).step_by(20) {
            let now = Millis(at);
            let entry = rng.random_range(0..entries);
            let is_busy = (at / 5_000) % 2 == 0;
            if rng.random_bool(if is_busy { 0.9 } else { 0.1 }) {
                budgets[entry].record_request(now);
                firsts.push(at);
            }
            for _ in 0..rng.random_range(0..4) {
                if budgets[entry].try_take_retry(now, entries, 0.0) {
                    repeats.push(at);
                }
            }
        }
        for start in (0..20_000_u64).step_by(500) {
            let within = |at: &&u64| (start..start + LIMITS.window.0).contains(*at);
            let repeats = repeats.iter().filter(within).count() as f64;
            let own = firsts.iter().filter(within).count();
            // The users count the requests of the window or of the one before it.
            let before = |at: &&u64| (start.saturating_sub(LIMITS.window.0)..start).contains(*at);
            let firsts = own.max(firsts.iter().filter(before).count()) as f64;
            let allowed = LIMITS.ratio * firsts + LIMITS.allowance;
            assert!(repeats <= allowed, "seed {seed}, from {start} ms: {repeats} of {allowed}");
        }
    }
}

#[test]
fn reserve_is_left_for_failures() {
    let mut budget = RetryBudget::new(LIMITS);
    for _ in 0..100 {
        budget.record_request(Millis(0));
    }
    let mut take =
        |reserve| (0..200).filter(|_| budget.try_take_retry(Millis(0), 1, reserve)).count();
    let (cascade, failures) = (take(0.4), take(0.0));
    assert!(cascade >= 40 && failures >= 25, "{cascade} and {failures}");
}
