//! All entries together stay within the operators' retry budget.
#![expect(clippy::cast_precision_loss, reason = "small numbers")]

use ibissail_core::Millis;
use ibissail_direct::{RetryBudget, RetryBudgetLimits};
use rand::{Rng, SeedableRng, rngs::StdRng};

const LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.9, allowance: 56.0, window: Millis(10_000) };

/// Callers retry at once, on up to eight entries that are selected at random for each request.
#[test]
fn retries_of_all_entries_stay_within_the_budget_in_any_window() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries = rng.random_range(1..9);
        let mut budgets = vec![RetryBudget::new(LIMITS); entries];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for at in (0..30_000_u64).step_by(20) {
            let now = Millis(at);
            let entry = rng.random_range(0..entries);
            let is_busy = (at / 5_000) % 2 == 0;
            if rng.random_bool(if is_busy { 0.9 } else { 0.1 }) {
                budgets[entry].record_request(now);
                requests.push(at);
            }
            for _ in 0..rng.random_range(0..4) {
                if budgets[entry].try_take_retry(now, entries, 0.0) {
                    retries.push(at);
                }
            }
        }
        for start in (0..20_000_u64).step_by(500) {
            let is_in_window = |at: &&u64| (start..start + LIMITS.window.0).contains(*at);
            let retries = retries.iter().filter(is_in_window).count() as f64;
            let in_window = requests.iter().filter(is_in_window).count();
            // The budget is checked against the requests of this window or of the previous one, as
            // operators count them.
            let is_in_previous =
                |at: &&u64| (start.saturating_sub(LIMITS.window.0)..start).contains(*at);
            let requests = in_window.max(requests.iter().filter(is_in_previous).count()) as f64;
            let allowed = LIMITS.ratio * requests + LIMITS.allowance;
            assert!(retries <= allowed, "seed {seed}, from {start} ms: {retries} of {allowed}");
        }
    }
}

#[test]
fn reserve_is_kept_for_failures() {
    let mut budget = RetryBudget::new(LIMITS);
    for _ in 0..100 {
        budget.record_request(Millis(0));
    }
    let mut take =
        |reserve| (0..200).filter(|_| budget.try_take_retry(Millis(0), 1, reserve)).count();
    let (cascade, failures) = (take(0.4), take(0.0));
    assert!(cascade >= 40 && failures >= 25, "{cascade} and {failures}");
}
