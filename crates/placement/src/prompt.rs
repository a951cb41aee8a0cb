//! Prompt metadata.

use serde::{Deserialize, Serialize};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Equal for equal parts.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The requested model.
    pub model: String,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_out_tokens: u32,
    /// Estimated number of tokens to generate.
    pub out_tokens_hint: Option<u32>,
    /// Parts in order; the last one belongs to this request or its session only.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the id of the last part that other requests may share.
    #[must_use]
    pub fn last_shared(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }

    /// Returns the tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns the expected number of generated tokens.
    #[must_use]
    pub fn expected_out_tokens(&self) -> u32 {
        self.out_tokens_hint.unwrap_or(self.max_out_tokens).min(self.max_out_tokens)
    }
}
