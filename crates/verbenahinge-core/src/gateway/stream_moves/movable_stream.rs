//! What is known of a stream that may be moved, and when it will end.

use std::time::Duration;

use crate::gateway::{MoveLimits, Priority, ServiceName, SoftwareVersion};
use crate::{ServerName, Timestamp, ZoneName};

/// Time for a token before the stream has shown its pace.
const USUAL_TOKEN_TIME: Duration = Duration::from_millis(30);

/// Uncertainty of a hint about the length, as a share of the length.
const HINT_ERROR: f64 = 0.25;

/// Factors of the observed pace within which the rest of the stream is expected.
const PACE_RANGE: (f64, f64) = (0.8, 1.25);

/// A stream whose request may be moved to another engine.
#[derive(Clone, Debug, PartialEq)]
pub struct MovableStream {
    /// Service whose engines can run the request.
    pub service: ServiceName,
    /// Software version of the engine.
    pub version: SoftwareVersion,
    /// Engine that runs the request.
    pub source: ServerName,
    /// Zone of that engine.
    pub source_zone: ZoneName,
    /// Whether that engine is a spot server.
    pub is_spot: bool,
    /// Priority of the request.
    pub priority: Priority,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Number of tokens that the caller expects.
    pub expected_tokens: Option<u32>,
    /// Tokens per event.
    pub tokens_per_event: u32,
    /// Gap between two events that the route allows.
    pub gap_target: Duration,
    /// Properties of moves of the service.
    pub limits: MoveLimits,
}

/// Events of a stream so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamProgress {
    first_at: Timestamp,
    last_at: Timestamp,
    /// Number of the last event, from the beginning of the stream.
    pub(super) events: u32,
    /// Events that have arrived after the first one here.
    seen: u32,
}

impl StreamProgress {
    /// Creates the state of a stream after its first event here.
    pub(super) const fn new(now: Timestamp, event: u32) -> Self {
        Self {
            first_at: now,
            last_at: now,
            events: event,
            seen: 0,
        }
    }

    /// Adds events that have arrived.
    pub(super) fn add(&mut self, now: Timestamp, events: u32) {
        self.last_at = now;
        self.events = self.events.saturating_add(events);
        self.seen = self.seen.saturating_add(events);
    }

    /// Begins to observe the pace anew: another engine continues the stream.
    pub(super) const fn change_engine(&mut self, now: Timestamp) {
        self.first_at = now;
        self.last_at = now;
        self.seen = 0;
    }

    fn time_per_event(&self, tokens_per_event: u32) -> Duration {
        let elapsed = self.last_at.saturating_sub(self.first_at);
        match self.seen {
            0 => USUAL_TOKEN_TIME * tokens_per_event,
            seen => elapsed / seen,
        }
    }
}

impl MovableStream {
    /// Earliest and latest time at which the stream is expected to end.
    pub(super) fn expected_end(&self, progress: &StreamProgress) -> (Timestamp, Timestamp) {
        let per_event = self.tokens_per_event.max(1);
        let to_events = |tokens: f64| (tokens / f64::from(per_event)).ceil();
        let done = f64::from(progress.events);
        let most = to_events(f64::from(self.max_tokens));
        let (mut least, mut upper) = (done, most);
        if let Some(hint) = self.expected_tokens.map(f64::from) {
            least = to_events(hint * (1.0 - HINT_ERROR)).min(most);
            let hinted = to_events(hint * (1.0 + HINT_ERROR));
            // A stream that is longer than expected may be of any length.
            if hinted > done {
                upper = hinted.min(most);
            }
        }
        let time = progress.time_per_event(per_event);
        let (fast, slow) = PACE_RANGE;
        let earliest = time.mul_f64((least - done).max(0.0) * fast);
        let latest = time.mul_f64((upper - done).max(0.0) * slow);
        (progress.last_at + earliest, progress.last_at + latest)
    }

    /// Tokens in the memory of the run.
    pub(super) fn memory_tokens(&self, progress: &StreamProgress) -> u32 {
        let generated = progress.events.saturating_mul(self.tokens_per_event);
        self.prompt_tokens.saturating_add(generated)
    }

    /// Time to copy some tokens, apart from other moves on the links.
    pub(super) fn copy_time(&self, tokens: u32, is_same_zone: bool) -> Duration {
        let factor = if is_same_zone { 1 } else { 2 };
        self.limits.token_copy * tokens * factor
    }
}
