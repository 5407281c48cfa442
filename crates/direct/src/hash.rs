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
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write(text.as_bytes());
        // Separates the texts; 0xff never occurs in UTF-8.
        hasher.write(&[0xff]);
    }
    hasher.finish()
}
