//! Load that replicas report in their responses.
//!
//! Each entry receives reports only with its own responses: every 10 to 500 ms for each replica.

use super::speed::ReplicaSpeed;
use crate::Replica;
use ibissail_core::{InstanceId, Millis, ServiceId};
use std::collections::{BTreeMap, BTreeSet};

/// Age from which the reported numbers of requests are not used.
const REPORT_TTL: Millis = Millis(500);
/// Largest factor by which reported numbers may differ from the counted ones; a replica may report
/// false numbers.
const MAX_COUNT_FACTOR: u32 = 4;
/// Largest number of requests or slots in a valid report.
pub const MAX_REPORTED_COUNT: u32 = 100_000;
/// Longest duration of work in a valid report, in hundredths of the normal one.
pub const MAX_REPORTED_SPEED: u32 = 100_000;
/// Most replicas whose load is kept; those that have not reported for longest are removed first.
const MAX_REPLICAS: usize = 16_384;

/// Load that a response of a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs concurrently at most.
    pub slots: u32,
    /// Present duration of work, in hundredths of the normal one; `None` if not reported.
    pub speed: Option<u32>,
}

/// Requests at a replica that are known without its report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CountedRequests {
    /// Requests of this entry in progress.
    pub own: u32,
    /// Estimated requests of all entries in progress, this one included.
    pub all: u32,
}

/// What is known of the load of a replica whose service's replicas report their speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateLoad {
    /// Requests that it runs or that wait there.
    pub requests: f64,
    /// Requests that it runs concurrently at most.
    pub slots: u32,
    /// Duration of work, relative to the normal one.
    pub speed: f64,
}

#[derive(Debug, Clone)]
struct KnownLoad {
    service: ServiceId,
    started_unix_ms: Option<u64>,
    observed_at: Millis,
    report: ReportedLoad,
    /// Requests of this entry in progress when the report arrived.
    own_then: u32,
    speed: Option<ReplicaSpeed>,
}

/// The latest reports of all replicas.
#[derive(Debug, Clone, Default)]
pub struct ReplicaLoads {
    loads: BTreeMap<InstanceId, KnownLoad>,
    /// Services with a replica whose latest report has a speed.
    enabled: BTreeSet<ServiceId>,
}

impl ReplicaLoads {
    /// Records a report from a run of a replica that was started at `started_unix_ms`; `own` is the
    /// number of this entry's requests in progress there. A report of an earlier run is ignored.
    pub fn record(
        &mut self,
        replica: &Replica,
        started_unix_ms: Option<u64>,
        report: ReportedLoad,
        own: u32,
        now: Millis,
    ) {
        if is_earlier(started_unix_ms, replica.started_unix_ms) {
            return;
        }
        let known = self.loads.get(&replica.id);
        if known.is_some_and(|known| is_earlier(started_unix_ms, known.started_unix_ms)) {
            return;
        }
        let known = known.filter(|known| !is_earlier(known.started_unix_ms, started_unix_ms));
        let had_speed = known.is_some_and(|known| known.report.speed.is_some());
        let before = known.and_then(|known| known.speed);
        let speed = match (before, report.speed) {
            (Some(mut speed), Some(percent)) => {
                speed.record(percent, now);
                Some(speed)
            }
            (None, Some(percent)) => Some(ReplicaSpeed::new(percent, now)),
            (_, None) => None,
        };
        let (service, observed_at) = (replica.service.clone(), now);
        let load =
            KnownLoad { service, started_unix_ms, observed_at, report, own_then: own, speed };
        self.make_room(&replica.id);
        self.loads.insert(replica.id.clone(), load);
        if report.speed.is_some() {
            if !self.enabled.contains(&replica.service) {
                self.enabled.insert(replica.service.clone());
            }
        } else if had_speed {
            self.refresh_enabled();
        }
    }

    fn make_room(&mut self, id: &InstanceId) {
        if self.loads.len() < MAX_REPLICAS || self.loads.contains_key(id) {
            return;
        }
        let oldest = self.loads.iter().min_by_key(|(_, load)| load.observed_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.loads.remove(&oldest);
        }
    }

    fn refresh_enabled(&mut self) {
        let reporting = self.loads.values().filter(|load| load.report.speed.is_some());
        self.enabled = reporting.map(|load| load.service.clone()).collect();
    }

    /// Whether requests for a service are placed by reported load: the latest report of one of its
    /// replicas has a speed.
    #[must_use]
    pub fn is_enabled(&self, service: &ServiceId) -> bool {
        self.enabled.contains(service)
    }

    /// Whether this holds for any service.
    #[must_use]
    pub fn is_any_enabled(&self) -> bool {
        !self.enabled.is_empty()
    }

    /// The latest report of a replica's present run while it is younger than 500 ms.
    #[must_use]
    pub fn recent_report(&self, replica: &Replica, now: Millis) -> Option<ReportedLoad> {
        let known = self.current(replica)?;
        (now.since(known.observed_at) < REPORT_TTL).then_some(known.report)
    }

    fn current(&self, replica: &Replica) -> Option<&KnownLoad> {
        let known = self.loads.get(&replica.id)?;
        (!is_earlier(known.started_unix_ms, replica.started_unix_ms)).then_some(known)
    }

    /// The load of a replica: as counted, and increasingly as reported the more recent its report
    /// is. Requests that this entry has sent and completed since the report are added and deducted.
    #[must_use]
    pub fn estimate(
        &self,
        replica: &Replica,
        counted: CountedRequests,
        now: Millis,
    ) -> CandidateLoad {
        let all = f64::from(counted.all.max(counted.own));
        let Some(known) = self.current(replica) else {
            return CandidateLoad { requests: all, slots: replica.slots.0.max(1), speed: 1.0 };
        };
        let speed = known.speed.map_or(1.0, |speed| speed.factor(now));
        let slots = known.report.slots.clamp(
            replica.slots.0.div_ceil(MAX_COUNT_FACTOR).max(1),
            replica.slots.0.saturating_mul(MAX_COUNT_FACTOR).max(1),
        );
        let reported = known.report.running.saturating_add(known.report.waiting);
        let since = f64::from(counted.own) - f64::from(known.own_then);
        let factor = f64::from(MAX_COUNT_FACTOR);
        // A report alone can make a replica look full, but not more than that.
        let bounds = (all / factor, (all * factor).max(f64::from(slots)));
        let reported = (f64::from(reported) + since).max(f64::from(counted.own));
        let reported = reported.clamp(bounds.0, bounds.1);
        let age = now.since(known.observed_at).0 as f64 / REPORT_TTL.0 as f64;
        let weight = (1.0 - age).max(0.0);
        CandidateLoad { requests: all + weight * (reported - all), slots, speed }
    }

    /// Removes the loads of replicas that are not listed. `is_listed` says which are.
    pub fn expire<F>(&mut self, is_listed: F)
    where
        F: Fn(&InstanceId) -> bool,
    {
        let before = self.loads.len();
        self.loads.retain(|id, _| is_listed(id));
        if self.loads.len() < before {
            self.refresh_enabled();
        }
    }

    /// Sums of the running and waiting requests in reports younger than 500 ms, and the number of
    /// these reports.
    #[must_use]
    pub fn recent_totals(&self, now: Millis) -> (u64, u64, u64) {
        let recent = self.loads.values().filter(|load| now.since(load.observed_at) < REPORT_TTL);
        recent.fold((0, 0, 0), |(running, waiting, count), load| {
            let report = load.report;
            (running + u64::from(report.running), waiting + u64::from(report.waiting), count + 1)
        })
    }
}

/// Whether both start times are reported and the first is earlier.
fn is_earlier(first: Option<u64>, second: Option<u64>) -> bool {
    first.zip(second).is_some_and(|(first, second)| first < second)
}
