//! Bodies that are fed through a channel, and bounded reads of whole bodies.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, Stream, ready};
use http_types::Body;
use ibissail_core::{ByteSize, ErrorKind, Fault};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Pieces that may wait for a slow reader.
const MAX_WAITING_PIECES: usize = 64;
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The writing end of a body.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: Sender<Vec<u8>>,
}

impl BodySender {
    /// Adds a piece; `false` when the reader has gone.
    pub async fn send(&self, piece: Vec<u8>) -> bool {
        piece.is_empty() || self.tx.send(piece).await.is_ok()
    }
}

/// A body whose bytes are sent piece by piece; it ends when the sender is dropped.
#[must_use]
pub fn body_channel() -> (BodySender, Body) {
    let (tx, rx) = async_channel::bounded(MAX_WAITING_PIECES);
    let reader = ChannelReader { rx: Box::pin(rx), piece: Vec::new(), position: 0 };
    (BodySender { tx }, Body::from_reader(reader, None))
}

struct ChannelReader {
    rx: Pin<Box<Receiver<Vec<u8>>>>,
    piece: Vec<u8>,
    position: usize,
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position >= this.piece.len() {
            this.piece = ready!(this.rx.as_mut().poll_next(cx)).unwrap_or_default();
            this.position = 0;
        }
        Poll::Ready(Ok(&this.piece[this.position..]))
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
        let piece = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = piece.len().min(buf.len());
        buf[..count].copy_from_slice(&piece[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` above the limit, `BadRequest` when the framing is broken.
pub async fn read_body(body: &mut Body, limit: ByteSize) -> Result<Vec<u8>, Fault> {
    let limit = limit.as_usize();
    if body.len().is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let mut bytes = Vec::with_capacity(body.len().unwrap_or(0));
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let count = body.read(&mut chunk).await.map_err(|error| broken(&error))?;
        if count == 0 {
            break;
        }
        if bytes.len() + count > limit {
            return Err(too_large(limit));
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
    match body.len() {
        Some(length) if length > bytes.len() => {
            Err(Fault::new(ErrorKind::BadRequest, "the body is cut short"))
        }
        _ => Ok(bytes),
    }
}

fn too_large(limit: usize) -> Fault {
    Fault::new(ErrorKind::BodyTooLarge, format!("valid: up to {limit} bytes"))
}

fn broken(error: &io::Error) -> Fault {
    Fault::new(ErrorKind::BadRequest, format!("the body's framing is broken: {}", error.kind()))
}
