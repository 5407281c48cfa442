//! Frames: a length of four bytes (big-endian), then a `MessagePack` message.

use futures_lite::{AsyncRead, AsyncReadExt};
use serde::{Serialize, de::DeserializeOwned};
use std::io;

/// Maximum length of a received frame.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Encodes a message as a frame.
///
/// # Panics
///
/// Panics if the message cannot be encoded as `MessagePack`; all messages of this project can.
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
    rmp_serde::encode::write(&mut frame, message).expect("messages can be encoded as MessagePack");
    let length = u32::try_from(frame.len() - 4).unwrap_or(u32::MAX);
    frame[..4].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Decodes frames from a body.
#[derive(Debug)]
pub struct FrameReader<R> {
    reader: R,
}

impl<R> FrameReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Creates a reader of frames on top of a byte stream.
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// Reads the next message; `None` when the body ends between two frames.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or ends inside a frame, and with `InvalidData` when a frame
    /// is longer than 4 MiB or does not decode as `M`.
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
            return Err(invalid_data(format!(
                "frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"
            )));
        }
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes).await?;
        let message =
            rmp_serde::from_slice(&bytes).map_err(|error| invalid_data(error.to_string()))?;
        Ok(Some(message))
    }
}

fn invalid_data(detail: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail)
}
