//! Newtypes for identifiers.

use crate::ParseError;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Maximum length of an identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

fn is_identifier(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_identifier(text) {
                    Ok(Self(text.to_owned()))
                } else {
                    Err(ParseError::Identifier(text.to_owned()))
                }
            }
        }
    };
}

string_id! {
    /// Name of an organisation.
    OrganisationId
}
string_id! {
    /// Name of a model.
    ModelId
}
string_id! {
    /// Name of one version of a model.
    VersionId
}
string_id! {
    /// Name of a plain service, which serves no model.
    ServiceId
}
string_id! {
    /// Name of a class of requests with the same quality target and deadline.
    ClassId
}
string_id! {
    /// Name of a VM.
    VmId
}
string_id! {
    /// Name of a replica, an instance of an upstream. Each start usually gets a new name, but a
    /// replica may restart under its old one.
    InstanceId
}
string_id! {
    /// Name of an availability zone.
    ZoneId
}
string_id! {
    /// Name of a region, which has several availability zones.
    RegionId
}

/// One version of one model; its text form is `model@version`.
///
/// # Examples
///
/// ```
/// let version: ibissail_core::ModelVersion = "swift@2".parse()?;
/// assert_eq!(version.model.as_str(), "swift");
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{model}@{version}")]
pub struct ModelVersion {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
}

impl FromStr for ModelVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (model, version) =
            text.split_once('@').ok_or_else(|| ParseError::ModelVersion(text.to_owned()))?;
        Ok(Self { model: model.parse()?, version: version.parse()? })
    }
}

/// What an upstream serves: one version of a model, or a plain service. Its text form is
/// `model@version` or `service:name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum Target {
    /// A version of a model.
    Model(ModelVersion),
    /// A plain service.
    #[display("service:{_0}")]
    Service(ServiceId),
}

impl FromStr for Target {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.strip_prefix("service:") {
            Some(service) => service.parse().map(Self::Service),
            None => text.parse().map(Self::Model),
        }
    }
}

/// Path of a branch in the settings tree, starting at `root`.
///
/// # Examples
///
/// ```
/// let path: ibissail_core::BranchPath = "root/alpen".parse()?;
/// assert_eq!(path.parent().unwrap().to_string(), "root");
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BranchPath(String);

impl BranchPath {
    /// Returns the root branch, the ancestor of all others.
    #[must_use]
    pub fn root() -> Self {
        Self("root".to_owned())
    }

    /// Returns the parent branch, or `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        self.0.rsplit_once('/').map(|(parent, _)| Self(parent.to_owned()))
    }

    /// Returns this branch and all its ancestors, nearest first.
    #[must_use]
    pub fn ancestors(&self) -> Vec<Self> {
        let mut ancestors = vec![self.clone()];
        while let Some(parent) = ancestors.last().and_then(Self::parent) {
            ancestors.push(parent);
        }
        ancestors
    }

    /// Returns the path as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for BranchPath {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.split('/');
        let valid = parts.next() == Some("root") && parts.all(is_identifier);
        if valid { Ok(Self(text.to_owned())) } else { Err(ParseError::BranchPath(text.to_owned())) }
    }
}

/// Random number that identifies one run of a process, generated when the process starts. Its text
/// form is 16 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number =
            u64::from_str_radix(text, 16).map_err(|_parse| ParseError::Number(text.to_owned()))?;
        Ok(Self(number))
    }
}

/// Identifier of a request: the entry that accepted it and its number there.
///
/// # Examples
///
/// ```
/// let id: ibissail_core::RequestId = "00000000000000ff-7".parse()?;
/// assert_eq!((id.entry.0, id.sequence), (255, 7));
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{entry}-{sequence}")]
pub struct RequestId {
    /// Incarnation of the entry that accepted the request.
    pub entry: Incarnation,
    /// Sequence number of the request within that incarnation.
    pub sequence: u64,
}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (entry, sequence) =
            text.split_once('-').ok_or_else(|| ParseError::Identifier(text.to_owned()))?;
        let sequence =
            sequence.parse().map_err(|_parse| ParseError::Number(sequence.to_owned()))?;
        Ok(Self { entry: entry.parse()?, sequence })
    }
}
