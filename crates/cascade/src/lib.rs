//! Model selection: the cheapest model that meets the quality target of a request.

mod choice;

pub use choice::{Candidate, candidates, order_models, pick_version};
