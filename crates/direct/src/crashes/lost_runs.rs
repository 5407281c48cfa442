//! Attempts at whole requests whose replicas have ended.

use crate::{ContentHash, RequestHash, RunHash};
use ibissail_core::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a lost run is remembered.
const LOST_RUN_TTL: Millis = Millis(120_000);
/// Most lost runs remembered; those that ended first are forgotten first.
const MAX_LOST_RUNS: usize = 256;
/// Replicas that lose power together end within this time of each other, as seen by several entries
/// whose messages take different times.
const COMMON_END: Millis = Millis(20);
/// The same, as seen by one entry that sends a request on from one replica to the other.
const COMMON_END_OF_RETRY: Millis = Millis(5);

/// An attempt that was running when its replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// The run of the replica that ended.
    pub run: RunHash,
    /// The request that was sent to it.
    pub request: RequestHash,
    /// What the request asked for.
    pub content: ContentHash,
    /// When the request was sent.
    pub began_at: Millis,
    /// When its connection broke.
    pub ended_at: Millis,
}

/// A lost run, as told to peers; the times are ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldRun(
    /// The run of the replica.
    pub RunHash,
    /// The request.
    pub RequestHash,
    /// What it asked for.
    pub ContentHash,
    /// Time since it was sent.
    pub Millis,
    /// Time since its connection broke.
    pub Millis,
);

impl LostRun {
    pub(crate) fn told(&self, now: Millis) -> ToldRun {
        let (began, ended) = (now.since(self.began_at), now.since(self.ended_at));
        ToldRun(self.run, self.request, self.content, began, ended)
    }
}

impl ToldRun {
    pub(crate) fn at(&self, now: Millis) -> LostRun {
        let Self(run, request, content, began, ended) = *self;
        let (began_at, ended_at) = (now.since(began.max(ended)), now.since(ended));
        LostRun { run, request, content, began_at, ended_at }
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    lost: LostRun,
    /// Whether this entry has lost it itself.
    is_own: bool,
    /// How often it has been told to peers.
    told: u32,
}

/// The recent lost runs, at most one for each request at each run of a replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct LostRuns {
    records: BTreeMap<(RunHash, RequestHash), Record>,
    /// The keys of the records of each content.
    contents: BTreeMap<ContentHash, BTreeSet<(RunHash, RequestHash)>>,
}

impl LostRuns {
    /// Adds a lost run; returns whether it is new. Of two times for the same run the earlier one is
    /// kept, because messages only add delay.
    pub(crate) fn add(&mut self, lost: LostRun, is_own: bool, now: Millis) -> bool {
        if now.since(lost.ended_at) >= LOST_RUN_TTL {
            return false;
        }
        let key = (lost.run, lost.request);
        if let Some(record) = self.records.get_mut(&key) {
            let known = &mut record.lost;
            known.began_at = known.began_at.min(lost.began_at);
            known.ended_at = known.ended_at.min(lost.ended_at);
            return false;
        }
        self.records.insert(key, Record { lost, is_own, told: 0 });
        self.contents.entry(lost.content).or_default().insert(key);
        while self.records.len() > MAX_LOST_RUNS {
            let earliest = self.records.iter().min_by_key(|(key, record)| {
                let lost = &record.lost;
                (lost.ended_at, **key)
            });
            let Some(earliest) = earliest.map(|(key, _)| *key) else { break };
            self.remove(earliest);
        }
        self.records.contains_key(&key)
    }

    fn remove(&mut self, key: (RunHash, RequestHash)) {
        let Some(Record { lost, .. }) = self.records.remove(&key) else { return };
        if let Some(keys) = self.contents.get_mut(&lost.content) {
            keys.remove(&key);
            if keys.is_empty() {
                self.contents.remove(&lost.content);
            }
        }
    }

    /// Forgets runs that were lost too long ago.
    pub(crate) fn expire(&mut self, now: Millis) {
        let is_old = |record: &Record| now.since(record.lost.ended_at) >= LOST_RUN_TTL;
        let old = self.records.iter().filter(|(_, record)| is_old(record));
        let old: Vec<_> = old.map(|(key, _)| *key).collect();
        for key in old {
            self.remove(key);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn get(&self, run: RunHash, request: RequestHash) -> Option<&LostRun> {
        self.records.get(&(run, request)).map(|record| &record.lost)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &LostRun> {
        self.records.values().map(|record| &record.lost)
    }

    pub(crate) fn contents(&self) -> impl Iterator<Item = ContentHash> {
        self.contents.keys().copied()
    }

    /// The lost runs of one content.
    pub(crate) fn with(&self, content: ContentHash) -> impl Iterator<Item = &LostRun> {
        let keys = self.contents.get(&content).into_iter().flatten();
        keys.filter_map(|key| self.records.get(key)).map(|record| &record.lost)
    }

    /// Whether this entry has lost a run of this content itself.
    pub(crate) fn has_own(&self, content: ContentHash) -> bool {
        let mut keys = self.contents.get(&content).into_iter().flatten();
        keys.any(|key| self.records.get(key).is_some_and(|record| record.is_own))
    }

    /// Content of a request that was lost at this run; `None` if it is unknown.
    pub(crate) fn content_of(&self, run: RunHash, request: RequestHash) -> Option<ContentHash> {
        self.records.get(&(run, request)).map(|record| record.lost.content)
    }

    /// The runs to tell to peers: those that were told least often first, and of these its own, which
    /// nobody else tells yet.
    pub(crate) fn due(&self, tell_count: u32) -> Vec<LostRun> {
        let due = self.records.values().filter(|record| record.told < tell_count);
        let mut due: Vec<&Record> = due.collect();
        due.sort_by_key(|record| {
            (record.told, !record.is_own, record.lost.ended_at, record.lost.run)
        });
        due.into_iter().map(|record| record.lost).collect()
    }

    /// Counts that a lost run has been told to peers.
    pub(crate) fn record_told(&mut self, lost: &LostRun) {
        if let Some(record) = self.records.get_mut(&(lost.run, lost.request)) {
            record.told += 1;
        }
    }
}

/// Number of runs that ended independently of each other, each clearly after the one before.
pub(crate) fn independent_runs<'a, I>(runs: I) -> usize
where
    I: IntoIterator<Item = &'a LostRun>,
{
    let mut runs: Vec<&LostRun> = runs.into_iter().collect();
    runs.sort_by_key(|lost| (lost.ended_at, lost.began_at));
    let mut count = 0;
    let mut last: Option<&LostRun> = None;
    for lost in runs {
        let is_independent = last.is_none_or(|last| {
            let is_retry = lost.request == last.request && lost.began_at >= last.ended_at;
            let common_end = if is_retry { COMMON_END_OF_RETRY } else { COMMON_END };
            lost.ended_at >= last.ended_at.saturating_add(common_end)
        });
        if is_independent {
            count += 1;
            last = Some(lost);
        }
    }
    count
}
