//! Settings of an entry that calls upstreams directly.

use crate::RetryBudgetLimits;
use ibissail_core::{Count, Millis, VmId, ZoneId};
use std::net::{IpAddr, SocketAddr};

/// Settings of an entry that calls upstreams directly.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this entry takes requests.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where peers send their reports, by UDP.
    pub peers: SocketAddr,
    /// Addresses of VMs that may run peers, for the first contact.
    pub seeds: Vec<IpAddr>,
    /// The platform's object store.
    pub store: SocketAddr,
    /// Age of the configuration up to which a key may be accepted; `None` for any age.
    pub key_age_limit: Option<Millis>,
    /// Time between the request to stop and the end of the process.
    pub grace: Millis,
    /// Bounds on attempts beyond the first.
    pub budget: RetryBudgetLimits,
    /// Share of a service's requests that a bad version may get during its roll-out.
    pub exposure: f64,
    /// Requests that it may get beyond that share.
    pub exposure_allowance: Count,
    /// Pause after which requests of the same session no longer belong together.
    pub session_idle_timeout: Millis,
}
