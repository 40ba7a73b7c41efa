//! What a crash suspect stands for.

/// Requests that a crash suspect stands for. Of several suspects with as many crashes, the one whose scope
/// comes last is blamed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SuspectScope {
    /// Requests with a prompt that are equal in everything, once their streams have begun.
    Stream,
    /// All prompts that hold a part, whatever their model.
    PartOfAnyModel {
        /// Position of the part in the prompt, from 0; the largest one seen.
        position: u16,
    },
    /// All prompts of one model that hold a part.
    Part {
        /// Position of the part in the prompt, from 0; the largest one seen.
        position: u16,
    },
    /// Requests with a prompt that are equal in everything.
    Prompt,
    /// Requests without a prompt that are equal in everything.
    Request,
}

/// Numbers of the scopes; they leave the process.
const REQUEST_NUMBER: u32 = 0;
const PROMPT_NUMBER: u32 = 1;
const FIRST_PART_NUMBER: u32 = 2;
const FIRST_ANY_MODEL_NUMBER: u32 = 1 << 20;
const STREAM_NUMBER: u32 = u32::MAX;

impl SuspectScope {
    /// Number of the scope in messages and rows; 0 is what older builds know.
    #[must_use]
    pub fn number(self) -> u32 {
        match self {
            Self::Request => REQUEST_NUMBER,
            Self::Prompt => PROMPT_NUMBER,
            Self::Stream => STREAM_NUMBER,
            Self::Part { position } => FIRST_PART_NUMBER + u32::from(position),
            Self::PartOfAnyModel { position } => FIRST_ANY_MODEL_NUMBER + u32::from(position),
        }
    }

    /// Scope with a number.
    #[must_use]
    pub fn from_number(number: u32) -> Self {
        match number {
            REQUEST_NUMBER => Self::Request,
            PROMPT_NUMBER => Self::Prompt,
            STREAM_NUMBER => Self::Stream,
            FIRST_ANY_MODEL_NUMBER.. => Self::PartOfAnyModel {
                position: u16::try_from(number - FIRST_ANY_MODEL_NUMBER).unwrap_or(u16::MAX),
            },
            _ => Self::Part {
                position: u16::try_from(number - FIRST_PART_NUMBER).unwrap_or(u16::MAX),
            },
        }
    }

    /// Scope of the part at a position.
    #[must_use]
    pub fn part(position: usize) -> Self {
        Self::Part {
            position: u16::try_from(position).unwrap_or(u16::MAX),
        }
    }

    /// Scope of the part at a position, for all models.
    #[must_use]
    pub fn part_of_any_model(position: usize) -> Self {
        Self::PartOfAnyModel {
            position: u16::try_from(position).unwrap_or(u16::MAX),
        }
    }

    /// Position of the part in its prompts, from 0; none if the scope is not a part.
    #[must_use]
    pub const fn position(self) -> Option<u16> {
        match self {
            Self::Part { position } | Self::PartOfAnyModel { position } => Some(position),
            Self::Request | Self::Prompt | Self::Stream => None,
        }
    }

    /// Whether a request moves from a crashed server to the next one before the crash is confirmed.
    #[must_use]
    pub const fn is_retried_at_once(self) -> bool {
        matches!(self, Self::Request | Self::Stream)
    }

    /// Whether the scope is a part of prompts.
    #[must_use]
    pub const fn is_part(self) -> bool {
        matches!(self, Self::Part { .. } | Self::PartOfAnyModel { .. })
    }
}
