//! Which model takes a request, at the lowest cost that meets the quality target.

mod choice;

pub use choice::{Candidate, candidates, order_models, pick_version};
