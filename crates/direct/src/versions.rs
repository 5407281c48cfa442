//! Versions of a service that a request may go to.

use crate::{RolloutController, RolloutState};
use ibissail_core::VersionId;

/// The versions that a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any version.
    All,
    /// This version only.
    Only(VersionId),
    /// Any version but this one.
    Except(VersionId),
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
        }
    }

    /// The versions that may continue a stream. That is the version that started it, unless the
    /// service's rollout has replaced or rejected it: the replicas of a replaced version stop at
    /// once, and a bad version gets no further requests.
    #[must_use]
    pub fn for_continuation(started_by: &VersionId, rollout: Option<&RolloutController>) -> Self {
        let started_by = started_by.clone();
        let Some(controller) = rollout else { return Self::Only(started_by) };
        let target = controller.rollout.target.clone();
        match controller.rollout.state {
            RolloutState::Succeeded => Self::Only(target),
            RolloutState::RolledBack if started_by == target => Self::Except(target),
            _ if controller.verdict().is_bad() && started_by == target => Self::Except(target),
            _ => Self::Only(started_by),
        }
    }
}
