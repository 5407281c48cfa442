//! Properties of a model request that the caller states.

use ibissail_core::Tokens;

/// A part of a prompt; requests whose prompts begin with the same parts share cached tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: String,
    /// Length of the part.
    pub tokens: Tokens,
}

/// The properties of a prompt that placement needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last is specific to the request.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, including tokens that a replica may have cached.
    pub input: Tokens,
    /// Maximum number of tokens to generate.
    pub output: Tokens,
}

impl Prompt {
    /// Parts that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_last, shared)| shared)
    }

    /// Total length of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> Tokens {
        Tokens(self.shared_parts().iter().map(|part| part.tokens.0).sum())
    }
}
