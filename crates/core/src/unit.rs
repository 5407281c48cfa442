//! Newtypes for identifiers, sizes, durations and rates.

use derive_more::{Display, From, Into};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr, time::Duration};

/// Longest identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

quick_error! {
    /// A text that is not a valid value of a unit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The identifier has a character or length that is not allowed.
        Identifier(value: String) {
            display("`{}` is not an identifier; valid: 1 to 128 of a-z A-Z 0-9 . _ -", value)
        }
        /// The branch path does not start at the root.
        Path(value: String) {
            display("`{}` is not a branch path; valid: root, or root/name/name", value)
        }
        /// The text does not name one version of a model.
        ModelVersion(value: String) {
            display("`{}` is not a model version; valid: model@version", value)
        }
        /// The text is not a duration.
        Duration(value: String) {
            display("`{}` is not a duration; valid: a whole number with ms, s, m or h", value)
        }
        /// The text is not a size in bytes.
        Size(value: String) {
            display("`{}` is not a size; valid: a whole number with B, kB, MB, KiB or MiB", value)
        }
        /// The number is outside 0 to 1.
        Ratio(value: String) {
            display("`{}` is not a ratio; valid: a number from 0 to 1", value)
        }
        /// The text is not a whole number.
        Number(value: String) {
            display("`{}` is not a number; valid: a whole number from 0", value)
        }
    }
}

fn is_identifier(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
}

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                if is_identifier(text) {
                    Ok(Self(text.to_owned()))
                } else {
                    Err(UnitError::Identifier(text.to_owned()))
                }
            }
        }
    };
}

identifier! {
    /// Name of an organisation.
    OrganisationId
}
identifier! {
    /// Name of a model.
    ModelId
}
identifier! {
    /// Name of one version of a model.
    VersionId
}
identifier! {
    /// Name of a plain service.
    ServiceId
}
identifier! {
    /// Name of a class of requests that share a quality target.
    ClassId
}
identifier! {
    /// Name of a VM.
    VmId
}
identifier! {
    /// Name of an availability zone.
    ZoneId
}

/// One version of one model, written `model@version`.
///
/// # Examples
///
/// ```
/// let target: ibissail_core::ModelVersion = "swift@2".parse()?;
/// assert_eq!(target.model.as_str(), "swift");
/// # Ok::<(), ibissail_core::UnitError>(())
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
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (model, version) =
            text.split_once('@').ok_or_else(|| UnitError::ModelVersion(text.to_owned()))?;
        Ok(Self { model: model.parse()?, version: version.parse()? })
    }
}

/// What an upstream offers: one version of a model, or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum Target {
    /// A version of a model.
    Model(ModelVersion),
    /// A plain service.
    #[display("service:{_0}")]
    Service(ServiceId),
}

impl FromStr for Target {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.strip_prefix("service:") {
            Some(service) => service.parse().map(Self::Service),
            None => text.parse().map(Self::Model),
        }
    }
}

/// Path of a settings branch, from `root` downwards.
///
/// # Examples
///
/// ```
/// let path: ibissail_core::BranchPath = "root/alpen".parse()?;
/// assert_eq!(path.parent().unwrap().to_string(), "root");
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BranchPath(String);

impl BranchPath {
    /// The branch that all others hang from.
    #[must_use]
    pub fn root() -> Self {
        Self("root".to_owned())
    }

    /// The branch above, or `None` at the root.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        self.0.rsplit_once('/').map(|(parent, _)| Self(parent.to_owned()))
    }

    /// This branch and all above it, nearest first.
    #[must_use]
    pub fn chain(&self) -> Vec<Self> {
        let mut chain = vec![self.clone()];
        while let Some(parent) = chain.last().and_then(Self::parent) {
            chain.push(parent);
        }
        chain
    }

    /// The path as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for BranchPath {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let mut parts = text.split('/');
        let valid = parts.next() == Some("root") && parts.all(is_identifier);
        if valid { Ok(Self(text.to_owned())) } else { Err(UnitError::Path(text.to_owned())) }
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number = text.parse().map_err(|_parse| UnitError::Number(text.to_owned()))?;
                Ok(Self(number))
            }
        }
    };
}

number! {
    /// Version of an object in the platform; it only rises.
    Revision
}
number! {
    /// A count of tokens.
    Tokens
}
number! {
    /// Price in millionths of the billing currency per thousand tokens.
    Price
}

/// A count of things that run at the same time, or of shares.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Count(pub u32);

impl FromStr for Count {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self).map_err(|_parse| UnitError::Number(text.to_owned()))
    }
}

/// A duration or an instant of a monotonic clock, in milliseconds.
///
/// # Examples
///
/// ```
/// let timeout: ibissail_core::Millis = "2s".parse()?;
/// assert_eq!(timeout.0, 2_000);
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0}ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The sum, held at the largest value.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The time from `earlier` to this instant, or zero.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// As a standard duration.
    #[must_use]
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (number, factor) =
            split_unit(text, &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)])
                .ok_or_else(|| UnitError::Duration(text.to_owned()))?;
        Ok(Self(number.saturating_mul(factor)))
    }
}

/// A size in bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0}B")]
#[serde(transparent)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// The size as an index type, held at the largest value.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let units =
            [("KiB", 1 << 10), ("MiB", 1 << 20), ("kB", 1_000), ("MB", 1_000_000), ("B", 1)];
        let (number, factor) =
            split_unit(text, &units).ok_or_else(|| UnitError::Size(text.to_owned()))?;
        Ok(Self(number.saturating_mul(factor)))
    }
}

fn split_unit(text: &str, units: &[(&str, u64)]) -> Option<(u64, u64)> {
    units.iter().find_map(|(unit, factor)| {
        let number = text.strip_suffix(unit)?.trim_end();
        number.parse().ok().map(|number| (number, *factor))
    })
}

/// A share between 0 and 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ratio(f64);

impl Ratio {
    /// The share as a number.
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

impl FromStr for Ratio {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse::<f64>() {
            Ok(value) if (0.0..=1.0).contains(&value) => Ok(Self(value)),
            _ => Err(UnitError::Ratio(text.to_owned())),
        }
    }
}

/// One start of one process, drawn at random when it starts.
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
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number =
            u64::from_str_radix(text, 16).map_err(|_parse| UnitError::Number(text.to_owned()))?;
        Ok(Self(number))
    }
}

/// Identity of a request: the entry that took it and its place in that entry's sequence.
///
/// # Examples
///
/// ```
/// let id: ibissail_core::RequestId = "00000000000000ff-7".parse()?;
/// assert_eq!((id.entry.0, id.sequence), (255, 7));
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{entry}-{sequence}")]
pub struct RequestId {
    /// The entry's incarnation.
    pub entry: Incarnation,
    /// Counts the requests of that incarnation.
    pub sequence: u64,
}

impl FromStr for RequestId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (entry, sequence) =
            text.split_once('-').ok_or_else(|| UnitError::Identifier(text.to_owned()))?;
        let sequence = sequence.parse().map_err(|_parse| UnitError::Number(sequence.to_owned()))?;
        Ok(Self { entry: entry.parse()?, sequence })
    }
}
