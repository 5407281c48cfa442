//! A server's connection, which knows how far its current request has come.

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

/// Bytes read and thrown away after a refusal, so that the caller sees the answer.
const MAX_DISCARDED_BYTES: u64 = 32 << 20;

/// Bytes of a head, with what the reader takes ahead of the body.
const MAX_HEAD_BYTES: u64 = 24 << 10;

/// Progress of the current request on a connection.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    received: AtomicU64,
    handled: AtomicBool,
    refused_at: AtomicU64,
}

impl Progress {
    pub(crate) fn start_request(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.handled.store(false, Ordering::Relaxed);
        self.refused_at.store(0, Ordering::Relaxed);
    }

    pub(crate) fn set_handled(&self) {
        self.handled.store(true, Ordering::Relaxed);
    }

    /// Whether the request has been passed to the handler.
    pub(crate) fn is_handled(&self) -> bool {
        self.handled.load(Ordering::Relaxed)
    }

    /// Whether any byte of the request has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.received.load(Ordering::Relaxed) > 0
    }

    /// Stops reading the rest of the body once a bounded part has been thrown away.
    pub(crate) fn discard_body(&self) {
        self.refused_at.store(self.received.load(Ordering::Relaxed).max(1), Ordering::Relaxed);
    }

    fn is_head_too_long(&self) -> bool {
        !self.is_handled() && self.received.load(Ordering::Relaxed) > MAX_HEAD_BYTES
    }

    fn is_exhausted(&self) -> bool {
        let refused_at = self.refused_at.load(Ordering::Relaxed);
        let received = self.received.load(Ordering::Relaxed);
        refused_at > 0 && received.saturating_sub(refused_at) > MAX_DISCARDED_BYTES
    }
}

/// A TCP stream that records the progress of its request.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) progress: Arc<Progress>,
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
        if self.progress.is_exhausted() {
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
