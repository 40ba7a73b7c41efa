//! Rate at which all connections of a server together read large bodies.

use std::cell::Cell;
use std::time::Duration;

use actix_rt::time::Instant;

/// Interval in which [`INTERVAL_BYTES`] may be read.
const INTERVAL: Duration = Duration::from_millis(10);

/// Bytes that are read in one interval: 32 MB per second, more than the link of a small VM carries.
/// Without it, a crowd of large bodies on a fast link took the time in which ordinary requests are served.
const INTERVAL_BYTES: usize = 320 << 10;

/// What may still be read in the current interval.
#[derive(Debug)]
pub(crate) struct ReadPace {
    since: Cell<Instant>,
    bytes_left: Cell<usize>,
}

impl ReadPace {
    pub(crate) fn new() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            bytes_left: Cell::new(INTERVAL_BYTES),
        }
    }

    /// Returns when bytes may be read again; `None` if they may be read now.
    pub(crate) fn wait_until(&self) -> Option<Instant> {
        let now = Instant::now();
        let next = self.since.get() + INTERVAL;
        if now >= next {
            self.since.set(now);
            self.bytes_left.set(INTERVAL_BYTES);
        }
        (self.bytes_left.get() == 0).then_some(next)
    }

    /// Notes that bytes were read.
    pub(crate) fn note_read(&self, bytes: usize) {
        self.bytes_left
            .set(self.bytes_left.get().saturating_sub(bytes));
    }
}
