//! Search for an engine in a fleet with too many VMs for each to know the load of every engine.
//!
//! Load pattern: each VM receives a small part of the requests, and the engines that rank best for a
//! prompt are full while most others have room. See `docs/design/engine-search.md`.

use super::{Call, GatewayState, PlacementError, PlacementSurvey, Prompt, ServerChoice};
use crate::{ServerName, Timestamp};

/// Engines that are queried in each round. The first round is small, as each engine that a prompt goes to
/// needs its shared parts in memory.
const ROUND_SIZES: [usize; 3] = [2, 6, 16];

/// Engines of the first round where load is kept even: a crowd with one prompt part spreads to a third one.
const EVEN_LOAD_FIRST_SIZE: usize = 3;

/// Shared tokens of a prompt from which a search ends after the second round: hardly any further engine has
/// the shared parts, and reading them again takes capacity from the requests that wait for those engines.
const LONG_SHARED_TOKENS: u32 = 1000;

/// Rounds of a search for a prompt with long shared parts.
const LONG_PROMPT_ROUNDS: usize = 2;

/// Search for an engine for one request, in rounds that begin when no engine of those before is suitable.
#[derive(Clone, Debug)]
pub struct EngineSearch {
    tried: Vec<ServerName>,
    queried: Vec<ServerName>,
    round: usize,
    /// Engines of the first round.
    first_size: usize,
}

impl EngineSearch {
    /// Creates a search that leaves out some engines.
    #[must_use]
    pub const fn new(tried: Vec<ServerName>) -> Self {
        Self {
            tried,
            queried: Vec::new(),
            round: 0,
            first_size: ROUND_SIZES[0],
        }
    }

    /// Begins the next round; returns the engines whose load has to be queried, or none after the last
    /// round.
    pub fn next_engines(
        &mut self,
        now: Timestamp,
        state: &mut GatewayState,
        call: &Call,
    ) -> Vec<ServerName> {
        let shared = call.prompt.as_ref().map_or(0, Prompt::shared_tokens);
        let is_long = shared >= LONG_SHARED_TOKENS;
        let Some(&(mut size)) = ROUND_SIZES.get(self.round) else {
            return Vec::new();
        };
        if self.round == 0 && state.keeps_load_even(&call.service) {
            size = EVEN_LOAD_FIRST_SIZE;
            self.first_size = size;
        }
        if is_long && self.round >= LONG_PROMPT_ROUNDS {
            return Vec::new();
        }
        self.round += 1;
        let left_out = [self.tried.as_slice(), self.queried.as_slice()].concat();
        let is_overflow = !self.queried.is_empty();
        let engines = state.rank_engines_in(now, call, &left_out, size, is_overflow);
        self.queried.extend(engines.iter().cloned());
        engines
    }

    /// Counts why the engines whose load was queried cannot get a call.
    #[must_use]
    pub fn survey(&self, now: Timestamp, state: &GatewayState, call: &Call) -> PlacementSurvey {
        state.survey(now, call, &self.tried, &self.queried, self.preferred())
    }

    /// Engines of the first round, which suit the prompt best.
    fn preferred(&self) -> &[ServerName] {
        &self.queried[..self.queried.len().min(self.first_size)]
    }

    /// Engines whose load was queried.
    #[must_use]
    pub fn queried(&self) -> &[ServerName] {
        &self.queried
    }

    /// Chooses an engine among those whose load was queried.
    ///
    /// # Errors
    ///
    /// Returns the reason if none of them is suitable. [`EngineSearch::may_continue`] tells whether the
    /// next round can still find one.
    pub fn choose(
        &self,
        now: Timestamp,
        state: &GatewayState,
        call: &Call,
    ) -> Result<ServerChoice, PlacementError> {
        state.choose_preferred(now, call, &self.queried, self.preferred())
    }

    /// Whether the engines that were not queried may be suitable although those that were are not.
    #[must_use]
    pub const fn may_continue(reason: PlacementError) -> bool {
        matches!(
            reason,
            PlacementError::Full | PlacementError::TooLate(_) | PlacementError::Yields(_)
        )
    }
}
