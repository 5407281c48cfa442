//! A set of sequence numbers, stored as ranges.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A set of sequence numbers, which takes little space when they are contiguous.
///
/// # Examples
///
/// ```
/// let mut ids = ibissail_billing::IdSet::default();
/// assert!(ids.insert(1) && ids.insert(2) && ids.insert(3));
/// assert!(!ids.insert(2));
/// assert_eq!((ids.len(), ids.range_count()), (3, 1));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct IdSet {
    /// Maps the first number of each range to its last.
    ranges: BTreeMap<u64, u64>,
}

impl IdSet {
    /// Whether the number is in the set.
    #[must_use]
    pub fn contains(&self, id: u64) -> bool {
        self.ranges.range(..=id).next_back().is_some_and(|(_, last)| id <= *last)
    }

    /// Adds a number; `false` when the set already contained it.
    pub fn insert(&mut self, id: u64) -> bool {
        if self.contains(id) {
            return false;
        }
        let mut first = id;
        let mut last = id;
        if let Some((start, end)) = self.ranges.range(..id).next_back().map(|(a, b)| (*a, *b))
            && end.checked_add(1) == Some(id)
        {
            first = start;
        }
        if let Some(successor) = id.checked_add(1)
            && let Some(end) = self.ranges.remove(&successor)
        {
            last = end;
        }
        self.ranges.insert(first, last);
        true
    }

    /// Number of elements.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Number of contiguous ranges in the set.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }
}

impl From<Vec<(u64, u64)>> for IdSet {
    fn from(ranges: Vec<(u64, u64)>) -> Self {
        Self { ranges: ranges.into_iter().filter(|(first, last)| first <= last).collect() }
    }
}

impl From<IdSet> for Vec<(u64, u64)> {
    fn from(ids: IdSet) -> Self {
        ids.ranges.into_iter().collect()
    }
}
