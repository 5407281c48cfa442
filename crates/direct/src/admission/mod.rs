//! Admission control: which requests are sent, wait or are rejected while capacity is short.
//!
//! The load is more work than the engines of a service can do, for seconds or minutes, offered by
//! requests of several ranks at many entries that each see only a part of it.

mod capacity;
mod load_window;
mod queue;
mod service;
mod shedding;

pub use capacity::{Capacity, CapacityGuard, slots_held};
pub use load_window::{Holds, LoadWindow, RANKS, RankLoads, rank_index};
pub use queue::{Ticket, WaitQueue, WaitingRequest};
pub use service::{
    CapacityView, Decision, NewRequest, Offer, RejectReason, Rejection, ServiceAdmission,
};
pub use shedding::{ServedParts, entry_slots, retry_time, served_parts};
