//! Parses the server-sent events of a completion, to count tokens and to detect the end of a stream.

use ibissail_core::{ErrorKind, Fault, Tokens};
use ibissail_execution::TokenCounts;
use ibissail_http1::{EventLine, EventLineCheck, has_lone_carriage_return};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Data of the final event.
const DONE_DATA: &[u8] = b"[DONE]";

/// The final event as entries know it, which hold it back.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Longest event, in bytes; an event carries a few tokens with their probabilities.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Most bytes of a usage report in a log line.
const MAX_SHOWN_BYTES: usize = 32;

/// Incremental parser of an inference engine's event stream.
#[derive(Debug)]
pub(crate) struct EventStream {
    buf: Vec<u8>,
    /// Length of the start of `buf` in which no event ends.
    searched: usize,
    keep_usage: bool,
    tokens: Option<TokenCounts>,
    unsound_usage: Option<UnsoundUsage>,
    event_count: u64,
    done: bool,
    line_check: EventLineCheck,
}

/// A completion, or an event of one.
#[derive(Debug, Deserialize)]
struct Completion {
    choices: Option<Vec<Choice>>,
    error: Option<Value>,
    usage: Option<Value>,
}

/// One of the alternatives of a completion: an object, whatever it consists of.
type Choice = BTreeMap<String, Value>;

/// What an engine has made of a completion.
#[derive(Debug)]
pub(crate) struct CompletionPart {
    has_choices: bool,
    has_error: bool,
    /// Tokens that it reports, if any.
    pub(crate) tokens: Option<Result<TokenCounts, UnsoundUsage>>,
}

/// A usage report that does not consist of token counts.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub(crate) struct UnsoundUsage(String);

/// Token counts as engines report them.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl From<Usage> for TokenCounts {
    fn from(usage: Usage) -> Self {
        Self { input: Tokens(usage.prompt_tokens), output: Tokens(usage.completion_tokens) }
    }
}

impl CompletionPart {
    /// Parses an object with choices or with an error; fails on any other text.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, String> {
        // Serde would take an array for the fields in their order.
        if !text.trim_ascii_start().starts_with(b"{") {
            return Err("expected an object".to_owned());
        }
        let Completion { choices, error, usage } =
            serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let has_error = error.is_some_and(|error| error.is_object());
        if choices.is_none() && !has_error {
            return Err("expected `choices` or `error`".to_owned());
        }
        let has_choices = choices.is_some_and(|choices| !choices.is_empty());
        Ok(Self { has_choices, has_error, tokens: usage.map(parse_usage) })
    }

    fn is_mere_usage(&self) -> bool {
        self.tokens.is_some() && !self.has_choices && !self.has_error
    }
}

fn parse_usage(usage: Value) -> Result<TokenCounts, UnsoundUsage> {
    let text = usage.to_string();
    match serde_json::from_value::<Usage>(usage) {
        Ok(usage) if text.starts_with('{') => Ok(usage.into()),
        Ok(_) | Err(_) => Err(UnsoundUsage(shown(text.as_bytes()))),
    }
}

impl EventStream {
    /// Creates a parser; without `keep_usage`, events that only report usage are removed.
    pub(crate) fn new(keep_usage: bool) -> Self {
        Self {
            buf: Vec::new(),
            searched: 0,
            keep_usage,
            tokens: None,
            unsound_usage: None,
            event_count: 0,
            done: false,
            line_check: EventLineCheck::default(),
        }
    }

    /// Adds bytes; returns the complete events to forward, or the fault of bytes that are no event
    /// of a completion. What follows the final event is left out.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Fault> {
        self.buf.extend_from_slice(bytes);
        let mut forwarded = Vec::new();
        while let Some(end) = event_end(&self.buf, self.searched) {
            let event: Vec<u8> = self.buf.drain(..end).collect();
            self.searched = 0;
            if !self.done {
                forwarded.extend(self.inspect(event)?);
            }
        }
        // The last two bytes may be the first of three that end the event.
        self.searched = self.buf.len().saturating_sub(2);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(Fault::new(
                ErrorKind::UpstreamFailed,
                "an event of the engine is too long",
            ));
        }
        Ok(forwarded)
    }

    /// Counts an event and reads its usage report; returns what to forward of it, or the fault of
    /// one that the engine has not made as a whole.
    fn inspect(&mut self, event: Vec<u8>) -> Result<Vec<u8>, Fault> {
        let Some(data) = self.event_data(&event)? else { return Ok(event) };
        if data == DONE_DATA {
            self.done = true;
            return Ok(final_event(&event));
        }
        let part = CompletionPart::parse(&data).map_err(|error| no_event(&error))?;
        self.event_count += u64::from(part.has_choices);
        let is_removed = part.is_mere_usage() && !self.keep_usage;
        match part.tokens {
            Some(Ok(tokens)) => self.tokens = Some(tokens),
            Some(Err(unsound)) => self.unsound_usage = Some(unsound),
            None => {}
        }
        Ok(if is_removed { Vec::new() } else { event })
    }

    /// Data of an event: the values of its `data` fields, one a line; `None` if there are only
    /// comments and times to connect again.
    fn event_data(&mut self, event: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        let mut data: Option<Vec<u8>> = None;
        let mut has_begun = false;
        for line in event.split_inclusive(|b| *b == b'\n') {
            self.line_check.check(line).map_err(|error| no_event(&error.to_string()))?;
            match EventLine::parse(line) {
                _ if has_lone_carriage_return(line) => return Err(no_field(line)),
                EventLine::Blank | EventLine::Comment => {}
                EventLine::Retry(time)
                    if !time.is_empty() && time.iter().all(u8::is_ascii_digit) => {}
                EventLine::Type | EventLine::Id(_) => has_begun = true,
                EventLine::Data(value) => match &mut data {
                    Some(data) => data.extend([b"\n", value].concat()),
                    None => data = Some(value.to_vec()),
                },
                EventLine::Retry(_) | EventLine::Other { .. } => return Err(no_field(line)),
            }
        }
        if has_begun && data.is_none() {
            return Err(no_event("it has no data"));
        }
        Ok(data)
    }

    /// Whether the final event of the stream has been received.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Tokens reported by the engine; without a report, the number of its events with choices as
    /// output tokens.
    pub(crate) fn tokens(&self) -> TokenCounts {
        let counted = TokenCounts { input: Tokens(0), output: Tokens(self.event_count) };
        self.tokens.unwrap_or(counted)
    }

    /// The last usage report that is not counted, if any.
    pub(crate) fn unsound_usage(&self) -> Option<&UnsoundUsage> {
        self.unsound_usage.as_ref()
    }
}

fn no_event(detail: &str) -> Fault {
    Fault::new(ErrorKind::Incomplete, format!("no event of a completion: {detail}"))
}

/// The fault of a line that is no field of an event. It reaches a caller, who must not see the bytes of
/// another's response.
fn no_field(line: &[u8]) -> Fault {
    no_event(&format!("a line of {} bytes is no field", line.len()))
}

/// Start of a text, for the log.
fn shown(text: &[u8]) -> String {
    text[..text.len().min(MAX_SHOWN_BYTES)].escape_ascii().to_string()
}

/// The final event as entries know it, behind the other lines of the engine's.
fn final_event(event: &[u8]) -> Vec<u8> {
    let lines = event.split_inclusive(|b| *b == b'\n');
    let others = lines.filter(|line| !matches!(EventLine::parse(line), EventLine::Data(_)));
    let mut end = others.collect::<Vec<_>>().concat();
    end.truncate(end.trim_ascii_end().len());
    if !end.is_empty() {
        end.push(b'\n');
    }
    end.extend_from_slice(DONE_EVENT);
    end
}

/// End of the first event, which does not end within the first `searched` bytes.
fn event_end(buf: &[u8], searched: usize) -> Option<usize> {
    (searched..buf.len()).find_map(|index| match &buf[index..] {
        [b'\n', b'\n', ..] => Some(index + 2),
        [b'\n', b'\r', b'\n', ..] => Some(index + 3),
        _ => None,
    })
}
