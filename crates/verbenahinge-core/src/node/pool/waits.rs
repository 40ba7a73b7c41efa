//! How long requests of a pool would wait, and when refused callers should return.

use std::time::Duration;

use super::PoolState;
use crate::declaration::tier_index;
use crate::{Tier, Timestamp};

/// Longest time from now at which a refused caller is asked to return.
const RETURN_HORIZON: Duration = Duration::from_mins(2);

impl PoolState {
    /// When the guaranteed progress of a tier is due.
    pub(in crate::node) fn floor_due(&self, tier: Tier) -> Option<Timestamp> {
        let progress = &self.progress[tier_index(tier)];
        let since = progress.demand_since?;
        Some(since + progress.max_starvation? / 2)
    }

    /// Expected time until a new request of an account would be dispatched.
    ///
    /// A tier whose whole demand fits waits for lower tiers only, which make room; nothing of
    /// it is refused before its time has run out.
    pub(in crate::node) fn expected_wait(
        &self,
        now: Timestamp,
        tier: Tier,
        position: usize,
    ) -> Duration {
        let quota = self.quota();
        let index = tier_index(tier);
        if quota.tiers[index] >= self.demand().wanted(index) && quota.tiers[index] > 0 {
            return Duration::ZERO;
        }
        let slots = quota.tiers[index] + quota.spare;
        let by_share = self.wait_for_slots(position, slots);
        match self.floor_wait(now, tier, position) {
            Some(by_floor) => by_share.min(by_floor),
            None => by_share,
        }
    }

    fn wait_for_slots(&self, position: usize, slots: u32) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        let rounds = u32::try_from(position + 1).unwrap_or(u32::MAX);
        self.estimates.slot_time().saturating_mul(rounds) / slots
    }

    fn floor_wait(&self, now: Timestamp, tier: Tier, position: usize) -> Option<Duration> {
        let due = self.floor_due(tier)?;
        let interval = self.progress[tier_index(tier)].max_starvation? / 2;
        let rounds = u32::try_from(position).unwrap_or(u32::MAX);
        Some(due.saturating_sub(now) + interval.saturating_mul(rounds))
    }

    /// Reserves a moment for a refused caller to return, at the rate at which slots become free.
    pub(in crate::node) fn reserve_return(&mut self, now: Timestamp, tier: Tier) -> Duration {
        let quota = self.quota();
        let index = tier_index(tier);
        let slots = (quota.tiers[index] + quota.spare).max(1);
        let hold = self.estimates.slot_time();
        let progress = &mut self.progress[index];
        let earliest = now + hold;
        let next = progress.return_at.max(earliest) + hold / slots;
        progress.return_at = next.min(now + RETURN_HORIZON);
        progress.return_at.saturating_sub(now)
    }
}
