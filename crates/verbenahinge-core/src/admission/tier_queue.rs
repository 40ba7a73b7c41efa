//! Fair queues of one pool, one per tier.

use super::FairQueue;
use crate::Tier;
use crate::declaration::{TIER_COUNT, tier_index};

/// Waiting requests of one pool by tier.
#[derive(Clone, Debug)]
pub struct TierQueue {
    tiers: [FairQueue; TIER_COUNT],
}

impl Default for TierQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl TierQueue {
    /// Creates the queues of all tiers, empty.
    #[must_use]
    pub fn new() -> Self {
        Self {
            tiers: std::array::from_fn(|_| FairQueue::new()),
        }
    }

    /// Returns the queue of a tier.
    #[must_use]
    pub fn tier(&self, tier: Tier) -> &FairQueue {
        &self.tiers[tier_index(tier)]
    }

    /// Returns the queue of a tier, mutably.
    pub fn tier_mut(&mut self, tier: Tier) -> &mut FairQueue {
        &mut self.tiers[tier_index(tier)]
    }

    /// Returns the number of waiting requests per tier.
    #[must_use]
    pub fn lengths(&self) -> [u32; TIER_COUNT] {
        std::array::from_fn(|tier| u32::try_from(self.tiers[tier].len()).unwrap_or(u32::MAX))
    }

    /// Returns the highest tier with a waiting request.
    #[must_use]
    pub fn highest_waiting_tier(&self) -> Option<Tier> {
        (0..TIER_COUNT)
            .find(|&tier| !self.tiers[tier].is_empty())
            .and_then(|tier| Tier::try_from(tier).ok())
    }

    /// Prunes idle accounts in all tiers.
    pub fn prune(&mut self) {
        for queue in &mut self.tiers {
            queue.prune();
        }
    }
}
