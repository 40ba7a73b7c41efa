//! When a VM reads a table beside a watch that has not been answered.
//!
//! Load pattern: connections to the store that go silent without an end, for one VM or for all at the same
//! moment, and a store that never answers the calls that it got while it was away. A watch that
//! waits for a change looks the same in both cases. In a large fleet only the watchers check, as a store that
//! answers nobody would get calls from hundreds of VMs. See `docs/design/feeds.md`.

use std::time::Duration;

use super::feed::{FRESH_MAX_AGE, checks_store};
use crate::Timestamp;

/// Time for one lost digest, or for the response of a slow store.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);

/// Age of a replica from which the table is read beside a pending watch. Three seconds after a disturbance a VM
/// must have what was changed meanwhile.
const CHECK_AGE: Duration = FRESH_MAX_AGE.saturating_add(RESPONSE_SLACK);

/// Number of checks that follow the call before them after [`RESPONSE_SLACK`]: two calls in a row may be lost
/// though the store is back.
const QUICK_CHECKS: u32 = 3;

/// Time between two later calls while none is answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(750);

/// Checks that wait for a response at the same time.
const MAX_PENDING_CHECKS: usize = 3;

/// Shortest wait before the next decision.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Decides when to check a table while one call to the store is pending.
#[derive(Clone, Copy, Debug)]
pub struct StoreCheck {
    called_at: Timestamp,
    last_check_at: Option<Timestamp>,
    checks: u32,
    is_enabled: bool,
}

impl StoreCheck {
    /// Creates the state for a call to the store that is sent at `now`.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            called_at: now,
            last_check_at: None,
            checks: 0,
            is_enabled: true,
        }
    }

    /// Sets the position of the VM in the order of watchers of a fleet with `vms` live VMs.
    #[must_use]
    pub const fn watcher(mut self, rank: usize, vms: usize) -> Self {
        self.is_enabled = checks_store(rank, vms);
        self
    }

    /// Time until the next check, if the replica does not become fresher by then; zero if it is due.
    ///
    /// `age` is the age of the replica, `pending` the number of checks without a response.
    #[must_use]
    pub fn wait(&self, now: Timestamp, age: Option<Duration>, pending: usize) -> Duration {
        if !self.is_enabled || pending >= MAX_PENDING_CHECKS {
            return CHECK_INTERVAL;
        }
        let until_stale = age.map_or(Duration::ZERO, |age| CHECK_AGE.saturating_sub(age));
        let last_call_at = self.last_check_at.unwrap_or(self.called_at);
        let interval = if self.checks < QUICK_CHECKS {
            RESPONSE_SLACK
        } else {
            CHECK_INTERVAL
        };
        let until_next = (last_call_at + interval).saturating_sub(now);
        let wait = until_stale.max(until_next);
        if wait.is_zero() {
            wait
        } else {
            wait.max(MIN_WAIT)
        }
    }

    /// Records that a check is sent.
    pub const fn record_check(&mut self, now: Timestamp) {
        self.last_check_at = Some(now);
        self.checks += 1;
    }

    /// Number of checks that were sent.
    #[must_use]
    pub const fn checks(&self) -> u32 {
        self.checks
    }

    /// Whether a response at `now` shows that the store was away: an earlier check was not answered, or
    /// this one late.
    #[must_use]
    pub fn was_unanswered(&self, now: Timestamp) -> bool {
        let is_late = self
            .last_check_at
            .is_some_and(|at| at + RESPONSE_SLACK < now);
        self.checks > 1 || is_late
    }
}

/// Whether a replica is so old that its next read should not wait for a change.
#[must_use]
pub fn needs_read_at_once(age: Option<Duration>) -> bool {
    age.is_none_or(|age| age > FRESH_MAX_AGE)
}
