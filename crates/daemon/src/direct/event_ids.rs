//! Ids of events that are usual, learned from complete streams.

use ibissail_core::ServiceId;
use ibissail_http1::{StreamPosition, UsualIds};
use std::collections::BTreeMap;

/// Complete streams over which the largest step is taken before it is forgotten with the next as many.
const RECENT_STREAMS: u32 = 32;

/// The ids that are usual in the streams of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct EventIds {
    by_service: BTreeMap<ServiceId, ServiceIds>,
}

/// The ids of the last complete stream of a service, and the largest step of recent ones.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceIds {
    usual: UsualIds,
    /// Largest steps of the streams that are being counted, and of as many before.
    recent_steps: [u64; 2],
    recent_streams: u32,
}

impl ServiceIds {
    fn record(&mut self, end: StreamPosition) {
        if let Some(first) = end.first_id() {
            self.usual.first = first.max(1);
        }
        let step = end.largest_step();
        if step == 0 {
            return;
        }
        self.usual.step = step;
        if self.recent_streams == RECENT_STREAMS {
            self.recent_steps = [0, self.recent_steps[0]];
            self.recent_streams = 0;
        }
        self.recent_streams += 1;
        self.recent_steps[0] = self.recent_steps[0].max(step);
        self.usual.gap = self.recent_steps[0].max(self.recent_steps[1]);
    }
}

impl EventIds {
    /// The ids that are usual for a service.
    pub(super) fn usual(&self, service: &ServiceId) -> UsualIds {
        self.by_service.get(service).map(|ids| ids.usual).unwrap_or_default()
    }

    /// Records the end of a complete stream.
    pub(super) fn record(&mut self, service: &ServiceId, end: StreamPosition) {
        self.by_service.entry(service.clone()).or_default().record(end);
    }

    /// Forgets the services that `is_listed` rejects.
    pub(super) fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.by_service.retain(|service, _ids| is_listed(service));
    }
}
