//! A buffer for messages of unknown length.

/// Size of a block, in bytes.
const BLOCK_BYTES: usize = 4 << 10;

/// Bytes in blocks of equal size. Hundreds of messages that grow beside each other reuse the blocks of
/// those that have ended, which the larger and larger buffers of a vector would not.
#[derive(Debug, Default)]
pub struct BlockBuffer {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl BlockBuffer {
    /// Creates a buffer for a message of known length, which needs a single block.
    #[must_use]
    pub fn with_capacity(length: usize) -> Self {
        Self { blocks: vec![Vec::with_capacity(length)], length: 0 }
    }

    /// Number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the buffer has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut buf = ibissail_http1::BlockBuffer::default();
    /// buf.push(b"id: 1\n");
    /// buf.push(&[b'x'; 10_000]);
    /// assert_eq!(buf.len(), 10_006);
    /// assert!(buf.into_bytes().starts_with(b"id: 1\nxx"));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        let mut rest = bytes;
        while !rest.is_empty() {
            let spare = self.blocks.last().map_or(0, |block| block.capacity() - block.len());
            if spare == 0 {
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
                continue;
            }
            let (fitting, after) = rest.split_at(spare.min(rest.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(fitting);
            }
            rest = after;
        }
    }

    /// The last bytes, at most so many.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut buf = ibissail_http1::BlockBuffer::default();
    /// buf.push(&[b'x'; 10_000]);
    /// buf.push(b"end");
    /// assert_eq!(buf.last_bytes(5), b"xxend");
    /// ```
    #[must_use]
    pub fn last_bytes(&self, most: usize) -> Vec<u8> {
        let mut skipped = self.length.saturating_sub(most);
        let mut last = Vec::with_capacity(self.length - skipped);
        for block in &self.blocks {
            let rest = &block[skipped.min(block.len())..];
            skipped = skipped.saturating_sub(block.len());
            last.extend_from_slice(rest);
        }
        last
    }

    /// Returns all bytes in one piece.
    #[must_use]
    pub fn into_bytes(mut self) -> Vec<u8> {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default();
        }
        self.blocks.concat()
    }
}
