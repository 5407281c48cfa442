//! The rate that the upstream accepts. All its requests come from this sidecar, which therefore uses
//! the rate alone.

use crate::sidecar::Shared;
use http_types::Response;
use ibissail_core::{InstanceId, Millis, RequestRate, VmId};
use ibissail_direct::{FleetShare, RateLimit};
use ibissail_platform::{RATE_LIMIT_HEADER, parse_rate_limit};
use slog::info;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The limit that the upstream names in its responses, if any.
#[derive(Debug, Default)]
pub(super) struct UpstreamLimit {
    limit: Mutex<Option<(RateLimit, FleetShare)>>,
}

impl UpstreamLimit {
    /// Takes a request from the rate; returns whether it may be sent.
    pub(super) fn try_take(&self, now: Millis) -> bool {
        self.lock().as_mut().is_none_or(|(limit, share)| limit.try_take(*share, 0.0, now))
    }

    /// Records the rate that the latest response names; returns whether it has changed.
    fn record(&self, vm: &VmId, rate: Option<RequestRate>, now: Millis) -> bool {
        let mut limit = self.lock();
        if limit.map(|(limit, _)| limit.rate()) == rate {
            return false;
        }
        match (&mut *limit, rate) {
            (Some((limit, _)), Some(rate)) => limit.set_rate(rate),
            (limit, rate) => {
                let named = rate.zip(vm.as_str().parse::<InstanceId>().ok());
                *limit = named
                    .map(|(rate, id)| (RateLimit::new(&id, rate, now), FleetShare::new(vm, 1)));
            }
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Option<(RateLimit, FleetShare)>> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Records what a response of the upstream says about the rate that it accepts.
    pub(super) fn record_upstream_limit(&self, res: &Response) {
        let value = res.header(RATE_LIMIT_HEADER).map(|values| values.last().as_str());
        let rate = value.and_then(parse_rate_limit);
        let vm = &self.node.local.identity.vm;
        if self.upstream_limit.record(vm, rate, self.node.now()) {
            let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            info!(self.node.log, "upstream: limit changed"; "rate" => rate);
        }
    }
}
