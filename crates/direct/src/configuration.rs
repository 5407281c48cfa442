//! Routing configuration for direct upstreams, as set by the operators.

use crate::ColdStart;
use derive_more::Display;
use ibissail_core::{
    ByteSize, Count, Millis, ModelId, OrganisationId, RegionId, ServiceId, StoreRevision,
};
use std::{collections::BTreeSet, fmt};

/// Whether a request may run more than once, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RequestKind {
    /// May run more than once.
    #[display("repeatable")]
    Repeatable,
    /// Must run at most once.
    #[display("once-at-most")]
    OnceAtMost,
    /// An event stream that must run at most once.
    #[display("stream")]
    Stream,
    /// An event stream that another replica can resume after the last complete event.
    #[display("resumable-stream")]
    ResumableStream,
}

impl RequestKind {
    /// Whether the request may be sent to a replica when another may already have run it.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Rules for the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host name in the requests.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether the requests may be repeated, and the form of their responses.
    pub kind: RequestKind,
    /// Maximum time that a caller waits.
    pub timeout: Millis,
    /// Latency objective for a response, or for the first event of a stream.
    pub objective: Millis,
    /// Latency objective for the gap between two events of a stream.
    pub gap_objective: Option<Millis>,
    /// Maximum number of replicas that one request may be sent to.
    pub attempt_limit: Count,
    /// Rank among routes; 0 is the most urgent.
    pub urgency: u32,
    /// Whether requests are accepted without an API key.
    pub allows_anonymous: bool,
    /// Models that may respond, smallest first; empty if the caller selects the model.
    pub models: Vec<ModelId>,
    /// Services that receive the requests, with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Regions whose replicas may serve the requests; empty for all.
    pub regions: BTreeSet<RegionId>,
}

/// API key of an organisation; its `Debug` output hides the key to keep it out of logs.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrganisationKey(pub String);

impl fmt::Debug for OrganisationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OrganisationKey(..)")
    }
}

/// An organisation and its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// API keys that its callers may use.
    pub keys: Vec<OrganisationKey>,
    /// Rank that overrides the route's; `None` to use the route's.
    pub urgency: Option<u32>,
    /// Regions whose replicas may serve its requests; empty for all.
    pub regions: BTreeSet<RegionId>,
}

/// Capacity and prices of a service's inference engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: Count,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prompt parts.
    pub kv_cache_tokens: u64,
    /// Price of a thousand generated tokens, by model.
    pub costs: Vec<(ModelId, f64)>,
}

impl Engine {
    /// Time per token of a model, relative to the largest model; 1 if the model has no price or no
    /// price is above zero.
    ///
    /// The ratio is taken from the prices, because the operators give no other measure of a model's
    /// speed; the model with the highest price counts as the largest.
    #[must_use]
    pub fn token_time_ratio(&self, model: &ModelId) -> f64 {
        let highest = self.costs.iter().map(|(_, cost)| *cost).fold(0.0, f64::max);
        let own = self.costs.iter().find(|(name, _)| name == model).map(|(_, cost)| *cost);
        match own {
            Some(own) if highest > 0.0 => own / highest,
            _ => 1.0,
        }
    }
}

/// Configuration of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Name of the service.
    pub service: ServiceId,
    /// Capacity of its engines; `None` for a service that runs no models.
    pub engine: Option<Engine>,
    /// How its replicas start; `None` if they accept all requests from the beginning.
    pub cold_start: Option<ColdStart>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head: ByteSize,
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Maximum time to receive a request head.
    pub head_timeout: Millis,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// Limits that apply until a configuration is known, modelled on the product's own listener for
    /// callers.
    fn default() -> Self {
        Self {
            head: ByteSize(16 << 10),
            body: ByteSize(4 << 20),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Position in the store of the object that holds it.
    pub revision: StoreRevision,
    /// Version number set by the operators.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub upstreams: Vec<Upstream>,
    /// All organisations; `None` if no request needs an API key.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
}
