//! The little of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A request or a response without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line, split at spaces.
    pub words: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.words.get(1).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.words.first().map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received but not used yet.
pub struct Reader {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, unread: Vec::new() }
    }

    /// Reads more bytes; returns how many, 0 at the end of the connection.
    fn fill(&mut self) -> Result<usize> {
        let mut buf = [0; 16 << 10];
        let count = self.stream.read(&mut buf)?;
        self.unread.extend_from_slice(&buf[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.unread.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Takes exactly `length` bytes.
    pub fn exactly(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.unread.len() < length {
            if self.fill()? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
        }
        Ok(self.unread.drain(..length).collect())
    }

    /// Takes at most `length` bytes, as soon as there are any; none at the end of the connection.
    pub fn up_to(&mut self, length: usize) -> Result<Vec<u8>> {
        if self.unread.is_empty() {
            self.fill()?;
        }
        let count = self.unread.len().min(length);
        Ok(self.unread.drain(..count).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
        }
    }

    /// Reads the body of a request.
    pub fn request_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        let length = head.header("Content-Length").and_then(|length| length.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    /// Reads the body of a response; returns it and whether it is complete.
    pub fn response_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        if let Some(length) = head.header("Content-Length").and_then(|length| length.parse().ok()) {
            let mut body = Vec::new();
            while body.len() < length {
                match self.exactly(1) {
                    Ok(byte) => body.extend(byte),
                    Err(_end) => return (body, false),
                }
            }
            return (body, true);
        }
        let mut body = Vec::new();
        if head.header("Transfer-Encoding").is_some() {
            let whole = self.chunks(&mut body).is_ok();
            return (body, whole);
        }
        let whole = loop {
            match self.fill() {
                Ok(0) => break true,
                Ok(_) => {}
                Err(_reset) => break false,
            }
        };
        (std::mem::take(&mut self.unread), whole)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Result<()> {
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            let chunk = self.exactly(size)?;
            body.extend(chunk);
            self.line()?;
        }
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let words = lines.next().unwrap_or("").split(' ').map(str::to_owned).collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
    Head { words, headers }
}
