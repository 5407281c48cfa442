//! Bounds on the memory of a process.

mod messages;

pub use messages::{MessageBudget, MessageId, SMALL_MESSAGE};
