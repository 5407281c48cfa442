//! Ids of events that are usual, learned from streams that have ended.

use ibissail_core::ServiceId;
use ibissail_http1::{Regularity, StreamPosition, UsualDistance, UsualIds};
use std::collections::{BTreeMap, VecDeque};

/// Streams that are remembered of each service.
const REMEMBERED_STREAMS: usize = 8;

/// Fewest streams that show whether a service's streams are even.
const MIN_STREAMS: usize = 3;

/// The ids that are usual in the streams of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct EventIds {
    by_service: BTreeMap<ServiceId, IdHistory>,
}

#[derive(Debug, Clone, Default)]
struct IdHistory {
    first: DistanceHistory,
    step: DistanceHistory,
}

/// Distances between ids in recent streams, the latest last.
#[derive(Debug, Clone, Default)]
struct DistanceHistory(VecDeque<StreamDistance>);

/// A distance between ids in a stream that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamDistance {
    /// All were the same.
    Even(u64),
    /// They differed; this was the largest.
    Uneven(u64),
    /// The stream was broken off before one that was far ahead.
    Withheld,
}

impl DistanceHistory {
    fn record(&mut self, distance: StreamDistance) {
        if self.0.len() == REMEMBERED_STREAMS {
            self.0.pop_front();
        }
        self.0.push_back(distance);
    }

    fn usual(&self) -> UsualDistance {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        let mut largest = 0;
        for distance in &self.0 {
            match distance {
                StreamDistance::Even(distance) => *counts.entry(*distance).or_default() += 1,
                StreamDistance::Uneven(distance) => largest = largest.max(*distance),
                StreamDistance::Withheld => {}
            }
        }
        let largest_even = counts.keys().next_back().copied().unwrap_or_default();
        let agreeing = counts.into_values().max().unwrap_or_default();
        let is_most = |count: usize| self.0.len() >= MIN_STREAMS && 4 * count >= 3 * self.0.len();
        let (largest, regularity) = if is_most(agreeing) {
            (largest_even, Regularity::Even)
        } else if is_most(self.0.len() - agreeing) {
            (largest.max(largest_even), Regularity::Uneven)
        } else {
            (largest.max(largest_even), Regularity::Unknown)
        };
        UsualDistance { largest: largest.max(1), regularity }
    }
}

impl IdHistory {
    fn usual(&self) -> UsualIds {
        UsualIds { first: self.first.usual(), step: self.step.usual() }
    }

    /// The ids that are usual if their regularity has changed.
    fn changed_since(&self, before: UsualIds) -> Option<UsualIds> {
        let now = self.usual();
        let regularity = |ids: UsualIds| (ids.first.regularity, ids.step.regularity);
        (regularity(now) != regularity(before)).then_some(now)
    }
}

impl EventIds {
    /// The ids that are usual for a service.
    pub(super) fn usual(&self, service: &ServiceId) -> UsualIds {
        self.by_service.get(service).map(IdHistory::usual).unwrap_or_default()
    }

    /// Records the end of a complete stream. Returns the ids that are usual if their regularity has
    /// changed.
    pub(super) fn record_complete(
        &mut self,
        service: &ServiceId,
        end: StreamPosition,
    ) -> Option<UsualIds> {
        let history = self.by_service.entry(service.clone()).or_default();
        let before = history.usual();
        if let Some(first) = end.first_id() {
            history.first.record(StreamDistance::Even(first));
        }
        match end.largest_step() {
            0 => {}
            largest if end.has_uneven_steps() => {
                history.step.record(StreamDistance::Uneven(largest));
            }
            step => history.step.record(StreamDistance::Even(step)),
        }
        history.changed_since(before)
    }

    /// Records the end of a stream that was broken off before an event that was far ahead. Returns the
    /// ids that are usual if their regularity has changed.
    pub(super) fn record_withheld(
        &mut self,
        service: &ServiceId,
        end: StreamPosition,
    ) -> Option<UsualIds> {
        let history = self.by_service.entry(service.clone()).or_default();
        let before = history.usual();
        match end.last_id() {
            None => history.first.record(StreamDistance::Withheld),
            Some(_) => history.step.record(StreamDistance::Withheld),
        }
        history.changed_since(before)
    }

    /// Forgets the services that `is_listed` rejects.
    pub(super) fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.by_service.retain(|service, _history| is_listed(service));
    }
}
