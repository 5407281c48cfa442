//! Server side of a connection, with the progress of its current request.

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, ready};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

/// Bytes of a body that are read and discarded after an early error response. Closing with unread
/// bytes would reset the connection, and the caller could miss the response.
const MAX_DISCARDED_BYTES: u64 = 32 << 20;

/// Maximum bytes received before the head is complete, including body bytes that were read ahead.
const MAX_HEAD_BYTES: u64 = 24 << 10;

/// Progress of the current request on a connection.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    /// Bytes of the request received so far.
    received: AtomicU64,
    /// Whether the request has been passed to the handler.
    dispatched: AtomicBool,
    /// Value of `received` when `discard_body` was called, at least 1; 0 when it was not.
    discard_start: AtomicU64,
}

impl RequestProgress {
    /// Resets the progress for the next request.
    pub(crate) fn start_request(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.dispatched.store(false, Ordering::Relaxed);
        self.discard_start.store(0, Ordering::Relaxed);
    }

    /// Records that the request has been passed to the handler.
    pub(crate) fn mark_dispatched(&self) {
        self.dispatched.store(true, Ordering::Relaxed);
    }

    /// Whether the request has been passed to the handler.
    pub(crate) fn is_dispatched(&self) -> bool {
        self.dispatched.load(Ordering::Relaxed)
    }

    /// Whether any byte of the request has arrived.
    pub(crate) fn has_received_bytes(&self) -> bool {
        self.received.load(Ordering::Relaxed) > 0
    }

    /// Limits the rest of the body to `MAX_DISCARDED_BYTES`, after which reads return end of file.
    pub(crate) fn discard_body(&self) {
        self.discard_start.store(self.received.load(Ordering::Relaxed).max(1), Ordering::Relaxed);
    }

    fn is_head_too_long(&self) -> bool {
        !self.is_dispatched() && self.received.load(Ordering::Relaxed) > MAX_HEAD_BYTES
    }

    fn is_over_discard_limit(&self) -> bool {
        let discard_start = self.discard_start.load(Ordering::Relaxed);
        let received = self.received.load(Ordering::Relaxed);
        discard_start > 0 && received.saturating_sub(discard_start) > MAX_DISCARDED_BYTES
    }
}

/// A TCP stream that tracks the progress of the current request and enforces its size limits.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) progress: Arc<RequestProgress>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, progress: Arc::default() }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.is_over_discard_limit() {
            return Poll::Ready(Ok(0));
        }
        if self.progress.is_head_too_long() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.progress.received.fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
