//! Session tokens that pin a version, so that no VM keeps session state.

use ibissail_core::{ModelVersion, OrganisationId, SigningKey};
use quick_error::quick_error;
use std::{fmt, str::FromStr};

const PREFIX: &str = "ibs1";
const SEPARATOR: char = '~';

quick_error! {
    /// Why a token is not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TokenError {
        /// The text has not the form of a token.
        Malformed {
            display("not a session token")
        }
        /// The signing key is not known, or not any more.
        UnknownKey(id: String) {
            display("the signing key `{}` is not valid", id)
        }
        /// The signature is wrong.
        InvalidSignature {
            display("the signature is wrong")
        }
        /// The session has ended.
        Expired(at: u64) {
            display("the session ended at {} s of Unix time", at)
        }
        /// The token was given to another organisation.
        OtherOrganisation {
            display("the token belongs to another organisation")
        }
    }
}

/// A session: an organisation's hold on one version.
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
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Who began the session.
    pub organisation: OrganisationId,
    /// The version that all its requests run on.
    pub version: ModelVersion,
    /// Its end, in seconds of Unix time.
    pub expires_at: u64,
}

impl Session {
    /// The token of this session.
    #[must_use]
    pub fn sign(&self, key: &SigningKey) -> String {
        let signed = format!("{PREFIX}{SEPARATOR}{}{SEPARATOR}{self}", key.id());
        let signature = key.sign(&[signed.as_bytes()]);
        format!("{signed}{SEPARATOR}{signature}")
    }

    /// The session of a token that one of the keys has signed.
    ///
    /// # Errors
    ///
    /// When the token is malformed, forged, or past its end at `now` (seconds of Unix time).
    pub fn verify(token: &str, keys: &[SigningKey], now: u64) -> Result<Self, TokenError> {
        let (signed, signature) = token.rsplit_once(SEPARATOR).ok_or(TokenError::Malformed)?;
        let mut parts = signed.splitn(3, SEPARATOR);
        if parts.next() != Some(PREFIX) {
            return Err(TokenError::Malformed);
        }
        let id = parts.next().ok_or(TokenError::Malformed)?;
        let claims = parts.next().ok_or(TokenError::Malformed)?;
        let key = keys
            .iter()
            .find(|key| key.id() == id)
            .ok_or_else(|| TokenError::UnknownKey(id.to_owned()))?;
        if !key.verify(&[signed.as_bytes()], signature) {
            return Err(TokenError::InvalidSignature);
        }
        let session: Self = claims.parse()?;
        if session.expires_at <= now {
            return Err(TokenError::Expired(session.expires_at));
        }
        Ok(session)
    }

    /// The same, for the organisation that shows the token.
    ///
    /// # Errors
    ///
    /// As for [`Session::verify`], and `OtherOrganisation`.
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
        let expires_at = next()?.parse().map_err(|_number| TokenError::Malformed)?;
        Ok(Self { organisation, version, expires_at })
    }
}
