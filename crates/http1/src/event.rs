//! Splits a stream of server-sent events with increasing ids into complete events.

use crate::{
    EventLine, EventLineCheck, HttpError, StreamPosition, event_line::parse_digits,
    has_lone_carriage_return, position::Distance,
};

/// Longest event, and most bytes of comments and blank lines between two events, in bytes. An event
/// holds some ten tokens.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// What a stream may begin with, which is no part of its first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Buffers bytes of one response that is a stream, and returns complete events only.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// A complete event that is far ahead and awaits the next one, with the lines behind it.
    awaiting: Vec<u8>,
    /// Bytes of an incomplete event.
    pending: Vec<u8>,
    /// State behind what has been returned.
    returned: SplitState,
    /// State behind the event that awaits the next one.
    read: SplitState,
    /// Name of the field that may come first in an event, beside those of the format.
    first_field: &'static str,
    /// The error of what follows the events that have been returned.
    error: Option<HttpError>,
}

/// What is known of a stream between two events.
#[derive(Debug, Clone, Copy, Default)]
struct SplitState {
    position: StreamPosition,
    /// Whether the next event is the first of a response that goes on with a stream.
    is_resumed: bool,
    /// Whether a line of the response has been read.
    has_begun: bool,
    /// Bytes of lines that belong to no event since the last field of one.
    idle_bytes: usize,
    line_check: EventLineCheck,
}

/// The fields of an event read so far.
#[derive(Debug, Clone, Copy, Default)]
struct EventFields {
    /// Whether there is anything but comments and times to connect again.
    has_begun: bool,
    id: Option<u64>,
    has_data: bool,
}

/// Reads complete lines.
#[derive(Debug)]
struct LineReader {
    state: SplitState,
    first_field: &'static str,
    event: EventFields,
    /// Whether the last event awaits the next one.
    is_awaiting: bool,
    /// An id that does not follow the one before.
    rejected_id: Option<u64>,
}

/// A place between two events, and the state there.
#[derive(Debug, Clone, Copy)]
struct Boundary {
    /// Bytes before it, of those that are read.
    bytes: usize,
    state: SplitState,
}

impl LineReader {
    /// Reads complete lines. Returns how far they may be returned, with the event that has awaited the
    /// next one; `None` if that one still does.
    fn read(&mut self, lines: &[u8]) -> (Option<Boundary>, Result<(), HttpError>) {
        let mut boundary = Boundary { bytes: 0, state: self.state };
        let mut returnable = (!self.is_awaiting).then_some(boundary);
        let mut bytes = 0;
        for line in lines.split_inclusive(|b| *b == b'\n') {
            let event = match self.read_line(line) {
                Ok(event) => event,
                Err(error) => return (returnable, Err(error)),
            };
            bytes += line.len();
            if EventLine::parse(line) != EventLine::Blank {
                continue;
            }
            let event_start =
                std::mem::replace(&mut boundary, Boundary { bytes, state: self.state });
            match event {
                Some(Distance::Far) => returnable = Some(event_start),
                None if self.is_awaiting => {}
                Some(Distance::Usual) | None => returnable = Some(boundary),
            }
        }
        (returnable, Ok(()))
    }

    /// Reads a line; fails if it does not belong to the stream. Returns how far ahead the event is
    /// that the line ends, if any.
    fn read_line(&mut self, line: &[u8]) -> Result<Option<Distance>, HttpError> {
        let is_first = !std::mem::replace(&mut self.state.has_begun, true);
        let line = match line.strip_prefix(BYTE_ORDER_MARK) {
            Some(rest) if is_first && !self.state.is_resumed => rest,
            _ => line,
        };
        self.state.line_check.check(line)?;
        let kind = EventLine::parse(line);
        match kind {
            EventLine::Blank | EventLine::Comment | EventLine::Retry(_) => {
                self.state.idle_bytes += line.len();
            }
            EventLine::Data(_) | EventLine::Type | EventLine::Id(_) | EventLine::Other { .. } => {
                self.state.idle_bytes = 0;
            }
        }
        if kind == EventLine::Blank {
            return self.end_event();
        }
        self.read_field(line, kind)?;
        Ok(None)
    }

    fn read_field(&mut self, line: &[u8], kind: EventLine<'_>) -> Result<(), HttpError> {
        let event = &mut self.event;
        match kind {
            _ if has_lone_carriage_return(line) => return Err(no_field(line)),
            EventLine::Blank | EventLine::Comment => return Ok(()),
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
                    && parse_digits(value.strip_prefix(b"-").unwrap_or(value)).is_some() => {}
            EventLine::Retry(_) | EventLine::Other { .. } => return Err(no_field(line)),
        }
        event.has_begun = true;
        Ok(())
    }

    fn end_event(&mut self) -> Result<Option<Distance>, HttpError> {
        let event = std::mem::take(&mut self.event);
        if !event.has_begun {
            return Ok(None);
        }
        let SplitState { position, is_resumed, .. } = &mut self.state;
        let Some(id) = event.id.filter(|_| event.has_data) else {
            let missing = if event.has_data { "id" } else { "data" };
            let last = position.last_id().unwrap_or_default();
            let error = format!("the event behind event {last} has no {missing}");
            return Err(HttpError::Malformed(error));
        };
        if !position.is_followed_by(id) {
            self.rejected_id = Some(id);
        }
        let distance = position.advance(id, *is_resumed)?;
        *is_resumed = false;
        self.is_awaiting = distance == Distance::Far;
        Ok(Some(distance))
    }
}

/// The error of a line that is no field of an event. It reaches a caller, who must not see the bytes of
/// another's response.
fn no_field(line: &[u8]) -> HttpError {
    HttpError::Malformed(format!("a line of {} bytes is no field of an event", line.len()))
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
        let is_resumed = position.last_id().is_some();
        let state = SplitState { position, is_resumed, ..SplitState::default() };
        Self { returned: state, read: state, ..Self::default() }
    }

    /// Accepts a field with this name and an integer as the first line of an event.
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
    /// from that than events were before, or usually are, is returned with the next one.
    ///
    /// # Errors
    ///
    /// `EventTooLarge` when an event, or the lines between two events, are longer than 64 KiB;
    /// `Malformed` when complete lines are no event, when an event does not follow the one before, or
    /// when a response head begins inside the stream, at the start of a line or behind one that was
    /// cut. Events before such bytes are returned first, and the error then stands in
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
        let search_start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending, search_start)
            .unwrap_or_else(|| blank_lines_end(&self.pending));
        let (events, read) = if end == 0 { (Vec::new(), Ok(())) } else { self.read_complete(end) };
        let is_too_large = self.pending.len().max(self.read.idle_bytes) > MAX_EVENT_BYTES;
        let checked = if is_too_large { Err(HttpError::EventTooLarge) } else { Ok(()) };
        match read.and(checked) {
            Err(error) if events.is_empty() => Err(error),
            result => {
                self.error = result.err();
                Ok(events)
            }
        }
    }

    /// Reads the first `end` bytes, which are complete lines. Returns events even if an error follows.
    fn read_complete(&mut self, end: usize) -> (Vec<u8>, Result<(), HttpError>) {
        let rest = self.pending.split_off(end);
        let mut complete = std::mem::replace(&mut self.pending, rest);
        let mut reader = self.reader();
        let (returnable, read) = reader.read(&complete);
        let mut events = Vec::new();
        match returnable {
            Some(Boundary { bytes, state }) => {
                let awaiting = complete.split_off(bytes);
                events = std::mem::replace(&mut self.awaiting, awaiting);
                if events.is_empty() {
                    events = complete;
                } else {
                    events.extend_from_slice(&complete);
                }
                self.returned = state;
            }
            None => self.awaiting.extend_from_slice(&complete),
        }
        self.read = reader.state;
        if let Some(id) = reader.rejected_id {
            self.returned.position.record_earlier(id);
        }
        (events, read)
    }

    /// Takes the error of the bytes behind the events that [`EventSplitter::push`] has returned last.
    /// The stream is broken off there.
    pub fn take_error(&mut self) -> Option<HttpError> {
        self.error.take()
    }

    /// Returns the event that awaits the next one, and comments behind the last one, at the end of a
    /// stream.
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
        self.returned = self.read;
        let mut rest = std::mem::take(&mut self.awaiting);
        rest.append(&mut self.pending);
        Ok(rest)
    }

    /// The position of the stream after the events that have been returned.
    #[must_use]
    pub fn position(&self) -> StreamPosition {
        let awaiting_id = self.read.position.last_id().filter(|_| !self.awaiting.is_empty());
        self.returned.position.with_withheld(awaiting_id)
    }

    /// Whether a complete event awaits the next one.
    #[must_use]
    pub fn has_awaiting_event(&self) -> bool {
        !self.awaiting.is_empty()
    }

    /// Whether bytes of an incomplete event are buffered. Complete comments belong to none.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self
            .pending
            .split_inclusive(|b| *b == b'\n')
            .all(|line| line.ends_with(b"\n") && EventLine::parse(line) == EventLine::Comment)
    }

    /// Number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Number of buffered bytes, also of an event that awaits the next one.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len() + self.awaiting.len()
    }

    fn reader(&self) -> LineReader {
        LineReader {
            state: self.read,
            first_field: self.first_field,
            event: EventFields::default(),
            is_awaiting: !self.awaiting.is_empty(),
            rejected_id: None,
        }
    }
}

/// Length of the blank lines that the bytes begin with, where no event has begun.
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
