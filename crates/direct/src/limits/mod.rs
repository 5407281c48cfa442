//! Limits on the requests that a replica gets from all entries together.

mod rate_limit;
mod slow_start;
mod window;

pub use rate_limit::{FleetShare, RateLimit, urgency_reserve};
pub use slow_start::{
    ColdChange, ColdReplicas, ColdSource, ColdStart, ColdTime, ReplicaRecord, StatedCold,
};
pub use window::is_rate_limit;
