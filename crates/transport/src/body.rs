//! Bodies fed through a channel, and size-limited reads of complete bodies.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, Stream, ready};
use http_types::Body;
use ibissail_core::{ByteSize, ErrorKind, Fault};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Chunks buffered for a slow reader before the sender has to wait.
const MAX_BUFFERED_CHUNKS: usize = 64;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The sending half of a body.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: Sender<Vec<u8>>,
}

impl BodySender {
    /// Appends a chunk, waiting for space in the channel; `false` when the reader has been dropped.
    ///
    /// An empty chunk is not sent, because the reader would take it as the end of the body; the
    /// result is then always `true`.
    pub async fn send(&self, chunk: Vec<u8>) -> bool {
        chunk.is_empty() || self.tx.send(chunk).await.is_ok()
    }
}

/// Creates a body that is sent chunk by chunk and ends when all its senders have been dropped.
#[must_use]
pub fn body_channel() -> (BodySender, Body) {
    let (tx, rx) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    let reader = ChannelReader { rx: Box::pin(rx), chunk: Vec::new(), position: 0 };
    (BodySender { tx }, Body::from_reader(reader, None))
}

struct ChannelReader {
    rx: Pin<Box<Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    position: usize,
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position >= this.chunk.len() {
            this.chunk = ready!(this.rx.as_mut().poll_next(cx)).unwrap_or_default();
            this.position = 0;
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.position += amount;
    }
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = chunk.len().min(buf.len());
        buf[..count].copy_from_slice(&chunk[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` above the limit, `BadRequest` when the framing is invalid, the connection fails
/// or the body is shorter than its declared length.
pub async fn read_body(body: &mut Body, limit: ByteSize) -> Result<Vec<u8>, Fault> {
    let limit = limit.as_usize();
    if body.len().is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let mut bytes = Vec::with_capacity(body.len().unwrap_or(0));
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = body.read(&mut buffer).await.map_err(|error| read_failed(&error))?;
        if count == 0 {
            break;
        }
        if bytes.len() + count > limit {
            return Err(too_large(limit));
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    match body.len() {
        Some(length) if length > bytes.len() => {
            Err(Fault::new(ErrorKind::BadRequest, "the body is shorter than its declared length"))
        }
        _ => Ok(bytes),
    }
}

fn too_large(limit: usize) -> Fault {
    Fault::new(ErrorKind::BodyTooLarge, format!("at most {limit} bytes are accepted"))
}

fn read_failed(error: &io::Error) -> Fault {
    Fault::new(ErrorKind::BadRequest, format!("the body cannot be read: {}", error.kind()))
}
