//! Replica selection: the known replicas, the choice among them by load, and limits on concurrent
//! requests.

mod choice;
mod concurrency;
mod membership;

pub use choice::{choose_replica, replica_cost};
pub use concurrency::{ConcurrencyLimiter, Permit};
pub use membership::{Health, Membership, Replica, RequestOutcome};
