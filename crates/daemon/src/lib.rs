//! The ibissail daemon: entry, direct entry, sidecar, and development mode.

pub mod cli;
mod clock;
mod crash_check;
mod dev;
mod dev_direct;
mod direct;
mod entry;
mod error;
mod ledger;
mod log;
mod metrics;
mod node;
mod options;
mod process;
mod response;
mod sidecar;
mod standin;

pub use error::{ExitCode, StartError};
pub use options::Options;
pub use process::run;
