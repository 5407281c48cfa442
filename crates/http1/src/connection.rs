//! A TCP connection with the bytes that were read ahead.

use crate::{HttpError, RequestHead, ResponseHead, parse_request, parse_response};
use async_std::{future::timeout, net::TcpStream};
use futures_lite::{AsyncRead, AsyncWriteExt, FutureExt, future, ready};
use std::{net::SocketAddr, pin::Pin, task::Poll, time::Duration};

/// Bytes asked of the kernel at once.
const READ_BYTES: usize = 8 << 10;

/// Longest head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 << 10;

/// A TCP connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
}

/// Opens a connection.
///
/// # Errors
///
/// `Timeout` after `limit`, `Io` when the peer refuses.
pub async fn dial(peer: SocketAddr, limit: Duration) -> Result<Connection, HttpError> {
    match timeout(limit, TcpStream::connect(peer)).await {
        Ok(Ok(stream)) => Ok(Connection::new(stream)),
        Ok(Err(error)) => Err(error.into()),
        Err(_elapsed) => Err(HttpError::Timeout),
    }
}

/// Whether the peer has closed the connection or it has failed.
pub async fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let seen = async { matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) };
    seen.or(future::ready(false)).await
}

impl Connection {
    /// Takes over a stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        if let Err(_error) = stream.set_nodelay(true) {
            // The peer has closed already; the next read tells.
        }
        Self { stream, unread: Vec::new() }
    }

    /// The stream, for watching its other end.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that have been read ahead.
    #[must_use]
    pub fn unread(&self) -> &[u8] {
        &self.unread
    }

    /// Takes at most `most` of the bytes that were read ahead.
    pub(crate) fn take(&mut self, most: usize) -> Vec<u8> {
        if most >= self.unread.len() {
            return std::mem::take(&mut self.unread);
        }
        self.unread.drain(..most).collect()
    }

    /// Reads more bytes.
    ///
    /// # Errors
    ///
    /// `Closed` at the end of the connection.
    pub async fn fill(&mut self) -> Result<(), HttpError> {
        let Self { stream, unread } = self;
        // The buffer lives within one poll only, so that waiting connections stay small.
        let count = future::poll_fn(|cx| {
            let mut buf = [0; READ_BYTES];
            let count = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf))?;
            unread.extend_from_slice(&buf[..count]);
            Poll::Ready(Ok::<_, HttpError>(count))
        })
        .await?;
        if count == 0 { Err(HttpError::Closed) } else { Ok(()) }
    }

    /// Reads more bytes unless some wait already.
    ///
    /// # Errors
    ///
    /// `Closed` at the end of the connection.
    pub async fn fill_if_empty(&mut self) -> Result<(), HttpError> {
        if self.unread.is_empty() { self.fill().await } else { Ok(()) }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// `Closed` when no byte of a request came, `HeadTooLarge` above `limit` bytes.
    pub async fn read_request_head(&mut self, limit: usize) -> Result<RequestHead, HttpError> {
        loop {
            if let Some((head, length)) = parse_request(&self.unread)? {
                if length > limit {
                    return Err(HttpError::HeadTooLarge);
                }
                self.take(length);
                return Ok(head);
            }
            if self.unread.len() > limit {
                return Err(HttpError::HeadTooLarge);
            }
            self.fill_head().await?;
        }
    }

    /// Reads the head of the response to a request with `method`, without interim responses.
    ///
    /// # Errors
    ///
    /// `Closed` when no byte of a response came.
    pub async fn read_response_head(&mut self, method: &str) -> Result<ResponseHead, HttpError> {
        loop {
            match parse_response(&self.unread, method)? {
                Some((head, length)) => {
                    self.take(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                }
                None if self.unread.len() > MAX_RESPONSE_HEAD_BYTES => {
                    return Err(HttpError::HeadTooLarge);
                }
                None => self.fill_head().await?,
            }
        }
    }

    async fn fill_head(&mut self) -> Result<(), HttpError> {
        let has_begun = !self.unread.is_empty();
        match self.fill().await {
            Err(HttpError::Closed) if has_begun => Err(HttpError::Truncated),
            result => result,
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// `Io` when the peer has closed.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }
}
