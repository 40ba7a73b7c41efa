//! Timers of a node and what follows when they are due.

use std::time::Duration;

use super::Node;
use crate::claims::ClaimResult;
use crate::config_log::POLL_INTERVAL;
use crate::{PoolName, RequestId, ServerName, Timestamp};

/// Time between two rounds of housekeeping.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// What a timer is for.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub(super) enum Timer {
    /// Housekeeping.
    Tick,
    /// A digest is due.
    Digest,
    /// A group of claims is due.
    ClaimFlush,
    /// The head of the configuration log is to be read.
    ConfigPoll,
    /// A waiting request can no longer meet its target.
    QueueDeadline(RequestId),
    /// A running request may have made no progress for too long.
    Progress(RequestId),
    /// Waiting requests of a pool want another look: guaranteed progress may be due, or the time
    /// of one runs out.
    Pump(PoolName),
    /// An ejected server is to be tried again.
    Probe(PoolName, ServerName),
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
            Timer::Digest => self.digest_timer(),
            Timer::ClaimFlush => self.flush_claims(),
            Timer::ConfigPoll => self.poll_config(),
            Timer::QueueDeadline(request) => self.queue_deadline(request),
            Timer::Progress(request) => self.check_progress(request),
            Timer::Pump(pool) => self.pump(&pool),
            Timer::Probe(pool, server) => self.probe_server(&pool, &server),
        }
    }

    fn tick(&mut self) {
        self.set_timer(self.now + TICK_INTERVAL, Timer::Tick);
        for vm in self.membership.expire_peers(self.now) {
            for pool in self.pools.values_mut() {
                pool.shares.forget(vm);
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
            self.pump(&pool);
        }
    }

    fn poll_config(&mut self) {
        self.set_timer(self.now + POLL_INTERVAL, Timer::ConfigPoll);
        let op = self.take_op();
        if let Some(step) = self.config.poll(op) {
            self.log_step(step);
        }
    }

    pub(super) fn settle_claims(&mut self, settled: Vec<(RequestId, ClaimResult)>) {
        for (request, result) in settled {
            self.claim_settled(request, result);
        }
        self.schedule_claims();
    }
}
