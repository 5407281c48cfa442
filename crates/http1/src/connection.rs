//! A TCP connection with a buffer of unread bytes.

use crate::{HttpError, RequestHead, ResponseHead, parse_request, parse_response};
use async_std::{future::timeout, net::TcpStream};
use futures_lite::{AsyncRead, AsyncWriteExt, future, ready};
use std::{io::ErrorKind, net::SocketAddr, pin::Pin, task::Poll, time::Duration};

/// Size of the buffer for one read from the socket.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Bytes that may be buffered while a response head is still incomplete.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 << 10;

/// Reads after which a task lets others run, because a peer that sends without end always has bytes
/// to read.
const READS_PER_TURN: u32 = 4;

/// Most interim (1xx) responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A TCP connection with the bytes that were received but not parsed yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    /// Reads since other tasks were last let run.
    reads: u32,
}

/// Opens a connection to a peer.
///
/// # Errors
///
/// `Timeout` after `limit`, `Io` when the connection fails, as when the peer refuses it.
pub async fn dial(peer: SocketAddr, limit: Duration) -> Result<Connection, HttpError> {
    match timeout(limit, TcpStream::connect(peer)).await {
        Ok(Ok(stream)) => Ok(Connection::new(stream)),
        Ok(Err(error)) => Err(error.into()),
        Err(_elapsed) => Err(HttpError::Timeout),
    }
}

impl Connection {
    /// Wraps a stream and disables Nagle's algorithm on it.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        if let Err(_error) = stream.set_nodelay(true) {
            // The peer has already closed the connection, which the next read reports.
        }
        Self { stream, unread: Vec::new(), reads: 0 }
    }

    /// The underlying stream, for detecting that the peer has closed it.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Received bytes that have not been taken yet.
    #[must_use]
    pub fn unread(&self) -> &[u8] {
        &self.unread
    }

    /// Whether the connection has failed, for example by a reset. The system reports the error once, to
    /// the read or write that comes first; later reads see the end of the stream.
    ///
    /// Meaningless once this side has closed its half.
    ///
    /// # Examples
    ///
    /// ```
    /// use async_std::{net::{TcpListener, TcpStream}, task};
    /// use ibissail_http1::Connection;
    /// task::block_on(async {
    ///     let listener = TcpListener::bind("127.0.0.1:0").await?;
    ///     let connection = Connection::new(TcpStream::connect(listener.local_addr()?).await?);
    ///     assert!(!connection.has_failed());
    ///     Ok::<(), std::io::Error>(())
    /// })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    #[must_use]
    pub fn has_failed(&self) -> bool {
        // A socket loses its peer's address when its connection fails.
        self.stream.peer_addr().is_err()
    }

    /// Takes at most `max_bytes` of the unread bytes.
    pub(crate) fn take(&mut self, max_bytes: usize) -> Vec<u8> {
        if max_bytes >= self.unread.len() {
            return std::mem::take(&mut self.unread);
        }
        self.unread.drain(..max_bytes).collect()
    }

    /// Reads more bytes from the socket into the buffer.
    ///
    /// # Errors
    ///
    /// `Closed` when the peer has closed the connection, `Io` when it has failed, even if an earlier
    /// write has reported that already.
    pub async fn fill(&mut self) -> Result<(), HttpError> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            future::yield_now().await;
        }
        self.reads += 1;
        let Self { stream, unread, .. } = self;
        // The read buffer exists only during a poll, so that waiting connections use little memory.
        let count = future::poll_fn(|cx| {
            let mut buf = [0; READ_BUFFER_BYTES];
            let count = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf))?;
            unread.extend_from_slice(&buf[..count]);
            Poll::Ready(Ok::<_, HttpError>(count))
        })
        .await?;
        match count {
            0 if self.has_failed() => Err(HttpError::Io(ErrorKind::ConnectionReset.to_string())),
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads more bytes if none are buffered.
    ///
    /// # Errors
    ///
    /// The same as for [`Connection::fill`].
    pub async fn fill_if_empty(&mut self) -> Result<(), HttpError> {
        if self.unread.is_empty() { self.fill().await } else { Ok(()) }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// `Closed` when the peer closed before the first byte, `Truncated` when it closed inside the
    /// head, `HeadTooLarge` above `limit` bytes, `Malformed` for an invalid head.
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

    /// Reads the head of the response to a request with `method`, skipping interim (1xx) responses.
    ///
    /// # Errors
    ///
    /// `Closed` when the peer closed before the first byte, `Truncated` when it closed inside the
    /// head, `HeadTooLarge` when it is still incomplete after more than 32 KiB, `Malformed` for an
    /// invalid head, a status below 100, of 101 or above 599, or more than 8 interim responses.
    pub async fn read_response_head(&mut self, method: &str) -> Result<ResponseHead, HttpError> {
        let mut interim_responses = 0;
        loop {
            match parse_response(&self.unread, method)? {
                Some((head, length)) => {
                    self.take(length);
                    match head.status {
                        200..=599 => return Ok(head),
                        // No request asks for an upgrade, and what follows one is not HTTP.
                        100 | 102..=199 => interim_responses += 1,
                        status => {
                            let error = format!("response with the status {status:03}");
                            return Err(HttpError::Malformed(error));
                        }
                    }
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(HttpError::Malformed("too many interim responses".to_owned()));
                    }
                }
                None if self.unread.len() > MAX_RESPONSE_HEAD_BYTES => {
                    return Err(HttpError::HeadTooLarge);
                }
                None => self.fill_head().await?,
            }
        }
    }

    /// Reads more bytes of a head; a close after its first byte is `Truncated`.
    async fn fill_head(&mut self) -> Result<(), HttpError> {
        let has_begun = !self.unread.is_empty();
        match self.fill().await {
            Err(HttpError::Closed) if has_begun => Err(HttpError::Truncated),
            result => result,
        }
    }

    /// Writes all bytes to the socket.
    ///
    /// # Errors
    ///
    /// `Io` when the connection has failed or the peer has closed it.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }
}
