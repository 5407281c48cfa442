//! Splits a stream of server-sent events with increasing ids into complete events.

use crate::{EventLine, EventLineCheck, HttpError, event_line::parse_digits};

/// Longest event, and most bytes of comments and blank lines between two events, in bytes. An event
/// holds some ten tokens.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Most bytes of a line in an error message, enough to tell what it is.
const MAX_SHOWN_BYTES: usize = 32;

/// The fields of an event read so far.
#[derive(Debug, Clone, Copy, Default)]
struct EventFields {
    /// Whether there is anything but comments and times to connect again.
    has_begun: bool,
    id: Option<u64>,
    has_data: bool,
}

/// How far a caller has received a stream, whichever responses its events came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    last_id: Option<u64>,
    /// Largest difference between two ids that follow each other, and between the first and 0.
    largest_step: u64,
    /// That of other streams, as far as it is known.
    usual_step: u64,
    event_count: u64,
}

/// Buffers bytes of one response that is a stream, and returns complete events only.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes that have not been returned: a complete event that awaits the next one, and the start of
    /// that.
    pending: Vec<u8>,
    /// Length of the complete event.
    awaiting_bytes: usize,
    progress: SplitProgress,
    /// Name of the field that may come first in an event, beside those of the format.
    first_field: &'static str,
    /// The error of what follows the events that have been returned.
    error: Option<HttpError>,
}

/// What is known of a stream between two events.
#[derive(Debug, Clone, Copy, Default)]
struct SplitProgress {
    position: StreamPosition,
    /// Whether the next event is the first of a response that goes on with a stream.
    is_resumed: bool,
    /// Bytes of comments and blank lines since the last field of an event.
    comment_bytes: usize,
    line_check: EventLineCheck,
}

/// How far lines have been read, and what is known there.
#[derive(Debug, Clone, Copy)]
struct ReadEnd {
    bytes: usize,
    progress: SplitProgress,
}

/// Reads the lines of complete events.
#[derive(Debug)]
struct EventLines {
    progress: SplitProgress,
    first_field: &'static str,
    event: EventFields,
    /// Whether the last event is further away from the one before than events were before.
    has_leapt: bool,
}

impl StreamPosition {
    /// The position of a stream that goes on after the event with this id, if any.
    #[must_use]
    pub fn after(id: Option<u64>) -> Self {
        Self { last_id: id, ..Self::default() }
    }

    /// Sets the largest difference between two ids in streams of this kind, which is 1 otherwise.
    #[must_use]
    pub fn with_usual_step(self, usual_step: u64) -> Self {
        Self { usual_step, ..self }
    }

    /// Largest difference between two ids that follow each other, and between the first and 0; 0 if
    /// there are none.
    #[must_use]
    pub fn largest_step(&self) -> u64 {
        self.largest_step
    }

    /// The last numeric id of a complete event; `None` before the first.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events, without mere comments.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Moves behind the next event; fails if it does not follow. The first event of a response that
    /// goes on with a stream may be no further away than events were before. Returns whether an event
    /// is further away than events were before, or usually are.
    fn advance(&mut self, id: u64, is_resumed: bool) -> Result<bool, HttpError> {
        let last = self.last_id.unwrap_or_default();
        let step = id.saturating_sub(last);
        let is_earlier = self.last_id.is_some() && step == 0;
        // Before the first step the distance between ids is unknown.
        let has_gap = is_resumed && self.largest_step > 0 && step > self.largest_step;
        if is_earlier || has_gap {
            return Err(HttpError::Malformed(format!("event {id} does not follow event {last}")));
        }
        let has_leapt = step > self.largest_step.max(self.usual_step).max(1);
        if !is_resumed {
            self.largest_step = self.largest_step.max(step);
        }
        self.last_id = Some(id);
        self.event_count += 1;
        Ok(has_leapt)
    }
}

impl EventLines {
    /// Reads complete events. Returns where those end that count: the others are behind an error, or
    /// are one that awaits the next.
    fn read(&mut self, events: &[u8]) -> (ReadEnd, Result<(), HttpError>) {
        let mut bytes = 0;
        let mut counted = ReadEnd { bytes, progress: self.progress };
        let mut end = counted;
        for line in events.split_inclusive(|b| *b == b'\n') {
            let has_begun = self.event.has_begun;
            if let Err(error) = self.record_line(line) {
                return (counted, Err(error));
            }
            bytes += line.len();
            if EventLine::parse(line) == EventLine::Blank {
                let earlier =
                    std::mem::replace(&mut end, ReadEnd { bytes, progress: self.progress });
                match (self.has_leapt, has_begun) {
                    (false, _) => counted = end,
                    (true, true) => counted = earlier,
                    (true, false) => {}
                }
            }
        }
        (counted, Ok(()))
    }

    /// Records a line of an event or a blank line; fails if it does not belong to the stream.
    fn record_line(&mut self, line: &[u8]) -> Result<(), HttpError> {
        match line.first() {
            Some(b':' | b'\r' | b'\n') => self.progress.comment_bytes += line.len(),
            _ => self.progress.comment_bytes = 0,
        }
        self.progress.line_check.check(line)?;
        let event = &mut self.event;
        match EventLine::parse(line) {
            EventLine::Blank => return self.end_event(),
            EventLine::Comment => return Ok(()),
            EventLine::Retry(time) if parse_digits(time).is_some() => return Ok(()),
            EventLine::Data(_) => event.has_data = true,
            EventLine::Type => {}
            EventLine::Id(value) => match parse_digits(value) {
                Some(id) if event.id.is_none() => event.id = Some(id),
                _ => return Err(no_field(line)),
            },
            EventLine::Other { name, value }
                if !event.has_begun
                    && name == self.first_field.as_bytes()
                    && parse_digits(value).is_some() => {}
            EventLine::Retry(_) | EventLine::Other { .. } => return Err(no_field(line)),
        }
        event.has_begun = true;
        Ok(())
    }

    fn end_event(&mut self) -> Result<(), HttpError> {
        let event = std::mem::take(&mut self.event);
        if !event.has_begun {
            return Ok(());
        }
        let Some(id) = event.id.filter(|_| event.has_data) else {
            let missing = if event.has_data { "id" } else { "data" };
            let last = self.progress.position.last_id.unwrap_or_default();
            let error = format!("the event behind event {last} has no {missing}");
            return Err(HttpError::Malformed(error));
        };
        let SplitProgress { position, is_resumed, .. } = &mut self.progress;
        self.has_leapt = position.advance(id, *is_resumed)?;
        *is_resumed = false;
        Ok(())
    }
}

/// The error of a line that is no field of an event.
fn no_field(line: &[u8]) -> HttpError {
    let start = line[..line.len().min(MAX_SHOWN_BYTES)].escape_ascii();
    HttpError::Malformed(format!("`{start}` is no field of an event"))
}

impl EventSplitter {
    /// Creates a splitter for a response that goes on with a stream at this position.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_http1::{EventSplitter, StreamPosition};
    /// let mut splitter = EventSplitter::new(StreamPosition::after(Some(3)));
    /// assert!(splitter.push(b"id: 3\ndata: again\n\n").is_err());
    /// ```
    #[must_use]
    pub fn new(position: StreamPosition) -> Self {
        let is_resumed = position.last_id.is_some();
        let progress = SplitProgress { position, is_resumed, ..SplitProgress::default() };
        Self { progress, ..Self::default() }
    }

    /// Accepts a field with this name and a number as the first line of an event.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default().with_first_field("epoch");
    /// assert!(splitter.push(b"epoch: 4\nid: 1\ndata: a\n\n").is_ok());
    /// ```
    #[must_use]
    pub fn with_first_field(self, first_field: &'static str) -> Self {
        Self { first_field, ..self }
    }

    /// Appends bytes and returns all buffered events that are now complete, or nothing. An event has
    /// one id, which is a number above that of the event before, and data. One that is further away
    /// from that, or from 0, than events were before or usually are is returned with the next one.
    ///
    /// # Errors
    ///
    /// `EventTooLarge` when an event, or the comments before it, are longer than 64 KiB; `Malformed`
    /// when complete lines are no event, when an event does not follow the one before, or when a
    /// response head begins inside the stream, at the start of a line or behind one that was cut.
    /// Events before such bytes are returned first, and the error then stands in
    /// [`EventSplitter::take_error`].
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")?, b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.position().last_id(), Some(1));
    /// assert!(splitter.has_partial_event());
    /// assert!(splitter.push(b"ta: b\n\ndata: without an id\n\n").is_ok());
    /// assert!(splitter.take_error().is_some());
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, HttpError> {
        // The line end and blank line that end an event are up to four bytes (`\r\n\r\n`), three of
        // which may have been buffered earlier.
        let search_start = self.pending.len().saturating_sub(3).max(self.awaiting_bytes);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending, search_start).unwrap_or_else(|| {
            self.awaiting_bytes + blank_lines_end(&self.pending[self.awaiting_bytes..])
        });
        let mut lines = self.lines();
        let (sound, read) = lines.read(&self.pending[..end]);
        if let Err(error) = read {
            if sound.bytes == 0 {
                return Err(error);
            }
            self.error = Some(error);
        }
        let rest = self.pending.split_off(sound.bytes);
        let events = std::mem::replace(&mut self.pending, rest);
        self.awaiting_bytes = end - sound.bytes;
        self.progress = sound.progress;
        let partial_bytes = self.pending.len() - self.awaiting_bytes;
        if partial_bytes.max(lines.progress.comment_bytes) > MAX_EVENT_BYTES {
            return Err(HttpError::EventTooLarge);
        }
        Ok(events)
    }

    /// Returns the event that awaits the next one, at the end of a stream that has no other.
    ///
    /// # Errors
    ///
    /// `Truncated` when the stream has ended inside an event.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// splitter.push(b"id: 1\ndata: a\n\n")?;
    /// assert!(splitter.push(b"id: 7\ndata: b\n\n")?.is_empty());
    /// assert_eq!(splitter.finish()?, b"id: 7\ndata: b\n\n");
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    pub fn finish(&mut self) -> Result<Vec<u8>, HttpError> {
        if self.has_partial_event() {
            return Err(HttpError::Truncated);
        }
        let events = std::mem::take(&mut self.pending);
        self.awaiting_bytes = 0;
        let mut lines = self.lines();
        lines.read(&events).1?;
        self.progress = lines.progress;
        Ok(events)
    }

    /// Takes the error of the bytes behind the events that [`EventSplitter::push`] has returned last.
    /// The stream is broken off there.
    pub fn take_error(&mut self) -> Option<HttpError> {
        self.error.take()
    }

    /// The position of the stream after the events that have been returned.
    #[must_use]
    pub fn position(&self) -> StreamPosition {
        self.progress.position
    }

    /// Whether a complete event awaits the next one.
    #[must_use]
    pub fn has_awaiting_event(&self) -> bool {
        self.awaiting_bytes > 0
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.partial_bytes() > 0
    }

    /// Number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.pending.len() - self.awaiting_bytes
    }

    /// Number of buffered bytes, also of a complete event.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }

    fn lines(&self) -> EventLines {
        EventLines {
            progress: self.progress,
            first_field: self.first_field,
            event: EventFields::default(),
            has_leapt: false,
        }
    }
}

/// Index after the blank lines that the bytes begin with, where no event has begun.
fn blank_lines_end(bytes: &[u8]) -> usize {
    let lines = bytes.split_inclusive(|b| *b == b'\n');
    lines.take_while(|line| matches!(*line, b"\n" | b"\r\n")).map(<[u8]>::len).sum()
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
