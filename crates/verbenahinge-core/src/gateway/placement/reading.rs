//! What an engine has to read of a prompt, and what it copies instead.
//!
//! Load pattern: more engines than one serve a subject, since one is too busy. The shared parts of
//! the prompt are read once and copied, which takes a fraction of the time, so that a busy subject
//! spreads without being read again everywhere.

use super::{Candidate, Placement};
use crate::ServerName;
use crate::gateway::{Backend, Call, EngineLimits, Prompt, PromptPart};

/// Part of the shared tokens that the first choice of a prompt is expected to have cached.
const HOME_CACHED: f64 = 0.9;

/// Shared tokens from which copying what another engine has read is faster than reading; a copy
/// takes some milliseconds to set up.
const COPY_MIN_TOKENS: u32 = 1000;

/// What an engine has to do before the first token of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PlannedRead {
    /// Cost of reading what it neither has nor copies, in tokens.
    pub(super) read_cost: f64,
    /// Time that it copies for.
    pub(super) copy_ms: f64,
    /// Engine that it copies from.
    pub(super) copy_from: Option<ServerName>,
}

/// Parts of a prompt that an engine can copy from another one.
struct Copied {
    from: ServerName,
    tokens: u32,
    time_ms: f64,
}

impl Placement<'_> {
    /// Plans the reading of a prompt at a candidate, by a copy where that is faster.
    pub(super) fn plan_read(
        &self,
        call: &Call,
        candidate: &Candidate,
        candidates: &[Candidate],
        engine: EngineLimits,
        is_home: bool,
    ) -> PlannedRead {
        let Some(prompt) = &call.prompt else {
            return PlannedRead::default();
        };
        let rate = candidate.backend.read_rate();
        let read_cost = self.read_cost(prompt, candidate.backend, is_home);
        if let Some(copied) = self.copy_source(prompt, candidate, candidates, engine) {
            let rest = rest_cost(prompt, f64::from(copied.tokens));
            if copied.time_ms + rest / rate < read_cost / rate {
                return PlannedRead {
                    read_cost: rest,
                    copy_ms: copied.time_ms,
                    copy_from: Some(copied.from),
                };
            }
        }
        PlannedRead {
            read_cost,
            ..PlannedRead::default()
        }
    }

    /// Says whether some engine is known to have the shared parts of a prompt.
    pub(super) fn is_known(&self, call: &Call, candidates: &[Candidate]) -> bool {
        let Some(prompt) = &call.prompt else {
            return false;
        };
        let shared = prompt.shared_tokens();
        candidates
            .iter()
            .any(|candidate| self.cached_tokens(prompt, candidate.backend) >= shared)
    }

    /// Finds the engine that the shared parts of a prompt can be copied from.
    fn copy_source(
        &self,
        prompt: &Prompt,
        candidate: &Candidate,
        candidates: &[Candidate],
        engine: EngineLimits,
    ) -> Option<Copied> {
        let token_copy = engine.token_copy?;
        let shared = prompt.shared_tokens();
        let cached = self.cached_tokens(prompt, candidate.backend);
        let missing = shared.saturating_sub(cached);
        if missing < COPY_MIN_TOKENS {
            return None;
        }
        let mut source: Option<&Candidate> = None;
        for other in candidates {
            let has_read = |part: &PromptPart| {
                other
                    .backend
                    .part(self.now, part.id)
                    .is_some_and(|state| state.is_read())
            };
            if other.entry.id == candidate.entry.id || !prompt.shared_parts().iter().all(has_read) {
                continue;
            }
            // The least busy one has the most room on its link.
            let load = other.backend.running();
            if source.is_none_or(|best| load < best.backend.running()) {
                source = Some(other);
            }
        }
        let from = source?.entry.id.clone();
        Some(Copied {
            from,
            tokens: shared,
            time_ms: f64::from(missing) * token_copy.as_secs_f64() * 1000.0,
        })
    }

    fn cached_tokens(&self, prompt: &Prompt, backend: &Backend) -> u32 {
        let mut cached = 0;
        for part in &prompt.parts {
            if backend.part(self.now, part.id).is_none() {
                break;
            }
            cached += part.tokens;
        }
        cached
    }

    fn read_cost(&self, prompt: &Prompt, backend: &Backend, is_home: bool) -> f64 {
        let cached = self.cached_tokens(prompt, backend);
        let mut present = f64::from(cached);
        if is_home {
            let missing = prompt.shared_tokens().saturating_sub(cached);
            present += HOME_CACHED * f64::from(missing);
        }
        rest_cost(prompt, present)
    }
}

/// Cost of reading what follows the part of a prompt that is present.
fn rest_cost(prompt: &Prompt, present: f64) -> f64 {
    let whole = f64::from(prompt.prompt_tokens);
    Backend::read_cost_of(whole, (whole - present).max(0.0))
}
