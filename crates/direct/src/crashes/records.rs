//! Recent crashes of replicas, with the requests that had just begun to be answered there.

use crate::{MAX_TRACKED_PARTS, PartHash, RequestHash, RunHash};
use ibissail_core::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a crash is remembered.
pub(crate) const CRASH_TTL: Millis = Millis(120_000);
/// Most crashes remembered; the earliest are forgotten first.
const MAX_CRASHES: usize = 64;
/// Most requests remembered of one crash.
const MAX_CRASHED_REQUESTS: usize = 32;

/// The crash of one run of a replica.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    /// When it was first noticed.
    pub(crate) at: Millis,
    /// The requests that may have caused it, with their parts.
    pub(crate) requests: BTreeMap<RequestHash, BTreeSet<PartHash>>,
    /// How often it has been told to peers.
    pub(crate) told: u32,
}

impl Crash {
    /// Whether one of the requests has one of these parts.
    pub(crate) fn has_any_part(&self, parts: &BTreeSet<PartHash>) -> bool {
        !parts.is_empty() && self.requests.values().any(|known| !known.is_disjoint(parts))
    }
}

/// The recent crashes, by the run that ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashRecords {
    crashes: BTreeMap<RunHash, Crash>,
    /// Parts of the requests of all crashes, each with the number of its crashes and the time of the
    /// latest.
    parts: BTreeMap<PartHash, (usize, Millis)>,
}

impl CrashRecords {
    /// Adds a request to a crash; returns whether anything is new.
    pub(crate) fn add<I>(
        &mut self,
        run: RunHash,
        at: Millis,
        request: RequestHash,
        parts: I,
        now: Millis,
    ) -> bool
    where
        I: IntoIterator<Item = PartHash>,
    {
        if now.since(at) >= CRASH_TTL {
            return false;
        }
        let crash = self.crashes.entry(run);
        let crash = crash.or_insert_with(|| Crash { at, requests: BTreeMap::new(), told: 0 });
        crash.at = crash.at.min(at);
        let known = crash.requests.entry(request).or_default();
        let count = known.len();
        known.extend(parts.into_iter().take(MAX_TRACKED_PARTS));
        while known.len() > MAX_TRACKED_PARTS {
            known.pop_last();
        }
        let is_new = known.len() > count;
        // The same requests are left at all entries, whatever the order of arrival.
        while crash.requests.len() > MAX_CRASHED_REQUESTS {
            crash.requests.pop_last();
        }
        if is_new {
            crash.told = 0;
            self.limit();
            self.index();
        }
        is_new
    }

    fn limit(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let earliest = self.crashes.iter().min_by_key(|(run, crash)| (crash.at, **run));
            let Some(run) = earliest.map(|(run, _)| *run) else { return };
            self.crashes.remove(&run);
        }
    }

    fn index(&mut self) {
        self.parts.clear();
        for crash in self.crashes.values() {
            let parts: BTreeSet<PartHash> = crash.requests.values().flatten().copied().collect();
            for part in parts {
                let (count, latest) = self.parts.entry(part).or_default();
                *count += 1;
                *latest = crash.at.max(*latest);
            }
        }
    }

    /// Forgets crashes that are too long ago.
    pub(crate) fn expire(&mut self, now: Millis) {
        let count = self.crashes.len();
        self.crashes.retain(|_, crash| now.since(crash.at) < CRASH_TTL);
        if self.crashes.len() < count {
            self.index();
        }
    }

    /// Number of crashes that a request with this part may have caused, and the time of the latest;
    /// `None` if there are none.
    pub(crate) fn count_with(&self, part: PartHash) -> Option<(usize, Millis)> {
        self.parts.get(&part).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunHash, &Crash)> {
        self.crashes.iter().map(|(run, crash)| (*run, crash))
    }

    /// Counts that a crash has been told to peers.
    pub(crate) fn record_told(&mut self, run: RunHash) {
        if let Some(crash) = self.crashes.get_mut(&run) {
            crash.told += 1;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
