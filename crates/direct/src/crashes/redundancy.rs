//! Quarantined parts whose crashes another quarantined part explains.

use crate::{PartHash, RequestHash, RunHash, crashes::records::CrashRecords};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes that a part must explain beyond those of a part whose requests all have it too.
const MIN_OWN_CRASHES: usize = 3;

type Occurrences = BTreeSet<(RunHash, RequestHash)>;

fn runs(occurrences: &Occurrences) -> BTreeSet<RunHash> {
    occurrences.iter().map(|(run, _)| *run).collect()
}

/// A quarantined part that the others make needless; of several, the one in most requests.
///
/// A part is needless if all its requests in crashes have another quarantined part too, or if it
/// explains hardly more crashes than a part that only occurs beside it.
pub(crate) fn redundant_part(
    crashes: &CrashRecords,
    quarantined: &BTreeSet<PartHash>,
) -> Option<PartHash> {
    if quarantined.len() < 2 {
        return None;
    }
    let mut occurrences: BTreeMap<PartHash, Occurrences> = BTreeMap::new();
    for (run, crash) in crashes.iter() {
        for (request, parts) in &crash.requests {
            for part in parts.intersection(quarantined) {
                occurrences.entry(*part).or_default().insert((run, *request));
            }
        }
    }
    let is_redundant = |part: &PartHash, own: &Occurrences| {
        let others = || occurrences.iter().filter(|(other, _)| *other != part);
        let covered: Occurrences = others().flat_map(|(_, other)| other.iter().copied()).collect();
        let explains_little_more = |inner: &Occurrences| {
            inner.is_subset(own) && runs(own).difference(&runs(inner)).count() < MIN_OWN_CRASHES
        };
        own.is_subset(&covered) || others().any(|(_, other)| explains_little_more(other))
    };
    let redundant = occurrences.iter().filter(|(part, own)| is_redundant(part, own));
    redundant.max_by_key(|(_, own)| own.len()).map(|(part, _)| *part)
}
