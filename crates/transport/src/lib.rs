//! HTTP connections, pools, frames and authenticated messages between processes.

mod body;
mod connection;
mod frame;
mod message;
mod pool;
mod server;

pub use body::{BodySender, body_channel, read_body};
pub use frame::{FrameReader, encode_frame};
pub use message::{CallError, Envelope, Keyring, StreamReply, call, open_stream};
pub use pool::{Pool, PoolOptions, Reply, SendError};
pub use server::{Caller, ServerOptions, Stop, StopHandle, serve, stop_pair};
