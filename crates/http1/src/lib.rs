//! HTTP/1.1 heads, bodies and event streams, with every framing error told apart.
//!
//! async-h1 reads a body to its end before it answers, and treats an answer that was cut short
//! as whole. The edges towards callers and upstreams need to see both, so they use the parser of
//! the `httparse` library with the framing of this package.

mod body;
mod connection;
mod error;
mod event;
mod head;

pub use body::BodyReader;
pub use connection::{Connection, dial, is_closed_by_peer};
pub use error::HttpError;
pub use event::EventSplitter;
pub use head::{
    Framing, Headers, RequestHead, ResponseHead, parse_request, parse_response, reason_phrase,
};
