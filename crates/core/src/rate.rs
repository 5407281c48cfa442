//! Rates of requests.

use crate::ParseError;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Steps of a [`RequestRate`] in one request a second.
const STEPS: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request a second.
///
/// # Examples
///
/// ```
/// use ibissail_core::RequestRate;
/// let rate: RequestRate = "4.5".parse()?;
/// assert_eq!(rate, RequestRate(4_500));
/// assert_eq!(rate.to_string(), "4.5/s");
/// assert!("-1".parse::<RequestRate>().is_err());
/// assert!("inf".parse::<RequestRate>().is_err());
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Requests a second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "rates stay far below 2^52")]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / STEPS
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    /// Parses a decimal number of requests a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is finite and not negative, and the cast saturates"
    )]
    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self((rate * STEPS).round() as u64)),
            _ => Err(ParseError::Rate(text.to_owned())),
        }
    }
}
