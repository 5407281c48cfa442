//! Distances between the ids of events, learned from complete streams.

use ibissail_core::ServiceId;
use std::collections::BTreeMap;

/// The largest distance between two ids in the last complete stream of each service.
///
/// # Examples
///
/// ```
/// use ibissail_direct::EventSteps;
/// let service = "writers".parse().unwrap();
/// let mut steps = EventSteps::default();
/// assert_eq!(steps.usual(&service), 1);
/// steps.record(&service, 5);
/// assert_eq!(steps.usual(&service), 5);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventSteps {
    by_service: BTreeMap<ServiceId, u64>,
}

impl EventSteps {
    /// The distance that is usual for a service; 1 before one of its streams is complete.
    #[must_use]
    pub fn usual(&self, service: &ServiceId) -> u64 {
        self.by_service.get(service).copied().unwrap_or(1)
    }

    /// Records the largest distance in a complete stream; 0 if it had no two ids.
    pub fn record(&mut self, service: &ServiceId, step: u64) {
        if step > 0 {
            self.by_service.insert(service.clone(), step);
        }
    }

    /// Forgets the services that `is_listed` rejects.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&ServiceId) -> bool,
    {
        self.by_service.retain(|service, _step| is_listed(service));
    }
}
