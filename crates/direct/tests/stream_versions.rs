//! Which version continues a stream whose replica has ended.

use ibissail_core::{Millis, StoreRevision, VersionId};
use ibissail_direct::{Rollout, RolloutController, RolloutState, VersionFilter};

fn version(name: &str) -> VersionId {
    name.parse().expect("the name is valid")
}

/// A rollout from `v1` to `v2` in this state.
fn rollout(state: RolloutState) -> RolloutController {
    let rollout = Rollout {
        service: "writers".parse().expect("the name is valid"),
        target: version("v2"),
        duration: Millis(20_000),
        revision: StoreRevision::default(),
        state,
        started_unix_ms: None,
    };
    RolloutController::new(rollout, 0.15, Millis(0), Millis(0))
}

fn continuation(started_by: &str, state: RolloutState) -> VersionFilter {
    VersionFilter::for_continuation(&version(started_by), Some(&rollout(state)), None)
}

#[test]
fn stream_keeps_its_version_while_a_rollout_is_undecided() {
    for state in [RolloutState::Pending, RolloutState::Running] {
        for started_by in ["v1", "v2"] {
            let only = VersionFilter::Only(version(started_by));
            assert_eq!(continuation(started_by, state), only, "{state}");
        }
    }
    let without_rollout = VersionFilter::for_continuation(&version("v1"), None, None);
    assert_eq!(without_rollout, VersionFilter::Only(version("v1")));
}

#[test]
fn stream_of_a_replaced_version_continues_on_the_new_one() {
    let only_new = VersionFilter::Only(version("v2"));
    assert_eq!(continuation("v1", RolloutState::Succeeded), only_new);
    assert_eq!(continuation("v2", RolloutState::Succeeded), only_new);
}

#[test]
fn stream_of_a_rejected_version_continues_elsewhere() {
    let except_new = VersionFilter::Except(version("v2"));
    assert_eq!(continuation("v2", RolloutState::RolledBack), except_new);
    let only_old = VersionFilter::Only(version("v1"));
    assert_eq!(continuation("v1", RolloutState::RolledBack), only_old);
}

#[test]
fn stream_of_a_version_replaced_before_the_last_rollout_continues_on_its_successor() {
    for state in [RolloutState::Pending, RolloutState::Running, RolloutState::RolledBack] {
        let rollout = rollout(state);
        let continuation = |started_by, baseline| {
            let baseline = Some(version(baseline));
            VersionFilter::for_continuation(&version(started_by), Some(&rollout), baseline.as_ref())
        };
        // The rollout to `v2` follows one from `v0` to `v1`.
        assert_eq!(continuation("v0", "v1"), VersionFilter::Only(version("v1")), "{state}");
        assert_eq!(continuation("v1", "v1"), VersionFilter::Only(version("v1")), "{state}");
    }
}
