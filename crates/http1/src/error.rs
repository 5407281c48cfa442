//! Why a message could not be read or written.

use quick_error::quick_error;

quick_error! {
    /// Why a message could not be read or written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HttpError {
        /// The peer closed the connection between two messages.
        Closed { display("the peer closed the connection") }
        /// The connection ended inside a message.
        Truncated { display("the connection ended inside a message") }
        /// The head is longer than the limit.
        HeadTooLarge { display("the head is longer than the limit") }
        /// The body is longer than the limit.
        BodyTooLarge { display("the body is longer than the limit") }
        /// The bytes are no message of the protocol.
        Malformed(detail: String) { display("malformed message: {}", detail) }
        /// The connection failed.
        Io(detail: String) { display("connection failed: {}", detail) }
        /// The peer was too slow.
        Timeout { display("the peer did not answer in time") }
    }
}

impl From<std::io::Error> for HttpError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error.kind().to_string())
    }
}
