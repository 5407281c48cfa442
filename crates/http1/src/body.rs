//! Reads a body piece by piece, whatever its framing.

use crate::{Connection, Framing, HttpError};
use httparse::{Status, parse_chunk_size};

/// Longest line of a chunk's size, with its extensions, and longest trailer.
const MAX_LINE_BYTES: usize = 1 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Rest(u64),
    ChunkSize,
    Chunk(u64),
    Trailer,
    UntilClose,
    Done,
}

/// The part of a body that has yet to be read.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// A body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Rest(length),
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

    /// The next piece, or `None` at the end of the whole body.
    ///
    /// # Errors
    ///
    /// `Truncated` when the connection ends before the body does.
    pub async fn next(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Rest(rest) => {
                    let piece = take_some(connection, rest).await?;
                    let rest = rest - piece.len() as u64;
                    self.state = if rest == 0 { State::Done } else { State::Rest(rest) };
                    return Ok(Some(piece));
                }
                State::Chunk(0) => {
                    take_line_end(connection).await?;
                    self.state = State::ChunkSize;
                }
                State::Chunk(rest) => {
                    let piece = take_some(connection, rest).await?;
                    self.state = State::Chunk(rest - piece.len() as u64);
                    return Ok(Some(piece));
                }
                State::ChunkSize => {
                    self.state = match take_chunk_size(connection).await? {
                        0 => State::Trailer,
                        size => State::Chunk(size),
                    };
                }
                State::Trailer => {
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
    /// `BodyTooLarge` above `limit` bytes, otherwise as `next`.
    pub async fn read_all(
        &mut self,
        connection: &mut Connection,
        limit: usize,
    ) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while let Some(piece) = self.next(connection).await? {
            if body.len() + piece.len() > limit {
                return Err(HttpError::BodyTooLarge);
            }
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }
}

fn inside(error: HttpError) -> HttpError {
    if error == HttpError::Closed { HttpError::Truncated } else { error }
}

async fn take_some(connection: &mut Connection, most: u64) -> Result<Vec<u8>, HttpError> {
    connection.fill_if_empty().await.map_err(inside)?;
    Ok(connection.take(usize::try_from(most).unwrap_or(usize::MAX)))
}

async fn take_chunk_size(connection: &mut Connection) -> Result<u64, HttpError> {
    loop {
        match parse_chunk_size(connection.unread()) {
            Ok(Status::Complete((length, size))) => {
                connection.take(length);
                return Ok(size);
            }
            Ok(Status::Partial) if connection.unread().len() < MAX_LINE_BYTES => {
                connection.fill().await.map_err(inside)?;
            }
            Ok(Status::Partial) => {
                return Err(HttpError::Malformed("the size of a chunk is too long".to_owned()));
            }
            Err(_size) => {
                return Err(HttpError::Malformed("the size of a chunk is no number".to_owned()));
            }
        }
    }
}

async fn take_line_end(connection: &mut Connection) -> Result<(), HttpError> {
    if take_line(connection).await?.is_empty() {
        Ok(())
    } else {
        Err(HttpError::Malformed("a chunk is longer than its size".to_owned()))
    }
}

/// Takes a line without its end.
async fn take_line(connection: &mut Connection) -> Result<Vec<u8>, HttpError> {
    loop {
        if let Some(place) = connection.unread().iter().position(|b| *b == b'\n') {
            let mut line = connection.take(place + 1);
            line.pop();
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Ok(line);
        }
        if connection.unread().len() >= MAX_LINE_BYTES {
            return Err(HttpError::Malformed("a line is too long".to_owned()));
        }
        connection.fill().await.map_err(inside)?;
    }
}
