//! Callers.

use crate::http::{Head, Reader};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "guides.example";

/// What a caller received.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: String,
    /// Whether the answer ended as its framing says.
    pub is_complete: bool,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn seal(&self) -> &str {
        self.head.as_ref().and_then(|head| head.header("Response-Seal")).unwrap_or("")
    }

    /// Ids of the events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Sends a request on a connection of its own and reads the answer.
pub fn send(entry: SocketAddr, request: &str, wait: Duration) -> Answer {
    let lost = Answer { head: None, body: String::new(), is_complete: false };
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_secs(1)) else {
        return lost;
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(wait)).ok();
    if stream.write_all(request.as_bytes()).is_err() {
        return lost;
    }
    let mut reader = Reader::new(stream);
    let Ok(Some(head)) = reader.head() else { return lost };
    let (body, is_complete) = reader.response_body(&head);
    let body = String::from_utf8_lossy(&body).into_owned();
    Answer { head: Some(head), body, is_complete }
}

/// A draft, which is answered with a stream.
pub fn draft(attempt: &str) -> String {
    let body = "field notes";
    format!(
        "POST /drafts/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: *\r\n\
         Token-Usage: 1460,400\r\nPrompt-Prefix: 5c1e07a2:800,9{attempt}:660\r\n\
         Deadline-Ms: 20000\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A summary, which is answered with a stream, as a part of a session. Its prompt has a part that an
/// eighth of all share, one of 81 others, and one of the session.
pub fn summary(number: usize, attempt: &str, session: &str) -> String {
    let body = "a hut keeper's report";
    let (first, second) = (number * 7 % 8, number * 37 % 81);
    format!(
        "POST /drafts/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: *\r\n\
         Token-Usage: 826,294\r\nSession: {session}\r\n\
         Prompt-Prefix: aa{first:04x}:119,bb{second:04x}:79,cc{number:06x}:628\r\n\
         Deadline-Ms: 20000\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A submission, which may run at most once.
pub fn submission(attempt: &str, deadline_ms: u64) -> String {
    let body = "first ascent";
    format!(
        "POST /records/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A draft with a body of this size.
pub fn large_draft(attempt: &str, size: usize) -> String {
    format!(
        "POST /drafts/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: *\r\n\
         Token-Usage: 1460,400\r\nPrompt-Prefix: 5c1e07a2:800,9{attempt}:660\r\n\
         Deadline-Ms: 20000\r\nApi-Key: {KEY}\r\nContent-Length: {size}\r\n\r\n{}",
        "n".repeat(size)
    )
}

/// Sends two requests on one connection, the second after the answer to the first; returns the answer
/// to the second.
pub fn send_kept(entry: SocketAddr, first: &str, second: &str, wait: Duration) -> Answer {
    let lost = Answer { head: None, body: String::new(), is_complete: false };
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_secs(1)) else {
        return lost;
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(wait)).ok();
    if stream.write_all(first.as_bytes()).is_err() {
        return lost;
    }
    let mut reader = Reader::new(stream);
    let Ok(Some(head)) = reader.head() else { return lost };
    reader.response_body(&head);
    if reader.stream.write_all(second.as_bytes()).is_err() {
        return lost;
    }
    let Ok(Some(head)) = reader.head() else { return lost };
    let (body, is_complete) = reader.response_body(&head);
    let body = String::from_utf8_lossy(&body).into_owned();
    Answer { head: Some(head), body, is_complete }
}

/// A submission with a body of this size.
pub fn large_submission(attempt: &str, size: usize) -> String {
    format!(
        "POST /records/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: 5000\r\nApi-Key: {KEY}\r\nContent-Length: {size}\r\n\r\n{}",
        "n".repeat(size)
    )
}
