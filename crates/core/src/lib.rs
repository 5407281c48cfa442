//! Identifiers, units and the closed list of errors shared by all parts of ibissail.

mod error;
mod key;
mod unit;

pub use error::{Answer, ErrorKind, Fault, Ran, RetryAfter};
pub use key::SigningKey;
pub use unit::{
    BranchPath, ByteSize, ClassId, Count, Incarnation, Millis, ModelId, ModelVersion,
    OrganisationId, Price, Ratio, RequestId, Revision, ServiceId, Target, Tokens, UnitError,
    VersionId, VmId, ZoneId,
};
