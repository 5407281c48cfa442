//! Settings as a tree of branches: schema, checks with positions, local process settings.

mod branch;
mod key;
mod local;
mod mistake;
mod reader;
mod schema;
mod tree;

pub use branch::parse_branch;
pub use local::{Identity, LocalSettings, UpstreamKind, UpstreamSettings, parse_local};
pub use mistake::{Mistake, Mistakes};
pub use schema::{
    Branch, Class, KeyHash, Limits, Model, ModelRef, OnWithdrawal, Organisation, Service, Version,
};
pub use tree::check_tree;
