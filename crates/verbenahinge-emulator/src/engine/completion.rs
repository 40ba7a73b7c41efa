//! Deterministic completions: a test can compute every token from the prompt and `max_tokens`.

const WORDS: [&str; 16] = [
    "coat", "bundle", "size", "season", "mother", "swap", "pickup", "lockfile", "upgrade", "patch",
    "review", "merge", "branch", "release", "hash", "note",
];

/// Number of possible lengths of a completion without `max_tokens`, which has 8 to 55 tokens.
const DEFAULT_LENGTH_COUNT: u64 = 48;

/// Completion that the engine generates for a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    prompt_hash: [u8; 32],
    token_count: u64,
}

impl Completion {
    /// Creates the completion of a prompt. It has exactly `max_tokens` tokens, or a length derived
    /// from the prompt if `max_tokens` is 0.
    #[must_use]
    pub fn new(prompt: &str, max_tokens: u64) -> Self {
        let prompt_hash = *blake3::hash(prompt.as_bytes()).as_bytes();
        let default_length = 8 + u64::from(prompt_hash[0]) % DEFAULT_LENGTH_COUNT;
        let token_count = match max_tokens {
            0 => default_length,
            length => length,
        };
        Self {
            prompt_hash,
            token_count,
        }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub const fn token_count(&self) -> u64 {
        self.token_count
    }

    /// Returns the token at `index` with a trailing space.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        let byte = self.prompt_hash[usize::try_from(index % 32).unwrap_or(0)];
        let word = WORDS[usize::from(byte ^ index.to_le_bytes()[0]) % WORDS.len()];
        format!("{word} ")
    }

    /// Returns the complete text.
    #[must_use]
    pub fn text(&self) -> String {
        (0..self.token_count)
            .map(|index| self.token(index))
            .collect()
    }
}
