//! Parses the lines of an event, and tells them from the head of another response.

use crate::{HttpError, RESPONSE_HEAD_START};
use memchr::memmem::find_iter;

/// Names of the fields of an event; an empty one begins a comment.
const FIELD_NAMES: [&[u8]; 5] = [b"", b"data", b"event", b"id", b"retry"];

/// A line of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLine<'a> {
    /// The end of an event.
    Blank,
    /// A line that receivers ignore.
    Comment,
    /// A line of the data.
    Data(&'a [u8]),
    /// The type of the event.
    Type,
    /// The id of the event.
    Id(&'a [u8]),
    /// The time after which receivers connect again.
    Retry(&'a [u8]),
    /// No field of the format; the value is empty without a colon.
    Other {
        /// What stands before the first colon.
        name: &'a [u8],
        /// What follows it.
        value: &'a [u8],
    },
}

impl<'a> EventLine<'a> {
    /// Parses a line, with or without its line end.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_http1::EventLine;
    /// assert_eq!(EventLine::parse(b"id:4\r\n"), EventLine::Id(b"4"));
    /// assert_eq!(EventLine::parse(b"data"), EventLine::Data(b""));
    /// assert_eq!(EventLine::parse(b"dat: a"), EventLine::Other { name: b"dat", value: b"a" });
    /// ```
    #[must_use]
    pub fn parse(line: &'a [u8]) -> Self {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return Self::Blank;
        }
        let (name, value) = match line.iter().position(|b| *b == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &line[line.len()..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"" => Self::Comment,
            b"data" => Self::Data(value),
            b"event" => Self::Type,
            b"id" => Self::Id(value),
            b"retry" => Self::Retry(value),
            _ => Self::Other { name, value },
        }
    }
}

/// Whether a line of a stream contains a carriage return that is not part of its end. Receivers take it
/// for the end of a line.
///
/// # Examples
///
/// ```
/// use ibissail_http1::has_lone_carriage_return;
/// assert!(has_lone_carriage_return(b": a\rdata: b\r\n"));
/// assert!(!has_lone_carriage_return(b"data: b\r\n"));
/// ```
#[must_use]
pub fn has_lone_carriage_return(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    memchr::memchr(b'\r', line).is_some()
}

/// Parses a number that consists of decimal digits only.
pub(crate) fn parse_digits(text: &[u8]) -> Option<u64> {
    let text = str::from_utf8(text).ok()?;
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Checks the lines of a stream for another response, which may begin inside an event that was cut.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventLineCheck {
    /// Whether some line has ended with a line feed alone.
    has_bare_line_feeds: bool,
    /// Whether a field of the current event contains what looks like the first line of a response.
    has_status_line: bool,
    /// Whether some other line of the current event has ended with a carriage return and a line feed.
    has_crlf_line: bool,
}

impl EventLineCheck {
    /// Checks the next line, with its line end. A status line may follow the bytes of a cut line, where
    /// a sound event may quote one as well; the lines after it tell which.
    ///
    /// # Errors
    ///
    /// `Malformed` when the line is part of the head of a response, or the first one of a chunk.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut check = ibissail_http1::EventLineCheck::default();
    /// check.check(b"data: HTTP/1.1 200 OK\n")?;
    /// check.check(b"id: 4\n")?;
    /// check.check(b"\n")?;
    /// check.check(b"data: woHTTP/1.1 200 OK\r\n")?;
    /// assert!(check.check(b"Content-Length: 0\r\n").is_err());
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    pub fn check(&mut self, line: &[u8]) -> Result<(), HttpError> {
        let is_blank = matches!(line, b"\n" | b"\r\n");
        let status_line = status_line_start(line);
        let is_head = if self.has_status_line {
            let ends_differently =
                line == b"\r\n" && self.has_bare_line_feeds && !self.has_crlf_line;
            ends_differently || !is_blank && !FIELD_NAMES.contains(&field_name(line))
        } else if let Some(start) = status_line {
            self.has_status_line = true;
            start <= field_name(line).len() || line.starts_with(b"id:")
        } else {
            false
        };
        if is_chunk_size(line) {
            return Err(HttpError::Malformed("the start of a chunk inside a stream".to_owned()));
        }
        if is_head {
            return Err(HttpError::Malformed("a response head inside a stream".to_owned()));
        }
        self.has_crlf_line |= line.ends_with(b"\r\n") && status_line.is_none();
        self.has_crlf_line &= !is_blank;
        self.has_status_line &= !is_blank;
        self.has_bare_line_feeds |= !line.ends_with(b"\r\n");
        Ok(())
    }
}

/// Whether the line is the first one of a chunk, which follows a cut event if the bytes that are missing
/// were declared.
fn is_chunk_size(line: &[u8]) -> bool {
    let digits = line.strip_suffix(b"\r\n").unwrap_or_default();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit)
}

/// Name of the field in a line of an event: all before the first colon.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|b| matches!(b, b':' | b'\r' | b'\n')).next().unwrap_or_default()
}

/// Where a line contains what looks like the first line of a response; at its start, the version is
/// enough.
fn status_line_start(line: &[u8]) -> Option<usize> {
    if line.starts_with(RESPONSE_HEAD_START) {
        return Some(0);
    }
    find_iter(line, RESPONSE_HEAD_START).find(|start| is_status_line(&line[*start..]))
}

/// Whether the text begins with a version and a status code, as in `HTTP/1.1 200`.
fn is_status_line(text: &[u8]) -> bool {
    matches!(text.strip_prefix(RESPONSE_HEAD_START), Some([version, b' ', code @ ..])
        if version.is_ascii_digit() && code.len() >= 3 && code[..3].iter().all(u8::is_ascii_digit))
}
