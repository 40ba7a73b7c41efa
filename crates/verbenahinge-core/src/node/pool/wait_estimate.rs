//! Estimates of how long requests of a pool wait, and when refused callers should retry.

use std::time::Duration;

use super::PoolState;
use crate::declaration::tier_index;
use crate::{Tier, Timestamp};

/// Maximum delay after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(2);

impl PoolState {
    /// Returns when the tier is guaranteed a dispatch: half of its starvation limit after
    /// [`TierState::demand_since`](super::TierState::demand_since).
    pub(in crate::node) fn guaranteed_dispatch_at(&self, tier: Tier) -> Option<Timestamp> {
        let tier_state = &self.tier_states[tier_index(tier)];
        let since = tier_state.demand_since?;
        Some(since + tier_state.max_starvation? / 2)
    }

    /// Estimates the time until a new request at `position` in the queue would be dispatched.
    ///
    /// The estimate is zero for a tier whose whole demand fits into the quota: it waits only for
    /// lower tiers, which can be preempted, so that no request of it is refused before its
    /// deadline.
    pub(in crate::node) fn expected_wait(
        &self,
        now: Timestamp,
        tier: Tier,
        position: usize,
    ) -> Duration {
        let quota = self.quota();
        let index = tier_index(tier);
        if quota.tiers[index] >= self.demand().requested(index) && quota.tiers[index] > 0 {
            return Duration::ZERO;
        }
        let slots = quota.tiers[index] + quota.spare;
        let by_share = self.wait_for_slots(position, slots);
        match self.guaranteed_wait(now, tier, position) {
            Some(by_guarantee) => by_share.min(by_guarantee),
            None => by_share,
        }
    }

    /// Estimates the wait for one of `slots` slots.
    fn wait_for_slots(&self, position: usize, slots: u32) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        let rounds = u32::try_from(position + 1).unwrap_or(u32::MAX);
        self.estimates.slot_time().saturating_mul(rounds) / slots
    }

    /// Estimates the wait if only guaranteed dispatches take place.
    fn guaranteed_wait(&self, now: Timestamp, tier: Tier, position: usize) -> Option<Duration> {
        let due = self.guaranteed_dispatch_at(tier)?;
        let interval = self.tier_states[tier_index(tier)].max_starvation? / 2;
        let rounds = u32::try_from(position).unwrap_or(u32::MAX);
        Some(due.saturating_sub(now) + interval.saturating_mul(rounds))
    }

    /// Returns the delay after which a refused caller should retry.
    ///
    /// The retries of a tier are spaced at the rate at which its slots become free.
    pub(in crate::node) fn reserve_retry_after(&mut self, now: Timestamp, tier: Tier) -> Duration {
        let quota = self.quota();
        let index = tier_index(tier);
        let slots = (quota.tiers[index] + quota.spare).max(1);
        let slot_time = self.estimates.slot_time();
        let tier_state = &mut self.tier_states[index];
        let earliest = now + slot_time;
        let next = tier_state.latest_retry_at.max(earliest) + slot_time / slots;
        tier_state.latest_retry_at = next.min(now + MAX_RETRY_AFTER);
        tier_state.latest_retry_at.saturating_sub(now)
    }
}
