//! What may have made a backend server crash.

use super::{Prompt, SuspectScope};
use crate::Fingerprint;
use crate::hash::{hash64, mix64};

/// Most parts of one prompt that are suspects.
const MAX_SUSPECT_PARTS: usize = 64;

/// Hash seed that keeps the fingerprints of parts apart from those of requests.
const PART_SEED: u64 = 0x7061_7274;

/// Hash seed that keeps the fingerprints of streams that had begun apart from those of requests.
const STREAM_SEED: u64 = 0x7374_7265_616d;

/// Content that may have made a backend server crash: a request, or a part of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Identifies the content.
    pub fingerprint: Fingerprint,
    /// Requests that the suspect stands for.
    pub scope: SuspectScope,
}

impl Suspect {
    /// Suspect for a request without a prompt.
    #[must_use]
    pub const fn request(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            scope: SuspectScope::Request,
        }
    }

    /// Suspect for a request with a prompt whose stream had begun.
    #[must_use]
    pub fn stream(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint: mix64(STREAM_SEED, fingerprint),
            scope: SuspectScope::Stream,
        }
    }

    /// Suspects of a request with a prompt that waits for its first event: the request, and each part of
    /// the prompt but the last.
    ///
    /// A part may crash one model or all of them, so that it is a suspect with the model and without.
    #[must_use]
    pub fn of_prompt(fingerprint: Fingerprint, prompt: &Prompt) -> Vec<Self> {
        let mut suspects = vec![Self {
            fingerprint,
            scope: SuspectScope::Prompt,
        }];
        let model = mix64(PART_SEED, hash64(prompt.model.as_bytes()));
        let parts = prompt.shared_parts().iter().take(MAX_SUSPECT_PARTS);
        for (position, part) in parts.enumerate() {
            suspects.push(Self {
                fingerprint: mix64(model, part.id),
                scope: SuspectScope::part(position),
            });
            suspects.push(Self {
                fingerprint: mix64(PART_SEED, part.id),
                scope: SuspectScope::part_of_any_model(position),
            });
        }
        suspects
    }
}
