//! The operators' configuration of direct upstreams.

use derive_more::Display;
use ibissail_core::{ByteSize, Count, Millis, ModelId, OrganisationId, Revision, ServiceId};
use std::fmt;

/// What may be repeated, and how the answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RequestKind {
    /// May run more than once.
    #[display("repeatable")]
    Repeatable,
    /// Runs once at most.
    #[display("once-at-most")]
    OnceAtMost,
    /// A stream that runs once at most.
    #[display("stream")]
    Stream,
    /// A stream that another replica may go on with after its last whole event.
    #[display("resumable-stream")]
    ResumableStream,
}

impl RequestKind {
    /// Whether a replica may be given the request after another may have run it.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Requests of one host below one path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Millis,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective: Millis,
    /// Longest pause between events that is on time.
    pub gap_objective: Option<Millis>,
    /// Most replicas that one request may be given to.
    pub attempt_limit: Count,
    /// Rank among routes; 0 goes first.
    pub urgency: u32,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
    /// Models that may answer, smallest first; empty when the caller's choice stands.
    pub models: Vec<ModelId>,
    /// Services that take the requests, with their weights.
    pub services: Vec<(ServiceId, u32)>,
}

/// A key of an organisation; its text never reaches logs.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrganisationKey(pub String);

impl fmt::Debug for OrganisationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OrganisationKey(..)")
    }
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Keys that its callers may use.
    pub keys: Vec<OrganisationKey>,
    /// Rank that goes before the route's.
    pub urgency: Option<u32>,
}

/// Bounds of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: Count,
    /// Tokens that running requests and cached parts share.
    pub kv_cache_tokens: u64,
    /// Price of each model for a thousand generated tokens.
    pub costs: Vec<(ModelId, f64)>,
}

impl Engine {
    /// Time that a model takes for a token, as a share of the largest model's.
    ///
    /// The price of a model stands for the time that it takes; the users state no other figure.
    #[must_use]
    pub fn token_time_ratio(&self, model: &ModelId) -> f64 {
        let most = self.costs.iter().map(|(_, cost)| *cost).fold(0.0, f64::max);
        let own = self.costs.iter().find(|(name, _)| name == model).map(|(_, cost)| *cost);
        match own {
            Some(own) if most > 0.0 => own / most,
            _ => 1.0,
        }
    }
}

/// What is configured of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub service: ServiceId,
    /// Bounds of its engines, unless it is a plain service.
    pub engine: Option<Engine>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head.
    pub head: ByteSize,
    /// Longest body.
    pub body: ByteSize,
    /// Longest time for a head to arrive.
    pub head_timeout: Millis,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// Bounds until a configuration is known; they follow the product's own callers' edge.
    fn default() -> Self {
        Self {
            head: ByteSize(16 << 10),
            body: ByteSize(4 << 20),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Revision of the object that holds it.
    pub revision: Revision,
    /// The operators' version number.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub upstreams: Vec<Upstream>,
    /// All organisations; `None` when no request needs a key.
    pub organisations: Option<Vec<Organisation>>,
    /// Bounds on what callers send.
    pub limits: Limits,
}
