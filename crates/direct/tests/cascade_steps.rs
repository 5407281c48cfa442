//! Which models answer, in which order.

use ibissail_core::ModelId;
use ibissail_direct::{CascadeStep, ModelChoice};

fn models(names: &[&str]) -> Vec<ModelId> {
    names.iter().map(|name| name.parse().expect("a name")).collect()
}

fn names(steps: &[CascadeStep]) -> Vec<&str> {
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
