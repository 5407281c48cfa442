//! Parses server-sent events, to count tokens and to detect the end of a stream.

use ibissail_core::{ErrorKind, Fault, Tokens};
use ibissail_execution::TokenCounts;
use serde::Deserialize;

const DONE_PREFIX: &[u8] = b"data: [DONE]";

/// Longest event, in bytes; an event carries a few tokens with their probabilities.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Incremental parser of an inference engine's event stream.
#[derive(Debug)]
pub(crate) struct EventStream {
    buf: Vec<u8>,
    keep_usage: bool,
    tokens: Option<TokenCounts>,
    event_count: u64,
    done: bool,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
    usage: Option<Usage>,
}

/// Token counts as engines report them.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl From<Usage> for TokenCounts {
    fn from(usage: Usage) -> Self {
        Self { input: Tokens(usage.prompt_tokens), output: Tokens(usage.completion_tokens) }
    }
}

impl EventStream {
    /// Creates a parser; without `keep_usage`, events that only report usage are removed.
    pub(crate) fn new(keep_usage: bool) -> Self {
        Self { buf: Vec::new(), keep_usage, tokens: None, event_count: 0, done: false }
    }

    /// Adds bytes; returns the complete events to forward, or the fault of an event that is too
    /// long.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Fault> {
        self.buf.extend_from_slice(bytes);
        let mut forwarded = Vec::new();
        while let Some(end) = event_end(&self.buf) {
            let event: Vec<u8> = self.buf.drain(..end).collect();
            if self.inspect(&event) {
                forwarded.extend_from_slice(&event);
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(Fault::new(
                ErrorKind::UpstreamFailed,
                "an event of the engine is too long",
            ));
        }
        Ok(forwarded)
    }

    /// Counts an event and reads its usage report; returns whether to forward the event.
    fn inspect(&mut self, event: &[u8]) -> bool {
        if event.starts_with(DONE_PREFIX) {
            self.done = true;
            return true;
        }
        self.event_count += 1;
        let has_usage = event.windows(7).any(|window| window == b"\"usage\"");
        if !has_usage {
            return true;
        }
        let json = event.strip_prefix(b"data: ").unwrap_or(event);
        let Ok(chunk) = serde_json::from_slice::<Chunk>(json) else {
            return true;
        };
        let Some(usage) = chunk.usage else {
            return true;
        };
        self.tokens = Some(usage.into());
        self.keep_usage || !chunk.choices.is_empty()
    }

    /// Whether the final event of the stream has been received.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Tokens reported by the engine; without a report, the number of its events as output tokens.
    pub(crate) fn tokens(&self) -> TokenCounts {
        let counted = TokenCounts { input: Tokens(0), output: Tokens(self.event_count) };
        self.tokens.unwrap_or(counted)
    }
}

fn event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|window| window == b"\n\n").map(|index| index + 2)
}
