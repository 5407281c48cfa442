//! A request that has been admitted, as all later stages see it.

use super::response::{AfterResponse, ErrorReply};
use crate::clock::since_boot;
use ibissail_core::{ErrorKind, Millis, OrganisationId, ServiceId};
use ibissail_direct::{AllowedRegions, ContentHash, Route, retry_after};
use ibissail_http1::RequestHead;
use ibissail_platform::CallerRequest;
use rand::Rng;
use std::sync::Arc;

/// Range over which the `Retry-After` times of refused requests are spread.
pub(super) const RETRY_AFTER_SPREAD: Millis = Millis(600);

/// An admitted request.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// Parameters of the request, decoded from its headers.
    pub(crate) params: CallerRequest,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<OrganisationId>,
    /// Regions whose replicas may serve the request.
    pub(crate) regions: AllowedRegions,
    /// What the request asks for.
    pub(crate) content: ContentHash,
    /// Rank of the request; 0 is the most urgent.
    pub(crate) urgency: u32,
    pub(crate) service: ServiceId,
    pub(crate) arrived_at: Millis,
    /// When the caller must have its response.
    pub(crate) deadline: Millis,
    pub(crate) after_response: AfterResponse,
    /// Version of the configuration under which the request was admitted.
    pub(super) configuration_version: u64,
    /// Age of that configuration at admission; `None` if it has never been confirmed.
    pub(super) configuration_age: Option<Millis>,
}

impl AdmittedRequest {
    /// An error response to this request; it has a retry time only with status 503, which means
    /// here that the request has not run.
    pub(crate) fn error_reply(&self, kind: ErrorKind, detail: &str) -> ErrorReply {
        let jitter = rand::rng().random();
        let has_retry_time = kind.response().status == 503;
        let time_left = self.time_left(since_boot());
        ErrorReply {
            kind,
            detail: detail.to_owned(),
            retry_after: has_retry_time.then(|| retry_after(RETRY_AFTER_SPREAD, time_left, jitter)),
        }
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Whether a response with this status is a stream.
    pub(crate) fn is_stream(&self, status: u16) -> bool {
        self.route.kind.is_stream() && status == 200
    }
}
