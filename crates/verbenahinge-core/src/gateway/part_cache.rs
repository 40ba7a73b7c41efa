//! Estimate of the prompt parts in the KV cache of one engine.
//!
//! Requests of many callers share prompt prefixes. An engine keeps the parts that it has prefilled,
//! so every VM needs to know where a part was prefilled, no matter which VM sent it there.

use std::collections::BTreeMap;
use std::time::Duration;

use strum::EnumIs;

use super::PartId;
use crate::Timestamp;

/// Time after which a part that was not used again is assumed to be evicted.
const PART_TTL: Duration = Duration::from_secs(40);

/// Maximum number of parts tracked per engine; the least recently used one is dropped first.
const MAX_PARTS: usize = 600;

/// Time after which a part sent to an engine is assumed to be prefilled, including a short wait in
/// the queue.
const ASSUMED_PREFILL_TIME: Duration = Duration::from_millis(600);

/// State of a prompt part on an engine.
#[derive(Clone, Copy, Debug, EnumIs, Eq, PartialEq)]
pub enum PartState {
    /// The part was sent to the engine, which still has to prefill it.
    Prefilling,
    /// The part is prefilled, and other engines can copy it.
    Prefilled,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    first_sent: Timestamp,
    last_used: Timestamp,
}

/// Prompt parts that one engine is assumed to have in its KV cache.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    parts: BTreeMap<PartId, CachedPart>,
}

impl PartCache {
    /// Creates an empty cache.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            parts: BTreeMap::new(),
        }
    }

    /// Records that a request with the part was sent to the engine.
    pub fn note_sent(&mut self, now: Timestamp, part: PartId) {
        self.note(now, part, now);
    }

    /// Records the state of a part as reported by another VM.
    pub fn note_reported(&mut self, now: Timestamp, part: PartId, state: PartState) {
        let first_sent = match state {
            PartState::Prefilling => now,
            PartState::Prefilled => now.saturating_sub(ASSUMED_PREFILL_TIME),
        };
        self.note(now, part, first_sent);
    }

    fn note(&mut self, now: Timestamp, part: PartId, first_sent: Timestamp) {
        let known = self.parts.get(&part).filter(|known| known.is_fresh(now));
        let first_sent = known.map_or(first_sent, |known| known.first_sent.min(first_sent));
        self.parts.insert(
            part,
            CachedPart {
                first_sent,
                last_used: now,
            },
        );
        while self.parts.len() > MAX_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, known)| known.last_used);
            let Some((&part, _)) = oldest else {
                return;
            };
            self.parts.remove(&part);
        }
    }

    /// State of a part; `None` if the engine is not known to have it.
    #[must_use]
    pub fn state(&self, now: Timestamp, part: PartId) -> Option<PartState> {
        let known = self.parts.get(&part).filter(|known| known.is_fresh(now))?;
        if known.first_sent + ASSUMED_PREFILL_TIME <= now {
            Some(PartState::Prefilled)
        } else {
            Some(PartState::Prefilling)
        }
    }

    /// Removes all parts, because the engine's process has ended.
    pub fn clear(&mut self) {
        self.parts.clear();
    }
}

impl CachedPart {
    fn is_fresh(&self, now: Timestamp) -> bool {
        self.last_used + PART_TTL > now
    }
}
