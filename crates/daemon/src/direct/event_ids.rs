//! Ids of events that are usual, learned from complete streams.

use ibissail_core::ServiceId;
use ibissail_http1::{StreamPosition, UsualIds};
use std::collections::BTreeMap;

/// Streams in a row that are cut before a last event that is far ahead, until such events are usual.
const MAX_WITHHELD_STREAMS: u32 = 3;

/// The ids that are usual in the streams of each service: those of its last complete stream, or of
/// streams that were cut again and again because their ids were unusual.
#[derive(Debug, Clone, Default)]
pub(super) struct EventIds {
    by_service: BTreeMap<ServiceId, ServiceIds>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceIds {
    usual: UsualIds,
    /// Streams cut before their last event since the last complete one.
    withheld_streams: u32,
    /// Least distances of these events, as the first of a stream and behind others.
    least_first: Option<u64>,
    least_step: Option<u64>,
}

impl ServiceIds {
    /// Takes the events that were withheld for usual ones.
    fn adopt_withheld(&mut self) {
        self.usual.first = self.usual.first.max(self.least_first.unwrap_or_default());
        self.usual.step = self.usual.step.max(self.least_step.unwrap_or_default());
        self.forget_withheld();
    }

    fn forget_withheld(&mut self) {
        *self = Self { usual: self.usual, ..Self::default() };
    }
}

impl EventIds {
    /// The ids that are usual for a service.
    pub(super) fn usual(&self, service: &ServiceId) -> UsualIds {
        self.by_service.get(service).map(|ids| ids.usual).unwrap_or_default()
    }

    /// Records the end of a complete stream.
    pub(super) fn record(&mut self, service: &ServiceId, end: StreamPosition) {
        let ids = self.by_service.entry(service.clone()).or_default();
        ids.forget_withheld();
        if let Some(first) = end.first_id() {
            ids.usual.first = first.max(1);
        }
        if end.largest_step() > 0 {
            ids.usual.step = end.largest_step();
        }
    }

    /// Records a stream that was cut before its last event. Returns the ids that are usual if such
    /// events now are.
    pub(super) fn record_withheld(
        &mut self,
        service: &ServiceId,
        end: StreamPosition,
    ) -> Option<UsualIds> {
        let distance = end.withheld_distance()?;
        let ids = self.by_service.entry(service.clone()).or_default();
        let least =
            if end.last_id().is_none() { &mut ids.least_first } else { &mut ids.least_step };
        *least = Some(least.map_or(distance, |least| least.min(distance)));
        ids.withheld_streams += 1;
        if ids.withheld_streams < MAX_WITHHELD_STREAMS {
            return None;
        }
        ids.adopt_withheld();
        Some(ids.usual)
    }

    /// Forgets the services that `is_listed` rejects.
    pub(super) fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.by_service.retain(|service, _ids| is_listed(service));
    }
}
