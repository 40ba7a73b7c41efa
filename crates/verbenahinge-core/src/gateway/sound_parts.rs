//! Parts of prompts with which requests have succeeded lately.

use std::collections::BTreeSet;

use crate::Fingerprint;

/// Maximum number of parts in one generation; about 100 bytes each with the tree.
const MAX_GENERATION: usize = 4096;

/// Parts of prompts with which requests of this VM's callers have succeeded lately.
///
/// Two generations bound the memory: when the newer one is full, it replaces the older one. Parts that are
/// asked for again and again, such as the first part of an account, stay known.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    newer: BTreeSet<Fingerprint>,
    older: BTreeSet<Fingerprint>,
}

impl SoundParts {
    /// Adds a part with which a request has succeeded.
    pub(super) fn insert(&mut self, part: Fingerprint) {
        if self.newer.len() >= MAX_GENERATION && !self.newer.contains(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part);
    }

    /// Whether a request with a part has succeeded lately.
    pub(super) fn contains(&self, part: Fingerprint) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}
