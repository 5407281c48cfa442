//! Responses to callers.

use ibissail_core::{ErrorKind, Fault, Millis};
use ibissail_http1::{Connection, HttpError, ResponseHead, reason_phrase};
use ibissail_platform::retry_after_header;
use serde_json::json;

/// What happens to a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    /// Another request may follow.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// An error response of this entry itself, whether or not the request has run.
#[derive(Debug, Clone)]
pub(crate) struct ErrorReply {
    pub(crate) kind: ErrorKind,
    pub(crate) detail: String,
    /// Time after which the caller should retry.
    pub(crate) retry_after: Option<Millis>,
}

impl ErrorReply {
    pub(crate) async fn write(
        &self,
        connection: &mut Connection,
        after_response: AfterResponse,
    ) -> Result<(), HttpError> {
        let response = self.kind.response();
        let fault = Fault::new(self.kind, self.detail.clone());
        let error = json!({
            "kind": self.kind.code(), "message": fault.to_string(), "ran": response.ran,
        });
        let body = json!({ "error": error }).to_string();
        let mut head =
            format!("HTTP/1.1 {} {}\r\n", response.status, reason_phrase(response.status));
        if let Some(time) = self.retry_after {
            let (name, value) = retry_after_header(time);
            push_header(&mut head, &name, &value);
        }
        head.push_str("Content-Type: application/json\r\n");
        push_header(&mut head, "Content-Length", &body.len().to_string());
        head.push_str(connection_header(after_response));
        head.push_str("\r\n");
        connection.write((head + &body).as_bytes()).await
    }
}

fn push_header(head: &mut String, name: &str, value: &str) {
    for text in [name, ": ", value, "\r\n"] {
        head.push_str(text);
    }
}

fn connection_header(after_response: AfterResponse) -> &'static str {
    match after_response {
        AfterResponse::KeepAlive => "",
        AfterResponse::Close => "Connection: close\r\n",
    }
}

/// Status line and headers of a replica's response, as they are sent to the caller.
///
/// `framing_header` is the header line that delimits the body, including its line break.
pub(crate) fn forwarded_head(
    head: &ResponseHead,
    framing_header: &str,
    after_response: AfterResponse,
) -> String {
    let mut text = format!("HTTP/1.1 {} {}\r\n", head.status, reason_phrase(head.status));
    for (name, value) in head.headers.end_to_end() {
        push_header(&mut text, name, value);
    }
    text.push_str(framing_header);
    text.push_str(connection_header(after_response));
    text.push_str("\r\n");
    text
}

/// Writes a replica's response with its complete body.
pub(crate) async fn write_complete(
    connection: &mut Connection,
    head: &ResponseHead,
    body: &[u8],
    after_response: AfterResponse,
) -> Result<(), HttpError> {
    let framing_header = format!("Content-Length: {}\r\n", body.len());
    let mut bytes = forwarded_head(head, &framing_header, after_response).into_bytes();
    bytes.extend_from_slice(body);
    connection.write(&bytes).await
}

/// Encodes a part of a stream as one HTTP chunk.
pub(crate) fn encode_chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The empty chunk that ends a complete stream.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
