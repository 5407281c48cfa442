//! Reassembles a response from chunks that may be repeated, overlap or arrive out of order, and
//! detects bytes of another response.

use derive_more::Display;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// First eight bytes of the SHA-256 of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Digest(pub u64);

quick_error! {
    /// Reasons why a chunk is rejected, or a response is incomplete or corrupted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReassemblyError {
        /// A chunk before this one is missing.
        Gap(received: u64, offset: u64) {
            display("a chunk starts at byte {}, but only {} bytes have been received", offset, received)
        }
        /// The received length differs from the length in the last frame.
        Length(received: u64, expected: u64) {
            display("received {} of {} bytes", received, expected)
        }
        /// The digest of the received bytes differs from the digest in the last frame.
        Digest {
            display("the digest of the received bytes differs from the digest in the last frame")
        }
    }
}

/// Length and running hash of the contiguous bytes received from the start of a response.
#[derive(Debug, Clone, Default)]
pub struct Reassembler {
    length: u64,
    hash: Sha256,
}

impl Reassembler {
    /// Number of bytes received.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Adds a chunk and returns the part of it that was not received before.
    ///
    /// # Errors
    ///
    /// `Gap` when bytes before the chunk are missing.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_execution::Reassembler;
    /// let mut reassembler = Reassembler::default();
    /// assert_eq!(reassembler.accept(0, b"abc")?, b"abc");
    /// assert_eq!(reassembler.accept(1, b"bcd")?, b"d");
    /// assert!(reassembler.accept(9, b"x").is_err());
    /// # Ok::<(), ibissail_execution::ReassemblyError>(())
    /// ```
    pub fn accept<'c>(
        &mut self,
        offset: u64,
        chunk: &'c [u8],
    ) -> Result<&'c [u8], ReassemblyError> {
        if offset > self.length {
            return Err(ReassemblyError::Gap(self.length, offset));
        }
        let overlap = usize::try_from(self.length - offset).unwrap_or(usize::MAX).min(chunk.len());
        let new_bytes = &chunk[overlap..];
        self.length += new_bytes.len() as u64;
        self.hash.update(new_bytes);
        Ok(new_bytes)
    }

    /// Digest of the bytes received.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let hash = self.hash.clone().finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash[..8]);
        Digest(u64::from_be_bytes(bytes))
    }

    /// Checks that the response is complete and intact, by the length and digest in the last frame.
    ///
    /// # Errors
    ///
    /// `Length` or `Digest` when the received bytes differ from those that were sent.
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
