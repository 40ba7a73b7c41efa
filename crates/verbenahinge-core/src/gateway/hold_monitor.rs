//! Holds of the thread: times in which a VM handled no event, because one of its tasks ran for long
//! or because the process got no processor time.

use std::time::Duration;

use crate::Timestamp;

/// Delay of a timer from which on the thread counts as held.
pub const MIN_HOLD: Duration = Duration::from_millis(100);

/// Measures holds by the delay of a periodic timer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HoldMonitor {
    /// Time at which the timer is to fire next.
    due_at: Option<Timestamp>,
    /// Start of the hold that has just ended, until the sockets have been read.
    held_since: Option<Timestamp>,
}

impl HoldMonitor {
    /// Records that the timer is set to fire at `due_at`.
    pub const fn expect_wake(&mut self, due_at: Timestamp) {
        self.due_at = Some(due_at);
    }

    /// Records that the timer has fired; returns by how much it was late.
    pub fn record_wake(&mut self, now: Timestamp) -> Duration {
        let Some(due_at) = self.due_at.take() else {
            return Duration::ZERO;
        };
        let delay = now.saturating_sub(due_at);
        if delay >= MIN_HOLD {
            self.held_since = Some(due_at);
        }
        delay
    }

    /// Records that everything that arrived during a hold has been read.
    pub const fn record_reads(&mut self) {
        self.held_since = None;
    }

    /// Returns the earliest time at which a request that is read now may have arrived: the start of a
    /// hold that has just ended, or else `now`.
    #[must_use]
    pub fn arrival_time(&self, now: Timestamp) -> Timestamp {
        if let Some(due_at) = self.due_at
            && now >= due_at + MIN_HOLD
        {
            return due_at;
        }
        self.held_since.unwrap_or(now)
    }
}
