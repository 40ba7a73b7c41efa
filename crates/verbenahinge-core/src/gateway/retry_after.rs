//! Computes when a refused caller should retry.
//!
//! A burst can exceed what the engines prefill in time. Callers that all retry together would meet
//! the same queue again, so the retry times are spread over the time in which it drains. Callers
//! wait at most a third of their remaining time and would ignore a longer delay.

use std::time::Duration;

use crate::hash::jitter;

/// Minimum delay before a retry, unless the caller has too little time left.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);

/// Callers wait at most `time_left / MAX_WAIT_DIVISOR`.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Returns the delay after which a caller should retry.
///
/// `excess` is the time until the queue is short enough for the caller, `time_left` the caller's
/// remaining time, and `seed` spreads callers that are refused together.
#[must_use]
pub fn retry_after(excess: Duration, time_left: Duration, seed: u64) -> Duration {
    let earliest = RETRY_AFTER_MIN.max(excess);
    let spread = jitter(seed, earliest.max(RETRY_AFTER_MIN));
    (earliest + spread).min(time_left / MAX_WAIT_DIVISOR)
}
