//! Which versions of a service are used without a rollout.

use ibissail_core::{Millis, VersionId};
use ibissail_direct::{RolloutState, SeenVersions, VersionContext, VersionFilter};

fn version(name: &str) -> VersionId {
    name.parse().unwrap()
}

/// What an entry knows when it selects a version.
#[derive(Default)]
struct Known {
    baseline: Option<VersionId>,
    excluded: Option<VersionId>,
    announced: Option<(VersionId, RolloutState)>,
    confirmed_at: Option<Millis>,
}

impl Known {
    fn with_baseline(name: &str) -> Self {
        Self { baseline: Some(version(name)), ..Self::default() }
    }

    fn settled(&self, seen: &mut SeenVersions, listed: &[&str], now: u64) -> VersionFilter {
        let listed: Vec<VersionId> = listed.iter().map(|name| version(name)).collect();
        let context = VersionContext {
            baseline: self.baseline.as_ref(),
            excluded: self.excluded.as_ref(),
            announced: self.announced.as_ref().map(|(target, state)| (target, *state)),
            rollouts_confirmed_at: self.confirmed_at,
            now: Millis(now),
        };
        seen.settled(&listed.iter().collect::<Vec<_>>(), context)
    }
}

fn among(names: &[&str]) -> VersionFilter {
    VersionFilter::Among(names.iter().map(|name| version(name)).collect())
}

/// Guards against a version that is used on an old list of rollouts, however long it has been seen.
#[test]
fn new_version_waits_for_the_list() {
    let mut known = Known::with_baseline("v1");
    let mut seen = SeenVersions::default();
    known.confirmed_at = Some(Millis(900));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 1_000), among(&["v1"]));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 60_000), among(&["v1"]));
    known.confirmed_at = Some(Millis(59_000));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 60_000), VersionFilter::All);
}

/// Guards against a version that is used before its order can have arrived.
#[test]
fn new_version_waits_a_while() {
    let mut known = Known::with_baseline("v1");
    let mut seen = SeenVersions::default();
    known.settled(&mut seen, &["v1", "v2"], 1_000);
    known.confirmed_at = Some(Millis(2_000));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 3_900), among(&["v1"]));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 4_000), VersionFilter::All);
}

/// Guards against a third version that is used at once because two are used already.
#[test]
fn third_version_waits_too() {
    let mut known = Known::with_baseline("v1");
    let mut seen = SeenVersions::default();
    known.settled(&mut seen, &["v1", "v2"], 0);
    known.confirmed_at = Some(Millis(5_000));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 9_000), VersionFilter::All);
    let three = ["v1", "v2", "v3"];
    assert_eq!(known.settled(&mut seen, &three, 10_000), among(&["v1", "v2"]));
    assert_eq!(known.settled(&mut seen, &three, 20_000), among(&["v1", "v2"]));
    known.confirmed_at = Some(Millis(15_000));
    assert_eq!(known.settled(&mut seen, &three, 20_000), VersionFilter::All);
}

/// Guards against a second order whose version is used beside the one that a rollout names.
#[test]
fn version_beside_a_rollout_waits() {
    let mut known = Known::with_baseline("v1");
    known.excluded = Some(version("v2"));
    known.confirmed_at = Some(Millis(900));
    let mut seen = SeenVersions::default();
    let except = VersionFilter::Except(version("v2"));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 1_000), except);
    assert_eq!(known.settled(&mut seen, &["v1", "v2", "v3"], 1_000), among(&["v1"]));
    assert_eq!(known.settled(&mut seen, &["v1", "v2", "v3"], 9_000), among(&["v1"]));
    known.confirmed_at = Some(Millis(8_000));
    assert_eq!(known.settled(&mut seen, &["v1", "v2", "v3"], 9_000), except);
}

/// Guards against a version that is used although peers report its rollout.
#[test]
fn announced_version_waits() {
    let mut known = Known::with_baseline("v1");
    let mut seen = SeenVersions::default();
    known.confirmed_at = Some(Millis(5_000));
    known.settled(&mut seen, &["v1", "v2"], 1_000);
    for state in [RolloutState::Pending, RolloutState::Running, RolloutState::RolledBack] {
        known.announced = Some((version("v2"), state));
        assert_eq!(known.settled(&mut seen, &["v1", "v2"], 9_000), among(&["v1"]));
    }
}

/// Guards against an entry that stays on an ended version because it has not read the success that its
/// peers report.
#[test]
fn announced_success_ends_the_baseline() {
    let mut known = Known::with_baseline("v1");
    let mut seen = SeenVersions::default();
    known.settled(&mut seen, &["v1", "v2"], 1_000);
    known.announced = Some((version("v2"), RolloutState::Succeeded));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 1_100), among(&["v2"]));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 60_000), among(&["v2"]));
    known.excluded = Some(version("v2"));
    assert_eq!(known.settled(&mut seen, &["v0", "v1", "v2"], 60_000), among(&["v1"]));
}

/// Guards against requests that nobody serves: an entry that starts beside several versions cannot tell
/// them apart, and a version that is alone is used.
#[test]
fn some_version_is_always_used() {
    let known = Known::default();
    let mut seen = SeenVersions::default();
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 1_000), VersionFilter::All);
    assert_eq!(known.settled(&mut seen, &["v1", "v2", "v3"], 9_000), among(&["v1", "v2"]));
    assert_eq!(known.settled(&mut seen, &["v3"], 9_500), VersionFilter::All);
    let known = Known::with_baseline("v0");
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 9_600), VersionFilter::All);
    let known =
        Known { announced: Some((version("v3"), RolloutState::Running)), ..Known::default() };
    assert_eq!(known.settled(&mut SeenVersions::default(), &["v3"], 1), VersionFilter::All);
}

/// Guards against a version that is used at once because it was seen, and left, before.
#[test]
fn version_that_returns_waits_again() {
    let mut known = Known::with_baseline("v1");
    let mut seen = SeenVersions::default();
    known.settled(&mut seen, &["v1", "v2"], 1_000);
    known.confirmed_at = Some(Millis(5_000));
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 6_000), VersionFilter::All);
    known.settled(&mut seen, &["v1"], 7_000);
    assert_eq!(known.settled(&mut seen, &["v1", "v2"], 30_000), among(&["v1"]));
}
