//! Small test doubles of the platform, model engines and plain services.
//!
//! Each serves HTTP on a listener. Requests below `/control` inject faults and read counters.

mod engine;
mod http;
mod platform;
mod service;
mod store;

pub use engine::{EngineCounts, EngineFaults, EngineOptions, run_engine};
pub use platform::{PlatformCounts, PlatformFaults, run_platform};
pub use service::{ServiceCounts, ServiceFaults, run_service};
