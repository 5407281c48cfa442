//! Settings: the tree of branches with its schema and validation, and the local settings of a
//! process. Validation errors carry file and line.

mod branch;
mod key;
mod local;
mod reader;
mod schema;
mod tree;
mod validation_error;

pub use branch::parse_branch;
pub use local::{Identity, LocalSettings, UpstreamKind, UpstreamSettings, parse_local};
pub use schema::{
    Branch, Class, KeyHash, Limits, Model, OnWithdrawal, Organisation, Service, TargetSelector,
    Version,
};
pub use tree::check_tree;
pub use validation_error::{ValidationError, ValidationErrors};
