//! Gaps between the events of one stream.

use std::time::Duration;

use crate::Timestamp;

/// Gaps from which one sample of an engine's pace is taken.
const WINDOW_GAPS: usize = 12;

/// Position, among the gaps of a window in ascending order, of the one that is the sample.
///
/// Prefill beside the stream and a slow machine stretch most gaps of some windows, but hardly ever nearly all.
/// The shortest gaps may follow an event that the VM has read late.
const SAMPLE_RANK: usize = 2;

/// Gaps between the events of one stream, as this VM sees them.
#[derive(Clone, Debug, Default)]
pub struct StreamGaps {
    last_event_at: Option<Timestamp>,
    window: Vec<Duration>,
    longest: Duration,
}

impl StreamGaps {
    /// Creates the state of a stream without events.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            last_event_at: None,
            window: Vec::new(),
            longest: Duration::ZERO,
        }
    }

    /// Records that some events of the stream arrived together; returns after enough of them the gap that
    /// is typical of the engine without prefill beside the stream.
    ///
    /// `slowdown` is how much longer than usual work takes on the engine's machine at this moment, 1 if
    /// that is not known.
    pub fn note_events(&mut self, now: Timestamp, events: u32, slowdown: f64) -> Option<Duration> {
        let last_event_at = self.last_event_at.replace(now)?;
        let gap = now.saturating_sub(last_event_at);
        self.longest = self.longest.max(gap);
        let own_gap = (gap / events.max(1)).div_f64(slowdown.max(1.0));
        self.window.push(own_gap);
        if self.window.len() < WINDOW_GAPS {
            return None;
        }
        self.window.sort_unstable();
        let gap = self.window.get(SAMPLE_RANK).copied();
        self.window.clear();
        gap
    }

    /// Drops the gaps that count for the engine's pace: another engine continues the stream.
    pub fn change_engine(&mut self) {
        self.window.clear();
    }

    /// Longest time between two events so far; zero before the second one.
    #[must_use]
    pub const fn longest(&self) -> Duration {
        self.longest
    }
}
