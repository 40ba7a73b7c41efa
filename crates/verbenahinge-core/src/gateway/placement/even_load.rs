//! Placement that keeps the load of servers even.

use std::time::Duration;

use super::prefill::PrefillPlan;
use super::{Candidate, PlacementContext};
use crate::gateway::even_load::{choose_by_room, crowd_cost, short_prompt_cost};
use crate::gateway::{Call, Prompt};

/// Shared tokens of a prompt below which reading them again costs less than an engine step.
const SHORT_SHARED_TOKENS: u32 = 300;

/// Age of load information up to which it says anything of a plain server.
const MAX_NEWS_AGE: Duration = Duration::from_secs(2);

/// Time between the news of a sampled server and the request's arrival there, in which other VMs choose too.
const DECISION_TIME: Duration = Duration::from_millis(10);

/// Load of a service whose servers are kept evenly loaded.
#[derive(Clone, Copy, Debug)]
pub struct EvenLoad {
    /// Whether the mean load is known well enough to size groups of engines by it.
    pub is_settled: bool,
    /// Mean load of the servers, as a share of their slots.
    pub mean_share: f64,
    /// Requests that all VMs send per second for each slot.
    pub rate_per_slot: f64,
    /// Time that a request takes, on average.
    pub hold: Duration,
    /// Seed of the choice between servers with room.
    pub seed: u64,
}

impl PlacementContext<'_> {
    /// Cost of the crowd at an engine, in requests; 0 where load is not kept even.
    ///
    /// An engine that would read shared parts again gains nothing from being idle.
    pub(super) fn crowd_cost(&self, call: &Call, candidate: &Candidate, plan: &PrefillPlan) -> f64 {
        let Some(even_load) = self.even_load else {
            return 0.0;
        };
        let missing = self.missing_shared_tokens(call, candidate);
        if plan.copy_from.is_none() && missing >= SHORT_SHARED_TOKENS {
            return crowd_cost(f64::MAX, 0.0, 1);
        }
        let slots = candidate.entry.slots.max(1);
        let share = f64::from(candidate.backend.running()) / f64::from(slots);
        let shared = call.prompt.as_ref().map_or(0, Prompt::shared_tokens);
        if shared < SHORT_SHARED_TOKENS {
            return short_prompt_cost(share, even_load.mean_share, slots);
        }
        crowd_cost(share, even_load.mean_share, slots)
    }

    /// Chooses a plain server in proportion to its predicted room.
    pub(super) fn choose_with_room<'a>(
        &self,
        even_load: EvenLoad,
        candidates: &'a [Candidate<'a>],
    ) -> Option<&'a Candidate<'a>> {
        let mut loads = Vec::new();
        let mut slots_sum = 0.0;
        let mut age = DECISION_TIME;
        for candidate in candidates {
            let slots = f64::from(candidate.entry.slots.max(1));
            let mean = even_load.mean_share * slots;
            let news = candidate.backend.load_news(self.now);
            let news = news.filter(|news| news.age <= MAX_NEWS_AGE);
            let load = match news {
                Some(news) => {
                    age = age.max(news.age.min(even_load.hold));
                    news.predict(mean, even_load.hold)
                }
                None => mean.max(f64::from(candidate.backend.running())),
            };
            let queued = (load + 1.0 - slots).max(0.0);
            let beside_load: f64 = self.costs_beside_load(candidate).iter().sum();
            loads.push(load + queued * 4.0 + beside_load);
            slots_sum += slots;
        }
        let expected = even_load.rate_per_slot * slots_sum * age.as_secs_f64();
        let chosen = choose_by_room(&loads, expected, even_load.seed)?;
        candidates.get(chosen)
    }
}
