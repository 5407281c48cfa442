//! Which replica takes a request: membership, choice, admission.

mod choice;
mod concurrency;
mod membership;

pub use choice::{choose_replica, replica_cost};
pub use concurrency::{ConcurrencyLimiter, Permit};
pub use membership::{Health, Membership, Replica, RequestOutcome};
