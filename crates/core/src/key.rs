//! Signing keys for session tokens and for messages between processes.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;

/// A secret for HMAC-SHA256 signatures, with a key ID.
#[derive(Clone, PartialEq, Eq)]
pub struct SigningKey {
    id: String,
    secret: String,
}

impl SigningKey {
    /// Creates a key from its ID and secret.
    #[must_use]
    pub fn new(id: String, secret: String) -> Self {
        Self { id, secret }
    }

    /// Returns the key ID, which is sent with each signature.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the signature over all parts, in lowercase hexadecimal.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::SigningKey;
    /// let key = SigningKey::new("k1".into(), "a secret of length".into());
    /// let signature = key.sign(&[b"part", b"other"]);
    /// assert!(key.verify(&[b"part", b"other"], &signature));
    /// assert!(!key.verify(&[b"partother", b""], &signature));
    /// ```
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> String {
        use fmt::Write as _;
        let mut text = String::with_capacity(64);
        for byte in self.mac(parts).finalize().into_bytes() {
            let _infallible = write!(text, "{byte:02x}");
        }
        text
    }

    /// Returns whether the signature over all parts was made with this key; compares in constant
    /// time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], signature: &str) -> bool {
        let Some(bytes) = decode_hex(signature) else {
            return false;
        };
        self.mac(parts).verify_slice(&bytes).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .expect("HMAC takes keys of any length");
        for part in parts {
            // The length prefix gives different splits of the same bytes different signatures.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SigningKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Decodes hexadecimal digits; `None` if their number is odd or another character occurs.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits.chunks(2).map(decode_hex_byte).collect()
}

fn decode_hex_byte(pair: &[u8]) -> Option<u8> {
    let high = char::from(pair[0]).to_digit(16)?;
    let low = char::from(pair[1]).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
