//! Client side of a connection, with a limit for the head of the response.

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

/// Maximum bytes received before the head is complete, including body bytes that were read ahead.
const MAX_HEAD_BYTES: u64 = 24 << 10;

/// Progress of a response.
#[derive(Debug, Default)]
pub(crate) struct ResponseProgress {
    /// Bytes received before the head was complete.
    head_bytes: AtomicU64,
    has_head: AtomicBool,
}

impl ResponseProgress {
    /// Records that the head is complete, after which there is no limit.
    pub(crate) fn mark_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    fn is_head_too_long(&self) -> bool {
        !self.has_head.load(Ordering::Relaxed)
            && self.head_bytes.load(Ordering::Relaxed) > MAX_HEAD_BYTES
    }
}

/// Replaces bytes of a head that are not ASCII, which the format allows in values. The HTTP library
/// panics on them.
#[derive(Debug, Clone, Default)]
struct HeadFilter {
    /// The last bytes before the next, most recent first.
    last: [u8; 3],
    has_ended: bool,
}

impl HeadFilter {
    fn apply(&mut self, bytes: &mut [u8]) {
        for byte in bytes {
            if self.has_ended {
                return;
            }
            if !byte.is_ascii() {
                *byte = b'?';
            }
            let [first, second, third] = self.last;
            self.has_ended = matches!(
                [third, second, first, *byte],
                [_, _, b'\n', b'\n'] | [b'\r', b'\n', b'\r', b'\n']
            );
            self.last = [*byte, first, second];
        }
    }
}

/// A TCP stream to a peer that fails reads of a head without end.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    stream: TcpStream,
    pub(crate) progress: Arc<ResponseProgress>,
    head_filter: HeadFilter,
}

impl Upstream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, progress: Arc::default(), head_filter: HeadFilter::default() }
    }
}

impl AsyncRead for Upstream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.is_head_too_long() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.head_filter.apply(&mut buf[..count]);
        self.progress.head_bytes.fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Upstream {
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
