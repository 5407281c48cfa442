//! HTTP/1.1 server and connection pool, length-prefixed frames, and authenticated messages between
//! processes.

mod body;
mod connection;
mod frame;
mod message;
mod pool;
mod server;
mod upstream;

pub use body::{BodySender, body_channel, read_body};
pub use frame::{FrameReader, encode_frame};
pub use message::{CallError, Envelope, Keyring, StreamResponse, call, open_stream};
pub use pool::{Pool, PoolOptions, PooledResponse, SendError};
pub use server::{Caller, ServerOptions, ShutdownHandle, ShutdownSignal, serve, shutdown_channel};
