//! Frames: a length of four bytes, then a message.

use futures_lite::{AsyncRead, AsyncReadExt};
use serde::{Serialize, de::DeserializeOwned};
use std::io;

/// Largest frame accepted, in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// A message as a frame.
///
/// # Panics
///
/// Never for the messages of this project, which all have a binary form.
///
/// # Examples
///
/// ```
/// let frame = ibissail_transport::encode_frame(&7_u8);
/// assert_eq!(frame, [0, 0, 0, 1, 7]);
/// ```
#[must_use]
pub fn encode_frame<M>(message: &M) -> Vec<u8>
where
    M: Serialize,
{
    let mut frame = vec![0; 4];
    rmp_serde::encode::write(&mut frame, message).expect("messages have a binary form");
    let length = u32::try_from(frame.len() - 4).unwrap_or(u32::MAX);
    frame[..4].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Reads frames from a body.
#[derive(Debug)]
pub struct FrameReader<R> {
    reader: R,
}

impl<R> FrameReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Frames of this reader.
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// The next message, or `None` at the end.
    ///
    /// # Errors
    ///
    /// When the connection breaks, a frame is too large or is not such a message.
    pub async fn next<M>(&mut self) -> io::Result<Option<M>>
    where
        M: DeserializeOwned,
    {
        let mut length = [0; 4];
        if self.reader.read(&mut length[..1]).await? == 0 {
            return Ok(None);
        }
        self.reader.read_exact(&mut length[1..]).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(invalid(format!("a frame of {length} bytes")));
        }
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes).await?;
        let message = rmp_serde::from_slice(&bytes).map_err(|error| invalid(error.to_string()))?;
        Ok(Some(message))
    }
}

fn invalid(detail: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail)
}
