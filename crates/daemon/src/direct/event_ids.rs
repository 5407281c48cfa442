//! Ids of events that are usual, learned from complete streams.

use ibissail_core::ServiceId;
use ibissail_http1::{StreamPosition, UsualIds};
use std::collections::BTreeMap;

/// The ids that are usual in the streams of each service: those of its last complete stream.
#[derive(Debug, Clone, Default)]
pub(super) struct EventIds {
    by_service: BTreeMap<ServiceId, UsualIds>,
}

impl EventIds {
    /// The ids that are usual for a service.
    pub(super) fn usual(&self, service: &ServiceId) -> UsualIds {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    /// Records the end of a complete stream.
    pub(super) fn record(&mut self, service: &ServiceId, end: StreamPosition) {
        let usual = self.by_service.entry(service.clone()).or_default();
        if let Some(first) = end.first_id() {
            usual.first = first.max(1);
        }
        if end.largest_step() > 0 {
            usual.step = end.largest_step();
        }
    }

    /// Forgets the services that `is_listed` rejects.
    pub(super) fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.by_service.retain(|service, _ids| is_listed(service));
    }
}
