//! Ids of events that are usual, learned from streams that have ended.

use ibissail_core::ServiceId;
use ibissail_http1::{Regularity, StreamPosition, UsualDistance, UsualIds};
use std::collections::BTreeMap;

/// Streams that are remembered of each service.
const REMEMBERED_STREAMS: u32 = 8;

/// Fewest streams that show whether a service's streams are even.
const MIN_STREAMS: u32 = 3;

/// The ids that are usual in the streams of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct EventIds {
    by_service: BTreeMap<ServiceId, IdHistory>,
}

#[derive(Debug, Clone, Copy, Default)]
struct IdHistory {
    first: DistanceHistory,
    step: DistanceHistory,
}

/// A distance between ids in recent streams.
#[derive(Debug, Clone, Copy, Default)]
struct DistanceHistory {
    /// The largest of the last complete stream.
    latest: Option<u64>,
    /// Whether each recent stream was even and agreed with the one before; the last bit is the latest.
    agreements: u8,
    /// Number of recent streams.
    streams: u32,
}

impl DistanceHistory {
    fn record_complete(&mut self, largest: u64, is_even: bool) {
        let agrees = self.latest.is_none_or(|latest| latest == largest);
        self.latest = Some(largest);
        self.record(is_even && agrees);
    }

    fn record(&mut self, is_regular: bool) {
        self.agreements = self.agreements << 1 | u8::from(is_regular);
        self.streams = (self.streams + 1).min(REMEMBERED_STREAMS);
    }

    fn usual(&self) -> UsualDistance {
        let regular = self.agreements.count_ones();
        let is_most = |count: u32| self.streams >= MIN_STREAMS && 4 * count >= 3 * self.streams;
        let regularity = match (is_most(regular), is_most(self.streams - regular)) {
            (true, _) => Regularity::Even,
            (_, true) => Regularity::Uneven,
            _ => Regularity::Unknown,
        };
        UsualDistance { largest: self.latest.unwrap_or_default().max(1), regularity }
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
            history.first.record_complete(first, true);
        }
        if end.largest_step() > 0 {
            history.step.record_complete(end.largest_step(), !end.has_uneven_steps());
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
            None => history.first.record(false),
            Some(_) => history.step.record(false),
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
