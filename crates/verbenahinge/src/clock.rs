//! Monotonic wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use verbenahinge_core::Timestamp;

/// Unix time that never goes back, even if the system clock is adjusted.
///
/// Reads the system clock once and advances with the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start_instant: Instant,
    start_timestamp: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let start_timestamp = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start_instant: Instant::now(),
            start_timestamp: start_timestamp.unwrap_or_else(|error| {
                log::warn!(
                    "the system clock is before 1970, using the Unix epoch instead: {error}"
                );
                Duration::ZERO
            }),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.start_timestamp + self.start_instant.elapsed()
    }

    /// Converts a timestamp to an `Instant` for use with timers.
    pub(crate) fn instant_at(&self, timestamp: Timestamp) -> Instant {
        self.start_instant + timestamp.saturating_sub(self.start_timestamp)
    }
}
