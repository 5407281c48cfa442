//! Which replica takes a request: membership, choice, admission.

mod admission;
mod choice;
mod membership;

pub use admission::{Admissions, Permit};
pub use choice::{choose, cost};
pub use membership::{Fate, Health, Membership, Replica};
