//! A hash function that gives the same result in every process and build.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Hashes a sequence of texts, with the same result in every process and build.
///
/// # Examples
///
/// ```
/// use ibissail_direct::stable_hash;
/// assert_eq!(stable_hash(&["a", "b"]), stable_hash(&["a", "b"]));
/// assert_ne!(stable_hash(&["a", "b"]), stable_hash(&["ab"]));
/// ```
#[must_use]
pub fn stable_hash(texts: &[&str]) -> u64 {
    stable_hash_with_bytes(texts, &[])
}

/// Hashes a sequence of texts followed by bytes, with the same result in every process and build.
#[must_use]
pub(crate) fn stable_hash_with_bytes(texts: &[&str], bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write(text.as_bytes());
        // Separates the texts; 0xff never occurs in UTF-8.
        hasher.write(&[0xff]);
    }
    hasher.write(bytes);
    hasher.finish()
}
