//! HTTP/1.1 heads, bodies and event streams, with a distinct error for each framing fault.
//!
//! async-h1 reads a request body to its end before it responds, and reports a truncated response as
//! complete. The connections to callers and upstreams have to detect both cases, so they use the
//! `httparse` parser with the body framing of this package.

mod blocks;
mod body;
mod connection;
mod error;
mod event;
mod event_line;
mod head;
mod position;

pub use blocks::BlockBuffer;
pub use body::BodyReader;
pub use connection::{Connection, dial};
pub use error::HttpError;
pub use event::EventSplitter;
pub use event_line::{EventLine, EventLineCheck, has_lone_carriage_return};
pub use head::{
    Framing, Headers, RESPONSE_HEAD_START, RequestHead, ResponseHead, parse_request,
    parse_response, reason_phrase,
};
pub use position::{StreamPosition, UsualIds};
