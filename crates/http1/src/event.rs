//! Splits a server-sent event stream into whole events.

/// Collects bytes and hands out whole events only.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Adds bytes and returns those that complete events, if any.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// assert!(splitter.has_partial_event());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        // The blank line may straddle the boundary by up to three bytes.
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.pending, from) else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        self.note_ids(&whole);
        whole
    }

    /// The id of the last whole event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events seen.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Whether bytes of an unfinished event wait.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops an unfinished event, before the stream goes on from another source.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
    }

    fn note_ids(&mut self, events: &[u8]) {
        for line in events.split(|b| *b == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else { continue };
            self.events += 1;
            let text = std::str::from_utf8(value).unwrap_or_default();
            if let Ok(id) = text.trim().parse() {
                self.last_id = Some(id);
            }
        }
    }
}

/// The place after the last blank line.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for place in from..bytes.len() {
        let rest = &bytes[place..];
        if rest.starts_with(b"\n\n") {
            end = Some(place + 2);
        } else if rest.starts_with(b"\n\r\n") {
            end = Some(place + 3);
        }
    }
    end
}
