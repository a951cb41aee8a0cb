//! What is known of a prompt.

use serde::{Deserialize, Serialize};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Equal for equal parts.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt's size and parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model asked for.
    pub model: String,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens that may be generated.
    pub max_out_tokens: u32,
    /// Expected number of generated tokens, a guess.
    pub out_tokens_hint: Option<u32>,
    /// Parts in order; the last is this request's or its session's own.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The last part that other requests may share; none where there is none.
    #[must_use]
    pub fn last_shared(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Expected number of generated tokens.
    #[must_use]
    pub fn expected_out_tokens(&self) -> u32 {
        self.out_tokens_hint.unwrap_or(self.max_out_tokens).min(self.max_out_tokens)
    }
}
