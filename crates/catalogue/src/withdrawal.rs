//! Withdrawals of model versions. Merging only ever keeps the later state of a version, so that a
//! delayed message cannot undo a withdrawal.

use derive_more::{Display, From};
use ibissail_core::ModelVersion;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, str::FromStr};

/// Number of times that a version has been reinstated.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl FromStr for Generation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What a version may be used for. Within a generation it only changes in the order of the
/// variants.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum LifecycleState {
    /// All requests.
    #[default]
    #[display("active")]
    Active,
    /// Requests of existing sessions only.
    #[display("retiring")]
    Retiring,
    /// No requests, not even of existing sessions. Whether runs in progress are cancelled depends
    /// on the organisation's settings.
    #[display("withdrawn")]
    Withdrawn,
}

/// State of a version in its latest generation. Of two standings of one version, the greater is the
/// later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{state} (generation {generation})")]
pub struct Standing {
    /// Generation of the version.
    pub generation: Generation,
    /// State within the generation.
    #[serde(rename = "grade")]
    pub state: LifecycleState,
}

impl Standing {
    /// The standing after the version has been reinstated: active in the next generation. An active
    /// version is unchanged.
    #[must_use]
    pub fn reinstated(self) -> Self {
        match self.state {
            LifecycleState::Active => self,
            LifecycleState::Retiring | LifecycleState::Withdrawn => Self {
                generation: Generation(self.generation.0 + 1),
                state: LifecycleState::Active,
            },
        }
    }

    /// The standing after the version has been restricted to `state`. An equal or stricter state is
    /// unchanged.
    #[must_use]
    pub fn restricted(self, state: LifecycleState) -> Self {
        Self { generation: self.generation, state: self.state.max(state) }
    }
}

/// The standing of each version that was ever restricted.
///
/// Merging is commutative, associative and idempotent.
///
/// # Examples
///
/// ```
/// use ibissail_catalogue::{LifecycleState, Withdrawals};
/// let bad = "swift@2".parse()?;
/// let mut newer = Withdrawals::default();
/// newer.restrict(&bad, LifecycleState::Withdrawn);
/// let mut stale = Withdrawals::default();
/// stale.merge(&newer);
/// assert_eq!(stale.standing(&bad).state, LifecycleState::Withdrawn);
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<String, Standing>", into = "BTreeMap<String, Standing>")]
pub struct Withdrawals {
    standings: BTreeMap<ModelVersion, Standing>,
}

impl Withdrawals {
    /// Standing of a version; the default for one that was never restricted.
    #[must_use]
    pub fn standing(&self, version: &ModelVersion) -> Standing {
        self.standings.get(version).copied().unwrap_or_default()
    }

    /// Restricts a version to `state` in its present generation.
    pub fn restrict(&mut self, version: &ModelVersion, state: LifecycleState) {
        let standing = self.standing(version).restricted(state);
        self.standings.insert(version.clone(), standing);
    }

    /// Reinstates a version: it is active in a new generation, unless it is active already.
    pub fn reinstate(&mut self, version: &ModelVersion) {
        let standing = self.standing(version).reinstated();
        self.standings.insert(version.clone(), standing);
    }

    /// Merges the standing of one version: the later one is kept.
    pub fn merge_standing(&mut self, version: &ModelVersion, standing: Standing) {
        let current = self.standings.entry(version.clone()).or_default();
        *current = (*current).max(standing);
    }

    /// Merges other withdrawals: the later standing of each version is kept.
    pub fn merge(&mut self, other: &Self) {
        for (version, standing) in &other.standings {
            self.merge_standing(version, *standing);
        }
    }

    /// All standings, in the order of the versions.
    pub fn iter(&self) -> std::collections::btree_map::Iter<'_, ModelVersion, Standing> {
        self.standings.iter()
    }
}

impl<'a> IntoIterator for &'a Withdrawals {
    type IntoIter = std::collections::btree_map::Iter<'a, ModelVersion, Standing>;
    type Item = (&'a ModelVersion, &'a Standing);

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl From<BTreeMap<String, Standing>> for Withdrawals {
    /// Ignores names that are not valid model versions.
    fn from(map: BTreeMap<String, Standing>) -> Self {
        let parsed =
            map.into_iter().filter_map(|(name, standing)| Some((name.parse().ok()?, standing)));
        Self { standings: parsed.collect() }
    }
}

impl From<Withdrawals> for BTreeMap<String, Standing> {
    fn from(withdrawals: Withdrawals) -> Self {
        let by_name = withdrawals.standings.into_iter();
        by_name.map(|(version, standing)| (version.to_string(), standing)).collect()
    }
}
