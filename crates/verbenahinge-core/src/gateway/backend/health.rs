//! Ejection of a failing server, based on its own answers alone.
//!
//! A crashed server fails every request immediately, so its short queue would attract all requests.
//! A server that answers part of its requests with errors stays in use with a higher cost.

use std::time::Duration;

use crate::{FailureKind, Timestamp};

/// Duration of the first ejection; doubled with each further one until a request succeeds.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(700);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Number of failures that suggest that a server is down, without a success in between, after which
/// it is ejected; a connection that cannot be opened ejects it at once.
const EJECTION_FAILURE_THRESHOLD: u32 = 2;

/// Weight of the latest result in the error rate.
const ERROR_RATE_GAIN: f64 = 0.08;

/// Recent errors and ejections of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Health {
    error_rate: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    /// Whether the server was ejected because it accepted no connection.
    is_unreachable: bool,
}

impl Health {
    /// Creates the health of a server that has not answered yet.
    pub(super) const fn new() -> Self {
        Self {
            error_rate: 0.0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            is_unreachable: false,
        }
    }

    /// Records an answer and whether it was a success.
    pub(super) fn note_answer(&mut self, success: bool) {
        let sample = if success { 0.0 } else { 1.0 };
        self.error_rate += ERROR_RATE_GAIN * (sample - self.error_rate);
        if success {
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Records a failure; returns whether it ejects the server.
    pub(super) fn note_failure(&mut self, now: Timestamp, kind: FailureKind) -> bool {
        self.error_rate += ERROR_RATE_GAIN * (1.0 - self.error_rate);
        if !kind.suggests_server_down() {
            return false;
        }
        self.failures += 1;
        let immediate = kind == FailureKind::ConnectFailed;
        self.is_unreachable = immediate;
        if !immediate && self.failures < EJECTION_FAILURE_THRESHOLD {
            return false;
        }
        let factor = 1 << self.ejections.min(4);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + (BASE_EJECTION_TIME * factor).min(MAX_EJECTION_TIME));
        true
    }

    /// Ends an ejection because of connections that failed, as the path to the server was at fault.
    pub(super) const fn end_unreachable(&mut self) {
        if self.is_unreachable {
            self.ejected_until = None;
            self.ejections = 0;
            self.is_unreachable = false;
        }
    }

    /// Time for which the server is still ejected and gets no requests; `None` if it is not.
    pub(super) fn ejection_left(&self, now: Timestamp) -> Option<Duration> {
        let left = self.ejected_until?.checked_sub(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Whether the latest failure was that the server accepted no connection.
    pub(super) const fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Moving average of the share of requests that failed.
    pub(super) const fn error_rate(&self) -> f64 {
        self.error_rate
    }
}
