//! Which models are asked, and in which order.

use ibissail_core::ModelId;
use ibissail_direct::{CascadeStep, ModelChoice};

fn models(names: &[&str]) -> Vec<ModelId> {
    names.iter().map(|name| name.parse().expect("a valid name")).collect()
}

fn names(steps: &[CascadeStep]) -> Vec<&str> {
    steps.iter().map(|step| step.model.as_str()).collect()
}

#[test]
fn models_are_tried_in_order() {
    let all = models(&["small", "middle", "large"]);
    assert_eq!(names(&ModelChoice::Cascade.steps(&all, 0)), ["small", "large"]);
    assert_eq!(names(&ModelChoice::Largest.steps(&all, 0)), ["large"]);
    assert_eq!(names(&ModelChoice::Smallest.steps(&all, 0)), ["small"]);
    assert_eq!(names(&ModelChoice::Cascade.steps(&all[..1], 0)), ["small"]);
    assert!(ModelChoice::Cascade.steps(&[], 0).is_empty());
}

#[test]
fn last_model_is_accepted_at_any_confidence() {
    let steps = ModelChoice::Cascade.steps(&models(&["small", "large"]), 0);
    assert!(steps[0].min_confidence.is_some());
    assert_eq!(steps[1].min_confidence, None);
}

#[test]
fn urgent_routes_require_more_confidence() {
    let min_confidence = |urgency| {
        let steps = ModelChoice::Cascade.steps(&models(&["small", "large"]), urgency);
        steps[0].min_confidence.expect("a minimum")
    };
    assert!(min_confidence(0) > min_confidence(1));
    assert!((1..200).all(|urgency| min_confidence(urgency) >= min_confidence(urgency + 1)));
    assert!(min_confidence(u32::MAX) > 0);
}
