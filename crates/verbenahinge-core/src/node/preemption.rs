//! Preemption of running requests for a higher tier whose deadline is near.

use std::cmp::Reverse;

use super::Node;
use super::failure::RETRY_QUEUE_TIMEOUT;
use super::pool::PreemptionKey;
use super::request_state::RequestState;
use super::timer::Timer;
use crate::declaration::tier_index;
use crate::{Action, PoolName, RequestId, Tier, Timestamp, Verdict};

impl Node {
    /// Returns the queued request of a tier with the earliest deadline, which need not be the next
    /// one in the fair queue.
    pub(super) fn request_with_earliest_deadline(
        &self,
        pool: &PoolName,
        tier: Tier,
    ) -> Option<&RequestState> {
        let waiting = &self.pools.get(pool)?.waiting_deadlines[tier_index(tier)];
        let (_, request) = waiting.first()?;
        self.requests.get(request)
    }

    /// Returns whether the request of a tier with the earliest deadline has reached its
    /// `urgent_at`; if not, schedules another check for that time.
    fn check_urgent(&mut self, pool: &PoolName, tier: Tier) -> bool {
        let Some(due) = self
            .request_with_earliest_deadline(pool, tier)
            .map(|state| state.urgent_at)
        else {
            return false;
        };
        self.check_due(pool, due)
    }

    /// Returns whether the request of a tier with the earliest deadline has reached its
    /// `critical_at`; if not, schedules another check for that time.
    pub(super) fn check_critical(&mut self, pool: &PoolName, tier: Tier) -> bool {
        let Some(due) = self
            .request_with_earliest_deadline(pool, tier)
            .map(RequestState::critical_at)
        else {
            return false;
        };
        self.check_due(pool, due)
    }

    fn check_due(&mut self, pool: &PoolName, due: Timestamp) -> bool {
        if due > self.now {
            self.set_timer(due, Timer::DispatchQueued(pool.clone()));
        }
        due <= self.now
    }

    /// Preempts a request of a lower tier for the queued request with the earliest deadline and
    /// returns whether it found one to preempt.
    ///
    /// An urgent request may preempt one with no more prompt tokens than its own, so that the lost
    /// work is no greater; a critical request may preempt any.
    pub(super) fn preempt_lower_tier(&mut self, pool_name: &PoolName, tier: Tier) -> bool {
        if !self.check_urgent(pool_name, tier) {
            return false;
        }
        let Some(state) = self.request_with_earliest_deadline(pool_name, tier) else {
            return false;
        };
        let critical_time = state.critical_at();
        let prompt_tokens = state.request.prompt_tokens;
        let critical = self.check_due(pool_name, critical_time);
        let limit = if critical { u32::MAX } else { prompt_tokens };
        let victim = self
            .pools
            .get(pool_name)
            .and_then(|pool| pool.preemption_victim(tier, limit));
        if let Some(victim) = victim {
            self.preempt(victim);
        }
        victim.is_some()
    }

    /// Cancels a running request and queues it again; it later restarts, or continues after the
    /// frames already delivered.
    fn preempt(&mut self, victim: RequestId) {
        let Some(running) = self.end_attempt(victim) else {
            return;
        };
        self.actions.push(Action::Cancel {
            request: victim,
            attempt: running.attempt,
            server: running.server,
        });
        let Some(state) = self.requests.get_mut(&victim) else {
            return;
        };
        state.verdict = Verdict::MayHaveRun;
        if state.has_delivered_frames() {
            state.deadline = self.now + RETRY_QUEUE_TIMEOUT;
        }
        let deadline = state.deadline.max(self.now);
        if let Some(pool) = self.pools.get_mut(&state.request.pool) {
            pool.enqueue(state, true);
        }
        self.set_timer(deadline, Timer::QueueDeadline(victim));
    }
}

/// Sort key for preemption within a tier: the request that loses the least work comes first.
pub(super) fn preemption_key(state: &RequestState, started_at: Timestamp) -> PreemptionKey {
    (
        state.request.prompt_tokens,
        Reverse(started_at),
        state.request.id,
    )
}
