//! What a caller says of a request to a model.

use ibissail_core::Tokens;

/// A part of a prompt; requests that begin with the same parts share their cached tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: String,
    /// Length of the part.
    pub tokens: Tokens,
}

/// A prompt, as far as placing needs to know it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Tokens to be read.
    pub input: Tokens,
    /// Most tokens to be generated.
    pub output: Tokens,
}

impl Prompt {
    /// The parts that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Tokens of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> Tokens {
        Tokens(self.shared_parts().iter().map(|part| part.tokens.0).sum())
    }
}
