//! Newtypes for counts, sizes, durations and ratios, and the error for text that does not parse.

use derive_more::{Display, From, Into};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{str::FromStr, time::Duration};

quick_error! {
    /// Why a text cannot be parsed as an identifier, path or quantity.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseError {
        /// The identifier has a character or length that is not allowed.
        Identifier(value: String) {
            display("`{}` is not an identifier; valid: 1 to 128 of a-z A-Z 0-9 . _ -", value)
        }
        /// The text is not a branch path: `root` and identifiers, separated by `/`.
        BranchPath(value: String) {
            display("`{}` is not a branch path; valid: root, or root/name/name", value)
        }
        /// The text is not a model and a version, separated by `@`.
        ModelVersion(value: String) {
            display("`{}` is not a model version; valid: model@version", value)
        }
        /// The text is not a rate.
        Rate(value: String) {
            display("`{}` is not a rate; valid: a decimal number of requests a second, 0 or more", value)
        }
        /// The text is not a duration.
        Duration(value: String) {
            display("`{}` is not a duration; valid: a whole number with ms, s, m or h", value)
        }
        /// The text is not a size in bytes.
        Size(value: String) {
            display("`{}` is not a size; valid: a whole number with B, kB, MB, KiB or MiB", value)
        }
        /// The text is not a number from 0 to 1.
        Ratio(value: String) {
            display("`{}` is not a ratio; valid: a number from 0 to 1", value)
        }
        /// The text is not a whole number, or the number exceeds the range of its type.
        Number(value: String) {
            display("`{}` is not a number; valid: a whole number from 0", value)
        }
    }
}

macro_rules! u64_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let number = text.parse().map_err(|_parse| ParseError::Number(text.to_owned()))?;
                Ok(Self(number))
            }
        }
    };
}

u64_newtype! {
    /// Revision of an object in the platform; it only increases within an [`Epoch`].
    Revision
}
u64_newtype! {
    /// Number of times the platform's store has been restored from an older copy of itself.
    ///
    /// After a restore the store may lack acknowledged writes, and its revisions repeat.
    Epoch
}
u64_newtype! {
    /// Number of tokens.
    Tokens
}

/// Position in the history of a store whose revisions repeat after a restore. Any revision of a
/// later epoch is newer.
///
/// # Examples
///
/// ```
/// use ibissail_core::StoreRevision;
/// assert!(StoreRevision::new(1, 90) > StoreRevision::new(0, 100));
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{epoch}/{revision}")]
pub struct StoreRevision {
    /// Restores of the store before this revision.
    pub epoch: Epoch,
    /// Revision within the epoch.
    pub revision: Revision,
}

impl StoreRevision {
    /// Creates a position from its numbers.
    #[must_use]
    pub const fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch: Epoch(epoch), revision: Revision(revision) }
    }
}
u64_newtype! {
    /// Price in millionths of the billing currency per thousand tokens.
    Price
}

/// A small count, such as a concurrency limit or a weight.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Count(pub u32);

impl FromStr for Count {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_parse| ParseError::Number(text.to_owned()))
    }
}

/// A duration, or an instant of a monotonic or Unix clock, in milliseconds.
///
/// # Examples
///
/// ```
/// let timeout: ibissail_core::Millis = "2s".parse()?;
/// assert_eq!(timeout.0, 2_000);
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0}ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the sum, or the largest value on overflow.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a standard `Duration`.
    #[must_use]
    pub fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl FromStr for Millis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (number, factor) =
            parse_quantity(text, &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)])
                .ok_or_else(|| ParseError::Duration(text.to_owned()))?;
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
    /// Converts to `usize`, or to its largest value on overflow.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let units =
            [("KiB", 1 << 10), ("MiB", 1 << 20), ("kB", 1_000), ("MB", 1_000_000), ("B", 1)];
        let (number, factor) =
            parse_quantity(text, &units).ok_or_else(|| ParseError::Size(text.to_owned()))?;
        Ok(Self(number.saturating_mul(factor)))
    }
}

/// Parses a whole number, optional spaces and one of `units`; returns the number and the unit's
/// factor, or `None` for any other text.
fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Option<(u64, u64)> {
    units.iter().find_map(|(unit, factor)| {
        let number = text.strip_suffix(unit)?.trim_end();
        number.parse().ok().map(|number| (number, *factor))
    })
}

/// A fraction from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ratio(f64);

impl Ratio {
    /// Returns the fraction as a number.
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

impl FromStr for Ratio {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse::<f64>() {
            Ok(value) if (0.0..=1.0).contains(&value) => Ok(Self(value)),
            _ => Err(ParseError::Ratio(text.to_owned())),
        }
    }
}
