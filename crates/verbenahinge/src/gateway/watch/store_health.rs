//! Failures of calls to the store: when they are logged, how long to wait after them, and what they
//! tell about entries that are missing afterwards.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{Feed, StoreGap};
use verbenahinge_core::hash::jitter;
use verbenahinge_platform::store::StoreError;

use super::table_name;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;

/// Base of the exponential backoff; each failed call in a row doubles it, the first one included.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// Maximum backoff, before up to half as much jitter is added; the calls of every VM are billed.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Consecutive failures of calls to the store, and the backoff that follows from them.
pub(super) struct StoreHealth {
    feed: Feed,
    failures: u32,
    last_failed_at: Option<Timestamp>,
    jitter_seed: u64,
}

impl StoreHealth {
    pub(super) fn new(feed: Feed) -> Self {
        Self {
            feed,
            failures: 0,
            last_failed_at: None,
            jitter_seed: rand::random(),
        }
    }

    /// Records a response, and whether the call waited for a change; returns what it tells about entries that
    /// are missing.
    pub(super) fn record_success(&mut self, gateway: &Gateway, has_waited: bool) -> StoreGap {
        let now = gateway.now();
        let gap = if has_waited {
            gateway.replicas.record_response(gateway, self.feed)
        } else {
            gateway.replicas.record_read(gateway, self.feed)
        };
        if let Some(last_failed_at) = self.last_failed_at.take() {
            let since_failure = now.saturating_sub(last_failed_at);
            LogEvent::PlatformAvailable.log(&[
                ("table", &table_name(self.feed)),
                ("failures", &self.failures),
                ("since_failure_ms", &since_failure.as_millis()),
                ("gap", &gap),
            ]);
        }
        self.failures = 0;
        gap
    }

    /// Records a failed call that was sent at `sent_at`.
    pub(super) fn record_failure(
        &mut self,
        gateway: &Gateway,
        sent_at: Timestamp,
        error: &StoreError,
    ) {
        let now = gateway.now();
        // A call that times out does not tell when the store stopped answering.
        let since = match error {
            StoreError::TimedOut { .. } => sent_at,
            _ => now,
        };
        gateway.replicas.record_failure(self.feed, since);
        if self.failures == 0 {
            let table = table_name(self.feed);
            LogEvent::PlatformUnavailable.log(&[("table", &table), ("cause", error)]);
        }
        self.failures += 1;
        self.last_failed_at = Some(now);
    }

    /// Waits for the backoff after a failed call.
    pub(super) async fn back_off(&mut self) {
        let pause = BACKOFF_BASE * (1 << self.failures.min(4));
        let pause = pause.min(MAX_BACKOFF);
        self.jitter_seed = self.jitter_seed.wrapping_add(1);
        actix_rt::time::sleep(pause + jitter(self.jitter_seed, pause / 2)).await;
    }
}
