//! A blocking HTTP client that shares no code with the project, like the clients of callers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A response; status 0 stands for one that was not received completely.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status; 0 if no complete response was received.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Stands for a response that was not received completely.
    pub fn missing() -> Self {
        Self { status: 0, head: String::new(), body: Vec::new() }
    }

    /// The body as JSON; null if it is not valid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Value of a header, whose name is matched without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Version of the model that served the request; empty if the header is missing.
    pub fn version(&self) -> &str {
        self.header("x-ibissail-version").unwrap_or_default()
    }

    /// Field `kind` of an error body; empty if there is none.
    pub fn error_kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }

    /// Field `ran` of an error body, which says whether the request has run; empty if there is
    /// none.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a GET request; `None` if no complete response was received.
pub fn get(address: SocketAddr, path: &str) -> Option<Response> {
    send(address, "GET", path, &[], b"")
}

/// Sends a request on a new connection; `None` if no complete response was received.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Response> {
    let mut stream = start_request(address, method, path, headers, body)?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    parse_response(&bytes)
}

/// Sends a request and returns the connection, from which the response can be read.
pub fn start_request(
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

/// Parses a complete response; `None` if it is malformed or truncated.
pub fn parse_response(bytes: &[u8]) -> Option<Response> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut response = Response { status, head, body: bytes[end..].to_vec() };
    if response.header("transfer-encoding").is_some() {
        response.body = decode_chunked(&response.body)?;
    } else if let Some(length) = response.header("content-length") {
        let length: usize = length.parse().ok()?;
        if response.body.len() != length {
            return None;
        }
    }
    Some(response)
}

/// Splits received bytes into a complete request as text, and what follows it; `None` until the
/// request is complete. Names of headers are in lower case.
pub fn parse_head_and_body(bytes: &[u8]) -> Option<(String, Vec<u8>)> {
    let start = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let mut lines = Vec::new();
    let mut length = 0;
    for line in String::from_utf8_lossy(&bytes[..start]).lines() {
        let Some((name, value)) = line.split_once(':') else {
            lines.push(line.to_owned());
            continue;
        };
        let name = name.to_ascii_lowercase();
        if name == "content-length" {
            length = value.trim().parse().expect("a length");
        }
        lines.push(format!("{name}: {}", value.trim()));
    }
    let body = bytes.get(start..start + length)?;
    lines.push(String::from_utf8_lossy(body).into_owned());
    Some((lines.join("\n"), bytes[start + length..].to_vec()))
}

/// Decodes a chunked body; `None` if it is malformed or truncated.
fn decode_chunked(mut bytes: &[u8]) -> Option<Vec<u8>> {
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
