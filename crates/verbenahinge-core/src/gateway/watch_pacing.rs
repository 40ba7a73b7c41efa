//! Pauses between the watches of a table that changes many times a second.
//!
//! Load pattern: dozens of servers register, are ordered or leave within seconds, and each change ends
//! the watch of every VM that watches the store for the others. A pause collects the changes of a burst
//! in one response. See `docs/design/feeds.md`.

use std::time::Duration;

use super::feed::{all_watch, watch_timeout};
use crate::Timestamp;
use crate::hash::jitter;

/// Time within which a second change makes a burst.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Base of the pause in a burst. Watchers pause independently, so the first of five sees a change after a
/// fraction of it, and a server that leaves has to be unused within two seconds everywhere.
const BURST_PAUSE: Duration = Duration::from_millis(200);

/// Jitter that keeps the pauses of several watchers out of step.
const PAUSE_JITTER: Duration = Duration::from_millis(100);

/// Decides how long one watcher pauses after a response.
#[derive(Clone, Debug)]
pub struct WatchPacing {
    last_change_at: Option<Timestamp>,
    pause: Duration,
    jitter_seed: u64,
}

impl WatchPacing {
    /// Creates the pacing of one watcher; `jitter_seed` differs from watcher to watcher.
    #[must_use]
    pub const fn new(jitter_seed: u64) -> Self {
        Self {
            last_change_at: None,
            pause: Duration::ZERO,
            jitter_seed,
        }
    }

    /// Records a response at `now` in a fleet of `vms` VMs and returns the pause before the next watch.
    ///
    /// There is none where every VM watches, after a response without changes, and after a change that
    /// comes alone.
    pub fn note_response(&mut self, now: Timestamp, vms: usize, has_changes: bool) -> Duration {
        self.pause = Duration::ZERO;
        if !has_changes || all_watch(vms) {
            return self.pause;
        }
        let last_change_at = self.last_change_at.replace(now);
        let since = last_change_at.map(|at| now.saturating_sub(at));
        if since.is_some_and(|since| since < BURST_WINDOW) {
            self.jitter_seed = self.jitter_seed.wrapping_add(1);
            self.pause = BURST_PAUSE + jitter(self.jitter_seed, PAUSE_JITTER);
        }
        self.pause
    }

    /// Time that the next watch waits for a change. It is shorter by the pause, so that replicas are
    /// confirmed as often as without pauses.
    #[must_use]
    pub fn next_timeout(&self, rank: usize, vms: usize) -> Duration {
        watch_timeout(rank, vms).saturating_sub(self.pause)
    }
}
