//! Incremental reader of a body with any framing.

use crate::{BlockBuffer, Connection, Framing, HttpError};
use httparse::{Status, parse_chunk_size};

/// Longest chunk-size line, with its extensions, or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 10;
/// Most bytes of extensions in the chunk-size lines of a body.
const MAX_EXTENSION_BYTES: usize = 1 << 20;
/// Longest rest of a chunk, in bytes, that is held back until the chunk has been read to its end.
const MAX_HELD_BYTES: u64 = 8 << 10;
/// Most trailer lines after the last chunk.
const MAX_TRAILER_LINES: u32 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Inside a body of declared length, with this many bytes unread.
    Remaining(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// Inside the data of a chunk, with this many bytes unread.
    ChunkData(u64),
    /// After the last chunk and this many trailer lines, before the blank line that ends the body.
    Trailers(u32),
    /// Inside a body that ends when the connection is closed.
    UntilClose,
    /// The complete body has been read.
    Done,
}

/// Reads a body and keeps track of the part that is still unread.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
    /// Bytes of extensions in the chunk-size lines read so far.
    extension_bytes: usize,
    /// Bytes of a chunk that are held back until its end.
    held: Vec<u8>,
}

impl BodyReader {
    /// Creates a reader of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, extension_bytes: 0, held: Vec::new() }
    }

    /// Whether the body has been read to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Reads the next bytes of the body; `None` once the complete body has been read.
    ///
    /// # Errors
    ///
    /// `Truncated` when the connection ends before the body does, `Malformed` for invalid chunks.
    pub async fn next(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Remaining(remaining) => {
                    let data = take_up_to(connection, remaining).await?;
                    let remaining = remaining - data.len() as u64;
                    self.state =
                        if remaining == 0 { State::Done } else { State::Remaining(remaining) };
                    return Ok(Some(data));
                }
                State::ChunkData(0) => {
                    take_chunk_end(connection).await?;
                    self.state = State::ChunkSize;
                }
                State::ChunkData(remaining) => {
                    let data = take_up_to(connection, remaining).await?;
                    self.state = State::ChunkData(remaining - data.len() as u64);
                    return Ok(Some(data));
                }
                State::ChunkSize => self.read_chunk_size(connection).await?,
                State::Trailers(MAX_TRAILER_LINES) => {
                    return Err(HttpError::Malformed("too many trailer lines".to_owned()));
                }
                State::Trailers(lines) => {
                    let is_last = take_line(connection).await?.is_empty();
                    self.state = if is_last { State::Done } else { State::Trailers(lines + 1) };
                }
                State::UntilClose => match connection.fill_if_empty().await {
                    Ok(()) => return Ok(Some(connection.take(usize::MAX))),
                    Err(HttpError::Closed) => self.state = State::Done,
                    Err(error) => return Err(error),
                },
            }
        }
    }

    /// Reads the next bytes of the body like [`BodyReader::next`], but holds the last 8 KiB of a chunk
    /// back until its end: if the peer breaks off inside a chunk, what it sends then is no part of it.
    ///
    /// # Errors
    ///
    /// The same as for [`BodyReader::next`].
    pub async fn next_whole(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            match self.state {
                State::ChunkSize => self.read_chunk_size(connection).await?,
                State::ChunkData(0) => {
                    take_chunk_end(connection).await?;
                    self.state = State::ChunkSize;
                    if !self.held.is_empty() {
                        return Ok(Some(std::mem::take(&mut self.held)));
                    }
                }
                State::ChunkData(remaining)
                    if self.held.len() as u64 + remaining <= MAX_HELD_BYTES =>
                {
                    let data = take_up_to(connection, remaining).await?;
                    self.state = State::ChunkData(remaining - data.len() as u64);
                    self.held.extend_from_slice(&data);
                }
                _ => return self.next(connection).await,
            }
        }
    }

    /// Bytes that [`BodyReader::next_whole`] holds back.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    async fn read_chunk_size(&mut self, connection: &mut Connection) -> Result<(), HttpError> {
        let (size, extension_bytes) = take_chunk_size(connection).await?;
        self.extension_bytes += extension_bytes;
        if self.extension_bytes > MAX_EXTENSION_BYTES {
            return Err(HttpError::Malformed("too many chunk extensions".to_owned()));
        }
        self.state = match size {
            0 => State::Trailers(0),
            size => State::ChunkData(size),
        };
        Ok(())
    }

    /// Reads the rest of the body into memory.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` above `limit` bytes, before anything is read if the declared length is
    /// above it; otherwise the same as for [`BodyReader::next`].
    pub async fn read_all(
        &mut self,
        connection: &mut Connection,
        limit: usize,
    ) -> Result<Vec<u8>, HttpError> {
        let mut body = BlockBuffer::default();
        self.read_checked(connection, &mut body, limit, |_length| Ok(())).await?;
        Ok(body.into_bytes())
    }

    /// Appends the rest of the body to `body`. If the read is dropped before its end, a later one
    /// continues it. `check` is given the length of `body` after each read, and may end the reading.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` above `limit` bytes in `body`, those of `check`, otherwise the same as for
    /// [`BodyReader::next`].
    pub async fn read_checked<F>(
        &mut self,
        connection: &mut Connection,
        body: &mut BlockBuffer,
        limit: usize,
        mut check: F,
    ) -> Result<(), HttpError>
    where
        F: FnMut(usize) -> Result<(), HttpError>,
    {
        let unread = if let State::Remaining(length) = self.state { length } else { 0 };
        if unread.saturating_add(body.len() as u64) > limit as u64 {
            return Err(HttpError::BodyTooLarge);
        }
        loop {
            let next = self.next(connection).await;
            let new_bytes = next.as_ref().map_or(0, |data| data.as_ref().map_or(0, Vec::len));
            let length = body.len() + new_bytes;
            check(length)?;
            let Some(data) = next? else { return Ok(()) };
            if length > limit {
                return Err(HttpError::BodyTooLarge);
            }
            body.push(&data);
        }
    }

    /// Reads the rest of the body and drops it.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` above `limit` bytes, otherwise the same as for [`BodyReader::next`].
    pub async fn skip(
        &mut self,
        connection: &mut Connection,
        limit: usize,
    ) -> Result<(), HttpError> {
        let mut skipped = 0;
        while let Some(data) = self.next(connection).await? {
            skipped += data.len();
            if skipped > limit {
                return Err(HttpError::BodyTooLarge);
            }
        }
        Ok(())
    }
}

/// Turns `Closed` into `Truncated`, for reads inside a body.
fn closed_to_truncated(error: HttpError) -> HttpError {
    if error == HttpError::Closed { HttpError::Truncated } else { error }
}

async fn take_up_to(connection: &mut Connection, max_bytes: u64) -> Result<Vec<u8>, HttpError> {
    connection.fill_if_empty().await.map_err(closed_to_truncated)?;
    Ok(connection.take(usize::try_from(max_bytes).unwrap_or(usize::MAX)))
}

/// Takes a chunk-size line and returns the size, and the length of the line's extensions.
async fn take_chunk_size(connection: &mut Connection) -> Result<(u64, usize), HttpError> {
    let mut line = take_line(connection).await?;
    // The parser takes a line without digits for the size 0, which ends a body.
    if line.first().is_some_and(u8::is_ascii_hexdigit) {
        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        let extension_bytes = line.len() - digits;
        line.extend_from_slice(b"\r\n");
        if let Ok(Status::Complete((_length, size))) = parse_chunk_size(&line) {
            return Ok((size, extension_bytes));
        }
    }
    Err(HttpError::Malformed(
        "invalid chunk size line, expected 1 to 16 hexadecimal digits".to_owned(),
    ))
}

/// Takes the line end after the data of a chunk.
async fn take_chunk_end(connection: &mut Connection) -> Result<(), HttpError> {
    if take_line(connection).await?.is_empty() {
        Ok(())
    } else {
        Err(HttpError::Malformed("chunk is longer than its declared size".to_owned()))
    }
}

/// Takes a line and returns it without its line end, a carriage return and a line feed.
async fn take_line(connection: &mut Connection) -> Result<Vec<u8>, HttpError> {
    loop {
        let end = connection.unread().iter().position(|b| *b == b'\n');
        if end.unwrap_or(connection.unread().len()) >= MAX_LINE_BYTES {
            return Err(HttpError::Malformed("line in a chunked body is too long".to_owned()));
        }
        if let Some(index) = end {
            let line = connection.take(index + 1);
            return line.strip_suffix(b"\r\n").map(<[u8]>::to_vec).ok_or_else(|| {
                HttpError::Malformed("line in a chunked body without carriage return".to_owned())
            });
        }
        connection.fill().await.map_err(closed_to_truncated)?;
    }
}
