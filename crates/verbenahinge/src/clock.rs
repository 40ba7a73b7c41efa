//! Clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use verbenahinge_core::Timestamp;

/// Time since the Unix epoch that never goes back, whatever happens to the system's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    epoch: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            epoch: epoch.unwrap_or_else(|error| {
                log::warn!("the system's clock is before 1970, which is taken instead: {error}");
                Duration::ZERO
            }),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.epoch + self.start.elapsed()
    }

    /// Converts a moment of the core to one that timers understand.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.start + at.saturating_sub(self.epoch)
    }
}
