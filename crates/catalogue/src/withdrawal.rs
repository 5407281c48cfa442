//! Withdrawals of versions: a set that only grows, so that old messages cannot undo it.

use derive_more::{Display, From};
use ibissail_core::ModelVersion;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, str::FromStr};

/// Counts how often a version has been reinstated.
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

/// What a version may still do; within a generation it only falls.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum LifecycleState {
    /// All work.
    #[default]
    #[display("active")]
    Active,
    /// Running sessions only.
    #[display("retiring")]
    Retiring,
    /// Nothing new.
    #[display("withdrawn")]
    Withdrawn,
}

/// A version's grade in its latest generation; the greater of two is the later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{state} (generation {generation})")]
pub struct Standing {
    /// The generation.
    pub generation: Generation,
    /// The grade.
    #[serde(rename = "grade")]
    pub state: LifecycleState,
}

impl Standing {
    /// The standing once the version has been reinstated.
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

    /// The standing once the version has at most this grade.
    #[must_use]
    pub fn restricted(self, state: LifecycleState) -> Self {
        Self { generation: self.generation, state: self.state.max(state) }
    }
}

/// The standing of each version that was ever withdrawn.
///
/// Merging is commutative, associative and idempotent.
///
/// # Examples
///
/// ```
/// use ibissail_catalogue::{LifecycleState, Withdrawals};
/// let bad = "swift@2".parse()?;
/// let mut news = Withdrawals::default();
/// news.restrict(&bad, LifecycleState::Withdrawn);
/// let mut old = Withdrawals::default();
/// old.merge(&news);
/// assert_eq!(old.standing(&bad).state, LifecycleState::Withdrawn);
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<String, Standing>", into = "BTreeMap<String, Standing>")]
pub struct Withdrawals {
    standings: BTreeMap<ModelVersion, Standing>,
}

impl Withdrawals {
    /// The standing of a version.
    #[must_use]
    pub fn standing(&self, version: &ModelVersion) -> Standing {
        self.standings.get(version).copied().unwrap_or_default()
    }

    /// Lowers a version to a grade in its present generation.
    pub fn restrict(&mut self, version: &ModelVersion, state: LifecycleState) {
        let standing = self.standing(version).restricted(state);
        self.standings.insert(version.clone(), standing);
    }

    /// Begins a new generation of a version in which it is active.
    pub fn reinstate(&mut self, version: &ModelVersion) {
        let standing = self.standing(version).reinstated();
        self.standings.insert(version.clone(), standing);
    }

    /// Takes the later standing of one version.
    pub fn merge_standing(&mut self, version: &ModelVersion, standing: Standing) {
        let mine = self.standings.entry(version.clone()).or_default();
        *mine = (*mine).max(standing);
    }

    /// Takes the later standing of each version.
    pub fn merge(&mut self, other: &Self) {
        for (version, standing) in &other.standings {
            self.merge_standing(version, *standing);
        }
    }

    /// All standings, by version.
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
    fn from(map: BTreeMap<String, Standing>) -> Self {
        let parsed =
            map.into_iter().filter_map(|(name, standing)| Some((name.parse().ok()?, standing)));
        Self { standings: parsed.collect() }
    }
}

impl From<Withdrawals> for BTreeMap<String, Standing> {
    fn from(withdrawals: Withdrawals) -> Self {
        let named = withdrawals.standings.into_iter();
        named.map(|(version, standing)| (version.to_string(), standing)).collect()
    }
}
