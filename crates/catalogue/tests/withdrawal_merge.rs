//! Withdrawals merge to the same result in any order, and a delayed message cannot undo one.

use ibissail_catalogue::{
    Catalogue, Document, Documents, Generation, LifecycleState, Standing, WITHDRAWALS_KEY,
    Withdrawals, pending_document,
};
use ibissail_core::{ModelVersion, Revision};
use proptest::{prelude::*, test_runner::RngSeed};

#[derive(Debug, Clone, Copy)]
enum Step {
    Restrict(u8, LifecycleState),
    Reinstate(u8),
}

fn version(number: u8) -> ModelVersion {
    format!("swift@{number}").parse().expect("a version")
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_u8).prop_map(|number| Step::Restrict(number, LifecycleState::Retiring)),
        (0..3_u8).prop_map(|number| Step::Restrict(number, LifecycleState::Withdrawn)),
        (0..3_u8).prop_map(Step::Reinstate),
    ]
}

/// All states that a sequence of accepted changes goes through.
fn history(steps: &[Step]) -> Vec<Withdrawals> {
    let mut states = vec![Withdrawals::default()];
    for step in steps {
        let mut next = states.last().cloned().unwrap_or_default();
        match step {
            Step::Restrict(number, state) => next.restrict(&version(*number), *state),
            Step::Reinstate(number) => next.reinstate(&version(*number)),
        }
        states.push(next);
    }
    states
}

/// Configuration with a fixed seed, so that every test run uses the same cases.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_order_of_messages_converges_to_the_last_state(
        steps in prop::collection::vec(step(), 0..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let states = history(&steps);
        let last = states.last().cloned().unwrap_or_default();
        let mut copy = Withdrawals::default();
        for index in order {
            copy.merge(index.get(&states));
        }
        copy.merge(&last);
        for state in states.iter().rev() {
            copy.merge(state);
        }
        for number in 0..3 {
            prop_assert_eq!(copy.standing(&version(number)), last.standing(&version(number)));
        }
    }

    #[test]
    fn a_standing_never_reverts(
        steps in prop::collection::vec(step(), 0..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let states = history(&steps);
        let mut copy = Withdrawals::default();
        let mut before = [Standing::default(); 3];
        for index in order {
            copy.merge(index.get(&states));
            for number in 0..3_u8 {
                let now = copy.standing(&version(number));
                prop_assert!(now >= before[usize::from(number)]);
                before[usize::from(number)] = now;
            }
        }
    }
}

/// A withdrawal sent to processes directly is in force at once, and ends when the platform has a
/// later reinstatement.
#[test]
fn pending_withdrawals_apply_until_the_platform_has_them() {
    let bad = version(2);
    let standing = Standing { generation: Generation(0), state: LifecycleState::Withdrawn };
    let mut documents = Documents::default();
    documents.merge(pending_document(&bad, standing));
    let (catalogue, unreadable) = Catalogue::build(&documents, &Catalogue::default());
    assert_eq!(unreadable, Vec::<String>::new());
    assert_eq!(catalogue.withdrawals().standing(&bad), standing);
    assert_eq!(catalogue.pending().standing(&bad), standing);

    let mut accepted = Withdrawals::default();
    accepted.restrict(&bad, LifecycleState::Withdrawn);
    accepted.reinstate(&bad);
    documents.merge(Document {
        key: WITHDRAWALS_KEY.to_owned(),
        revision: Revision(9),
        value: Some(serde_json::to_string(&accepted).expect("JSON")),
    });
    let (catalogue, _) = Catalogue::build(&documents, &catalogue);
    assert_eq!(catalogue.withdrawals().standing(&bad).state, LifecycleState::Active);
    assert_eq!(catalogue.pending().iter().count(), 0);
}
