//! Incremental reader of a body with any framing.

use crate::{Connection, Framing, HttpError};
use httparse::{Status, parse_chunk_size};

/// Bytes that may be buffered while a chunk-size line, with its extensions, or a trailer line is
/// still incomplete.
const MAX_LINE_BYTES: usize = 1 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Inside a body of declared length, with this many bytes unread.
    Remaining(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// Inside the data of a chunk, with this many bytes unread.
    ChunkData(u64),
    /// After the last chunk, before the blank line that ends the body.
    Trailers,
    /// Inside a body that ends when the connection is closed.
    UntilClose,
    /// The complete body has been read.
    Done,
}

/// Reads a body and keeps track of the part that is still unread.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
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
        Self { state }
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
                State::ChunkSize => {
                    self.state = match take_chunk_size(connection).await? {
                        0 => State::Trailers,
                        size => State::ChunkData(size),
                    };
                }
                State::Trailers => {
                    if take_line(connection).await?.is_empty() {
                        self.state = State::Done;
                    }
                }
                State::UntilClose => match connection.fill_if_empty().await {
                    Ok(()) => return Ok(Some(connection.take(usize::MAX))),
                    Err(HttpError::Closed) => self.state = State::Done,
                    Err(error) => return Err(error),
                },
            }
        }
    }

    /// Reads the rest of the body into memory.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` above `limit` bytes, otherwise the same as for [`BodyReader::next`].
    pub async fn read_all(
        &mut self,
        connection: &mut Connection,
        limit: usize,
    ) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while let Some(data) = self.next(connection).await? {
            if body.len() + data.len() > limit {
                return Err(HttpError::BodyTooLarge);
            }
            body.extend_from_slice(&data);
        }
        Ok(body)
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

async fn take_chunk_size(connection: &mut Connection) -> Result<u64, HttpError> {
    loop {
        match parse_chunk_size(connection.unread()) {
            Ok(Status::Complete((line_length, size))) => {
                connection.take(line_length);
                return Ok(size);
            }
            Ok(Status::Partial) if connection.unread().len() < MAX_LINE_BYTES => {
                connection.fill().await.map_err(closed_to_truncated)?;
            }
            Ok(Status::Partial) => {
                return Err(HttpError::Malformed("chunk size line is too long".to_owned()));
            }
            Err(_invalid) => {
                return Err(HttpError::Malformed(
                    "invalid chunk size line, expected at most 16 hexadecimal digits".to_owned(),
                ));
            }
        }
    }
}

/// Takes the line end after the data of a chunk.
async fn take_chunk_end(connection: &mut Connection) -> Result<(), HttpError> {
    if take_line(connection).await?.is_empty() {
        Ok(())
    } else {
        Err(HttpError::Malformed("chunk is longer than its declared size".to_owned()))
    }
}

/// Takes a line and returns it without its line end.
async fn take_line(connection: &mut Connection) -> Result<Vec<u8>, HttpError> {
    loop {
        if let Some(index) = connection.unread().iter().position(|b| *b == b'\n') {
            let mut line = connection.take(index + 1);
            line.pop();
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Ok(line);
        }
        if connection.unread().len() >= MAX_LINE_BYTES {
            return Err(HttpError::Malformed("line in a chunked body is too long".to_owned()));
        }
        connection.fill().await.map_err(closed_to_truncated)?;
    }
}
