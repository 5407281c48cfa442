//! Which models answer, in which order.

use ibissail_core::{Millis, ModelId};
use ibissail_direct::{
    BudgetLimits, ModelChoice, RetryBudget, Step, fraction, stable_hash, starts_large,
};

fn models(names: &[&str]) -> Vec<ModelId> {
    names.iter().map(|name| name.parse().expect("a name")).collect()
}

fn names(steps: &[Step]) -> Vec<&str> {
    steps.iter().map(|step| step.model.as_str()).collect()
}

#[test]
fn order_of_models() {
    let all = models(&["small", "middle", "large"]);
    assert_eq!(names(&ModelChoice::Cascade.steps(&all, 0)), ["small", "large"]);
    assert_eq!(names(&ModelChoice::Largest.steps(&all, 0)), ["large"]);
    assert_eq!(names(&ModelChoice::Smallest.steps(&all, 0)), ["small"]);
    assert_eq!(names(&ModelChoice::Cascade.steps(&all[..1], 0)), ["small"]);
    assert!(ModelChoice::Cascade.steps(&[], 0).is_empty());
}

#[test]
fn last_model_is_taken_at_any_confidence() {
    let steps = ModelChoice::Cascade.steps(&models(&["small", "large"]), 0);
    assert!(steps[0].min_confidence.is_some());
    assert_eq!(steps[1].min_confidence, None);
}

#[test]
fn urgent_routes_ask_for_more_confidence() {
    let least = |urgency| {
        let steps = ModelChoice::Cascade.steps(&models(&["small", "large"]), urgency);
        steps[0].min_confidence.expect("a bound")
    };
    assert!(least(0) > least(1));
    assert!((1..200).all(|urgency| least(urgency) >= least(urgency + 1)));
    assert!(least(u32::MAX) > 0);
}

/// Half of the answers of the small model are doubtful, and failures use up the repeats.
#[test]
fn fewer_doubtful_answers_while_repeats_run_short() {
    let play = |may_start_large: bool| {
        let limits = BudgetLimits { ratio: 0.9, allowance: 56.0, window: Millis(10_000) };
        let mut budget = RetryBudget::new(limits);
        let (mut doubtful, mut large) = (0_u32, 0_u32);
        for number in 0..2_000_u64 {
            let now = Millis(number * 10);
            budget.count_request(now);
            // Three in five requests meet a replica that fails, and are repeated.
            if number % 5 < 3 {
                budget.take_repeat(now, 1, 0.0);
            }
            let draw = fraction(stable_hash(&[&number.to_string()]));
            let has_repeat = budget.has_repeat(now, 1, 0.25);
            if may_start_large && starts_large(has_repeat, draw, Millis(200), Millis(2_000)) {
                large += 1;
            } else if number % 2 == 0 {
                if budget.take_repeat(now, 1, 0.25) {
                    large += 1;
                } else {
                    doubtful += 1;
                }
            }
        }
        (doubtful, large)
    };
    let ((before, _), (after, large)) = (play(false), play(true));
    assert!(before > 500, "repeats run short: {before} doubtful answers");
    assert!(after * 10 < before * 7, "{after} doubtful answers instead of {before}");
    assert!(large <= 1_000, "the largest model gets {large} of 2,000, as on calm days at most");
}
