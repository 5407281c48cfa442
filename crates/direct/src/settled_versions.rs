//! The versions of a service that may be used without a rollout.
//!
//! The replicas of a new version may be seen before the rollout that they belong to. Until the list
//! of rollouts has been read after them, the service stays on the versions that it ran before.

use crate::{RolloutState, VersionFilter};
use ibissail_core::{Millis, VersionId};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a new version without a rollout is used like the others.
const UNMANAGED_VERSION_DELAY: Millis = Millis(3_000);

/// When the versions of one service were first seen beside each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SeenVersions {
    first_seen: BTreeMap<VersionId, Millis>,
}

/// What an entry knows of the versions and rollouts of a service.
#[derive(Debug, Clone, Copy)]
pub struct VersionContext<'a> {
    /// The version that the service last ran alone, or that its last rollout moved it to.
    pub baseline: Option<&'a VersionId>,
    /// The target of a rollout that is known; it is never among the settled versions.
    pub excluded: Option<&'a VersionId>,
    /// The target and state of a rollout that peers report, and that this entry has not read. One that
    /// has succeeded replaces the baseline; another is not used yet.
    pub announced: Option<(&'a VersionId, RolloutState)>,
    /// Time as of which the list of rollouts was last known to be current.
    pub rollouts_confirmed_at: Option<Millis>,
    /// The present time.
    pub now: Millis,
}

impl SeenVersions {
    /// The versions that may be used, of those that the ready replicas `listed` run.
    ///
    /// A version that appears beside others is used after a delay, and only once the list of rollouts
    /// is known as of a time after its first sight: an order is older than its replicas.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Millis, VersionId};
    /// use ibissail_direct::{SeenVersions, VersionContext, VersionFilter};
    /// let (old, new): (VersionId, VersionId) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    /// let mut seen = SeenVersions::default();
    /// let mut settled = |confirmed_at, now| {
    ///     let context = VersionContext {
    ///         baseline: Some(&old),
    ///         excluded: None,
    ///         announced: None,
    ///         rollouts_confirmed_at: Some(confirmed_at),
    ///         now,
    ///     };
    ///     seen.settled(&[&old, &new], context)
    /// };
    /// let only_old = VersionFilter::Among([old.clone()].into());
    /// assert_eq!(settled(Millis(900), Millis(1_000)), only_old);
    /// assert_eq!(settled(Millis(900), Millis(9_000)), only_old, "an order may have been missed");
    /// assert_eq!(settled(Millis(1_100), Millis(9_000)), VersionFilter::All);
    /// ```
    pub fn settled(&mut self, listed: &[&VersionId], context: VersionContext<'_>) -> VersionFilter {
        let VersionContext { baseline, excluded, announced, rollouts_confirmed_at, now } = context;
        let all = || excluded.cloned().map_or(VersionFilter::All, VersionFilter::Except);
        let listed: Vec<&VersionId> =
            listed.iter().copied().filter(|version| Some(*version) != excluded).collect();
        if listed.len() < 2 {
            self.first_seen.clear();
            return all();
        }
        self.first_seen.retain(|version, _| listed.contains(&version));
        for version in &listed {
            self.first_seen.entry((*version).clone()).or_insert(now);
        }
        let earliest = self.first_seen.values().min().copied().unwrap_or(now);
        let (replacement, unread) = match announced {
            Some((target, RolloutState::Succeeded)) => (Some(target), None),
            Some((target, _)) => (None, Some(target)),
            None => (None, None),
        };
        let is_listed = |version: &&VersionId| listed.contains(version);
        let baseline = replacement.filter(is_listed).or(baseline.filter(is_listed));
        let is_settled = |version: &VersionId| {
            if Some(version) == baseline {
                return true;
            }
            let Some(since) = self.first_seen.get(version).copied() else { return false };
            // Without a baseline, the versions that were seen first cannot be told apart.
            let is_original = baseline.is_none() && since == earliest;
            let is_looked_up = now.since(since) >= UNMANAGED_VERSION_DELAY
                && rollouts_confirmed_at.is_some_and(|confirmed| confirmed >= since);
            Some(version) != unread && (is_original || is_looked_up)
        };
        let settled: BTreeSet<VersionId> =
            listed.iter().filter(|version| is_settled(version)).map(|v| (*v).clone()).collect();
        if settled.is_empty() || settled.len() == listed.len() {
            return all();
        }
        VersionFilter::Among(settled)
    }
}
