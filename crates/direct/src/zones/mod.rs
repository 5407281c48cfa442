//! Evacuated availability zones, and the regions whose replicas may serve a request.

mod regions;
mod serving;
mod set;
mod told;

pub use regions::{AllowedRegions, ZoneRegions};
pub use serving::{ServingGate, evacuation_polls};
pub use set::{EvacuationSet, ZoneChange};
pub use told::ToldEvacuations;
