//! Whether a server answers well, by its own answers alone.
//!
//! Load pattern: a server that is gone fails every request at once, and would draw all of them by
//! its short queue; one that fails part of its requests is worth using less.

use std::time::Duration;

use crate::{FailureKind, Timestamp};

/// First time for which a server that failed gets nothing.
const EJECT_BASE: Duration = Duration::from_millis(700);

/// Longest time for which a server that failed gets nothing.
const EJECT_MAX: Duration = Duration::from_secs(4);

/// Failures in a row after which a server gets nothing for a while.
const EJECT_FAILURES: u32 = 2;

/// Weight of the latest answer in the share of failed answers.
const ERROR_GAIN: f64 = 0.08;

/// Whether a server answers well.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Health {
    error_share: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

impl Health {
    /// Creates the health of a server that has not answered yet.
    pub(super) const fn new() -> Self {
        Self {
            error_share: 0.0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Takes note of an answer, good or not.
    pub(super) fn note_answer(&mut self, good: bool) {
        let sample = if good { 0.0 } else { 1.0 };
        self.error_share += ERROR_GAIN * (sample - self.error_share);
        if good {
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Takes note of a failure; says whether the server gets nothing from now on.
    pub(super) fn note_failure(&mut self, now: Timestamp, kind: FailureKind) -> bool {
        self.error_share += ERROR_GAIN * (1.0 - self.error_share);
        if !kind.suggests_server_down() {
            return false;
        }
        self.failures += 1;
        let at_once = kind == FailureKind::ConnectFailed;
        if !at_once && self.failures < EJECT_FAILURES {
            return false;
        }
        let factor = 1 << self.ejections.min(4);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + (EJECT_BASE * factor).min(EJECT_MAX));
        true
    }

    /// Says whether the server gets nothing for now.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Share of the latest answers that failed.
    pub(super) const fn error_share(&self) -> f64 {
        self.error_share
    }
}
