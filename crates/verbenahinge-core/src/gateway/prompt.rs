//! Prompt of a request, divided into parts.

use crate::ModelName;
use crate::hash::mix64;

/// Identifies the content of a prompt part.
pub type PartId = u64;

/// Part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: PartId,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// Prompt of a request, divided into parts that other requests may share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens.
    pub max_output_tokens: u32,
    /// Model that reads the prompt; empty if the request names none.
    pub model: ModelName,
}

impl Prompt {
    /// Length of the parts that other requests may share, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Identifies the prefix that other requests may share.
    ///
    /// A prompt with a single part is assumed to belong to a session, and that part is the prefix.
    #[must_use]
    pub fn prefix_key(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts
            .iter()
            .take(shared)
            .fold(0, |key, part| mix64(key, part.id))
    }
}
