//! What a request says of its prompt.

use crate::hash::mix64;

/// Identifies the content of a part of a prompt.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Content of the part.
    pub id: PartId,
    /// Length of the part.
    pub tokens: u32,
}

/// The prompt of a request, in parts that requests may share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens that are generated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Length of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Identifies the longest run of parts that other requests may share.
    ///
    /// A prompt of one part is taken to belong to a session.
    #[must_use]
    pub fn shared_key(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts
            .iter()
            .take(shared)
            .fold(0, |key, part| mix64(key, part.id))
    }
}
