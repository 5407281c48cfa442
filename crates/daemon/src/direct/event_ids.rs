//! Ids of events that are usual, learned from complete streams.

use ibissail_core::ServiceId;
use ibissail_http1::{StreamPosition, UsualIds};
use std::collections::BTreeMap;

/// Complete streams over which the largest step is taken before it is forgotten with the next as many.
const RECENT_STREAMS: u32 = 32;

/// Most routes of a service whose ids are kept. Routes that were removed are not told from others.
const MAX_ROUTES: usize = 1_024;

/// The ids that are usual in the streams of each route of a service. Routes may number differently.
#[derive(Debug, Clone, Default)]
pub(super) struct EventIds {
    by_service: BTreeMap<ServiceId, BTreeMap<String, RouteIds>>,
}

/// The ids of the last complete stream of a route, and the largest step of recent ones.
#[derive(Debug, Clone, Copy, Default)]
struct RouteIds {
    usual: UsualIds,
    /// Largest steps of the streams that are being counted, and of as many before.
    recent_steps: [u64; 2],
    recent_streams: u32,
}

impl RouteIds {
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
    /// The ids that are usual for a route of a service.
    pub(super) fn usual(&self, service: &ServiceId, route: &str) -> UsualIds {
        let ids = self.by_service.get(service).and_then(|routes| routes.get(route));
        ids.map(|ids| ids.usual).unwrap_or_default()
    }

    /// Records the end of a complete stream.
    pub(super) fn record(&mut self, service: &ServiceId, route: &str, end: StreamPosition) {
        let routes = self.by_service.entry(service.clone()).or_default();
        if !routes.contains_key(route) && routes.len() >= MAX_ROUTES {
            // The routes in use are learned again with their next streams.
            routes.clear();
        }
        routes.entry(route.to_owned()).or_default().record(end);
    }

    /// Forgets the services that `is_listed` rejects.
    pub(super) fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.by_service.retain(|service, _ids| is_listed(service));
    }
}
