//! Parser of request and response heads, and of the framing of their bodies.

use crate::HttpError;
use derive_more::Display;
use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 100;

/// Start of the head of a response.
pub const RESPONSE_HEAD_START: &[u8] = b"HTTP/1.";

/// Headers that are never forwarded: hop-by-hop headers, and `Content-Length` and `Expect`, which
/// are handled anew on each connection.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers of a message, in the order received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Value of the first header with this name, which is compared without regard to case.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut headers = ibissail_http1::Headers::default();
    /// headers.push("Host", "guides.example");
    /// assert_eq!(headers.get("host"), Some("guides.example"));
    /// ```
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// Values of all headers with this name, compared without regard to case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        let wanted = name.to_owned();
        self.0
            .iter()
            .filter(move |(name, _)| name.eq_ignore_ascii_case(&wanted))
            .map(|(_, value)| value.as_str())
    }

    /// Appends a header and keeps existing ones of the same name.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// Names and values of all headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// The headers to forward: all except those in `NOT_FORWARDED` and those named by the header
    /// `Connection`.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let named: Vec<String> = self.connection_options().map(str::to_ascii_lowercase).collect();
        self.iter().filter(move |(name, _)| {
            let name = name.to_ascii_lowercase();
            !NOT_FORWARDED.contains(&name.as_str()) && !named.contains(&name)
        })
    }

    /// Options listed by the header `Connection`.
    fn connection_options(&self) -> impl Iterator<Item = &str> {
        self.all("connection").flat_map(|value| value.split(',')).map(str::trim)
    }

    fn has_connection_option(&self, option: &str) -> bool {
        self.connection_options().any(|found| found.eq_ignore_ascii_case(option))
    }

    fn from_parsed(parsed: &[Header<'_>]) -> Result<Self, HttpError> {
        let mut headers = Self::default();
        for header in parsed {
            let value = std::str::from_utf8(header.value).map_err(|_bytes| {
                HttpError::Malformed(format!("value of header {} is not UTF-8", header.name))
            })?;
            headers.push(header.name, value.trim());
        }
        Ok(headers)
    }
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Framing {
    /// There is no body.
    #[display("no body")]
    None,
    /// The body has this many bytes.
    #[display("length {_0}")]
    Length(u64),
    /// The body uses the chunked transfer coding.
    #[display("chunked")]
    Chunked,
    /// The body ends when the connection is closed.
    #[display("until close")]
    UntilClose,
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// All headers, including hop-by-hop ones.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the caller may send another request on the connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Whether the caller waits for `100 Continue` before it sends the body.
    #[must_use]
    pub fn expects_continue(&self) -> bool {
        self.headers.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// All headers, including hop-by-hop ones.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection can be reused after the body.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Whether the response has `Connection: close`.
    #[must_use]
    pub fn announces_close(&self) -> bool {
        self.headers.has_connection_option("close")
    }
}

/// Parses the head of a request and returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// `Malformed` when the head is invalid or the framing of its body is ambiguous.
///
/// # Examples
///
/// ```
/// let bytes = b"GET /a HTTP/1.1\r\nHost: guides.example\r\n\r\n";
/// let (head, length) = ibissail_http1::parse_request(bytes)?.unwrap();
/// assert_eq!((head.target.as_str(), length), ("/a", bytes.len()));
/// # Ok::<(), ibissail_http1::HttpError>(())
/// ```
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut parsed = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut parsed);
    let Status::Complete(length) = request.parse(bytes).map_err(malformed)? else {
        return Ok(None);
    };
    let headers = Headers::from_parsed(request.headers)?;
    let is_version_1_1 = request.version == Some(1);
    if headers.all("host").count() != 1 {
        return Err(HttpError::Malformed("expected exactly one Host header".to_owned()));
    }
    let framing = request_framing(&headers, is_version_1_1)?;
    let keep_alive = is_version_1_1 && !headers.has_connection_option("close");
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        headers,
        framing,
        keep_alive,
    };
    if !head.target.starts_with('/') {
        return Err(HttpError::Malformed("request target does not start with `/`".to_owned()));
    }
    Ok(Some((head, length)))
}

/// Parses the head of the response to a request with `method` and returns it with its length;
/// `None` while it is incomplete.
///
/// # Errors
///
/// `Malformed` when the head is invalid or the framing of its body is ambiguous.
pub fn parse_response(
    bytes: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut parsed = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut parsed);
    let Status::Complete(length) = response.parse(bytes).map_err(malformed)? else {
        return Ok(None);
    };
    let headers = Headers::from_parsed(response.headers)?;
    let status = response.code.unwrap_or_default();
    let framing = if method == "HEAD" || status < 200 || status == 204 || status == 304 {
        Framing::None
    } else {
        declared_framing(&headers)?.unwrap_or(Framing::UntilClose)
    };
    let keep_alive = response.version == Some(1)
        && framing != Framing::UntilClose
        && !headers.has_connection_option("close");
    Ok(Some((ResponseHead { status, headers, framing, keep_alive }, length)))
}

fn malformed(error: httparse::Error) -> HttpError {
    HttpError::Malformed(error.to_string())
}

fn request_framing(headers: &Headers, is_version_1_1: bool) -> Result<Framing, HttpError> {
    match declared_framing(headers)? {
        Some(Framing::Chunked) if !is_version_1_1 => {
            Err(HttpError::Malformed("chunked transfer coding in an HTTP/1.0 request".to_owned()))
        }
        Some(framing) => Ok(framing),
        None => Ok(Framing::None),
    }
}

/// Framing declared by the headers. More than one declaration is rejected, because a proxy and an
/// upstream that disagree on the length allow request smuggling.
fn declared_framing(headers: &Headers) -> Result<Option<Framing>, HttpError> {
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    let mut codings = headers.all("transfer-encoding");
    let coding = codings.next();
    if lengths.next().is_some()
        || codings.next().is_some()
        || (length.is_some() && coding.is_some())
    {
        return Err(HttpError::Malformed("body framing is declared more than once".to_owned()));
    }
    match (length, coding) {
        (Some(text), _) => match text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse()) {
            Some(Ok(0)) => Ok(Some(Framing::Length(0))),
            Some(Ok(length)) => Ok(Some(Framing::Length(length))),
            _ => Err(HttpError::Malformed(format!(
                "invalid Content-Length `{text}`, expected an unsigned 64-bit decimal number"
            ))),
        },
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(coding)) => Err(HttpError::Malformed(format!(
            "unsupported transfer coding `{coding}`, expected `chunked`"
        ))),
        (None, None) => Ok(None),
    }
}

/// Reason phrase of a status code; `Answer` for codes that are not listed here.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
