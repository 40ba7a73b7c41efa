//! Timers of a node and the actions they trigger.

use std::time::Duration;

use super::Node;
use crate::claims::ClaimResult;
use crate::config_log::POLL_INTERVAL;
use crate::{PoolName, RequestId, ServerName, Timestamp};

/// Interval between two runs of [`Timer::Tick`].
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Purpose of a timer.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub(super) enum Timer {
    /// Expires silent peers, old crash records and idle accounts, and dispatches queued requests.
    Tick,
    /// Sends the next digest to peers.
    Digest,
    /// Sends waiting claims to the table service in one transaction.
    ClaimFlush,
    /// Reads the head of the configuration log.
    ConfigPoll,
    /// Refuses a request that is still waiting at its deadline.
    QueueDeadline(RequestId),
    /// Fails a running attempt that has exceeded its progress timeout.
    ProgressCheck(RequestId),
    /// Dispatches queued requests of a pool: a guaranteed dispatch may be due, or a deadline may be
    /// near.
    DispatchQueued(PoolName),
    /// Readmits an ejected backend server.
    Readmit(PoolName, ServerName),
}

impl Node {
    pub(super) fn set_timer(&mut self, due: Timestamp, timer: Timer) {
        self.timers.insert((due, timer));
    }

    pub(super) fn run_timers(&mut self) {
        for _ in 0..self.timers.len() {
            let due = self.timers.first().is_some_and(|(due, _)| *due <= self.now);
            if !due {
                return;
            }
            if let Some((_, timer)) = self.timers.pop_first() {
                self.run_timer(timer);
            }
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Tick => self.tick(),
            Timer::Digest => self.send_due_digest(),
            Timer::ClaimFlush => self.flush_claims(),
            Timer::ConfigPoll => self.poll_config(),
            Timer::QueueDeadline(request) => self.handle_queue_deadline(request),
            Timer::ProgressCheck(request) => self.check_progress(request),
            Timer::DispatchQueued(pool) => self.dispatch_queued(&pool),
            Timer::Readmit(pool, server) => self.readmit_server(&pool, &server),
        }
    }

    fn tick(&mut self) {
        self.set_timer(self.now + TICK_INTERVAL, Timer::Tick);
        for vm in self.membership.expire_peers(self.now) {
            for pool in self.pools.values_mut() {
                pool.shares.remove_peer(vm);
            }
        }
        let now = self.now;
        for pool in self.pools.values_mut() {
            pool.shares.expire(now);
            pool.queue.prune();
        }
        self.quarantine.expire(now);
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.dispatch_queued(&pool);
        }
    }

    fn poll_config(&mut self) {
        self.set_timer(self.now + POLL_INTERVAL, Timer::ConfigPoll);
        let op = self.allocate_op();
        if let Some(output) = self.config.poll(op) {
            self.apply_config_output(output);
        }
    }

    pub(super) fn apply_claim_results(&mut self, results: Vec<(RequestId, ClaimResult)>) {
        for (request, result) in results {
            self.resolve_claim(request, result);
        }
        self.schedule_claims();
    }
}
