//! Versions of a service that a request may go to.

use crate::{Rollout, RolloutController, RolloutState};
use ibissail_core::VersionId;
use std::collections::BTreeSet;

/// The versions that a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any version.
    All,
    /// This version only.
    Only(VersionId),
    /// Any version but this one.
    Except(VersionId),
    /// One of these versions.
    Among(BTreeSet<VersionId>),
}

impl VersionFilter {
    /// Whether a request may go to replicas of a version.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::VersionFilter;
    /// let bad = VersionFilter::Except("v2".parse().unwrap());
    /// assert!(bad.allows(&"v1".parse().unwrap()));
    /// assert!(!bad.allows(&"v2".parse().unwrap()));
    /// ```
    #[must_use]
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) => version == only,
            Self::Except(excepted) => version != excepted,
            Self::Among(versions) => versions.contains(version),
        }
    }

    /// The versions that may continue a stream. That is the version that started it, unless a
    /// rollout of the service has replaced or rejected it: the replicas of a replaced version stop
    /// at once, and a bad version gets no further requests.
    ///
    /// `baseline` is the version that the last successful rollout moved the service to.
    #[must_use]
    pub fn for_continuation(
        started_by: &VersionId,
        rollout: Option<&RolloutController>,
        baseline: Option<&VersionId>,
    ) -> Self {
        let Some(controller) = rollout else { return Self::Only(started_by.clone()) };
        let Rollout { target, state, .. } = &controller.rollout;
        if *state == RolloutState::Succeeded {
            return Self::Only(target.clone());
        }
        if started_by == target {
            let is_rejected = *state == RolloutState::RolledBack || controller.verdict().is_bad();
            return if is_rejected {
                Self::Except(target.clone())
            } else {
                Self::Only(target.clone())
            };
        }
        // An earlier rollout may have replaced the version that started the stream.
        Self::Only(baseline.filter(|version| *version != target).unwrap_or(started_by).clone())
    }
}
