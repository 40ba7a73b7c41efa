//! Estimates the prefill of a prompt at an engine and plans KV cache copies.
//!
//! If one engine is too busy for all prompts with a prefix, more engines have to serve it. The
//! shared parts are prefilled once and then copied, which takes a fraction of the time of a
//! prefill, so a busy prefix spreads to more engines without a prefill on each.

use super::{Candidate, PlacementContext};
use crate::ServerName;
use crate::gateway::{Backend, Call, EngineLimits, Prompt, PromptPart};

/// Share of the shared tokens that the home engine of a prompt is expected to have cached.
const HOME_CACHED_SHARE: f64 = 0.9;

/// Number of missing shared tokens from which copying is faster than prefilling; the setup of a
/// copy takes some milliseconds.
const MIN_COPY_TOKENS: u32 = 1000;

/// Work of an engine before the first token of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PrefillPlan {
    /// Cost of prefilling the tokens that are neither cached nor copied, in tokens.
    pub(super) prefill_cost: f64,
    /// Duration of the copy.
    pub(super) copy_ms: f64,
    /// Engine to copy from.
    pub(super) copy_from: Option<ServerName>,
}

/// Copy of the shared parts of a prompt from another engine.
struct CacheCopy {
    from: ServerName,
    tokens: u32,
    time_ms: f64,
}

impl PlacementContext<'_> {
    /// Plans the prefill of a prompt at a candidate, with a copy if that is faster.
    pub(super) fn plan_prefill(
        &self,
        call: &Call,
        candidate: &Candidate,
        candidates: &[Candidate],
        engine: EngineLimits,
        is_home: bool,
    ) -> PrefillPlan {
        let Some(prompt) = &call.prompt else {
            return PrefillPlan::default();
        };
        let rate = candidate.backend.prefill_rate();
        let prefill_cost = self.expected_prefill_cost(prompt, candidate.backend, is_home);
        if let Some(copy) = self.plan_copy(prompt, candidate, candidates, engine) {
            let remaining = remaining_cost(prompt, f64::from(copy.tokens));
            if copy.time_ms + remaining / rate < prefill_cost / rate {
                return PrefillPlan {
                    prefill_cost: remaining,
                    copy_ms: copy.time_ms,
                    copy_from: Some(copy.from),
                };
            }
        }
        PrefillPlan {
            prefill_cost,
            ..PrefillPlan::default()
        }
    }

    /// Returns whether some candidate is known to have the shared parts of a prompt, or to have
    /// been sent them.
    pub(super) fn is_prefix_placed(&self, call: &Call, candidates: &[Candidate]) -> bool {
        let Some(prompt) = &call.prompt else {
            return false;
        };
        let shared = prompt.shared_tokens();
        candidates
            .iter()
            .any(|candidate| self.cached_or_queued_tokens(prompt, candidate.backend) >= shared)
    }

    /// Plans a copy of the shared parts of a prompt from the least loaded engine that has prefilled
    /// them.
    fn plan_copy(
        &self,
        prompt: &Prompt,
        candidate: &Candidate,
        candidates: &[Candidate],
        engine: EngineLimits,
    ) -> Option<CacheCopy> {
        let token_copy = engine.token_copy?;
        let shared = prompt.shared_tokens();
        let cached = self.cached_or_queued_tokens(prompt, candidate.backend);
        let missing = shared.saturating_sub(cached);
        if missing < MIN_COPY_TOKENS {
            return None;
        }
        let mut source: Option<&Candidate> = None;
        for other in candidates {
            let has_prefilled = |part: &PromptPart| {
                other
                    .backend
                    .part(self.now, part.id)
                    .is_some_and(|state| state.is_prefilled())
            };
            if other.entry.id == candidate.entry.id
                || !prompt.shared_parts().iter().all(has_prefilled)
            {
                continue;
            }
            // The least loaded engine has the most bandwidth to spare.
            let load = other.backend.running();
            if source.is_none_or(|best| load < best.backend.running()) {
                source = Some(other);
            }
        }
        let from = source?.entry.id.clone();
        Some(CacheCopy {
            from,
            tokens: shared,
            time_ms: f64::from(missing) * token_copy.as_secs_f64() * 1000.0,
        })
    }

    /// Whether an engine would have to read or copy most of the shared parts of a prompt.
    pub(super) fn lacks_shared_parts(&self, call: &Call, candidate: &Candidate) -> bool {
        self.missing_shared_tokens(call, candidate) >= MIN_COPY_TOKENS
    }

    /// Shared tokens of a prompt that an engine is not known to have.
    pub(super) fn missing_shared_tokens(&self, call: &Call, candidate: &Candidate) -> u32 {
        let Some(prompt) = &call.prompt else {
            return 0;
        };
        let cached = self.cached_or_queued_tokens(prompt, candidate.backend);
        prompt.shared_tokens().saturating_sub(cached)
    }

    fn cached_or_queued_tokens(&self, prompt: &Prompt, backend: &Backend) -> u32 {
        let mut cached = 0;
        for part in &prompt.parts {
            if backend.part(self.now, part.id).is_none() {
                break;
            }
            cached += part.tokens;
        }
        cached
    }

    fn expected_prefill_cost(&self, prompt: &Prompt, backend: &Backend, is_home: bool) -> f64 {
        let cached = self.cached_or_queued_tokens(prompt, backend);
        let mut present = f64::from(cached);
        if is_home {
            let missing = prompt.shared_tokens().saturating_sub(cached);
            present += HOME_CACHED_SHARE * f64::from(missing);
        }
        remaining_cost(prompt, present)
    }
}

/// Cost of prefilling a prompt of which `present` tokens need no prefill.
fn remaining_cost(prompt: &Prompt, present: f64) -> f64 {
    let whole = f64::from(prompt.prompt_tokens);
    Backend::prefill_cost_of(whole, (whole - present).max(0.0))
}
