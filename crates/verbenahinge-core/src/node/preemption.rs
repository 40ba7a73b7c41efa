//! Stopping requests of lower tiers for a higher one whose time runs out.

use std::cmp::Reverse;

use super::Node;
use super::failure::RETRY_PATIENCE;
use super::flight::Flight;
use super::pool::PreemptionKey;
use super::timer::Timer;
use crate::declaration::tier_index;
use crate::{Action, PoolName, RequestId, Tier, Timestamp, Verdict};

impl Node {
    /// The request of a tier whose time runs out first; fairness may let others go before it.
    pub(super) fn first_to_expire(&self, pool: &PoolName, tier: Tier) -> Option<&Flight> {
        let waiting = &self.pools.get(pool)?.waiting_deadlines[tier_index(tier)];
        let (_, request) = waiting.first()?;
        self.flights.get(request)
    }

    /// Says whether a request of a tier has used up most of its patience; plans another look if
    /// none has.
    fn is_pressing(&mut self, pool: &PoolName, tier: Tier) -> bool {
        let Some(due) = self
            .first_to_expire(pool, tier)
            .map(|flight| flight.pressing_at)
        else {
            return false;
        };
        self.is_due(pool, due)
    }

    /// Says whether the time of a request of a tier has nearly run out; plans another look if
    /// none has.
    pub(super) fn is_last_call(&mut self, pool: &PoolName, tier: Tier) -> bool {
        let Some(due) = self.first_to_expire(pool, tier).map(Flight::last_call_at) else {
            return false;
        };
        self.is_due(pool, due)
    }

    fn is_due(&mut self, pool: &PoolName, due: Timestamp) -> bool {
        if due > self.now {
            self.set_timer(due, Timer::Pump(pool.clone()));
        }
        due <= self.now
    }

    /// Stops a request of a lower tier for the first waiting one, if there is one to stop.
    ///
    /// Once most of its patience is used up, a request may stop one whose lost work is no more
    /// than its own; shortly before its end, any.
    pub(super) fn make_room(&mut self, pool_name: &PoolName, tier: Tier) -> bool {
        if !self.is_pressing(pool_name, tier) {
            return false;
        }
        let Some(flight) = self.first_to_expire(pool_name, tier) else {
            return false;
        };
        let last_call = flight.last_call_at();
        let prompt_tokens = flight.request.prompt_tokens;
        let urgent = self.is_due(pool_name, last_call);
        let limit = if urgent { u32::MAX } else { prompt_tokens };
        let victim = self
            .pools
            .get(pool_name)
            .and_then(|pool| pool.preemption_victim(tier, limit));
        if let Some(victim) = victim {
            self.preempt(victim);
        }
        victim.is_some()
    }

    /// Stops a request of a lower tier; it runs again or goes on when there is room.
    fn preempt(&mut self, victim: RequestId) {
        let Some(running) = self.vacate(victim) else {
            return;
        };
        self.out.push(Action::Cancel {
            request: victim,
            attempt: running.attempt,
            server: running.server,
        });
        let Some(flight) = self.flights.get_mut(&victim) else {
            return;
        };
        flight.verdict = Verdict::MayHaveRun;
        if flight.has_begun() {
            flight.deadline = self.now + RETRY_PATIENCE;
        }
        let deadline = flight.deadline.max(self.now);
        if let Some(pool) = self.pools.get_mut(&flight.request.pool) {
            pool.enqueue(flight, true);
        }
        self.set_timer(deadline, Timer::QueueDeadline(victim));
    }
}

/// Order in which requests of a tier are stopped: the least work lost first.
pub(super) fn preemption_key(flight: &Flight, started: Timestamp) -> PreemptionKey {
    (
        flight.request.prompt_tokens,
        Reverse(started),
        flight.request.id,
    )
}
