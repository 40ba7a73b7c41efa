//! How quickly a body arrives.

use std::time::Duration;

use crate::Timestamp;

/// Time without a byte after which a body counts as stalled while memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Age from which the rate of a body counts while memory is short.
const MIN_RATE_AGE: Duration = Duration::from_secs(2);

/// Rate below which a body is slow while memory is short, in bytes per second.
const SLOW_BYTES_PER_S: u128 = 4096;

/// Age from which a body has to arrive at the minimum rate even if there is room.
const GRACE: Duration = Duration::from_secs(10);

/// Minimum rate of every body after its grace period, in bytes per second.
const MIN_BYTES_PER_S: u128 = 1024;

/// How a body arrives, in the order in which bodies are given up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Pace {
    Stalled,
    Slow,
    Steady,
}

/// Arrival of the bytes of one body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyPace {
    started_at: Timestamp,
    last_at: Timestamp,
    bytes: u128,
}

impl BodyPace {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            last_at: now,
            bytes: 0,
        }
    }

    pub(super) const fn note_arrived(&mut self, now: Timestamp, bytes: usize) {
        self.last_at = now;
        self.bytes += bytes as u128;
    }

    pub(super) fn pace(&self, now: Timestamp) -> Pace {
        if now.saturating_sub(self.last_at) >= STALL_TIME {
            return Pace::Stalled;
        }
        let age = now.saturating_sub(self.started_at);
        if age >= MIN_RATE_AGE && self.is_below(age, SLOW_BYTES_PER_S) {
            return Pace::Slow;
        }
        Pace::Steady
    }

    /// Whether the body is below the rate that every body must keep.
    pub(super) fn is_too_slow(&self, now: Timestamp) -> bool {
        let age = now.saturating_sub(self.started_at);
        age >= GRACE && self.is_below(age, MIN_BYTES_PER_S)
    }

    const fn is_below(&self, age: Duration, bytes_per_s: u128) -> bool {
        self.bytes * 1000 < age.as_millis() * bytes_per_s
    }
}
