//! Health of one backend server, from this VM's own traffic and the server's load reports.
//!
//! Failures that suggest that a server is down eject it, each time for longer. After that time
//! it is readmitted, and a single failure ejects it again. If more than half of a pool would be
//! ejected, the fault is assumed to lie with this VM and no further server is ejected. See
//! `docs/design/liveness.md`.

use std::time::Duration;

use crate::hash::{jitter, mix64};
use crate::{Incarnation, Timestamp};

/// Duration of the first ejection, before jitter.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection, before jitter.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(10);

/// Number of consecutive failures that eject a server.
const EJECTION_FAILURE_THRESHOLD: u32 = 2;

/// Weight of a new sample in the moving average of frame intervals, as a negative power of two.
const INTERVAL_EWMA_SHIFT: u32 = 3;

/// Time without samples after which the mean frame interval counts as unknown.
const INTERVAL_TTL: Duration = Duration::from_mins(1);

/// Whether a server receives requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStatus {
    /// The server receives requests.
    Up,
    /// The server receives no requests until the given time.
    Ejected {
        /// Time at which the server is due to be readmitted.
        until: Timestamp,
    },
}

/// Health of one backend server as seen by one VM.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    status: HealthStatus,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    mean_interval_us: u64,
    interval_updated: Timestamp,
    incarnation: Option<Incarnation>,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl ServerHealth {
    /// Creates the state of a server without any observations; it counts as up.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            status: HealthStatus::Up,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            mean_interval_us: 0,
            interval_updated: Timestamp::ZERO,
            incarnation: None,
        }
    }

    /// Returns whether the server is up or ejected.
    #[must_use]
    pub const fn status(&self) -> HealthStatus {
        self.status
    }

    /// Moving average of the time between frames, or zero if it is unknown.
    #[must_use]
    pub fn mean_frame_interval(&self, now: Timestamp) -> Duration {
        if self.interval_updated + INTERVAL_TTL <= now {
            return Duration::ZERO;
        }
        Duration::from_micros(self.mean_interval_us)
    }

    /// Incarnation that the server last reported.
    #[must_use]
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Records a reported incarnation and returns whether the server has restarted.
    pub fn record_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let previous = self.incarnation.replace(incarnation);
        previous.is_some_and(|previous| previous != incarnation)
    }

    /// Adds a sample of the time between two frames.
    pub fn record_frame_interval(&mut self, now: Timestamp, interval: Duration) {
        if self.mean_frame_interval(now).is_zero() {
            self.mean_interval_us = 0;
        }
        self.interval_updated = now;
        let sample = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        if self.mean_interval_us == 0 {
            self.mean_interval_us = sample;
            return;
        }
        self.mean_interval_us = self.mean_interval_us
            - (self.mean_interval_us >> INTERVAL_EWMA_SHIFT)
            + (sample >> INTERVAL_EWMA_SHIFT);
    }

    /// Records a complete answer, which ends an ejection, and returns whether it ended one.
    pub fn record_success(&mut self) -> bool {
        let was_ejected = self.status != HealthStatus::Up;
        self.status = HealthStatus::Up;
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        was_ejected
    }

    /// Records a failure and returns whether the server should be ejected.
    ///
    /// If `immediate` is set, one failure is enough.
    pub fn record_failure(&mut self, immediate: bool) -> bool {
        self.consecutive_failures += 1;
        immediate || self.consecutive_failures >= EJECTION_FAILURE_THRESHOLD
    }

    /// Ejects the server and returns the time at which it should be readmitted.
    pub fn eject(&mut self, now: Timestamp, seed: u64) -> Timestamp {
        let backoff = BASE_EJECTION_TIME * 2_u32.pow(self.consecutive_ejections.min(4));
        let span = backoff.min(MAX_EJECTION_TIME);
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        let spread = jitter(mix64(seed, u64::from(self.consecutive_ejections)), span / 2);
        let until = now + span + spread;
        self.status = HealthStatus::Ejected { until };
        until
    }

    /// Ends the ejection; the next failure ejects the server again, for longer.
    pub fn readmit(&mut self) {
        self.status = HealthStatus::Up;
        self.consecutive_failures = EJECTION_FAILURE_THRESHOLD - 1;
    }
}

/// Returns whether ejecting one more server would eject more than half of the pool.
#[must_use]
pub const fn exceeds_ejection_limit(ejected: usize, servers: usize) -> bool {
    (ejected + 1) * 2 > servers
}
