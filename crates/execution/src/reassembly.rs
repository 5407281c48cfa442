//! Puts an answer together from pieces that may come twice, late or crossed.

use derive_more::Display;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// First eight bytes of the SHA-256 of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Digest(pub u64);

quick_error! {
    /// Why an answer is not whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReassemblyError {
        /// A piece before this one is missing.
        Gap(have: u64, offset: u64) {
            display("a piece starts at byte {}, but only {} bytes have arrived", offset, have)
        }
        /// The length at the end is another.
        Length(have: u64, stated: u64) {
            display("{} bytes have arrived of {}", have, stated)
        }
        /// The digest at the end is another.
        Digest {
            display("the digest of the answer is wrong")
        }
    }
}

/// The part of an answer that has arrived, in order.
#[derive(Debug, Clone, Default)]
pub struct Reassembler {
    length: u64,
    hash: Sha256,
}

impl Reassembler {
    /// How many bytes have arrived.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Takes a piece; returns the part of it that is new.
    ///
    /// # Errors
    ///
    /// `Gap` when bytes before the piece are missing.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_execution::Reassembler;
    /// let mut answer = Reassembler::default();
    /// assert_eq!(answer.accept(0, b"abc")?, b"abc");
    /// assert_eq!(answer.accept(1, b"bcd")?, b"d");
    /// assert!(answer.accept(9, b"x").is_err());
    /// # Ok::<(), ibissail_execution::ReassemblyError>(())
    /// ```
    pub fn accept<'p>(
        &mut self,
        offset: u64,
        piece: &'p [u8],
    ) -> Result<&'p [u8], ReassemblyError> {
        if offset > self.length {
            return Err(ReassemblyError::Gap(self.length, offset));
        }
        let known = usize::try_from(self.length - offset).unwrap_or(usize::MAX).min(piece.len());
        let fresh = &piece[known..];
        self.length += fresh.len() as u64;
        self.hash.update(fresh);
        Ok(fresh)
    }

    /// Digest of what has arrived.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let hash = self.hash.clone().finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash[..8]);
        Digest(u64::from_be_bytes(bytes))
    }

    /// Checks the end of the answer.
    ///
    /// # Errors
    ///
    /// `Length` or `Digest` when the answer is not the one that was sent.
    pub fn check(&self, length: u64, digest: Digest) -> Result<(), ReassemblyError> {
        if length != self.length {
            return Err(ReassemblyError::Length(self.length, length));
        }
        if digest != self.digest() {
            return Err(ReassemblyError::Digest);
        }
        Ok(())
    }
}
