//! Settings of an entry that calls upstreams directly.

use crate::{RetryBudgetLimits, ZoneRegions};
use ibissail_core::{ByteSize, Count, Millis, VmId, ZoneId};
use std::net::{IpAddr, SocketAddr};

/// Bound on the requests that a cold replica gets from all entries together in one second: the rate
/// that it sustains while cold, times `factor`, plus `allowance`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Multiple of the sustained rate.
    pub factor: f64,
    /// Requests beyond that.
    pub allowance: f64,
}

/// Whether requests wait or are rejected while capacity is short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Shedding {
    /// Where overload is expected, or the replicas of a service report their load in detail.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// Settings of an entry that calls upstreams directly.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of the VM that the entry runs on.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Regions of the availability zones.
    pub zone_regions: ZoneRegions,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer probes readiness.
    pub readiness: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// UDP address on which peers send their reports.
    pub peers: SocketAddr,
    /// Addresses of VMs that may run peers, used to find the first ones.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Maximum age of the configuration at which API keys are accepted; `None` for any age.
    pub key_age_limit: Option<Millis>,
    /// Time from the request to stop until the process must have ended.
    pub grace: Millis,
    /// Limits on retries.
    pub budget: RetryBudgetLimits,
    /// Share of a service's requests that a bad version may receive during its rollout.
    pub exposure: f64,
    /// Requests that a bad version may receive beyond that share.
    pub exposure_allowance: Count,
    /// Idle time after which a session has ended.
    pub session_idle_timeout: Millis,
    /// Time from the acknowledgement of an evacuation until its zone gets no more requests; `None`
    /// if zones are not evacuated.
    pub evacuation_delay: Option<Millis>,
    /// Bound on the requests to cold replicas; `None` if replicas do not report that they are cold.
    pub cold_limits: Option<ColdLimits>,
    /// Whether callers are expected to compete for too little capacity.
    pub expects_overload: bool,
    /// Whether requests wait or are rejected while capacity is short.
    pub shedding: Shedding,
    /// Memory above which the process is killed; `None` if not set.
    pub memory: Option<ByteSize>,
    /// Maximum number of file descriptors; `None` if not set.
    pub descriptors: Option<Count>,
}
