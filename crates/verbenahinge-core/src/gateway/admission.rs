//! When a caller that is sent away should come back.
//!
//! Load pattern: a burst that exceeds what the engines can read in time. Callers that come back
//! together would meet the same queue, so that their times are spread over its drain; callers
//! wait at most a third of the time that they have left, so that a longer time would be ignored.

use std::time::Duration;

use crate::hash::jitter;

/// Shortest time after which a caller is asked to come back.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);

/// Part of the time left that callers wait at most.
const WAIT_PART: u32 = 3;

/// Returns when a caller should come back.
///
/// `excess` is the time until the queue has drained to what the caller could use, `left` the time
/// that the caller has, and `seed` spreads callers that are sent away together.
#[must_use]
pub fn retry_after(excess: Duration, left: Duration, seed: u64) -> Duration {
    let least = RETRY_AFTER_MIN.max(excess);
    let spread = jitter(seed, least.max(RETRY_AFTER_MIN));
    (least + spread).min(left / WAIT_PART)
}
