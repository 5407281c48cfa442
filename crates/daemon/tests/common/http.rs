//! A blocking HTTP client without any of the project's code, as callers have it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// An answer, or the loss of it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; 0 when there was no whole answer.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn lost() -> Self {
        Self { status: 0, head: String::new(), body: Vec::new() }
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn version(&self) -> &str {
        self.header("x-ibissail-version").unwrap_or_default()
    }

    pub fn kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }

    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Reads a path.
pub fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    send(address, "GET", path, &[], b"")
}

/// Sends a request on a connection of its own; `None` when no whole answer came.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut stream = open(address, method, path, headers, body)?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    parse(&bytes)
}

/// Sends a request and leaves the answer to be read.
pub fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&[*name, ": ", *value, "\r\n"].concat());
    }
    let length = body.len().to_string();
    head.push_str(&["content-length: ", &length, "\r\n\r\n"].concat());
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    Some(stream)
}

/// Parses the bytes of a whole answer.
pub fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer { status, head, body: bytes[end..].to_vec() };
    if answer.header("transfer-encoding").is_some() {
        answer.body = unchunk(&answer.body)?;
    } else if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().ok()?;
        if answer.body.len() != length {
            return None;
        }
    }
    Some(answer)
}

/// The bytes of a chunked body; `None` when its end is missing.
fn unchunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = bytes.windows(2).position(|window| window == b"\r\n")?;
        let length = usize::from_str_radix(std::str::from_utf8(&bytes[..line]).ok()?, 16).ok()?;
        if length == 0 {
            return Some(body);
        }
        let start = line + 2;
        body.extend_from_slice(bytes.get(start..start + length)?);
        bytes = bytes.get(start + length + 2..)?;
    }
}
