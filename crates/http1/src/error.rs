//! Errors of reading and writing messages.

use quick_error::quick_error;
use std::io::ErrorKind;

quick_error! {
    /// Why a message could not be read or written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HttpError {
        /// The peer closed the connection between two messages.
        Closed { display("the peer closed the connection") }
        /// The peer closed the connection inside a message.
        Truncated { display("the connection ended inside a message") }
        /// The head exceeds the size limit.
        HeadTooLarge { display("the head is longer than the limit") }
        /// The body exceeds the size limit.
        BodyTooLarge { display("the body is longer than the limit") }
        /// An event of a stream exceeds the size limit.
        EventTooLarge { display("an event is longer than the limit") }
        /// The process has no memory left for the message.
        MemoryLimit { display("the memory for messages is used up") }
        /// The bytes are not a valid HTTP/1.1 message.
        Malformed(detail: String) { display("malformed message: {}", detail) }
        /// Nothing accepts connections at the address.
        Refused { display("connection failed: connection refused") }
        /// The connection failed, or could not be opened.
        Io(detail: String) { display("connection failed: {}", detail) }
        /// The peer did not accept the connection, or did not send its message, in time.
        Timeout { display("timed out while waiting for the peer") }
    }
}

impl From<std::io::Error> for HttpError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            kind => Self::Io(kind.to_string()),
        }
    }
}
