//! Signed session tokens that pin a model version, so that no VM stores session state.

use ibissail_core::{ModelVersion, OrganisationId, SigningKey};
use quick_error::quick_error;
use std::{fmt, str::FromStr};

const PREFIX: &str = "ibs1";
const SEPARATOR: char = '~';

quick_error! {
    /// Reasons why a session token is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TokenError {
        /// The text does not have the format of a session token.
        Malformed {
            display("malformed session token")
        }
        /// The signing key is unknown or has been removed.
        UnknownKey(id: String) {
            display("the session token is signed with the unknown or removed key `{}`", id)
        }
        /// The signature does not match.
        InvalidSignature {
            display("the signature of the session token does not match")
        }
        /// The session has expired.
        Expired(at: u64) {
            display("the session expired at Unix time {} s", at)
        }
        /// The token was issued to another organisation.
        OtherOrganisation {
            display("the session token was issued to another organisation")
        }
    }
}

/// A session of an organisation, pinned to one model version.
///
/// # Examples
///
/// ```
/// use ibissail_core::SigningKey;
/// use ibissail_session::Session;
/// let keys = [SigningKey::new("k1".into(), "a secret of length".into())];
/// let session = Session {
///     organisation: "huts".parse()?,
///     version: "swift@1".parse()?,
///     expires_at: 2_000,
/// };
/// let token = session.sign(&keys[0]);
/// assert_eq!(Session::verify(&token, &keys, 1_999), Ok(session));
/// assert!(Session::verify(&token, &keys, 2_000).is_err());
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Organisation that started the session.
    pub organisation: OrganisationId,
    /// Model version that runs all requests of the session.
    pub version: ModelVersion,
    /// Expiry, in seconds of Unix time.
    pub expires_at: u64,
}

impl Session {
    /// Encodes the session as a token signed with `key`.
    #[must_use]
    pub fn sign(&self, key: &SigningKey) -> String {
        let payload = format!("{PREFIX}{SEPARATOR}{}{SEPARATOR}{self}", key.id());
        let signature = key.sign(&[payload.as_bytes()]);
        format!("{payload}{SEPARATOR}{signature}")
    }

    /// Decodes a token that was signed with one of the keys.
    ///
    /// # Errors
    ///
    /// When the token is malformed, its key is unknown, its signature does not match, or it has
    /// expired at `now` (seconds of Unix time).
    pub fn verify(token: &str, keys: &[SigningKey], now: u64) -> Result<Self, TokenError> {
        let (payload, signature) = token.rsplit_once(SEPARATOR).ok_or(TokenError::Malformed)?;
        let mut parts = payload.splitn(3, SEPARATOR);
        if parts.next() != Some(PREFIX) {
            return Err(TokenError::Malformed);
        }
        let key_id = parts.next().ok_or(TokenError::Malformed)?;
        let claims = parts.next().ok_or(TokenError::Malformed)?;
        let key = keys
            .iter()
            .find(|key| key.id() == key_id)
            .ok_or_else(|| TokenError::UnknownKey(key_id.to_owned()))?;
        if !key.verify(&[payload.as_bytes()], signature) {
            return Err(TokenError::InvalidSignature);
        }
        let session: Self = claims.parse()?;
        if session.expires_at <= now {
            return Err(TokenError::Expired(session.expires_at));
        }
        Ok(session)
    }

    /// Decodes a token like [`Session::verify`], and checks that it was issued to `organisation`.
    ///
    /// # Errors
    ///
    /// As for [`Session::verify`], and `OtherOrganisation` when it was issued to another
    /// organisation.
    pub fn verify_for(
        organisation: &OrganisationId,
        token: &str,
        keys: &[SigningKey],
        now: u64,
    ) -> Result<Self, TokenError> {
        let session = Self::verify(token, keys, now)?;
        if session.organisation != *organisation {
            return Err(TokenError::OtherOrganisation);
        }
        Ok(session)
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { organisation, version, expires_at } = self;
        write!(f, "{organisation}{SEPARATOR}{version}{SEPARATOR}{expires_at}")
    }
}

impl FromStr for Session {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let malformed = |_| TokenError::Malformed;
        let mut parts = text.split(SEPARATOR);
        let mut next = || parts.next().ok_or(TokenError::Malformed);
        let organisation = next()?.parse().map_err(malformed)?;
        let version = next()?.parse().map_err(malformed)?;
        let expires_at = next()?.parse().map_err(|_error| TokenError::Malformed)?;
        Ok(Self { organisation, version, expires_at })
    }
}
