//! Identifiers, units, signing keys and error kinds shared by all crates of ibissail.

#![recursion_limit = "256"]

mod error;
mod id;
mod key;
mod rate;
mod unit;

pub use error::{ErrorKind, ErrorResponse, Fault, Ran, RetryAfter};
pub use id::{
    BranchPath, ClassId, Incarnation, InstanceId, ModelId, ModelVersion, OrganisationId, RegionId,
    RequestId, ServiceId, Target, VersionId, VmId, ZoneId,
};
pub use key::SigningKey;
pub use rate::RequestRate;
pub use unit::{
    ByteSize, Count, Epoch, Millis, ParseError, Price, Ratio, Revision, StoreRevision, Tokens,
};
