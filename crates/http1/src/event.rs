//! Splits a stream of server-sent events into complete events.

use crate::HttpError;

/// Longest event, and most bytes of comments and blank lines between two events, in bytes. An event
/// holds some ten tokens.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Buffers bytes of a stream and returns complete events only.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    id_lines: u64,
    /// Bytes of comments and blank lines since the last field of an event.
    comment_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes and returns all buffered events that are now complete, or nothing.
    ///
    /// # Errors
    ///
    /// `EventTooLarge` when an event, or the comments before it, are longer than 64 KiB.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")?, b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// assert!(splitter.has_partial_event());
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, HttpError> {
        // The line end and blank line that end an event are up to four bytes (`\r\n\r\n`), three of
        // which may have been buffered earlier.
        let search_start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending, search_start).unwrap_or(0);
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        self.record_lines(&complete);
        if self.pending.len().max(self.comment_bytes) > MAX_EVENT_BYTES {
            return Err(HttpError::EventTooLarge);
        }
        Ok(complete)
    }

    /// The last numeric id of a complete event; `None` before the first.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of `id:` lines in complete events, which counts events when each has one id.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.id_lines
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the bytes of an incomplete event, while the stream may continue from another source.
    #[must_use]
    pub fn take_partial_event(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Puts back the bytes of an incomplete event, when the source that they came from goes on.
    pub fn restore_partial_event(&mut self, bytes: Vec<u8>) {
        self.pending = bytes;
    }

    /// Drops an incomplete event, before the stream is resumed from another source.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
        self.comment_bytes = 0;
    }

    fn record_lines(&mut self, events: &[u8]) {
        for line in events.split_inclusive(|b| *b == b'\n') {
            match line.first() {
                Some(b':' | b'\r' | b'\n') => self.comment_bytes += line.len(),
                _ => self.comment_bytes = 0,
            }
            let Some(value) = line.strip_prefix(b"id:") else { continue };
            self.id_lines += 1;
            let text = std::str::from_utf8(value).unwrap_or_default();
            if let Ok(id) = text.trim().parse() {
                self.last_id = Some(id);
            }
        }
    }
}

/// Index after the last blank line, searched from `search_start`; `None` when there is none.
fn last_event_end(bytes: &[u8], search_start: usize) -> Option<usize> {
    let mut end = None;
    for index in search_start..bytes.len() {
        let rest = &bytes[index..];
        if rest.starts_with(b"\n\n") {
            end = Some(index + 2);
        } else if rest.starts_with(b"\n\r\n") {
            end = Some(index + 3);
        }
    }
    end
}
