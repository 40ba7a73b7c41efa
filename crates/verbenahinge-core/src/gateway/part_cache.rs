//! Parts of prompts that one engine is believed to have in its memory.
//!
//! Load pattern: requests of many callers share the first parts of their prompts. An engine
//! that has read a part keeps it, so that every VM has to know where it has been read, whichever VM
//! sent it there.

use std::collections::BTreeMap;
use std::time::Duration;

use strum::EnumIs;

use super::PartId;
use crate::Timestamp;

/// Time after which a part that was not used again is taken to be evicted.
const PART_TTL: Duration = Duration::from_secs(40);

/// Parts that are remembered for one engine.
const PART_LIMIT: usize = 600;

/// Time in which an engine has read a part, with a short queue before it.
const READ_TIME: Duration = Duration::from_millis(600);

/// How far an engine is with a part.
#[derive(Clone, Copy, Debug, EnumIs, Eq, PartialEq)]
pub enum PartState {
    /// The engine has yet to read it.
    BeingRead,
    /// The engine has read it, and others can copy it.
    Read,
}

#[derive(Clone, Copy, Debug)]
struct PartUse {
    since: Timestamp,
    used: Timestamp,
}

/// Parts of prompts that one engine is believed to have in its memory.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    parts: BTreeMap<PartId, PartUse>,
}

impl PartCache {
    /// Creates an empty memory.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            parts: BTreeMap::new(),
        }
    }

    /// Takes note that a request with the part was sent to the engine.
    pub fn note_sent(&mut self, now: Timestamp, part: PartId) {
        self.note(now, part, now);
    }

    /// Takes in what another VM tells of a part.
    pub fn note_told(&mut self, now: Timestamp, part: PartId, state: PartState) {
        let since = match state {
            PartState::BeingRead => now,
            PartState::Read => now.saturating_sub(READ_TIME),
        };
        self.note(now, part, since);
    }

    fn note(&mut self, now: Timestamp, part: PartId, since: Timestamp) {
        let known = self.parts.get(&part).filter(|known| known.is_kept(now));
        let since = known.map_or(since, |known| known.since.min(since));
        self.parts.insert(part, PartUse { since, used: now });
        while self.parts.len() > PART_LIMIT {
            let oldest = self.parts.iter().min_by_key(|(_, known)| known.used);
            let Some((&part, _)) = oldest else {
                return;
            };
            self.parts.remove(&part);
        }
    }

    /// How far the engine is with a part; `None` if it is not known to have it.
    #[must_use]
    pub fn state(&self, now: Timestamp, part: PartId) -> Option<PartState> {
        let known = self.parts.get(&part).filter(|known| known.is_kept(now))?;
        if known.since + READ_TIME <= now {
            Some(PartState::Read)
        } else {
            Some(PartState::BeingRead)
        }
    }

    /// Forgets everything, as the engine's process has ended.
    pub fn clear(&mut self) {
        self.parts.clear();
    }
}

impl PartUse {
    fn is_kept(&self, now: Timestamp) -> bool {
        self.used + PART_TTL > now
    }
}
